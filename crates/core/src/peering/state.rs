//! Reducer of one node: turns messages, link events and store reads into actions.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use super::{
    collector, document, document_sync, event, facts, heartbeat, member, mesh, message, patch,
    readiness, topic, watch,
};
use crate::fact;
use crate::name;
use crate::time;

/// Mean interval between heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Jitter of [`HEARTBEAT_INTERVAL`] in either direction, in thousandths.
const JITTER_PER_MILLE: u64 = 100;
/// Time without a new fact after which a digest that differs from a peer's is taken for a loss.
///
/// Until then the difference may be facts that are still spreading.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Maximum number of links that forwarded bytes pass.
const MAX_HOPS: u8 = 24;

/// Peering state of one node: its links, facts, documents and pending reports.
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
    next_heartbeat: time::Time,
    last_fact: time::Time,
    readiness: readiness::Readiness,
    random: rngs::SmallRng,
}

impl Peering {
    /// Creates the state of an entry; the seed determines the jitter.
    pub fn new(own: member::Member, seed: u64) -> Self {
        Self::build(mesh::Mesh::new(own), seed)
    }

    /// Creates the state of a controller, which links only to its own entry.
    pub fn leaf(own: member::Member, entry: &member::Member, seed: u64) -> Self {
        Self::build(mesh::Mesh::leaf(own, entry), seed)
    }

    /// Handles one input and returns the actions to perform.
    pub fn reduce(&mut self, now: time::Time, input: event::Input) -> Vec<event::Output> {
        let mut outputs = Vec::new();
        match input {
            event::Input::Tick => {}
            event::Input::Members(members) => self.set_members(members, &mut outputs),
            event::Input::Linked(peer) => self.handle_linked(now, &peer, &mut outputs),
            event::Input::Unlinked(peer) => self.mesh.links.fail(now, &peer),
            event::Input::Message { from, message } => {
                self.handle_message(now, &from, message, &mut outputs)
            }
            event::Input::AddFact { fact, expiry } => {
                let facts = vec![message::ExpiringFact { fact, expiry }];
                self.add_facts(now, None, facts, &mut outputs);
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
                self.handle_forward(forward, &mut outputs);
            }
        }
        self.run_timers(now, &mut outputs);
        outputs
    }

    /// Returns the time by which the next [`Input::Tick`](event::Input::Tick) is due.
    pub fn wake(&self) -> time::Time {
        let parts = [
            self.next_heartbeat,
            self.facts.wake(),
            self.collector.wake(),
            self.mesh.links.wake(),
            self.readiness.wake(),
            self.documents.wake(),
            self.watch.wake(),
        ];
        parts.into_iter().min().unwrap_or(time::Time::MAX)
    }

    /// Returns `true` if this node holds a fact.
    pub fn has_fact(&self, fact: &fact::Fact) -> bool {
        self.facts.contains(fact)
    }

