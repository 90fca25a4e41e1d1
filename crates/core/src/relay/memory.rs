//! Decides which callers' bytes a process may hold.
//!
//! A short body, and the beginning of a long one, is charged like any other bytes. The rest of a long
//! body is reserved in steps, from a part of the memory of its own. A step is granted only if the body
//! could then be read to its end, so that there is always one that does not wait for the others. If there
//! is no room, bodies wait, and the one nearest its end is read first. What stalls while others wait is
//! aborted.

use std::collections;
use std::net;
use std::time::Duration;

use super::memory_limits;
use crate::name;
use crate::time;

/// How long a body may make no progress while others wait for room.
const MAX_STALL: Duration = Duration::from_secs(1);
/// Bytes that a body must receive within [`MAX_STALL`] to make progress.
const MIN_PROGRESS: usize = 16 << 10;
/// Time between two aborts, in which the room of the first one is used.
const ABORT_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the room for long bodies that one address or workspace may hold, in percent. Its first
/// body may be longer.
const MAX_SHARE_PERCENT: usize = 75;

/// Memory that is held for callers.
#[derive(Debug, Default)]
pub struct Memory {
    limits: memory_limits::MemoryLimits,
    used: usize,
    long: usize,
    waiting: usize,
    bodies: collections::BTreeMap<u64, Body>,
    shares: collections::HashMap<Holder, usize>,
    last_id: u64,
    last_abort: time::Time,
}

/// Who holds memory.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Holder {
    Address(net::IpAddr),
    Workspace(name::Name),
}

/// Who sends a body.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Address of the client.
    pub address: net::IpAddr,
    /// Workspace of its API key.
    pub workspace: Option<name::Name>,
}

impl Sender {
    fn holders(&self) -> impl Iterator<Item = Holder> {
        let workspace = self.workspace.clone().map(Holder::Workspace);
        std::iter::once(Holder::Address(self.address)).chain(workspace)
    }
}

#[derive(Debug)]
struct Body {
    sender: Sender,
    /// Bytes reserved of the room for long bodies.
    reserved: usize,
    state: State,
    added_at: time::Time,
    received: usize,
    /// Bytes received at the last progress, and its time.
    progress: usize,
    progress_at: time::Time,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Reading,
    /// It waits for so many bytes; at most `left` are missing until its end.
    Waiting {
        bytes: usize,
        left: usize,
    },
    Complete,
    /// It is given up unless more of it has arrived.
    Stalled,
    /// It is given up.
    Evicted,
}

/// Decision on a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The bytes may be read.
    Granted,
    /// The body waits until [`Memory::grant`] returns it.
    Waiting,
    /// Too many bodies wait.
    Refused,
}

/// Room that was granted to a body that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The body.
    pub body: u64,
    /// Bytes that may be read.
    pub bytes: usize,
}

impl Memory {
    /// Sets the limits.
    pub fn set_limits(&mut self, limits: memory_limits::MemoryLimits) {
        self.limits = limits;
    }

    /// Returns the limits in force.
    pub const fn limits(&self) -> memory_limits::MemoryLimits {
        self.limits
    }

    /// Returns the bytes that are held.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Charges bytes that are not those of a long body; returns `false` if there is no room.
    pub fn charge(&mut self, bytes: usize) -> bool {
        let is_free = self.used.saturating_add(bytes) <= self.limits.total;
        if is_free {
            self.used += bytes;
        }
        is_free
    }

    /// Charges bytes that are held in any case.
    pub fn charge_always(&mut self, bytes: usize) {
        self.used = self.used.saturating_add(bytes);
    }

    /// Releases charged bytes.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Adds a body whose end has not been received; returns its number.
    pub fn add(&mut self, now: time::Time, sender: Sender) -> u64 {
        self.last_id += 1;
        let body = Body {
            sender,
            reserved: 0,
            state: State::Reading,
            added_at: now,
            received: 0,
            progress: 0,
            progress_at: now,
        };
        self.bodies.insert(self.last_id, body);
        self.last_id
    }

    /// Reserves bytes of the room for long bodies; at most `left` are missing until the end of the
    /// body.
    pub fn reserve(&mut self, id: u64, bytes: usize, left: usize) -> Decision {
        if self.waiting == 0 && self.fits(id, bytes, left) {
            self.take(id, bytes);
            return Decision::Granted;
        }
        if self.waiting >= self.limits.waiting {
            return Decision::Refused;
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.state = State::Waiting { bytes, left };
            self.waiting += 1;
        }
        Decision::Waiting
    }

