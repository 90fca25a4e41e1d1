//! A writer that never blocks its callers.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;

use crossbeam::channel;

/// Lines that may wait for the output; later ones are dropped and counted.
const MAX_WAITING: usize = 2_048;
/// Bytes that are written at once.
const BATCH_BYTES: usize = 32 * 1024;
/// Stack of the writing thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Lines dropped since the start of the process.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Returns how many lines were dropped because the output was not read.
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Hands each line to one thread that writes to the output.
#[derive(Clone, Debug)]
pub struct Writer {
    lines: channel::Sender<Box<str>>,
}

impl Writer {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = channel::bounded(MAX_WAITING);
        thread::Builder::new()
            .name(String::from("log"))
            .stack_size(STACK_BYTES)
            .spawn(move || run(&waiting, output))?;
        Ok(Self { lines })
    }

    /// Queues a line, or drops it if the output is not read.
    pub fn put(&self, line: String) {
        if self.lines.try_send(line.into_boxed_str()).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns a logger's sink.
    pub fn sink(self) -> fern::Output {
        let writer = sync::Arc::new(self);
        fern::Output::call(move |record| writer.put(record.args().to_string()))
    }
}

fn run(waiting: &channel::Receiver<Box<str>>, mut output: impl Write) {
    let mut told = 0;
    let mut batch = String::new();
    while let Ok(line) = waiting.recv() {
        batch.push_str(&line);
        batch.push('\n');
        while batch.len() < BATCH_BYTES {
            let Ok(line) = waiting.try_recv() else {
                break;
            };
            batch.push_str(&line);
            batch.push('\n');
        }
        let lost = dropped();
        if lost > told {
            batch.push_str(&format!("log_lines_dropped={}\n", lost - told));
            told = lost;
        }
        // Nobody can be told that the output is closed; the process goes on without logs.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        batch.clear();
    }
}