    /// Returns the current generation of a topic, or zero if there is none.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        self.documents.generation(topic)
    }

    /// Returns `true` if this node has caught up with the newest documents since its start; it
    /// never returns to `false`.
    pub fn is_synced(&self) -> bool {
        self.readiness.is_synced()
    }

    /// Returns the names of the linked peers.
    pub fn linked_peers(&self) -> impl Iterator<Item = &name::Name> {
        self.mesh.links.iter().map(|(peer, _)| peer)
    }

    /// Returns how many reports were dropped because too many were pending.
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
            next_heartbeat: time::Time::default(),
            last_fact: time::Time::default(),
            readiness: readiness::Readiness::default(),
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    fn set_members(&mut self, members: Vec<member::Member>, outputs: &mut Vec<event::Output>) {
        outputs.extend(self.mesh.set_members(members));
        self.watch.set_assigned(self.mesh.watched_topics());
        self.watch.set_alone(self.mesh.is_alone());
    }

    fn handle_linked(
        &mut self,
        now: time::Time,
        peer: &name::Name,
        outputs: &mut Vec<event::Output>,
    ) {
        if !self.mesh.links.try_add(now, peer) {
            outputs.push(event::Output::Unlink(peer.clone()));
            return;
        }
        send(peer, self.mesh.hello(), outputs);
        send(peer, self.heartbeat(), outputs);
    }

    fn handle_message(
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
            message::Message::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, from, heartbeat, outputs)
            }
            message::Message::Buckets(theirs) => {
                let differing = self.facts.differing(&theirs);
                send_facts(from, &differing, outputs);
            }
            message::Message::Facts(facts) => self.add_facts(now, Some(from), facts, outputs),
            message::Message::Fetch(fetch) => {
                if let Some(reply) = self.documents.reply(fetch) {
                    send(from, reply, outputs);
                }
            }
            message::Message::Document(document) => self.adopt(now, Some(from), document, outputs),
            message::Message::Patch(patch) => self.apply_patch(now, from, &patch, outputs),
            message::Message::Reports(reports) => {
                let (mesh, facts) = (&mut self.mesh, &self.facts);
                outputs.extend(self.collector.receive(now, from, reports, mesh, facts));
            }
            message::Message::Forward(forward) => self.handle_forward(forward, outputs),
        }
    }

    fn handle_heartbeat(
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
        let persistent = std::mem::replace(&mut link.digest_differed, differs);
        if differs && (persistent || self.last_fact.after(QUIET_PERIOD) <= now) {
            let buckets = message::Message::Buckets(self.facts.buckets());
            send(from, buckets, outputs);
        }
        outputs.extend(self.documents.fetch_newer(now, &self.mesh.links));
    }

    fn add_facts(
        &mut self,
        now: time::Time,
        from: Option<&name::Name>,
        facts: Vec<message::ExpiringFact>,
        outputs: &mut Vec<event::Output>,
    ) {
        let new: Vec<_> = facts
            .into_iter()
            .filter(|fact| self.facts.insert(now, fact))
            .collect();
        if new.is_empty() {
            return;
        }
        self.last_fact = now;
        for added in &new {
            let fact = added.fact.clone();
            outputs.push(event::Output::FactAdded { fact });
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

    fn apply_patch(
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

    fn handle_forward(&mut self, mut forward: message::Forward, outputs: &mut Vec<event::Output>) {
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

    fn run_timers(&mut self, now: time::Time, outputs: &mut Vec<event::Output>) {
        self.facts.expire(now);
        outputs.extend(self.mesh.plan(now));
        if self.documents.has_timed_out(now) {
            outputs.extend(self.documents.fetch_newer(now, &self.mesh.links));
        }
        outputs.extend(self.collector.send(now, &mut self.mesh, &self.facts));
        if self.next_heartbeat <= now {
            self.next_heartbeat = now.after(self.heartbeat_interval());
            let heartbeat = self.heartbeat();
            for peer in self.mesh.links.others(None) {
                send(peer, heartbeat.clone(), outputs);
            }
        }
        self.update_readiness(now);
        let isolated = self.mesh.links.len() == 0;
        self.watch
            .set_isolated(now, isolated && !self.mesh.is_leaf());
        if !self.mesh.is_leaf() {
            outputs.extend(self.watch.changes(now));
        }
    }

    fn update_readiness(&mut self, now: time::Time) {
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

    fn heartbeat_interval(&mut self) -> Duration {
        let per_mille = self
            .random
            .random_range(1000 - JITTER_PER_MILLE..=1000 + JITTER_PER_MILLE);
        HEARTBEAT_INTERVAL * u32::try_from(per_mille).unwrap_or(1000) / 1000
    }
}

fn send(to: &name::Name, message: message::Message, outputs: &mut Vec<event::Output>) {
    let to = to.clone();
    outputs.push(event::Output::Send { to, message });
}

fn send_facts(to: &name::Name, facts: &[message::ExpiringFact], outputs: &mut Vec<event::Output>) {
    for chunk in facts.chunks(message::MAX_FACTS_IN_MESSAGE) {
        send(to, message::Message::Facts(chunk.to_vec()), outputs);
    }
}
