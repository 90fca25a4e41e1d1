//! One run: fleet, demand, policy and faults.

use guavausher_core::declaration;
use guavausher_core::name;

use crate::engine;
use crate::entry;
use crate::trace;

/// Failure domains of the modelled fleet.
pub const DOMAINS: [&str; 3] = ["semarang-a", "solo-b", "magelang-c"];
/// The modelled service.
pub const SERVICE: &str = "guava-model";
/// Shares of the workspaces in ordinary demand.
const SHARES: [f64; 5] = [0.35, 0.25, 0.2, 0.12, 0.08];
/// A limit far above any modelled demand.
const UNLIMITED: u32 = 1_000_000;

/// What a run needs.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How entries decide.
    pub policy: entry::Policy,
    /// Arrivals.
    pub demand: trace::Demand,
    /// Failure domain and market of each engine.
    pub engines: Vec<Site>,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
}

/// Where an engine stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Site {
    /// Index of the failure domain.
    pub domain: usize,
    /// Reclaimable or on demand.
    pub market: declaration::Market,
}

/// A fault at a time in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it happens.
    pub at: u64,
    /// What happens.
    pub kind: Kind,
}

/// What a fault does.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// All entries learn that a failure domain is reclaimed at a time.
    Notice {
        /// Failure domain.
        domain: usize,
        /// When its engines die.
        dies_at: u64,
    },
    /// The engines of a failure domain die.
    Reclaim {
        /// Failure domain.
        domain: usize,
    },
    /// Every engine dies.
    Outage,
}

impl Setup {
    /// Builds a run at a share of the fleet's capacity, in percent.
    pub fn at_load(policy: entry::Policy, seed: u64, percent: u32, seconds: u64) -> Self {
        let rate = trace::capacity(20) * f64::from(percent) / 100.0;
        Self {
            policy,
            demand: demand(seed, seconds, SHARES.map(|share| share * rate).to_vec()),
            engines: spread(20),
            faults: Vec::new(),
        }
    }

    /// Returns the declaration of the fleet.
    pub fn declaration(&self) -> declaration::Declaration {
        let domains = DOMAINS.iter().map(|domain| declaration::Domain {
            name: name::Name::from(*domain),
            region: name::Name::from("jawa-tengah"),
        });
        let workspaces = (0..self.demand.rates.len()).map(|index| declaration::Workspace {
            name: workspace_name(index),
            weight: 1,
            rate: UNLIMITED,
            concurrency: UNLIMITED,
        });
        declaration::Declaration {
            domains: domains.collect(),
            services: vec![declaration::Service {
                name: name::Name::from(SERVICE),
                kind: declaration::Kind::Model,
                version: name::Name::from("v1"),
                fencing: true,
                deduplicates: false,
            }],
            upstreams: self.engines.iter().enumerate().map(upstream).collect(),
            workspaces: workspaces.collect(),
            ..declaration::Declaration::default()
        }
    }
}

/// Builds a demand on nine entries.
pub fn demand(seed: u64, seconds: u64, rates: Vec<f64>) -> trace::Demand {
    trace::Demand {
        seed,
        length: seconds * 1_000_000,
        entries: 9,
        rates,
    }
}

/// Spreads engines over the failure domains.
pub fn spread(count: usize) -> Vec<Site> {
    let market = declaration::Market::Reclaimable;
    let sites = (0..count).map(|index| Site {
        domain: index % DOMAINS.len(),
        market,
    });
    sites.collect()
}

/// Returns the name of a workspace.
pub fn workspace_name(index: usize) -> name::Name {
    name::Name::from(format!("workspace-{index}"))
}

fn upstream((index, site): (usize, &Site)) -> declaration::Upstream {
    declaration::Upstream {
        name: entry::engine_name(index),
        service: name::Name::from(SERVICE),
        version: name::Name::from("v1"),
        address: ([127, 0, (index >> 8) as u8, index as u8], 9_000).into(),
        domain: name::Name::from(DOMAINS[site.domain]),
        class: name::Name::from("gpu-small"),
        market: site.market,
        slots: engine::SLOTS as u32,
    }
}
