//! The reducer over everything that peers and the store say.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use super::{
    collector, document, document_sync, event, facts, heartbeat, member, mesh, message, patch,
    readiness, topic, watch,
};
use crate::fact;
use crate::name;
use crate::time;

/// Time between two heartbeats on a link.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Part of [`HEARTBEAT`], in thousandths, by which it varies.
const JITTER: u64 = 100;
/// How long no fact must have come before a difference to a peer counts as a loss.
const QUIET: Duration = Duration::from_millis(300);
/// Links that forwarded bytes may pass.
const MAX_HOPS: u8 = 24;

/// The state of one node towards its peers.
///
/// ```
/// use guavausher_core::name;
/// use guavausher_core::peering;
/// use guavausher_core::time;
/// let own = peering::Member {
///     name: name::Name::from("entry-1"),
///     domain: name::Name::from("tolgoit"),
///     region: name::Name::from("ulaanbaatar"),
///     address: std::net::SocketAddr::from(([127, 0, 0, 1], 9400)),
///     incarnation: 1,
/// };
/// let mut state = peering::Peering::new(own.clone(), 7);
/// let input = peering::Input::Members(vec![own]);
/// let outputs = state.reduce(time::Time::from_millis(1), input);
/// let starts = |output: &peering::Output| matches!(output, peering::Output::Watch { active: true, .. });
/// assert_eq!(outputs.iter().filter(|output| starts(output)).count(), 3);
/// ```
#[derive(Debug)]
pub struct Peering {
    mesh: mesh::Mesh,
    facts: facts::Facts,
    documents: document_sync::DocumentSync,
    collector: collector::Collector,
    watch: watch::Watch,
    beat: time::Time,
    learned: time::Time,
    readiness: readiness::Readiness,
    random: rngs::SmallRng,
}

impl Peering {
    /// Builds the state of an entry.
    pub fn new(own: member::Member, seed: u64) -> Self {
        Self::build(mesh::Mesh::new(own), seed)
    }

    /// Builds the state of a controller, which links to its own entry only.
    pub fn leaf(own: member::Member, entry: &member::Member, seed: u64) -> Self {
        Self::build(mesh::Mesh::leaf(own, entry), seed)
    }

