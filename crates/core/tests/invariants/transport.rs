//! Store calls and messages between entries.

use guavausher_core::{event, fact, name, peering, store, verdict};

use super::super::node;
use super::super::step;
use super::{Call, FACT_LIFETIME, NO_PROCESS, Reply, Simulation};

impl Simulation {
    pub(super) fn serve(&mut self, pick: usize, outcome: step::CallOutcome) {
        let Some(call) = take(&mut self.calls, pick) else {
            return;
        };
        let newest = self.platform.lists.len() - 1;
        let list = match outcome {
            step::CallOutcome::OldList => pick % (newest + 1),
            _ => newest,
        };
        let reply = match outcome {
            step::CallOutcome::Served | step::CallOutcome::OldList => {
                self.platform.apply(&call.call, list)
            }
            step::CallOutcome::LostReply => {
                self.platform.apply(&call.call, list);
                Some(store::Reply::Failed(verdict::Verdict::MayHaveRun))
            }
            step::CallOutcome::Delayed => {
                let orphan = Call {
                    process: NO_PROCESS,
                    ..call.clone()
                };
                self.calls.push(orphan);
                Some(store::Reply::Failed(verdict::Verdict::MayHaveRun))
            }
            step::CallOutcome::LostCall => Some(store::Reply::Failed(verdict::Verdict::MayHaveRun)),
            step::CallOutcome::Refused => Some(store::Reply::Failed(verdict::Verdict::NotRun)),
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

    pub(super) fn deliver(&mut self, pick: usize, copies: u8) {
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

    pub(super) fn dial(&mut self, pick: usize, succeeds: bool) {
        let Some((from, to)) = take(&mut self.dials, pick) else {
            return;
        };
        if succeeds {
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

    pub(super) fn close_link(&mut self, first: usize, second: usize) {
        if self.links.contains(&(first, second)) {
            self.unlink(first, second);
            self.peer(
                first,
                peering::Input::Unlinked(name::Name::from(node::NAMES[second])),
            );
        }
    }

    /// Closes a link and notifies the other side.
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

    pub(super) fn add_fact(&mut self, entry: usize, fact: fact::Fact) {
        let expiry = self.now.after(FACT_LIFETIME);
        self.peer(entry, peering::Input::AddFact { fact, expiry });
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
