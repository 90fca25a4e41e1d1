//! Instances that report to each other during a rollout, with drawn requests.

use std::time::Duration;

use guavausher_core::relay::{rollouts, settings, usage_counts};

use super::{EPOCH, name};

/// Step of virtual time in milliseconds.
const STEP: u64 = 10;
/// Time between two reports of the instances to each other in milliseconds.
const EXCHANGE: u64 = 300;

/// Requests of one route, and how the versions respond to them.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// Requests a second.
    pub rate: f64,
    /// How the new version fails it.
    pub fault: Fault,
}

/// Which requests a new version fails.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Each one of so many, the second first; 0 for none.
    Every(u64),
    /// This share of them, drawn.
    Share(f64),
    /// All from this share of the rollout's duration on.
    From(f64),
}

/// A rollout to play.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub duration: Duration,
    pub routes: Vec<Route>,
    /// Share of the requests that both versions fail.
    pub usual: f64,
    pub seed: u64,
}

/// How it ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub stage: rollouts::Stage,
    pub requests: u64,
    /// Requests that the new version got.
    pub exposed: u64,
    /// Those of them that it failed.
    pub failed: u64,
}

impl Outcome {
    /// Returns `true` if the new version got no more than `exposureShare` and `exposureSlack` allow.
    pub fn is_within_exposure(&self) -> bool {
        self.exposed <= self.requests / 10 + 50
    }
}

struct Trial<'a> {
    plan: &'a Plan,
    instances: Vec<rollouts::Rollouts>,
    /// Requests that the new version got, by route.
    received: Vec<u64>,
    noise: u64,
    outcome: Outcome,
}

/// Returns a rollout that has just begun.
pub fn ordered(duration: Duration) -> rollouts::Rollouts {
    let order = rollouts::Order {
        service: name("model"),
        target: name("v2"),
        duration,
        stage: rollouts::Stage::Running,
        deadline_micros: Some(EPOCH + duration.as_micros() as u64),
        revision: 1,
    };
    let mut rollouts = rollouts::Rollouts::default();
    rollouts.replace(EPOCH, vec![order]);
    rollouts
}

/// Plays a rollout to its end.
pub fn play(plan: &Plan) -> Outcome {
    let mut trial = Trial::new(plan);
    let routes = &plan.routes;
    let count = routes.len() as f64;
    let mut due: Vec<_> = (0..routes.len()).map(|r| r as f64 / count).collect();
    let duration = plan.duration.as_millis() as u64;
    for millis in (0..duration).step_by(STEP as usize) {
        for (index, route) in routes.iter().enumerate() {
            due[index] += route.rate * STEP as f64 / 1_000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                trial.request(millis, index);
            }
        }
        if millis % EXCHANGE == 0 {
            trial.exchange();
            if let Some(stage) = trial.stage_at(millis) {
                trial.outcome.stage = stage;
                break;
            }
        }
    }
    trial.outcome
}

impl<'a> Trial<'a> {
    fn new(plan: &'a Plan) -> Self {
        Self {
            plan,
            instances: vec![ordered(plan.duration); plan.instances],
            received: vec![0; plan.routes.len()],
            noise: plan.seed.wrapping_mul(0x9e37_79b9).wrapping_add(1),
            outcome: Outcome {
                stage: rollouts::Stage::Running,
                requests: 0,
                exposed: 0,
                failed: 0,
            },
        }
    }

    /// Returns a number in [0, 1).
    fn draw(&mut self) -> f64 {
        self.noise = self
            .noise
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(0x1405_7b7e_f767_814f);
        (self.noise >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn request(&mut self, millis: u64, index: usize) {
        let instance = (self.draw() * self.plan.instances as f64) as usize;
        let own = name(&format!("front-{instance}"));
        let (service, route) = (name("model"), name(&format!("r{index}")));
        let arrival = rollouts::Arrival {
            service: &service,
            route: &route,
            is_retry: false,
            micros: EPOCH + millis * 1_000,
            instance: &own,
            scale: 1.0,
        };
        let settings = settings::Settings::default();
        let filter = self.instances[instance].version_filter(&settings, arrival);
        let is_new = filter.only.is_some();
        let is_usual = self.draw() < self.plan.usual;
        let is_failed = is_usual || (is_new && self.is_failed(millis, index));
        let version = name(if is_new { "v2" } else { "v1" });
        self.instances[instance].record_response(&service, &route, &version, !is_failed);
        self.received[index] += u64::from(is_new);
        self.outcome.requests += 1;
        self.outcome.exposed += u64::from(is_new);
        self.outcome.failed += u64::from(is_new && is_failed);
    }

    /// Returns `true` if the new version fails the next request.
    fn is_failed(&mut self, millis: u64, index: usize) -> bool {
        match self.plan.routes[index].fault {
            Fault::Every(0) => false,
            Fault::Every(number) => self.received[index] % number == 1 % number,
            Fault::Share(share) => self.draw() < share,
            Fault::From(share) => millis as f64 >= self.plan.duration.as_millis() as f64 * share,
        }
    }

    fn exchange(&mut self) {
        let stats: Vec<_> = self.instances.iter().map(|i| i.local_stats()).collect();
        for (index, stats) in stats.iter().enumerate() {
            let process = usage_counts::Process {
                name: name(&format!("front-{index}")),
                incarnation: 1,
            };
            let others = self.instances.iter_mut().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            others.for_each(|(_, other)| other.merge(&process, stats));
        }
    }

    /// Returns the stage that follows at a time in milliseconds, if it changes.
    fn stage_at(&self, millis: u64) -> Option<rollouts::Stage> {
        let micros = EPOCH + millis * 1_000;
        let updates = self.instances[0].status_updates(&settings::Settings::default(), micros);
        updates.first().map(|update| update.stage)
    }
}
