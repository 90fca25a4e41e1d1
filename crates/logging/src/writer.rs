//! Log writer that never blocks its callers.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;

use crossbeam::channel;

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// Size in bytes from which a batch is written without adding more lines.
const BATCH_BYTES: usize = 32 * 1024;
/// Stack size of the writer thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Number of lines dropped since the process started.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Returns the number of lines dropped because the output was not read fast enough.
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Queues lines for a background thread that writes them to the output.
#[derive(Clone, Debug)]
pub struct Writer {
    lines: channel::Sender<Box<str>>,
}

impl Writer {
    /// Starts the writer thread for `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = channel::bounded(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name(String::from("log"))
            .stack_size(STACK_BYTES)
            .spawn(move || write_batches(&queue, output))?;
        Ok(Self { lines })
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn enqueue(&self, line: String) {
        if self.lines.try_send(line.into_boxed_str()).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns a `fern` output that queues each record.
    pub fn sink(self) -> fern::Output {
        let writer = sync::Arc::new(self);
        fern::Output::call(move |record| writer.enqueue(record.args().to_string()))
    }
}

/// Writes queued lines in batches until all senders are dropped. Reports newly dropped lines with
/// each batch.
fn write_batches(queue: &channel::Receiver<Box<str>>, mut output: impl Write) {
    let mut reported = 0;
    let mut batch = String::new();
    while let Ok(line) = queue.recv() {
        batch.push_str(&line);
        batch.push('\n');
        while batch.len() < BATCH_BYTES {
            let Ok(line) = queue.try_recv() else {
                break;
            };
            batch.push_str(&line);
            batch.push('\n');
        }
        let total = dropped();
        if total > reported {
            batch.push_str(&format!("log_lines_dropped={}\n", total - reported));
            reported = total;
        }
        // A write error (the output is closed) cannot be reported anywhere; the process continues
        // without logs.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        batch.clear();
    }
}
