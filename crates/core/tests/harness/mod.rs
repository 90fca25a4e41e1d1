//! Runs an entry's reducer with a simulated clock, store and upstreams.

#![allow(dead_code, reason = "each test binary uses a part")]

mod objects;

use std::sync;
use std::time::Duration;

use guavausher_core::{
    declaration, effect, event, ledger, name, peering, prompt, reduce, refusal, request, rollout,
    state, store, time, verdict,
};

pub use objects::ObjectStore;

pub const START: time::Time = time::Time::from_millis(1_000_000);
pub const CANDLE: &str = "/v1/candle";
pub const VERSE: &str = "/v1/verse";

/// One entry under test; store calls wait in `calls` until the test replies to them.
pub struct Harness {
    pub state: state::State,
    pub now: time::Time,
    pub calls: Vec<Call>,
    pub effects: Vec<effect::Effect>,
    next: u64,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub id: u64,
    pub call: store::Call,
}

impl Harness {
    /// Returns an entry with the example declaration as generation 1.
    pub fn example() -> Self {
        Self::with_declaration(&declaration())
    }

    pub fn with_declaration(declaration: &declaration::Declaration) -> Self {
        let own = peering::Member {
            name: name::Name::from("entry-1"),
            domain: name::Name::from("altan-ulgii"),
            region: name::Name::from("ulaanbaatar"),
            address: "127.0.0.1:20101".parse().unwrap(),
            incarnation: 1,
        };
        let mut harness = Self {
            state: state::State::new(own, 1),
            now: START,
            calls: Vec::new(),
            effects: Vec::new(),
            next: 0,
        };
        harness.event(event::Event::Start);
        harness.configure(1, declaration);
        harness
    }

    /// Publishes a configuration as a document.
    pub fn configure(&mut self, generation: u64, declaration: &declaration::Declaration) {
        let envelope = declaration::Envelope {
            operation: name::Name::from("op"),
            at: START,
            author: name::Name::from("tester"),
            declaration: declaration.clone(),
        };
        let body = envelope.to_json().unwrap().into_bytes();
        self.publish(peering::Topic::Config, generation, body);
    }

    pub fn publish(&mut self, topic: peering::Topic, generation: u64, body: Vec<u8>) {
        let document = peering::Document {
            topic,
            generation,
            body: sync::Arc::from(body),
        };
        self.event(event::Event::Peer(peering::Input::Publish(document)));
    }

    pub fn event(&mut self, event: event::Event) -> Vec<effect::Effect> {
        let effects = reduce::reduce(&mut self.state, self.now, event);
        for effect in &effects {
            if let effect::Effect::Call { id, call } = effect {
                self.calls.push(Call {
                    id: *id,
                    call: call.clone(),
                });
            }
        }
        self.effects.extend(effects.clone());
        effects
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        self.event(event::Event::Tick);
    }

    /// Sends a request and returns its id.
    pub fn arrive(&mut self, path: &str, key: Option<&str>) -> u64 {
        self.arrive_with(path, key, 7)
    }

    pub fn arrive_with(&mut self, path: &str, key: Option<&str>, fingerprint: u64) -> u64 {
        self.next += 1;
        let request = request::Request {
            id: self.next,
            path: path.to_owned(),
            workspace: name::Name::from("kiosks-east"),
            key: key.map(name::Name::from),
            fingerprint,
            prompt: prompt::hash_blocks("a few words"),
            output: 10,
            deadline: None,
            offset: 0,
        };
        self.event(event::Event::Arrived(request));
        self.next
    }

    /// Returns the dispatches of a request so far.
    pub fn dispatches(&self, request: u64) -> Vec<effect::Dispatch> {
        let own = |effect: &effect::Effect| match effect {
            effect::Effect::Dispatch(dispatch) if dispatch.request == request => {
                Some(dispatch.clone())
            }
            _ => None,
        };
        self.effects.iter().filter_map(own).collect()
    }

    pub fn refusals(&self, request: u64) -> Vec<refusal::Refusal> {
        let own = |effect: &effect::Effect| match effect {
            effect::Effect::Refuse {
                request: id,
                refusal,
            } if *id == request => Some(*refusal),
            _ => None,
        };
        self.effects.iter().filter_map(own).collect()
    }

    pub fn is_relayed(&self, request: u64) -> bool {
        let own = |effect: &effect::Effect| matches!(effect, effect::Effect::Relay { request: id } if *id == request);
        self.effects.iter().any(own)
    }

    pub fn signal(&mut self, dispatch: &effect::Dispatch, signal: event::Signal) {
        let attempt = dispatch.attempt;
        self.event(event::Event::Attempt { attempt, signal });
    }

    pub fn fail(&mut self, dispatch: &effect::Dispatch, verdict: verdict::Verdict, crashed: bool) {
        let offset = dispatch.offset;
        let failure = event::Failure {
            verdict,
            crashed,
            offset,
        };
        self.signal(dispatch, event::Signal::Failed(failure));
    }

    pub fn finish(&mut self, dispatch: &effect::Dispatch) {
        let kept = ledger::StoredResponse {
            status: 200,
            media: "application/json".into(),
            body: Some("{}".into()),
        };
        let finish = event::Finish {
            kept: Some(kept),
            ..event::Finish::default()
        };
        self.signal(dispatch, event::Signal::Finished(finish));
    }

    /// Serves the ledger's calls from `store` until none is left.
    pub fn serve_ledger(&mut self, store: &mut ObjectStore) {
        while let Some(at) = self.calls.iter().position(|c| is_ledger(&c.call)) {
            let call = self.calls.remove(at);
            let reply = store.apply(&call.call);
            self.event(event::Event::Replied {
                call: call.id,
                reply,
            });
        }
    }

    /// Fails the ledger's calls until none is left.
    pub fn fail_ledger(&mut self, verdict: verdict::Verdict) {
        while let Some(at) = self.calls.iter().position(|c| is_ledger(&c.call)) {
            let call = self.calls.remove(at);
            let reply = store::Reply::Failed(verdict);
            self.event(event::Event::Replied {
                call: call.id,
                reply,
            });
        }
    }
}

fn is_ledger(call: &store::Call) -> bool {
    let key = match call {
        store::Call::Read { key }
        | store::Call::Write { key, .. }
        | store::Call::Delete { key, .. } => key,
        store::Call::List { prefix } => prefix,
        _ => return false,
    };
    key.starts_with("ledger/")
}

/// The example declaration in examples/base.toml and examples/erdene.toml.
pub fn declaration() -> declaration::Declaration {
    let source = |path: &str, text: &str| declaration::Source {
        path: name::Name::from(path),
        text: text.into(),
    };
    let base = source("base.toml", include_str!("../../../../examples/base.toml"));
    let site = source(
        "erdene.toml",
        include_str!("../../../../examples/erdene.toml"),
    );
    declaration::parse(&base, Some(&site)).expect("the example is valid")
}

/// A rollout document that moves `verse-scribe` from v1 to v2.
pub fn rollout(share: u32, phase: rollout::Phase) -> Vec<u8> {
    let status = rollout::Status {
        format: rollout::FORMAT,
        operation: name::Name::default(),
        service: name::Name::from("verse-scribe"),
        from: name::Name::from("v1"),
        to: name::Name::from("v2"),
        share,
        limit: 100,
        phase,
        next: START,
        settle: START,
        deadline: START.after(Duration::from_secs(3_600)),
        generation: 1,
        reason: String::new(),
    };
    let statuses = [(status.service.clone(), status)].into_iter().collect();
    rollout::Table { statuses }.encode()
}
