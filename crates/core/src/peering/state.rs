//! The reducer over everything that peers and the store say.

use std::collections;
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use super::event::{Input, Output};
use super::message::Message;
use super::{
    document, documents, facts, heartbeat, links, member, message, patch, report, reports, routes,
    topic, watch,
};
use crate::fact;
use crate::name;
use crate::time;

/// Time between two heartbeats on a link.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Part of [`HEARTBEAT`], in thousandths, by which it varies.
const JITTER: u64 = 100;
/// How long the answer to a fetch may take before another peer is asked.
const FETCH: Duration = Duration::from_millis(800);
/// How long no fact must have come before a difference to a peer counts as a loss.
const QUIET: Duration = Duration::from_millis(300);
/// How long a new node that has read the store waits for a peer's word.
const GRACE: Duration = Duration::from_secs(3);
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
    own: member::Member,
    parent: Option<name::Name>,
    members: collections::BTreeMap<name::Name, member::Member>,
    slots: Vec<Vec<name::Name>>,
    links: links::Links,
    routes: routes::Routes,
    facts: facts::Facts,
    documents: documents::Documents,
    ledger: reports::Ledger,
    watch: watch::Watch,
    fetches: [Option<Fetching>; topic::Topic::ALL.len()],
    beat: time::Time,
    learned: time::Time,
    grace: Option<time::Time>,
    waited: bool,
    read: bool,
    synced: bool,
    sequence: u64,
    random: rngs::SmallRng,
}

#[derive(Clone, Debug)]
struct Fetching {
    from: name::Name,
    deadline: time::Time,
}

impl Peering {
    /// Builds the state of an entry.
    pub fn new(own: member::Member, seed: u64) -> Self {
        Self::build(own, None, seed)
    }

    /// Builds the state of a controller, which links to its own entry only.
    pub fn leaf(own: member::Member, entry: &member::Member, seed: u64) -> Self {
        let mut state = Self::build(own, Some(entry.name.clone()), seed);
        state.members.insert(entry.name.clone(), entry.clone());
        state.slots = vec![vec![entry.name.clone()]];
        state
    }

    /// Takes one input and returns what to do.
    pub fn reduce(&mut self, now: time::Time, input: Input) -> Vec<Output> {
        self.grace.get_or_insert(now.after(GRACE));
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Members(members) => self.set_members(now, members, &mut outputs),
            Input::Linked(peer) => self.linked(now, &peer, &mut outputs),
            Input::Unlinked(peer) => self.links.unlinked(now, &peer),
            Input::Message { from, message } => self.receive(now, &from, message, &mut outputs),
            Input::Learn { fact, expiry } => {
                self.learn(
                    now,
                    None,
                    vec![message::Known { fact, expiry }],
                    &mut outputs,
                );
            }
            Input::Publish(document) => self.publish(now, document, &mut outputs),
            Input::Report(reports) => {
                let behind = self.behind(&reports);
                self.ledger.add(now, &reports, behind);
            }
            Input::Forward { to, body } => {
                let from = self.own.name.clone();
                let hops = MAX_HOPS;
                self.forward(
                    message::Forward {
                        from,
                        to,
                        hops,
                        body,
                    },
                    &mut outputs,
                );
            }
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// Returns when the next `Tick` is due at the latest.
    pub fn wake(&self) -> time::Time {
        let fetches = self.fetches.iter().flatten().map(|fetch| fetch.deadline);
        let grace = self.grace.filter(|_| !self.synced && !self.waited);
        let watch = match self.parent {
            Some(_) => time::Time::MAX,
            None => self.watch.wake(),
        };
        fetches
            .chain(grace)
            .chain([self.beat, self.links.wake(), self.ledger.wake()])
            .chain([self.facts.wake(), watch])
            .min()
            .unwrap_or(time::Time::MAX)
    }

    /// Returns whether a fact is known here.
    pub fn knows(&self, fact: &fact::Fact) -> bool {
        self.facts.knows(fact)
    }

    /// Returns the generation in force here, or zero.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        self.documents.generation(topic)
    }

    /// Returns whether this node has heard of the newest documents since its start; once true, it
    /// stays so.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Returns the names of the peers that are linked.
    pub fn linked_peers(&self) -> impl Iterator<Item = &name::Name> {
        self.links.iter().map(|(peer, _)| peer)
    }

    /// Returns how many reports found no room.
    pub fn dropped_reports(&self) -> u64 {
        self.ledger.dropped()
    }

