//! Builders for the tests of `core::relay`.
#![allow(dead_code)]

pub mod crash_store;
pub mod engines;
pub mod fleet;
pub mod holder;
pub mod limits;
pub mod outcome;
pub mod plan;
pub mod prompts;
pub mod store_reader;
pub mod trial;

use std::sync;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{
    clock, crash_report, digest, effect, engine, event, manifest, member, peers, rate_limit,
    reduce, request, route, service, settings, state, workspace,
};
use guavausher_core::time;

pub const START: time::Time = time::Time::from_millis(1_000_000);
/// True time at [`START`] in microseconds since the Unix epoch.
pub const EPOCH: u64 = 1_800_000_000_000_000;

pub fn at(millis: u64) -> time::Time {
    START.after(Duration::from_millis(millis))
}

pub fn name(text: &str) -> name::Name {
    name::Name::from(text)
}

pub fn service(scaling: Option<service::Scaling>) -> service::Service {
    service::Service {
        name: name("model"),
        max_connections: 100,
        is_model: true,
        slots: Some(8),
        cold_rate: None,
        scaling,
    }
}

pub fn route(repeat: route::RetryPolicy, attempts: u32) -> route::Route {
    route::Route {
        name: name("r"),
        host: name("site.example"),
        prefix: name("/r/"),
        retry_policy: repeat,
        timeout: Duration::from_secs(10),
        goal: Duration::from_secs(1),
        gap: Some(Duration::from_millis(500)),
        attempts,
        priority: 0,
        anonymous: false,
        shares: vec![route::Share {
            service: name("model"),
            weight: 1,
        }],
    }
}

pub fn manifest(version: u64, rate: f64, scaling: Option<service::Scaling>) -> event::Event {
    manifest_of(version, rate, service(scaling))
}

/// A second manifest, without caps, whose engines take this rate while they are cold.
pub fn manifest_with_cold_rate(rate: Option<rate_limit::Rate>) -> event::Event {
    let service = service::Service {
        cold_rate: rate,
        ..service(None)
    };
    manifest_of(2, 0.0, service)
}

fn manifest_of(version: u64, rate: f64, service: service::Service) -> event::Event {
    let parts = manifest::Parts {
        version,
        routes: vec![route(route::RetryPolicy::Idempotent, 2)],
        services: vec![service],
        workspaces: Some(vec![workspace::Workspace {
            name: name("ward"),
            keys: vec![name("secret")],
            priority: None,
            unit: workspace::Unit::Tokens,
            default_units: 1,
            rate,
            burst: rate,
        }]),
        limits: manifest::Limits {
            head: 4_096,
            body: 4_096,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    };
    event::Event::Manifest(sync::Arc::new(manifest::Manifest::new(parts)))
}

pub fn engine(index: usize) -> engine::Engine {
    engine::Engine {
        name: name(&format!("e{index}")),
        incarnation: 1,
        service: name("model"),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        domain: name("a"),
        version: name("v1"),
        slots: 8,
        leaving: false,
        spot: false,
        warm_at: time::Time::default(),
    }
}

pub fn engines(list: Vec<engine::Engine>) -> event::Event {
    event::Event::Engines(list)
}

pub fn new_request(
    id: u64,
    now: time::Time,
    repeat: route::RetryPolicy,
    attempts: u32,
) -> request::Request {
    let route = route(repeat, attempts);
    request::Request {
        id,
        trace: name(&format!("t{id}")),
        service: name("model"),
        workspace: Some(name("ward")),
        priority: route.priority,
        units: 100,
        arrived: now,
        goal: now.after(route.goal),
        deadline: now.after(route.timeout),
        prompt: 1_000,
        output: 10,
        parts: Vec::new(),
        fingerprint: id,
        route: sync::Arc::new(route),
    }
}

/// The peers of an instance that knows no other instance.
pub fn no_peers() -> peers::Peers {
    peers::Peers::new(member::Member {
        name: name("own"),
        domain: name("a"),
        address: "127.0.0.1:1".parse().unwrap(),
    })
}

/// An instance whose name starts with `front-`.
pub struct Instance {
    pub state: state::State,
}

impl Instance {
    pub fn new(index: u16) -> Self {
        let own = state::Identity {
            name: name(&format!("front-{index}")),
            incarnation: 1,
            address: format!("127.0.0.1:{}", 8_000 + index).parse().unwrap(),
            domain: name("a"),
        };
        Self::of(own)
    }

    pub fn of(own: state::Identity) -> Self {
        let clock = clock::Clock::new(START, EPOCH);
        Self {
            state: state::State::new(own, settings::Settings::default(), clock),
        }
    }

    /// Builds an instance with a manifest and this many engines.
    pub fn serving(index: u16, count: usize) -> Self {
        let mut instance = Self::new(index);
        instance.apply(START, manifest(1, 0.0, None));
        instance.apply(START, engines((0..count).map(engine).collect()));
        instance
    }

    pub fn apply(&mut self, now: time::Time, event: event::Event) -> Vec<effect::Effect> {
        reduce::reduce(&mut self.state, now, event)
    }

    /// Applies a signal of the attempt that was sent last.
    pub fn signal(
        &mut self,
        now: time::Time,
        request: u64,
        signal: event::Signal,
    ) -> Vec<effect::Effect> {
        let flight = self.state.flights.get(&request);
        let attempt = flight.map_or(1, |f| f.last_attempt());
        self.signal_of(now, request, attempt, signal)
    }

    /// Applies a signal of the attempt with this number.
    pub fn signal_of(
        &mut self,
        now: time::Time,
        request: u64,
        attempt: usize,
        signal: event::Signal,
    ) -> Vec<effect::Effect> {
        let event = event::Event::Attempt {
            request,
            attempt,
            signal,
        };
        self.apply(now, event)
    }

    /// Applies the arrival of a request and returns the engine that it is sent to.
    pub fn send(&mut self, now: time::Time, request: request::Request) -> name::Name {
        let effects = self.apply(now, event::Event::Arrived(request));
        sent(&effects).expect("sent")
    }

    pub fn digest(&self, now: time::Time) -> digest::Digest {
        self.state.digest(now, Vec::new())
    }

    pub fn crash_report(&self, now: time::Time) -> crash_report::CrashReport {
        crash_report::CrashReport {
            sender: self.state.own.name.clone(),
            suspects: self.state.suspects.report(now),
        }
    }

    pub fn receive(&mut self, now: time::Time, digest: digest::Digest) {
        self.apply(now, event::Event::Digest(digest));
    }
}

/// Returns the engine of the first send among the effects.
pub fn sent(effects: &[effect::Effect]) -> Option<name::Name> {
    effects.iter().find_map(|effect| match effect {
        effect::Effect::Send { dispatch, .. } => Some(dispatch.choice.engine.clone()),
        _ => None,
    })
}

/// Returns the first refusal among the effects.
pub fn refused(effects: &[effect::Effect]) -> Option<guavausher_core::refusal::Refusal> {
    effects.iter().find_map(|effect| match effect {
        effect::Effect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}