    /// Takes one input and returns what to do.
    pub fn reduce(&mut self, now: time::Time, input: event::Input) -> Vec<event::Output> {
        let mut outputs = Vec::new();
        match input {
            event::Input::Tick => {}
            event::Input::Members(members) => self.set_members(members, &mut outputs),
            event::Input::Linked(peer) => self.linked(now, &peer, &mut outputs),
            event::Input::Unlinked(peer) => self.mesh.links.fail(now, &peer),
            event::Input::Message { from, message } => {
                self.receive(now, &from, message, &mut outputs)
            }
            event::Input::Learn { fact, expiry } => {
                let known = vec![message::ExpiringFact { fact, expiry }];
                self.learn(now, None, known, &mut outputs);
            }
            event::Input::Publish(document) => self.publish(now, document, &mut outputs),
            event::Input::Report(reports) => {
                self.collector
                    .add(now, &reports, &mut self.mesh, &self.facts);
            }
            event::Input::Forward { to, body } => {
                let forward = message::Forward {
                    from: self.mesh.own().clone(),
                    to,
                    hops: MAX_HOPS,
                    body,
                };
                self.forward(forward, &mut outputs);
            }
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// Returns when the next `Tick` is due at the latest.
    pub fn wake(&self) -> time::Time {
        let parts = [
            self.beat,
            self.facts.wake(),
            self.collector.wake(),
            self.mesh.links.wake(),
            self.readiness.wake(),
            self.documents.wake(),
            self.watch.wake(),
        ];
        parts.into_iter().min().unwrap_or(time::Time::MAX)
    }

    /// Returns whether a fact is known here.
    pub fn knows(&self, fact: &fact::Fact) -> bool {
        self.facts.contains(fact)
    }

    /// Returns the generation in force here, or zero.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        self.documents.generation(topic)
    }

    /// Returns whether this node has heard of the newest documents since its start; once true, it
    /// stays so.
    pub fn synced(&self) -> bool {
        self.readiness.is_synced()
    }

    /// Returns the names of the peers that are linked.
    pub fn linked_peers(&self) -> impl Iterator<Item = &name::Name> {
        self.mesh.links.iter().map(|(peer, _)| peer)
    }

    /// Returns how many reports found no room.
    pub fn dropped_reports(&self) -> u64 {
        self.collector.dropped()
    }

    fn build(mesh: mesh::Mesh, seed: u64) -> Self {
        Self {
            mesh,
            facts: facts::Facts::new(),
            documents: document_sync::DocumentSync::default(),
            collector: collector::Collector::default(),
            watch: watch::Watch::default(),
            beat: time::Time::default(),
            learned: time::Time::default(),
            readiness: readiness::Readiness::default(),
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    fn set_members(&mut self, members: Vec<member::Member>, outputs: &mut Vec<event::Output>) {
        outputs.extend(self.mesh.set_members(members));
        self.watch.set_assigned(self.mesh.watched_topics());
        self.watch.set_alone(self.mesh.is_alone());
    }

    fn linked(&mut self, now: time::Time, peer: &name::Name, outputs: &mut Vec<event::Output>) {
        if !self.mesh.links.try_add(now, peer) {
            outputs.push(event::Output::Unlink(peer.clone()));
            return;
        }
        send(peer, self.mesh.hello(), outputs);
        send(peer, self.heartbeat(), outputs);
    }

    fn receive(
        &mut self,
        now: time::Time,
        from: &name::Name,
        message: message::Message,
        outputs: &mut Vec<event::Output>,
    ) {
        if self.mesh.links.record_activity(now, from).is_none() {
            return;
        }
        match message {
            message::Message::Hello(hello) => {
                if !self.mesh.accept_hello(from, &hello) {
                    outputs.push(event::Output::Unlink(from.clone()));
                }
            }
            message::Message::Heartbeat(heartbeat) => self.compare(now, from, heartbeat, outputs),
            message::Message::Buckets(theirs) => {
                let differing = self.facts.differing(&theirs);
                send_facts(from, &differing, outputs);
            }
            message::Message::Facts(known) => self.learn(now, Some(from), known, outputs),
            message::Message::Fetch(fetch) => {
                if let Some(answer) = self.documents.reply(fetch) {
                    send(from, answer, outputs);
                }
            }
            message::Message::Document(document) => self.adopt(now, Some(from), document, outputs),
            message::Message::Patch(patch) => self.patch(now, from, &patch, outputs),
            message::Message::Reports(reports) => {
                let (mesh, facts) = (&mut self.mesh, &self.facts);
                outputs.extend(self.collector.receive(now, from, reports, mesh, facts));
            }
            message::Message::Forward(forward) => self.forward(forward, outputs),
        }
    }

    fn compare(
        &mut self,
        now: time::Time,
        from: &name::Name,
        theirs: heartbeat::Heartbeat,
        outputs: &mut Vec<event::Output>,
    ) {
        let differs = theirs.digest != self.facts.digest();
        let Some(link) = self.mesh.links.record_activity(now, from) else {
            return;
        };
        link.last_heartbeat = Some(theirs);
        let lasting = std::mem::replace(&mut link.digest_differed, differs);
        if differs && (lasting || self.learned.after(QUIET) <= now) {
            let buckets = message::Message::Buckets(self.facts.buckets());
            send(from, buckets, outputs);
        }
        outputs.extend(self.documents.fetch_newer(now, &self.mesh.links));
    }

    fn learn(
        &mut self,
        now: time::Time,
        from: Option<&name::Name>,
        known: Vec<message::ExpiringFact>,
        outputs: &mut Vec<event::Output>,
    ) {
        let new: Vec<_> = known
            .into_iter()
            .filter(|known| self.facts.insert(now, known))
            .collect();
        if new.is_empty() {
            return;
        }
        self.learned = now;
        for known in &new {
            let fact = known.fact.clone();
            outputs.push(event::Output::Learned { fact });
        }
        for peer in self.mesh.links.others(from) {
            send_facts(peer, &new, outputs);
        }
    }

    fn publish(
        &mut self,
        now: time::Time,
        document: document::Document,
        outputs: &mut Vec<event::Output>,
    ) {
        if document.topic == topic::Topic::Config {
            self.readiness.record_read();
        }
        self.adopt(now, None, document, outputs);
    }

    fn adopt(
        &mut self,
        now: time::Time,
        from: Option<&name::Name>,
        document: document::Document,
        outputs: &mut Vec<event::Output>,
    ) {
        if !self.documents.adopt(&document) {
            return;
        }
        outputs.push(event::Output::Adopted(document));
        let heartbeat = self.heartbeat();
        for peer in self.mesh.links.others(from) {
            send(peer, heartbeat.clone(), outputs);
        }
        outputs.extend(self.documents.fetch_newer(now, &self.mesh.links));
    }

    fn patch(
        &mut self,
        now: time::Time,
        from: &name::Name,
        patch: &patch::Patch,
        outputs: &mut Vec<event::Output>,
    ) {
        if patch.generation <= self.generation(patch.topic) {
            return;
        }
        if let Some(document) = self.documents.apply(patch) {
            self.adopt(now, Some(from), document, outputs);
            return;
        }
        outputs.push(self.documents.fetch_full(now, from, patch.topic));
    }

    fn forward(&mut self, mut forward: message::Forward, outputs: &mut Vec<event::Output>) {
        if forward.to == *self.mesh.own() {
            let message::Forward { from, body, .. } = forward;
            outputs.push(event::Output::Delivered { from, body });
            return;
        }
        if forward.hops == 0 {
            return;
        }
        forward.hops -= 1;
        if let Some(hop) = self.mesh.nearest(&forward.to) {
            send(&hop, message::Message::Forward(forward), outputs);
        }
    }

    fn advance(&mut self, now: time::Time, outputs: &mut Vec<event::Output>) {
        self.facts.expire(now);
        outputs.extend(self.mesh.plan(now));
        if self.documents.has_timed_out(now) {
            outputs.extend(self.documents.fetch_newer(now, &self.mesh.links));
        }
        outputs.extend(self.collector.send(now, &mut self.mesh, &self.facts));
        if self.beat <= now {
            self.beat = now.after(self.jittered());
            let heartbeat = self.heartbeat();
            for peer in self.mesh.links.others(None) {
                send(peer, heartbeat.clone(), outputs);
            }
        }
        self.check_synced(now);
        let isolated = self.mesh.links.len() == 0;
        self.watch
            .set_isolated(now, isolated && !self.mesh.is_leaf());
        if !self.mesh.is_leaf() {
            outputs.extend(self.watch.changes(now));
        }
    }

    fn check_synced(&mut self, now: time::Time) {
        if self.readiness.is_synced() {
            return;
        }
        let evidence = readiness::Evidence {
            behind: self.documents.is_behind(&self.mesh.links),
            peer_synced: self.mesh.links.any_synced(),
            alone: self.mesh.is_alone(),
        };
        self.readiness.update(now, evidence);
    }

    fn heartbeat(&self) -> message::Message {
        message::Message::Heartbeat(heartbeat::Heartbeat {
            digest: self.facts.digest(),
            generations: self.documents.generations(),
            synced: self.readiness.is_synced(),
        })
    }

    fn jittered(&mut self) -> Duration {
        let part = self.random.random_range(1000 - JITTER..=1000 + JITTER);
        HEARTBEAT * u32::try_from(part).unwrap_or(1000) / 1000
    }
}

fn send(to: &name::Name, message: message::Message, outputs: &mut Vec<event::Output>) {
    let to = to.clone();
    outputs.push(event::Output::Send { to, message });
}

fn send_facts(to: &name::Name, known: &[message::ExpiringFact], outputs: &mut Vec<event::Output>) {
    for part in known.chunks(message::MAX_FACTS_IN_MESSAGE) {
        send(to, message::Message::Facts(part.to_vec()), outputs);
    }
}
