//! Budget for the bytes that a process holds for callers: charges that end when they are dropped.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use guavausher_core::relay::{connections, memory, memory_limits};
use guavausher_core::time;
use tokio::sync;

use crate::clock;

/// Share of the thread that parsing of tiny chunks may take: one part in this many.
const TINY_CHUNKS_DIVISOR: u32 = 4;

/// Budget of a process.
#[derive(Debug, Default)]
pub struct Budget {
    memory: cell::RefCell<memory::Memory>,
    connections: cell::RefCell<connections::Connections>,
    /// Wakes bodies that wait for room or are aborted, by their numbers.
    bodies: cell::RefCell<collections::HashMap<u64, Wake>>,
    /// Wakes connections that are closed for new ones, by their numbers.
    evicted: cell::RefCell<collections::HashMap<u64, rc::Rc<sync::Notify>>>,
    /// Until when the parsing of tiny chunks has used its share of the thread.
    parsed_until: cell::Cell<time::Time>,
}

#[derive(Clone, Debug, Default)]
struct Wake {
    notify: rc::Rc<sync::Notify>,
    granted: rc::Rc<cell::Cell<usize>>,
}

impl Budget {
    /// Sets the limits.
    pub fn set_limits(&self, limits: memory_limits::MemoryLimits) {
        self.memory.borrow_mut().set_limits(limits);
        self.wake_granted();
    }

    /// Returns `true` if so many bytes more could be charged.
    pub fn has_room(&self, bytes: usize) -> bool {
        let memory = self.memory.borrow();
        memory.used().saturating_add(bytes) <= memory.limits().total
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.memory.borrow().used()
    }

    /// Charges bytes; `None` if there is no room.
    pub fn charge(self: &rc::Rc<Self>, bytes: usize) -> Option<Charge> {
        let mut charge = Charge::new(self);
        charge.grow_to(bytes).then_some(charge)
    }

    /// Adds a caller's connection if there is room for one more.
    ///
    /// Otherwise one that waits for a head is closed, or a body is aborted, and the new connection
    /// finds room soon.
    pub fn admit(self: &rc::Rc<Self>, address: net::IpAddr) -> Option<ConnectionGuard> {
        let limit = self.memory.borrow().limits().connections;
        let mut connections = self.connections.borrow_mut();
        if connections.count() >= limit {
            let Some(evicted) = connections.evict() else {
                let aborted = self.memory.borrow_mut().abort_oldest(clock::now());
                self.wake_body(aborted);
                return None;
            };
            if let Some(notify) = self.evicted.borrow_mut().remove(&evicted) {
                notify.notify_one();
            }
        }
        let id = connections.add(clock::now(), address);
        let notify = rc::Rc::new(sync::Notify::new());
        self.evicted.borrow_mut().insert(id, notify.clone());
        Some(ConnectionGuard {
            budget: self.clone(),
            notify,
            address,
            id,
        })
    }

    /// Returns until when a reader waits that has parsed tiny chunks since `began`.
    pub fn pace(&self, began: time::Time) -> time::Time {
        let now = clock::now();
        let used = began.until(now) * TINY_CHUNKS_DIVISOR;
        let until = self.parsed_until.get().max(now).after(used);
        self.parsed_until.set(until);
        until
    }

    fn decide(&self, body: u64, bytes: usize, left: usize) -> memory::Decision {
        self.memory.borrow_mut().reserve(body, bytes, left)
    }

    /// Aborts the body that has stalled for longest, if any, to make room.
    fn abort_stalled(&self) {
        let aborted = self.memory.borrow_mut().abort_stalled(clock::now());
        self.wake_body(aborted);
    }

    fn wake_body(&self, body: Option<u64>) {
        let bodies = self.bodies.borrow();
        if let Some(wake) = body.and_then(|id| bodies.get(&id)) {
            wake.notify.notify_one();
        }
    }

    /// Wakes the waiting bodies for which there is room.
    fn wake_granted(&self) {
        let mut memory = self.memory.borrow_mut();
        if !memory.has_waiting() {
            return;
        }
        let now = clock::now();
        while let Some(grant) = memory.grant(now) {
            if let Some(wake) = self.bodies.borrow().get(&grant.body) {
                wake.granted.set(wake.granted.get() + grant.bytes);
                wake.notify.notify_one();
            }
        }
    }
}

/// Bytes charged to the budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: rc::Rc<Budget>,
    bytes: usize,
}

