//! Client of the platform's service, run by a small pool of threads.
//!
//! Calls that wait for a change run on threads of their own, so that they never hold up a write.
//! Every queue is bounded and every call has a deadline from the moment it is submitted; one
//! that is still queued at its deadline is not sent.

mod answer;
mod connection;
mod metrics;
mod protocol;

use std::io;
use std::net;
use std::thread;
use std::time;

use crossbeam::channel;
use guavausher_core::store;
use guavausher_core::verdict;

pub use answer::Answer;
pub use metrics::Metrics;

use connection::Connection;

/// How the client reaches the platform and how much it runs at once.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address of the platform's service.
    pub address: net::SocketAddr,
    /// Threads for calls that are answered at once.
    pub workers: usize,
    /// Threads for calls that wait for a change.
    pub watchers: usize,
    /// Calls of either sort that may be queued.
    pub queue: usize,
    /// Longest time from submission to the reply of a call that does not wait.
    pub timeout: time::Duration,
    /// How long the platform may hold a call that waits for a change.
    pub wait: time::Duration,
}

/// A handle to the platform's service; its threads end when it is dropped.
#[derive(Debug)]
pub struct Store {
    calls: channel::Sender<Job>,
    waits: channel::Sender<Job>,
    options: Options,
}

#[derive(Debug)]
struct Job {
    id: u64,
    call: store::Call,
    deadline: time::Instant,
}

impl Store {
    /// Starts the threads; each answer goes to `answers`.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(
        options: Options,
        answers: &channel::Sender<Answer>,
        metrics: &Metrics,
    ) -> io::Result<Self> {
        let (calls, call_jobs) = channel::bounded(options.queue);
        let (waits, wait_jobs) = channel::bounded(options.queue);
        let pools = [
            (options.workers, call_jobs, "store-call"),
            (options.watchers, wait_jobs, "store-wait"),
        ];
        for (size, jobs, name) in pools {
            for _ in 0..size {
                let worker = Worker {
                    connection: Connection::new(&options),
                    jobs: jobs.clone(),
                    answers: answers.clone(),
                    metrics: metrics.clone(),
                };
                thread::Builder::new()
                    .name(String::from(name))
                    .spawn(move || worker.run())?;
            }
        }
        Ok(Self {
            calls,
            waits,
            options,
        })
    }

    /// Queues a call; its answer carries the same id.
    ///
    /// # Errors
    ///
    /// Returns the answer [`verdict::Verdict::NotRun`] at once if the queue is full.
    pub fn submit(&self, id: u64, call: store::Call) -> Result<(), Answer> {
        let (jobs, limit) = if call.is_long_poll() {
            (&self.waits, self.options.timeout + self.options.wait)
        } else {
            (&self.calls, self.options.timeout)
        };
        let deadline = time::Instant::now() + limit;
        jobs.try_send(Job { id, call, deadline })
            .map_err(|_| Answer {
                id,
                reply: store::Reply::Failed(verdict::Verdict::NotRun),
            })
    }
}

struct Worker {
    connection: Connection,
    jobs: channel::Receiver<Job>,
    answers: channel::Sender<Answer>,
    metrics: Metrics,
}

impl Worker {
    fn run(self) {
        for job in &self.jobs {
            let reply = self.connection.call(&job.call, job.deadline);
            self.metrics.count(&job.call, &reply);
            let answer = Answer { id: job.id, reply };
            if self.answers.send(answer).is_err() {
                return;
            }
        }
    }
}

/// Runs one call on the present thread, for tools that have nothing else to do.
pub fn call(options: &Options, call: &store::Call) -> store::Reply {
    let deadline = time::Instant::now() + options.timeout;
    Connection::new(options).call(call, deadline)
}
