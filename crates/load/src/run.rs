//! The run of a scenario.

use std::sync;
use std::thread;
use std::time;

use tokio::runtime;
use tokio::sync::Semaphore;

use crate::call;
use crate::plan;
use crate::pool;
use crate::scenario;
use crate::tally;

/// Threads that carry the exchanges.
const THREADS: usize = 2;

/// Any error that prevents a run.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Sends a scenario's requests and returns what they came to.
///
/// The calling thread sends; it returns once every request has ended, at the latest when the
/// timeout of the last one has passed.
///
/// # Errors
///
/// Fails if the scenario is out of its bounds or no runtime can be started.
pub fn run(scenario: &scenario::Scenario) -> Result<tally::Tally, Error> {
    scenario.check()?;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    let run = Run::new(scenario)?;
    let start = time::Instant::now();
    for shot in plan::Plan::new(scenario)? {
        thread::sleep((start + shot.at).saturating_duration_since(time::Instant::now()));
        run.fire(runtime.handle(), &shot, start);
    }
    runtime.block_on(run.finish());
    runtime.shutdown_background();
    run.into_tally()
}

struct Run<'a> {
    scenario: &'a scenario::Scenario,
    pools: sync::Arc<[pool::Pool]>,
    open: sync::Arc<Semaphore>,
    tally: sync::Arc<sync::Mutex<tally::Tally>>,
    serial: u64,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a scenario::Scenario) -> Result<Self, Error> {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH)?;
        let pools = scenario
            .targets
            .iter()
            .map(|target| pool::Pool::new(*target));
        Ok(Self {
            scenario,
            pools: pools.collect(),
            open: sync::Arc::new(Semaphore::new(scenario.limit)),
            tally: sync::Arc::new(sync::Mutex::new(tally::Tally::new(scenario)?)),
            serial: u64::try_from(since.as_micros())?,
        })
    }

    fn fire(&self, runtime: &runtime::Handle, shot: &plan::Shot, start: time::Instant) {
        let Ok(permit) = self.open.clone().try_acquire_owned() else {
            lock(&self.tally).unsent += 1;
            return;
        };
        let call = call::Call::new(self.scenario, shot, self.serial, start);
        let pools = self.pools.clone();
        let tally = self.tally.clone();
        runtime.spawn(async move {
            let measure = call.run(&pools).await;
            lock(&tally).add(&measure);
            drop(tally);
            drop(permit);
        });
    }

    async fn finish(&self) {
        let all = u32::try_from(self.scenario.limit).unwrap_or(u32::MAX);
        self.open.acquire_many(all).await.ok();
    }

    fn into_tally(self) -> Result<tally::Tally, Error> {
        let tally = sync::Arc::into_inner(self.tally).ok_or("a request has not ended")?;
        Ok(tally
            .into_inner()
            .unwrap_or_else(sync::PoisonError::into_inner))
    }
}

fn lock(tally: &sync::Mutex<tally::Tally>) -> sync::MutexGuard<'_, tally::Tally> {
    tally.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