    /// Grants room to the waiting body that is nearest its end, if there is enough.
    pub fn grant(&mut self, now: time::Time) -> Option<Grant> {
        if self.waiting == 0 {
            return None;
        }
        let waiting = self
            .bodies
            .iter()
            .filter_map(|(id, body)| match body.state {
                State::Waiting { bytes, left } => Some((left, *id, bytes)),
                _ => None,
            });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        // A body whose address or workspace holds too much does not delay the others.
        let (left, id, bytes) = waiting
            .into_iter()
            .find(|(left, id, bytes)| self.is_within_share(*id, *bytes, *left))?;
        if !self.fits(id, bytes, left) {
            return None;
        }
        self.take(id, bytes);
        self.waiting -= 1;
        let body = self.bodies.get_mut(&id)?;
        body.state = State::Reading;
        body.progress = body.received;
        body.progress_at = now;
        Some(Grant { body: id, bytes })
    }

    /// Notes how many bytes of a body have been received in all.
    pub fn record_received(&mut self, now: time::Time, id: u64, received: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.received = received;
        if received >= body.progress + MIN_PROGRESS {
            body.progress = received;
            body.progress_at = now;
            if body.state == State::Stalled {
                body.state = State::Reading;
            }
        }
    }

    /// Notes that a body is complete and holds so many bytes of the room for long bodies.
    pub fn complete(&mut self, id: u64, held: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.state = State::Complete;
        let unused = body.reserved.saturating_sub(held);
        self.give_back(id, unused);
    }

    /// Removes a body and releases its room.
    pub fn remove(&mut self, id: u64) {
        let Some(body) = self.bodies.get(&id) else {
            return;
        };
        if matches!(body.state, State::Waiting { .. }) {
            self.waiting -= 1;
        }
        self.give_back(id, body.reserved);
        self.bodies.remove(&id);
    }

    /// Returns `true` if bodies wait for room.
    pub const fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Gives up the body that has made no progress for longest and returns it, if one has stalled and
    /// none was given up just before. One that holds room for long bodies goes first.
    pub fn abort_stalled(&mut self, now: time::Time) -> Option<u64> {
        if now < self.last_abort.after(ABORT_INTERVAL) {
            return None;
        }
        let stalled = self.bodies.iter().filter(|(_, body)| {
            body.state == State::Reading && body.progress_at.after(MAX_STALL) <= now
        });
        let first = stalled.min_by_key(|(_, body)| (body.reserved == 0, body.progress_at));
        let id = *first?.0;
        self.abort(now, id, State::Stalled)
    }

    /// Gives up the body that has stalled, or else the one that has been read for longest.
    pub fn abort_oldest(&mut self, now: time::Time) -> Option<u64> {
        let stalled = self.abort_stalled(now);
        if stalled.is_some() || now < self.last_abort.after(ABORT_INTERVAL) {
            return stalled;
        }
        let mut read = self.bodies.iter();
        let oldest = read.find(|(_, body)| {
            body.state == State::Reading && body.added_at.after(MAX_STALL) <= now
        });
        let id = *oldest?.0;
        self.abort(now, id, State::Evicted)
    }

    /// Returns `true` if a body was given up; `is_blocked` states that nothing of it can be read now.
    pub fn is_aborted(&self, id: u64, is_blocked: bool) -> bool {
        match self.bodies.get(&id).map(|body| body.state) {
            Some(State::Evicted) => true,
            Some(State::Stalled) => is_blocked,
            _ => false,
        }
    }

    fn abort(&mut self, now: time::Time, id: u64, state: State) -> Option<u64> {
        self.last_abort = now;
        self.bodies.get_mut(&id)?.state = state;
        Some(id)
    }

    /// Returns `true` if there is room for a step of a body, and then for the rest of it.
    fn fits(&self, id: u64, bytes: usize, left: usize) -> bool {
        let Some(body) = self.bodies.get(&id) else {
            return false;
        };
        // A body that may be longer than all the room is read as far as there is some.
        let needed = match self.long == body.reserved {
            true => bytes,
            false => left.max(bytes),
        };
        self.used.saturating_add(bytes) <= self.limits.total
            && self.long.saturating_add(needed) <= self.limits.long
            && self.is_within_share(id, bytes, left)
    }

    /// Returns `true` if neither the address nor the workspace of a body holds too much. The rest of the
    /// body counts as well, so that bodies of one sender do not wait for each other.
    fn is_within_share(&self, id: u64, bytes: usize, left: usize) -> bool {
        let Some(body) = self.bodies.get(&id) else {
            return false;
        };
        let limit = self.limits.long / 100 * MAX_SHARE_PERCENT;
        body.sender.holders().all(|holder| {
            let held = self.shares.get(&holder).copied().unwrap_or(0);
            held == body.reserved || held.saturating_add(left.max(bytes)) <= limit
        })
    }

    fn take(&mut self, id: u64, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.reserved += bytes;
        self.used += bytes;
        self.long += bytes;
        for holder in body.sender.holders() {
            *self.shares.entry(holder).or_default() += bytes;
        }
    }

    fn give_back(&mut self, id: u64, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.reserved -= bytes;
        self.used -= bytes;
        self.long -= bytes;
        for holder in body.sender.holders() {
            if let Some(held) = self.shares.get_mut(&holder) {
                *held -= bytes;
                if *held == 0 {
                    self.shares.remove(&holder);
                }
            }
        }
    }
}