impl Charge {
    /// Creates a charge of no bytes.
    pub fn new(budget: &rc::Rc<Budget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Raises the charge to so many bytes; returns `false` and changes nothing if there is no room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let is_charged = self.budget.memory.borrow_mut().charge(more);
        match is_charged {
            true => self.bytes = bytes,
            false => self.budget.abort_stalled(),
        }
        is_charged
    }

    /// Raises the charge to so many bytes, whether there is room or not.
    pub fn grow_always(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.budget.memory.borrow_mut().charge_always(more);
        self.bytes += more;
    }

    /// Lowers the charge to so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.bytes = bytes;
            self.budget.memory.borrow_mut().release(less);
            self.budget.wake_granted();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A caller's connection, counted until this is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    budget: rc::Rc<Budget>,
    notify: rc::Rc<sync::Notify>,
    /// Address of the client.
    pub address: net::IpAddr,
    id: u64,
}

impl ConnectionGuard {
    /// Notes that the connection waits for a head from now on.
    pub fn begin_wait(&self) {
        let now = Some(clock::now());
        self.budget
            .connections
            .borrow_mut()
            .set_waiting(self.id, now);
    }

    /// Notes that a request is read or answered on the connection.
    pub fn end_wait(&self) {
        self.budget
            .connections
            .borrow_mut()
            .set_waiting(self.id, None);
    }

    /// Waits until the connection is to be closed for a new one.
    pub async fn evicted(&self) {
        self.notify.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.budget.connections.borrow_mut().remove(self.id);
        self.budget.evicted.borrow_mut().remove(&self.id);
    }
}

/// A body that is being read, or is held, until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: rc::Rc<Budget>,
    wake: Wake,
    id: u64,
    /// Bytes of the room for long bodies that it holds.
    held: usize,
}

/// There is no room for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

impl Reservation {
    /// Longest time that a body waits for room.
    const MAX_WAIT: Duration = Duration::from_secs(5);
    /// Time between two looks for bodies that stall.
    const LOOK_INTERVAL: Duration = Duration::from_millis(250);

    /// Adds a body.
    pub fn new(budget: &rc::Rc<Budget>, sender: memory::Sender) -> Self {
        let id = budget.memory.borrow_mut().add(clock::now(), sender);
        let wake = Wake::default();
        budget.bodies.borrow_mut().insert(id, wake.clone());
        Self {
            budget: budget.clone(),
            wake,
            id,
            held: 0,
        }
    }

    /// Reserves bytes of a body of which at most `left` are missing; waits until there is room.
    ///
    /// # Errors
    ///
    /// Fails if there is no room in time.
    pub async fn reserve(
        &mut self,
        bytes: usize,
        left: usize,
        deadline: time::Time,
    ) -> Result<(), NoRoom> {
        let decision = self.budget.decide(self.id, bytes, left);
        match decision {
            memory::Decision::Granted => self.held += bytes,
            memory::Decision::Waiting => self.held += self.wait(deadline).await?,
            memory::Decision::Refused => {
                self.budget.abort_stalled();
                return Err(NoRoom);
            }
        }
        Ok(())
    }

    /// Waits for room; returns the bytes that were granted.
    async fn wait(&self, deadline: time::Time) -> Result<usize, NoRoom> {
        self.budget.wake_granted();
        let end = deadline.min(clock::now().after(Self::MAX_WAIT));
        loop {
            let granted = self.wake.granted.take();
            if granted > 0 {
                return Ok(granted);
            }
            let now = clock::now();
            if now >= end {
                return Err(NoRoom);
            }
            self.budget.abort_stalled();
            let pause = Self::LOOK_INTERVAL.min(now.until(end));
            // Either it was woken, or it looks again.
            let _ = tokio::time::timeout(pause, self.wake.notify.notified()).await;
        }
    }

    /// Notes how many bytes have been received in all.
    pub fn record_received(&self, received: usize) {
        let mut memory = self.budget.memory.borrow_mut();
        memory.record_received(clock::now(), self.id, received);
    }

    /// Returns `true` if the body was given up; `is_blocked` states that nothing of it can be read now.
    pub fn is_aborted(&self, is_blocked: bool) -> bool {
        self.budget.memory.borrow().is_aborted(self.id, is_blocked)
    }

    /// Waits until the body may have been given up.
    pub async fn woken(&self) {
        self.wake.notify.notified().await;
    }

    /// Notes that the body is complete, and releases what it has not used.
    pub fn complete(&mut self) {
        self.budget.memory.borrow_mut().complete(self.id, self.held);
        self.budget.wake_granted();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.memory.borrow_mut().remove(self.id);
        self.budget.bodies.borrow_mut().remove(&self.id);
        self.budget.wake_granted();
    }
}
