//! Settings of the entry.

use std::process;

use guavausher_core::{name, peering};
use guavausher_node::{clock, entry, peers, settings, store};

const PROGRAM: settings::Program = settings::Program {
    name: "guavausher-entry",
    about: "Carries requests from callers to upstreams.",
    operands: "",
    settings: &[
        settings::Setting {
            flag: "--name",
            kind: settings::Kind::Name,
            default: None,
            help: "Name of this instance, as in the platform's instance list",
        },
        settings::common::DOMAIN,
        settings::Setting {
            flag: "--listen",
            kind: settings::Kind::Address,
            default: None,
            help: "Address for callers",
        },
        settings::Setting {
            flag: "--peer-listen",
            kind: settings::Kind::Address,
            default: None,
            help: "Address for other entries and the controller beside this one",
        },
        settings::Setting {
            flag: "--admin-listen",
            kind: settings::Kind::Address,
            default: None,
            help: "Address for /livez, /readyz and /metrics",
        },
        settings::common::PLATFORM,
        settings::Setting {
            flag: "--peers",
            kind: settings::Kind::Peers,
            default: Some(""),
            help: "Other entries to ask while the platform's list cannot be had",
        },
        settings::common::KEY,
        settings::Setting {
            flag: "--incarnation",
            kind: settings::Kind::Count {
                min: 0,
                max: u64::MAX,
            },
            default: Some("0"),
            help: "Number of this start, higher at each start; 0 takes the clock",
        },
        settings::Setting {
            flag: "--threads",
            kind: settings::Kind::Count { min: 1, max: 64 },
            default: Some("2"),
            help: "Threads that carry requests",
        },
        settings::common::STORE_TIMEOUT,
        settings::Setting {
            flag: "--grace-ms",
            kind: settings::Kind::Millis {
                min: 0,
                max: 3_600_000,
            },
            default: Some("25000"),
            help: "How long a planned stop may take",
        },
        settings::common::LOG_LEVEL,
    ],
};

/// Threads for store calls that are answered at once.
const STORE_WORKERS: usize = 8;

/// Threads for store calls that wait for a change.
const STORE_WATCHERS: usize = 4;

/// Store calls that may be queued.
const STORE_QUEUE: usize = 1_024;

/// How long the platform may hold a call that waits for a change.
const STORE_WAIT: std::time::Duration = std::time::Duration::from_secs(20);

/// Checked settings.
pub struct Settings {
    /// Lowest level that is logged.
    pub level: log::LevelFilter,
    /// What the entry is started with.
    pub entry: entry::Config,
}

/// Reads and checks the settings.
pub fn load() -> Result<Settings, process::ExitCode> {
    let values = PROGRAM.load()?;
    let key = settings::common::key(&PROGRAM, &values)?;
    build(&values, key).map_err(|error| PROGRAM.refuse(&error))
}

fn build(values: &settings::Values, key: peers::Key) -> Result<Settings, settings::Error> {
    let domain = values.name("--domain")?;
    let own = peering::Member {
        name: values.name("--name")?,
        region: domain.clone(),
        domain,
        address: values.address("--peer-listen")?,
        incarnation: incarnation(values.count("--incarnation")?),
    };
    let store = store::Options {
        address: values.address("--platform")?,
        workers: STORE_WORKERS,
        watchers: STORE_WATCHERS,
        queue: STORE_QUEUE,
        timeout: values.duration("--store-timeout-ms")?,
        wait: STORE_WAIT,
    };
    let entry = entry::Config {
        listen: values.address("--listen")?,
        admin: values.address("--admin-listen")?,
        own,
        seeds: values.peers("--peers")?.into_iter().map(seed).collect(),
        key,
        threads: values.size("--threads")?,
        store,
        grace: values.duration("--grace-ms")?,
    };
    Ok(Settings {
        level: values.level("--log-level")?,
        entry,
    })
}

/// Failure domain and region of a seed are learned from its link.
fn seed(peer: settings::Peer) -> peering::Member {
    peering::Member {
        name: peer.name,
        domain: name::Name::default(),
        region: name::Name::default(),
        address: peer.address,
        incarnation: 0,
    }
}

fn incarnation(stated: u64) -> u64 {
    match stated {
        0 => clock::Clock::start().now().as_micros(),
        stated => stated,
    }
}
