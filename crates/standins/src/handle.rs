//! Handles of running stand-ins.

use std::net;
use std::thread;

use tokio::sync::watch;

/// Whether a stand-in runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It answers.
    Running,
    /// It was shut down.
    Stopped,
    /// It crashed.
    Crashed,
}

/// A running stand-in; dropping it shuts it down.
#[derive(Debug)]
pub struct Handle {
    address: net::SocketAddr,
    phase: watch::Sender<Phase>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    pub(crate) fn new(
        address: net::SocketAddr,
        phase: watch::Sender<Phase>,
        thread: thread::JoinHandle<()>,
    ) -> Self {
        Self {
            address,
            phase,
            thread: Some(thread),
        }
    }

    /// Returns the address that it listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether it runs, was stopped or crashed.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Closes every connection at once and waits for the end.
    pub fn shutdown(mut self) {
        self.stop();
    }

    /// Waits until it ends by itself, and returns how.
    pub fn wait(mut self) -> Phase {
        self.join();
        self.phase()
    }

    fn stop(&mut self) {
        self.phase
            .send_if_modified(|phase| end(phase, Phase::Stopped));
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ends a running stand-in; one that has ended keeps its phase.
pub(crate) fn end(phase: &mut Phase, last: Phase) -> bool {
    let running = *phase == Phase::Running;
    if running {
        *phase = last;
    }
    running
}
