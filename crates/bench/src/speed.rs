//! Time and memory of a routing decision.

use std::hint;
use std::time;

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::routing;
use guavausher_core::time as core_time;

use crate::entry;
use crate::measure;
use crate::setup;
use crate::trace;

/// Sizes of the fleet.
const SIZES: [usize; 3] = [20, 200, 770];
/// Decisions in one batch.
const BATCH: usize = 2_000;
/// Batches; the median counts.
const BATCHES: usize = 15;
/// Nanoseconds in a microsecond.
const NANOS: f64 = 1_000.0;

/// Measures of time and memory.
pub fn measures(seed: u64) -> Vec<measure::Measure> {
    let costs: Vec<_> = SIZES
        .iter()
        .map(|&size| Cost::measure(size, seed))
        .collect();
    let mut rows = Vec::new();
    for cost in &costs {
        let name = format!("routing decision at {} engines, us", cost.engines);
        rows.push(measure::Measure::new(name, "none", cost.nanos / NANOS));
    }
    let growth = costs[2].nanos / costs[0].nanos;
    let name = "growth of a decision from 20 to 770 engines";
    rows.push(measure::Measure::new(name, "linear 38.5", growth));
    let name = "bytes of state for each of 770 engines";
    rows.push(measure::Measure::new(name, "none", costs[2].bytes as f64));
    rows
}

struct Cost {
    engines: usize,
    nanos: f64,
    bytes: usize,
}

impl Cost {
    /// Times decisions on a warm fleet of some engines.
    fn measure(engines: usize, seed: u64) -> Self {
        let mut setup = setup::Setup::at_load(entry::Policy::Core, seed, 100, 60);
        setup.engines = setup::spread(engines);
        let queries: Vec<_> = trace::arrivals(&setup.demand).iter().map(query).collect();
        let mut fleet = routing::Fleet::new(name::Name::from(setup::DOMAINS[0]), seed);
        fleet.declare(core_time::Time::default(), &setup.declaration());
        fill(&mut fleet, engines, &queries);
        let mut batches: Vec<_> = (0..BATCHES).map(|_| batch(&mut fleet, &queries)).collect();
        batches.sort_by(f64::total_cmp);
        Self {
            engines,
            nanos: batches[BATCHES / 2],
            bytes: fleet.heap_bytes() / engines,
        }
    }
}

/// Gives every engine load and cached blocks.
fn fill(fleet: &mut routing::Fleet, engines: usize, queries: &[routing::Query]) {
    let now = core_time::Time::from_millis(1_000);
    for engine in 0..engines {
        let upstream = entry::engine_name(engine);
        let load = routing::Load {
            incarnation: 0,
            queue: 0,
            running: 8,
            slots: 16,
            at: now,
        };
        fleet.apply_load(now, &upstream, load);
        let chains = queries.iter().skip(engine % 7).step_by(7);
        let stored = chains
            .flat_map(|query| query.blocks.iter().copied())
            .take(4_000);
        let event = routing::CacheEvent {
            seq: 0,
            stored: stored.collect(),
            evicted: Vec::new(),
        };
        fleet.apply_cache_event(now, &upstream, event);
    }
}

/// Returns nanoseconds for each decision of a batch.
fn batch(fleet: &mut routing::Fleet, queries: &[routing::Query]) -> f64 {
    let now = core_time::Time::from_millis(2_000);
    let start = time::Instant::now();
    for query in queries.iter().cycle().take(BATCH) {
        let _ = hint::black_box(fleet.choose(now, hint::black_box(query)));
    }
    start.elapsed().as_nanos() as f64 / BATCH as f64
}

fn query(arrival: &trace::Arrival) -> routing::Query {
    let blocks = (arrival.prompt / routing::BLOCK_TOKENS) as usize;
    routing::Query {
        service: name::Name::from(setup::SERVICE),
        version: None,
        workspace: setup::workspace_name(arrival.workspace),
        priority: declaration::Priority::Quick,
        blocks: arrival.blocks[..blocks].into(),
        prompt: arrival.prompt,
        output: arrival.output,
        excluded: Vec::new(),
        packed: false,
        sticky: None,
    }
}
