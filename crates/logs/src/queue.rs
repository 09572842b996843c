//! Queue of log lines, written to standard output by a dedicated thread so that a slow reader of
//! standard output does not block the process.

use std::io::Write;
use std::sync::{
    Arc,
    Condvar,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

/// Maximum size of the queue; further lines are dropped and counted.
const QUEUE_LIMIT_BYTES: usize = 256 * 1024;
/// Maximum size of one write, unless a single line is longer.
const WRITE_LIMIT_BYTES: usize = 4 * 1024;
/// Delay after the first queued line, during which further lines join its batch.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Lines to write and the number of lines dropped since the last batch.
#[derive(Debug, Default)]
struct LineBatch {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct LineQueue {
    state: Mutex<LineBatch>,
    not_empty: Condvar,
}

impl LineQueue {
    fn lock(&self) -> MutexGuard<'_, LineBatch> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits until a line is queued, then takes all lines queued within the batch delay.
    fn wait_for_batch(&self) -> LineBatch {
        let state = self.lock();
        let state = self
            .not_empty
            .wait_while(state, |state| state.lines.is_empty());
        drop(state.unwrap_or_else(|e| e.into_inner()));
        std::thread::sleep(BATCH_DELAY);
        std::mem::take(&mut *self.lock())
    }
}

/// Appends whole lines to the queue without blocking on the reader of standard output.
#[derive(Debug, Clone)]
pub(crate) struct QueueWriter {
    queue: Arc<LineQueue>,
}

impl QueueWriter {
    /// Starts the thread that writes queued lines to standard output.
    pub(crate) fn start() -> Self {
        let queue = Arc::new(LineQueue::default());
        let writer = Self {
            queue: queue.clone(),
        };
        std::thread::spawn(move || write_lines(&queue, &mut std::io::stdout()));
        writer
    }

    /// Writes the queued lines to standard output, before the process exits.
    pub(crate) fn flush_queue(&self) {
        let pending = std::mem::take(&mut *self.queue.lock());
        // The process is exiting, so a write error cannot be reported anywhere.
        let _ = write_batch(&pending, &mut std::io::stdout());
    }
}

fn write_lines(queue: &LineQueue, output: &mut impl Write) {
    loop {
        if write_batch(&queue.wait_for_batch(), output).is_err() {
            return;
        }
    }
}

/// Splits text into chunks of whole lines, each small enough for a log collector to read at once.
fn split_after_lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(WRITE_LIMIT_BYTES)];
        let end_in = |text: &[u8]| text.iter().rposition(|byte| *byte == b'\n');
        let next_end = || rest.iter().position(|byte| *byte == b'\n');
        let end = end_in(window)
            .or_else(next_end)
            .map_or(rest.len(), |at| at + 1);
        let (chunk, remaining) = rest.split_at(end);
        rest = remaining;
        Some(chunk)
    })
}

fn write_batch(batch: &LineBatch, output: &mut impl Write) -> std::io::Result<()> {
    for lines in split_after_lines(&batch.lines) {
        output.write_all(lines)?;
        output.flush()?;
    }
    if batch.dropped > 0 {
        let count = batch.dropped;
        writeln!(
            output,
            "{{\"level\":\"warn\",\"kind\":\"log\",\"reason\":\"lines dropped\",\"count\":{count}}}"
        )?;
    }
    output.flush()
}

impl Write for QueueWriter {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        let mut state = self.queue.lock();
        if state.lines.len() + data.len() > QUEUE_LIMIT_BYTES {
            state.dropped += 1;
            return Ok(data.len());
        }
        let was_empty = state.lines.is_empty();
        state.lines.extend_from_slice(data);
        if was_empty {
            self.queue.not_empty.notify_one();
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