    fn build(own: member::Member, parent: Option<name::Name>, seed: u64) -> Self {
        let members = collections::BTreeMap::from([(own.name.clone(), own.clone())]);
        Self {
            routes: routes::Routes::new(members.values()),
            own,
            parent,
            members,
            slots: Vec::new(),
            links: links::Links::default(),
            facts: facts::Facts::new(),
            documents: documents::Documents::default(),
            ledger: reports::Ledger::default(),
            watch: watch::Watch::default(),
            fetches: [const { None }; topic::Topic::ALL.len()],
            beat: time::Time::default(),
            learned: time::Time::default(),
            grace: None,
            waited: false,
            read: false,
            synced: false,
            sequence: 0,
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    fn set_members(
        &mut self,
        now: time::Time,
        members: Vec<member::Member>,
        outputs: &mut Vec<Output>,
    ) {
        if self.parent.is_some() {
            return;
        }
        let mut listed: collections::BTreeMap<_, _> = members
            .into_iter()
            .map(|member| (member.name.clone(), member))
            .collect();
        listed.insert(self.own.name.clone(), self.own.clone());
        let old = std::mem::replace(&mut self.members, listed);
        for (name, before) in old {
            self.replace_member(&name, before, outputs);
        }
        self.routes = routes::Routes::new(self.members.values());
        self.slots = self.routes.topology().slots(&self.own);
        let routes = &self.routes;
        let own = &self.own;
        let listed = |topic| routes.topology().watches(own, topic);
        self.watch.set_listed(topic::Topic::ALL.map(listed));
        self.watch.set_alone(self.members.len() == 1);
        self.check_isolated(now);
    }

    fn replace_member(
        &mut self,
        name: &name::Name,
        before: member::Member,
        outputs: &mut Vec<Output>,
    ) {
        match self.members.get_mut(name) {
            // A stale list never brings an earlier start back.
            Some(after) if after.incarnation < before.incarnation => *after = before,
            Some(after) if after.incarnation > before.incarnation => self.links.restarted(name),
            Some(_) => {}
            None if self.links.close(name) => outputs.push(Output::Unlink(name.clone())),
            None => {}
        }
    }

    fn linked(&mut self, now: time::Time, peer: &name::Name, outputs: &mut Vec<Output>) {
        if !self.links.linked(now, peer) {
            outputs.push(Output::Unlink(peer.clone()));
            return;
        }
        let hello = message::Hello {
            member: self.own.clone(),
            leaf: self.parent.is_some(),
        };
        send(peer, Message::Hello(hello), outputs);
        send(peer, self.heartbeat(), outputs);
    }

    fn receive(
        &mut self,
        now: time::Time,
        from: &name::Name,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        if self.links.heard(now, from).is_none() {
            return;
        }
        match message {
            Message::Hello(hello) => self.greet(from, hello, outputs),
            Message::Heartbeat(heartbeat) => self.compare(now, from, heartbeat, outputs),
            Message::Buckets(theirs) => {
                let missing = self.facts.missing(&theirs);
                send_facts(from, &missing, outputs);
            }
            Message::Facts(known) => self.learn(now, Some(from), known, outputs),
            Message::Fetch(fetch) => {
                if let Some(answer) = self.documents.answer(fetch) {
                    send(from, answer, outputs);
                }
            }
            Message::Document(document) => self.adopt(now, Some(from), document, outputs),
            Message::Patch(patch) => self.patch(now, from, &patch, outputs),
            Message::Reports(reports) => self.take_reports(now, from, reports, outputs),
            Message::Forward(forward) => self.forward(forward, outputs),
        }
    }

    fn greet(&mut self, from: &name::Name, hello: message::Hello, outputs: &mut Vec<Output>) {
        let known = self.members.get(from);
        let stale = known.is_some_and(|known| known.incarnation > hello.member.incarnation);
        if hello.member.name != *from || stale {
            self.links.close(from);
            outputs.push(Output::Unlink(from.clone()));
            return;
        }
        self.links.set_leaf(from, hello.leaf);
    }

    fn compare(
        &mut self,
        now: time::Time,
        from: &name::Name,
        theirs: heartbeat::Heartbeat,
        outputs: &mut Vec<Output>,
    ) {
        let differs = theirs.digest != self.facts.digest();
        let Some(link) = self.links.heard(now, from) else {
            return;
        };
        link.heard = Some(theirs);
        let lasting = std::mem::replace(&mut link.differed, differs);
        if differs && (lasting || self.learned.after(QUIET) <= now) {
            send(from, Message::Buckets(self.facts.buckets()), outputs);
        }
        self.fetch_missing(now, outputs);
    }

    fn learn(
        &mut self,
        now: time::Time,
        from: Option<&name::Name>,
        known: Vec<message::Known>,
        outputs: &mut Vec<Output>,
    ) {
        let new: Vec<_> = known
            .into_iter()
            .filter(|known| self.facts.learn(now, known))
            .collect();
        if new.is_empty() {
            return;
        }
        self.learned = now;
        for known in &new {
            let fact = known.fact.clone();
            outputs.push(Output::Learned { fact });
        }
        for (peer, _) in self.links.iter().filter(|(peer, _)| Some(*peer) != from) {
            send_facts(peer, &new, outputs);
        }
    }

    fn publish(
        &mut self,
        now: time::Time,
        document: document::Document,
        outputs: &mut Vec<Output>,
    ) {
        self.read |= document.topic == topic::Topic::Config;
        self.adopt(now, None, document, outputs);
    }

    fn adopt(
        &mut self,
        now: time::Time,
        from: Option<&name::Name>,
        document: document::Document,
        outputs: &mut Vec<Output>,
    ) {
        if !self.documents.adopt(&document) {
            return;
        }
        self.fetches[document.topic.index()] = None;
        outputs.push(Output::Adopted(document));
        let heartbeat = self.heartbeat();
        for (peer, _) in self.links.iter().filter(|(peer, _)| Some(*peer) != from) {
            send(peer, heartbeat.clone(), outputs);
        }
        self.fetch_missing(now, outputs);
    }

    fn patch(
        &mut self,
        now: time::Time,
        from: &name::Name,
        patch: &patch::Patch,
        outputs: &mut Vec<Output>,
    ) {
        if patch.generation <= self.generation(patch.topic) {
            return;
        }
        if let Some(document) = self.documents.apply(patch) {
            self.adopt(now, Some(from), document, outputs);
            return;
        }
        self.fetch(now, from, patch.topic, 0, outputs);
    }

    fn fetch_missing(&mut self, now: time::Time, outputs: &mut Vec<Output>) {
        for topic in topic::Topic::ALL {
            let fetching = self.fetches[topic.index()].as_ref();
            if fetching.is_some_and(|fetching| {
                fetching.deadline > now && self.links.get(&fetching.from).is_some()
            }) {
                continue;
            }
            let last = self.fetches[topic.index()].take();
            let own = self.generation(topic);
            let newer = self.links.newer(topic, own);
            let other = newer
                .iter()
                .find(|peer| last.as_ref().is_none_or(|last| last.from != **peer))
                .or(newer.first())
                .cloned();
            if let Some(peer) = other {
                self.fetch(now, &peer, topic, own, outputs);
            }
        }
    }

    fn fetch(
        &mut self,
        now: time::Time,
        peer: &name::Name,
        topic: topic::Topic,
        base: u64,
        outputs: &mut Vec<Output>,
    ) {
        self.fetches[topic.index()] = Some(Fetching {
            from: peer.clone(),
            deadline: now.after(FETCH),
        });
        send(
            peer,
            Message::Fetch(message::Fetch { topic, base }),
            outputs,
        );
    }

    fn take_reports(
        &mut self,
        now: time::Time,
        from: &name::Name,
        message: message::Reports,
        outputs: &mut Vec<Output>,
    ) {
        let Some(link) = self.links.heard(now, from) else {
            return;
        };
        if message.sequence <= link.sequence {
            return;
        }
        link.sequence = message.sequence;
        if self.parent.is_some() {
            outputs.push(Output::Reports(message.reports));
        } else {
            let behind = self.behind(&message.reports);
            self.ledger.add(now, &message.reports, behind);
        }
    }

    /// Returns how many links lie between this node and the farthest that reports through it.
    fn behind(&mut self, reports: &[report::Report]) -> u16 {
        let holders = reports
            .iter()
            .filter_map(|report| self.facts.holder(&report.service));
        let own = &self.own.name;
        let behind = holders.map(|holder| self.routes.behind(own, holder));
        behind.max().unwrap_or(0)
    }

    fn send_reports(&mut self, now: time::Time, outputs: &mut Vec<Output>) {
        let mut batches: collections::BTreeMap<name::Name, Vec<report::Report>> =
            collections::BTreeMap::new();
        let mut held = Vec::new();
        for report in self.ledger.take(now) {
            match self.report_hop(&report.service) {
                Some(hop) => batches.entry(hop).or_default().push(report),
                None => held.push(report),
            }
        }
        self.ledger.hold(now.after(HEARTBEAT), &held);
        for (hop, reports) in batches {
            if hop == self.own.name {
                self.deliver_reports(reports, outputs);
            } else {
                let message = self.reports_message(reports);
                send(&hop, message, outputs);
            }
        }
    }

    fn report_hop(&mut self, service: &name::Name) -> Option<name::Name> {
        if let Some(parent) = &self.parent {
            return self.links.get(parent).map(|_| parent.clone());
        }
        let holder = self.facts.holder(service)?.clone();
        if holder == self.own.name {
            return Some(holder);
        }
        self.routes.closer(&self.own.name, &holder, &self.links)
    }

    fn deliver_reports(&mut self, reports: Vec<report::Report>, outputs: &mut Vec<Output>) {
        let leaves: Vec<_> = self.links.leaves().cloned().collect();
        for leaf in leaves {
            let message = self.reports_message(reports.clone());
            send(&leaf, message, outputs);
        }
        outputs.push(Output::Reports(reports));
    }

    fn reports_message(&mut self, reports: Vec<report::Report>) -> Message {
        self.sequence += 1;
        let sequence = self.sequence;
        Message::Reports(message::Reports { sequence, reports })
    }

    fn forward(&mut self, mut forward: message::Forward, outputs: &mut Vec<Output>) {
        if forward.to == self.own.name {
            let message::Forward { from, body, .. } = forward;
            outputs.push(Output::Delivered { from, body });
            return;
        }
        if forward.hops == 0 {
            return;
        }
        forward.hops -= 1;
        let hop = match &self.parent {
            Some(parent) => Some(parent.clone()),
            None => self.routes.nearest(&forward.to, &self.links),
        };
        if let Some(hop) = hop {
            send(&hop, Message::Forward(forward), outputs);
        }
    }

    fn advance(&mut self, now: time::Time, outputs: &mut Vec<Output>) {
        self.facts.expire(now);
        outputs.extend(self.links.plan(now, &self.slots, &self.members));
        if self
            .fetches
            .iter()
            .flatten()
            .any(|fetch| fetch.deadline <= now)
        {
            self.fetch_missing(now, outputs);
        }
        self.send_reports(now, outputs);
        if self.beat <= now {
            self.beat = now.after(self.jittered());
            let heartbeat = self.heartbeat();
            for (peer, _) in self.links.iter() {
                send(peer, heartbeat.clone(), outputs);
            }
        }
        self.check_synced(now);
        self.check_isolated(now);
        if self.parent.is_none() {
            outputs.extend(self.watch.changes(now));
        }
    }

    fn check_synced(&mut self, now: time::Time) {
        self.waited |= self.grace.is_some_and(|grace| grace <= now);
        if self.synced {
            return;
        }
        let ahead = |topic| !self.links.newer(topic, self.generation(topic)).is_empty();
        if topic::Topic::ALL.into_iter().any(ahead) {
            return;
        }
        let vouched = self.links.any_synced();
        let waited = self.members.len() == 1 || self.waited;
        self.synced = vouched || (self.read && waited);
    }

    fn check_isolated(&mut self, now: time::Time) {
        self.watch.set_isolated(now, self.links.len() == 0);
    }

    fn heartbeat(&self) -> Message {
        Message::Heartbeat(heartbeat::Heartbeat {
            digest: self.facts.digest(),
            generations: self.documents.generations(),
            synced: self.synced,
        })
    }

    fn jittered(&mut self) -> Duration {
        let part = self.random.random_range(1000 - JITTER..=1000 + JITTER);
        HEARTBEAT * u32::try_from(part).unwrap_or(1000) / 1000
    }
}

fn send(to: &name::Name, message: Message, outputs: &mut Vec<Output>) {
    let to = to.clone();
    outputs.push(Output::Send { to, message });
}

fn send_facts(to: &name::Name, known: &[message::Known], outputs: &mut Vec<Output>) {
    for part in known.chunks(message::MAX_FACTS_IN_MESSAGE) {
        send(to, Message::Facts(part.to_vec()), outputs);
    }
}
