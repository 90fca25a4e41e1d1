//! One node's view of the fleet: the member list, its own links and the routes through them.

use std::collections;

use super::{event, links, member, message, routes, topic};
use crate::name;
use crate::time;

/// One node's member list, links and routes.
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
    /// Creates the view of an entry whose member list holds only itself.
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

    /// Creates the view of a controller, which links only to its own entry.
    pub fn leaf(own: member::Member, entry: &member::Member) -> Self {
        let mut mesh = Self::new(own);
        mesh.parent = Some(entry.name.clone());
        mesh.members.insert(entry.name.clone(), entry.clone());
        mesh.slots = vec![vec![entry.name.clone()]];
        mesh
    }

    /// Returns the name of this node.
    pub fn own(&self) -> &name::Name {
        &self.own.name
    }

    /// Returns `true` if this node is a controller.
    pub fn is_leaf(&self) -> bool {
        self.parent.is_some()
    }

    /// Returns `true` if the member list holds no other entry.
    pub fn is_alone(&self) -> bool {
        self.members.len() == 1
    }

    /// Returns the first message that this node sends on a link.
    pub fn hello(&self) -> message::Message {
        message::Message::Hello(message::Hello {
            member: self.own.clone(),
            leaf: self.is_leaf(),
        })
    }

    /// Replaces the member list and returns the links to close; a controller ignores the list.
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
            .filter_map(|before| self.reconcile(before))
            .collect();
        self.routes = routes::Routes::new(self.members.values());
        self.slots = self.routes.topology().slots(&self.own);
        closed.into_iter().map(event::Output::Unlink).collect()
    }

    /// Returns, for each topic, whether this node is a store watcher of it.
    pub fn watched_topics(&self) -> [bool; topic::Topic::ALL.len()] {
        let topology = self.routes.topology();
        topic::Topic::ALL.map(|topic| topology.is_watcher(&self.own, topic))
    }

    /// Handles a peer's first message. Closes the link and returns `false` if the name is not the
    /// link's or the member list has a later incarnation.
    pub fn accept_hello(&mut self, from: &name::Name, hello: &message::Hello) -> bool {
        let listed = self.members.get(from);
        let stale = listed.is_some_and(|listed| listed.incarnation > hello.member.incarnation);
        if hello.member.name != *from || stale {
            self.links.close(from);
            return false;
        }
        self.links.set_leaf(from, hello.leaf);
        true
    }

    /// Closes idle and surplus links and dials the missing ones.
    pub fn plan(&mut self, now: time::Time) -> Vec<event::Output> {
        self.links.plan(now, &self.slots, &self.members)
    }

    /// Returns how many hops farther from the target the farthest entry is than this node.
    pub fn height(&mut self, target: &name::Name) -> u16 {
        self.routes.height(&self.own.name, target)
    }

    /// Returns the next hop of reports towards the target; the own name if this node is the target.
    pub fn report_hop(&mut self, target: &name::Name) -> Option<name::Name> {
        if self.own.name == *target {
            return Some(target.clone());
        }
        self.routes.next_hop(&self.own.name, target, &self.links)
    }

    /// Returns the linked peer nearest to the target.
    pub fn nearest(&mut self, target: &name::Name) -> Option<name::Name> {
        match &self.parent {
            Some(_) => self.parent_hop(),
            None => self.routes.nearest(target, &self.links),
        }
    }

    /// Returns the name of a controller's entry if the two are linked.
    pub fn parent_hop(&self) -> Option<name::Name> {
        let parent = self.parent.as_ref()?;
        self.links.get(parent).map(|_| parent.clone())
    }

    /// Reconciles a member of the previous list with the new one; returns its name if its link was
    /// closed.
    fn reconcile(&mut self, before: member::Member) -> Option<name::Name> {
        let Some(after) = self.members.get_mut(&before.name) else {
            return self.links.close(&before.name).then_some(before.name);
        };
        if after.incarnation < before.incarnation {
            // A stale list never restores an earlier incarnation.
            *after = before;
        } else if after.incarnation > before.incarnation {
            self.links.clear_backoff(&before.name);
        }
        None
    }
}
