//! One entry under a policy.

use guavausher_core::admission;
use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::retry;
use guavausher_core::routing;
use guavausher_core::time;

/// How an entry decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// Each upstream in turn; no admission.
    RoundRobin,
    /// The upstream with the fewest own requests; no admission.
    LeastInFlight,
    /// The decisions of the core.
    Core,
}

/// An engine picked for a request.
#[derive(Clone, Debug)]
pub enum Picked {
    /// Sent to this engine.
    Engine(usize),
    /// Nobody can take it before this time.
    Later(time::Time),
}

/// One entry with its decisions.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Routing.
    pub fleet: routing::Fleet,
    /// Admission.
    pub admission: admission::Controller,
    /// Retry budget.
    pub budget: retry::Budget,
    policy: Policy,
    down: Vec<bool>,
    flight: Vec<u32>,
    next: usize,
    service: name::Name,
}

impl Entry {
    /// Builds an entry in a failure domain.
    pub fn new(
        policy: Policy,
        domain: name::Name,
        seed: u64,
        declaration: &declaration::Declaration,
    ) -> Self {
        let now = time::Time::default();
        let mut fleet = routing::Fleet::new(domain, seed);
        fleet.declare(now, declaration);
        let mut admission = admission::Controller::new(seed);
        admission.declare(now, declaration);
        let engines = declaration.upstreams.len();
        Self {
            fleet,
            admission,
            budget: retry::Budget::new(),
            policy,
            down: vec![false; engines],
            flight: vec![0; engines],
            next: seed as usize % engines.max(1),
            service: declaration.services[0].name.clone(),
        }
    }

    /// Picks an engine and counts the dispatch.
    pub fn pick(&mut self, now: time::Time, attempt: u64, query: &routing::Query) -> Picked {
        let engine = match self.policy {
            Policy::RoundRobin => self.round_robin(query),
            Policy::LeastInFlight => self.least_in_flight(query),
            Policy::Core => return self.expected(now, attempt, query),
        };
        match engine {
            Some(engine) => {
                self.flight[engine] += 1;
                Picked::Engine(engine)
            }
            None => Picked::Later(now),
        }
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, now: time::Time, attempt: u64, engine: usize, end: routing::Outcome) {
        self.flight[engine] = self.flight[engine].saturating_sub(1);
        self.fleet.end(now, attempt, end);
        self.refresh(now);
    }

    /// Marks an engine as dead or alive for the baselines.
    pub fn set_down(&mut self, engine: usize, down: bool) {
        self.down[engine] = down;
    }

    /// Tells admission how much the fleet can take.
    pub fn refresh(&mut self, now: time::Time) {
        if self.policy == Policy::Core {
            let slots = self.fleet.capacity(now, &self.service);
            self.admission.set_capacity(now, &self.service, slots);
        }
    }

    fn round_robin(&mut self, query: &routing::Query) -> Option<usize> {
        for _ in 0..self.down.len() {
            self.next = (self.next + 1) % self.down.len();
            if !self.down[self.next] && !is_excluded(query, self.next) {
                return Some(self.next);
            }
        }
        None
    }

    fn least_in_flight(&mut self, query: &routing::Query) -> Option<usize> {
        self.next = (self.next + 1) % self.down.len();
        let order = (0..self.down.len()).map(|step| (self.next + step) % self.down.len());
        let usable = order.filter(|&engine| !self.down[engine] && !is_excluded(query, engine));
        usable.min_by_key(|&engine| self.flight[engine])
    }

    fn expected(&mut self, now: time::Time, attempt: u64, query: &routing::Query) -> Picked {
        match self.fleet.choose(now, query) {
            Ok(choice) => {
                self.fleet.start(now, attempt, &choice, query);
                Picked::Engine(index_of(&choice.upstream))
            }
            Err(exhausted) => Picked::Later(exhausted.retry_at),
        }
    }
}

/// Returns the name of an engine.
pub fn engine_name(index: usize) -> name::Name {
    name::Name::from(format!("engine-{index}"))
}

fn index_of(name: &name::Name) -> usize {
    let digits = name.as_str().trim_start_matches("engine-");
    digits.parse().unwrap_or(0)
}

fn is_excluded(query: &routing::Query, engine: usize) -> bool {
    !query.excluded.is_empty() && query.excluded.contains(&engine_name(engine))
}
