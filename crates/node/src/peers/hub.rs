//! The table of links, kept by one task.

use std::collections;
use std::sync::atomic;
use std::time::Duration;

use crossbeam::channel;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_wire::peer;
use tokio::sync::mpsc;
use tokio::{task, time};

use super::{command, dial, error, event, link};

/// Wait before a full or failing party is tried again.
pub const PAUSE: Duration = Duration::from_millis(5);

/// The table of links.
#[derive(Debug)]
pub struct Hub {
    shared: link::Shared,
    events: channel::Sender<event::Event>,
    up: collections::HashMap<name::Name, command::Up>,
    dials: collections::HashMap<name::Name, task::AbortHandle>,
}

impl Hub {
    /// Builds an empty table.
    pub fn new(shared: link::Shared, events: channel::Sender<event::Event>) -> Self {
        Self {
            shared,
            events,
            up: collections::HashMap::new(),
            dials: collections::HashMap::new(),
        }
    }

    /// Runs until the owner of the links is gone.
    pub async fn run(
        mut self,
        mut orders: mpsc::Receiver<command::Command>,
        mut inner: mpsc::Receiver<command::Command>,
    ) {
        loop {
            let command = tokio::select! {
                order = orders.recv() => order,
                command = inner.recv() => command,
            };
            let Some(command) = command else {
                return;
            };
            if self.take(command).await.is_err() {
                return;
            }
        }
    }

    async fn take(&mut self, command: command::Command) -> Result<(), Gone> {
        match command {
            command::Command::Link(member) => self.dial(member),
            command::Command::Unlink(peer) => self.unlink(&peer),
            command::Command::Send { to, message } => return self.send(to, &message).await,
            command::Command::Up(up) => return self.up(up).await,
            command::Command::Down { peer, id } => return self.down(peer, id).await,
            command::Command::Failed(peer) => return self.failed(peer).await,
            command::Command::Received { peer, id, message } => {
                if self.is_current(&peer, id) {
                    let from = peer;
                    return self.tell(event::Event::Message { from, message }).await;
                }
            }
        }
        Ok(())
    }

    fn dial(&mut self, member: peering::Member) {
        let peer = member.name.clone();
        let task = tokio::spawn(dial::run(self.shared.clone(), member));
        if let Some(old) = self.dials.insert(peer, task.abort_handle()) {
            old.abort();
        }
    }

    fn unlink(&mut self, peer: &name::Name) {
        if let Some(dial) = self.dials.remove(peer) {
            dial.abort();
        }
        if let Some(up) = self.up.remove(peer) {
            end(up);
        }
        self.count_links();
    }

    async fn up(&mut self, up: command::Up) -> Result<(), Gone> {
        let peer = up.peer.clone();
        if up.dialled {
            self.dials.remove(&peer);
        }
        if up.queue.frames.is_closed() || !self.replaces(&up) {
            return Ok(());
        }
        if let Some(old) = self.up.insert(peer.clone(), up) {
            end(old);
        }
        self.count_links();
        self.tell(event::Event::Linked(peer)).await
    }

    /// Of two links between the same processes, both ends keep the one that the smaller name
    /// dialled.
    fn replaces(&self, new: &command::Up) -> bool {
        let Some(old) = self.up.get(&new.peer) else {
            return true;
        };
        if new.incarnation != old.incarnation {
            return new.incarnation > old.incarnation;
        }
        let smaller = self.shared.config.own.name < new.peer;
        new.dialled == old.dialled || new.dialled == smaller
    }

    async fn down(&mut self, peer: name::Name, id: u64) -> Result<(), Gone> {
        if !self.is_current(&peer, id) {
            return Ok(());
        }
        if let Some(up) = self.up.remove(&peer) {
            end(up);
        }
        self.count_links();
        self.tell(event::Event::Unlinked(peer)).await
    }

    async fn failed(&mut self, peer: name::Name) -> Result<(), Gone> {
        self.dials.remove(&peer);
        if self.up.contains_key(&peer) {
            return Ok(());
        }
        self.tell(event::Event::Unlinked(peer)).await
    }

    async fn send(&mut self, to: name::Name, message: &peering::Message) -> Result<(), Gone> {
        let Some(up) = self.up.get(&to) else {
            self.shared.counters.dropped_messages.inc();
            return Ok(());
        };
        let frame = match peer::encode(message) {
            Ok(frame) => frame,
            Err(error) => {
                self.shared.counters.dropped_messages.inc();
                log::error!("a message to {to} was dropped: {error}");
                return Ok(());
            }
        };
        let queue = &up.queue;
        let length = frame.len();
        let waiting = queue.waiting.fetch_add(length, atomic::Ordering::Relaxed);
        let fits = waiting == 0 || waiting + length <= self.shared.config.limits.queue;
        match queue.frames.try_send(frame) {
            Ok(()) if fits => {
                self.shared.counters.sent_messages.inc();
                Ok(())
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                // The connection has ended, and the word of it is on its way here.
                self.shared.counters.dropped_messages.inc();
                Ok(())
            }
            _ => {
                self.shared.counters.slow.inc();
                log::warn!("the link to {to} is closed: {}", error::Error::Slow);
                let id = up.id;
                self.down(to, id).await
            }
        }
    }

    fn is_current(&self, peer: &name::Name, id: u64) -> bool {
        self.up.get(peer).is_some_and(|up| up.id == id)
    }

    fn count_links(&self) {
        let links = self.up.len() as u64;
        self.shared.counters.links.set(links);
    }

    async fn tell(&self, mut event: event::Event) -> Result<(), Gone> {
        loop {
            event = match self.events.try_send(event) {
                Ok(()) => return Ok(()),
                Err(channel::TrySendError::Full(event)) => event,
                Err(channel::TrySendError::Disconnected(_)) => return Err(Gone),
            };
            if self.shared.stopping.load(atomic::Ordering::Relaxed) {
                return Err(Gone);
            }
            time::sleep(PAUSE).await;
        }
    }
}

fn end(up: command::Up) {
    // The connection may have ended by itself.
    let _ = up.cancel.send(());
}

/// The receiver of the events is gone.
#[derive(Debug)]
struct Gone;
