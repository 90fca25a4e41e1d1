//! One node's place among the listed entries: its links and the ways through them.

use std::collections;

use super::{event, links, member, message, routes, topic};
use crate::name;
use crate::time;

/// One node's place among the listed entries.
#[derive(Debug)]
pub struct Mesh {
    own: member::Member,
    parent: Option<name::Name>,
    members: collections::BTreeMap<name::Name, member::Member>,
    slots: Vec<Vec<name::Name>>,
    routes: routes::Routes,
    /// The links of the node.
    pub links: links::Links,
}

impl Mesh {
    /// Builds the place of an entry that knows of no other.
    pub fn new(own: member::Member) -> Self {
        let members = collections::BTreeMap::from([(own.name.clone(), own.clone())]);
        Self {
            routes: routes::Routes::new(members.values()),
            own,
            parent: None,
            members,
            slots: Vec::new(),
            links: links::Links::default(),
        }
    }

    /// Builds the place of a controller beside an entry.
    pub fn leaf(own: member::Member, entry: &member::Member) -> Self {
        let mut mesh = Self::new(own);
        mesh.parent = Some(entry.name.clone());
        mesh.members.insert(entry.name.clone(), entry.clone());
        mesh.slots = vec![vec![entry.name.clone()]];
        mesh
    }

    /// Returns the own name.
    pub fn own(&self) -> &name::Name {
        &self.own.name
    }

    /// Returns whether this node is a controller.
    pub fn is_leaf(&self) -> bool {
        self.parent.is_some()
    }

    /// Returns whether the list holds no other entry.
    pub fn is_alone(&self) -> bool {
        self.members.len() == 1
    }

    /// Returns the message by which this node makes itself known.
    pub fn hello(&self) -> message::Message {
        message::Message::Hello(message::Hello {
            member: self.own.clone(),
            leaf: self.is_leaf(),
        })
    }

    /// Takes a new list; a controller keeps to its entry.
    pub fn set_members(&mut self, members: Vec<member::Member>) -> Vec<event::Output> {
        if self.is_leaf() {
            return Vec::new();
        }
        let mut listed: collections::BTreeMap<_, _> = members
            .into_iter()
            .map(|member| (member.name.clone(), member))
            .collect();
        listed.insert(self.own.name.clone(), self.own.clone());
        let old = std::mem::replace(&mut self.members, listed);
        let closed: Vec<_> = old
            .into_values()
            .filter_map(|before| self.replace(before))
            .collect();
        self.routes = routes::Routes::new(self.members.values());
        self.slots = self.routes.topology().slots(&self.own);
        closed.into_iter().map(event::Output::Unlink).collect()
    }

    /// Returns the topics that the list makes this node watch.
    pub fn watches(&self) -> [bool; topic::Topic::ALL.len()] {
        let topology = self.routes.topology();
        topic::Topic::ALL.map(|topic| topology.watches(&self.own, topic))
    }

    /// Takes what a peer says about itself; returns whether the link may stay.
    pub fn greet(&mut self, from: &name::Name, hello: &message::Hello) -> bool {
        let known = self.members.get(from);
        let stale = known.is_some_and(|known| known.incarnation > hello.member.incarnation);
        if hello.member.name != *from || stale {
            self.links.close(from);
            return false;
        }
        self.links.set_leaf(from, hello.leaf);
        true
    }

    /// Closes and dials links.
    pub fn plan(&mut self, now: time::Time) -> Vec<event::Output> {
        self.links.plan(now, &self.slots, &self.members)
    }

    /// Returns how many links lie between this node and the farthest whose way to the target
    /// passes it.
    pub fn behind(&mut self, target: &name::Name) -> u16 {
        self.routes.behind(&self.own.name, target)
    }

    /// Returns the next node on the way of sums to the target; the own name at its end.
    pub fn sums_hop(&mut self, target: &name::Name) -> Option<name::Name> {
        if self.own.name == *target {
            return Some(target.clone());
        }
        self.routes.closer(&self.own.name, target, &self.links)
    }

    /// Returns the linked peer nearest to the target.
    pub fn nearest(&mut self, target: &name::Name) -> Option<name::Name> {
        match &self.parent {
            Some(_) => self.parent_hop(),
            None => self.routes.nearest(target, &self.links),
        }
    }

    /// Returns a controller's entry if the two are linked.
    pub fn parent_hop(&self) -> Option<name::Name> {
        let parent = self.parent.as_ref()?;
        self.links.get(parent).map(|_| parent.clone())
    }

    /// Compares one member before and after a change of the list; returns its name if its link
    /// closes.
    fn replace(&mut self, before: member::Member) -> Option<name::Name> {
        let Some(after) = self.members.get_mut(&before.name) else {
            return self.links.close(&before.name).then_some(before.name);
        };
        if after.incarnation < before.incarnation {
            // A stale list never brings an earlier start back.
            *after = before;
        } else if after.incarnation > before.incarnation {
            self.links.clear_backoff(&before.name);
        }
        None
    }
}
