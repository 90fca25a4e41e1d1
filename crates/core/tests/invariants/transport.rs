//! Calls of the store and messages between entries.

use guavausher_core::{event, fact, name, peering, store, verdict};

use super::super::node;
use super::super::step;
use super::{Call, HOLD, NOBODY, Reply, World};

impl World {
    pub(super) fn serve(&mut self, pick: usize, fate: step::Fate) {
        let Some(call) = take(&mut self.calls, pick) else {
            return;
        };
        let newest = self.platform.lists.len() - 1;
        let list = match fate {
            step::Fate::OldList => pick % (newest + 1),
            _ => newest,
        };
        let reply = match fate {
            step::Fate::Served | step::Fate::OldList => self.platform.apply(&call.call, list),
            step::Fate::LostAnswer => {
                self.platform.apply(&call.call, list);
                Some(store::Reply::Failed(verdict::Verdict::MayHaveRun))
            }
            step::Fate::Delayed => {
                let ghost = Call {
                    process: NOBODY,
                    ..call.clone()
                };
                self.calls.push(ghost);
                Some(store::Reply::Failed(verdict::Verdict::MayHaveRun))
            }
            step::Fate::LostCall => Some(store::Reply::Failed(verdict::Verdict::MayHaveRun)),
            step::Fate::Refused => Some(store::Reply::Failed(verdict::Verdict::NotRun)),
        };
        let Call {
            entry, process, id, ..
        } = call;
        match reply {
            Some(reply) => self.replies.push(Reply {
                entry,
                process,
                id,
                reply,
            }),
            None => self.calls.push(call),
        }
    }

    pub(super) fn reply(&mut self, reply: Reply) {
        let Reply {
            entry,
            process,
            id,
            reply,
        } = reply;
        if self.nodes[entry].process == process {
            self.event(entry, event::Event::Replied { call: id, reply });
        }
    }

    pub(super) fn pass(&mut self, pick: usize, copies: u8) {
        let Some(packet) = take(&mut self.packets, pick) else {
            return;
        };
        if !self.links.contains(&pair(packet.from, packet.to)) {
            return;
        }
        for _ in 0..copies {
            let input = peering::Input::Message {
                from: name::Name::from(node::NAMES[packet.from]),
                message: packet.message.clone(),
            };
            self.event(packet.to, event::Event::Peer(input));
        }
    }

    pub(super) fn dial(&mut self, pick: usize, works: bool) {
        let Some((from, to)) = take(&mut self.dials, pick) else {
            return;
        };
        if works {
            self.links.insert(pair(from, to));
            self.peer(
                from,
                peering::Input::Linked(name::Name::from(node::NAMES[to])),
            );
            self.peer(
                to,
                peering::Input::Linked(name::Name::from(node::NAMES[from])),
            );
        } else {
            self.peer(
                from,
                peering::Input::Unlinked(name::Name::from(node::NAMES[to])),
            );
        }
    }

    pub(super) fn cut(&mut self, first: usize, second: usize) {
        if self.links.contains(&(first, second)) {
            self.unlink(first, second);
            self.peer(
                first,
                peering::Input::Unlinked(name::Name::from(node::NAMES[second])),
            );
        }
    }

    /// Ends a link and tells the other side.
    pub(super) fn unlink(&mut self, from: usize, to: usize) {
        self.packets
            .retain(|p| pair(p.from, p.to) != pair(from, to));
        if self.links.remove(&pair(from, to)) {
            self.peer(
                to,
                peering::Input::Unlinked(name::Name::from(node::NAMES[from])),
            );
        }
    }

    pub(super) fn peer(&mut self, entry: usize, input: peering::Input) {
        self.event(entry, event::Event::Peer(input));
    }

    pub(super) fn learn(&mut self, entry: usize, fact: fact::Fact) {
        let expiry = self.now.after(HOLD);
        self.peer(entry, peering::Input::Learn { fact, expiry });
    }
}

pub(super) fn take<T>(list: &mut Vec<T>, pick: usize) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    let at = pick % list.len();
    Some(list.remove(at))
}

pub(super) fn pair(first: usize, second: usize) -> (usize, usize) {
    (first.min(second), first.max(second))
}
