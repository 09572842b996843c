//! Writes lines to standard output from a thread of its own, so that a slow reader blocks nobody.

use std::io::Write;
use std::sync::{
    Arc,
    Condvar,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

/// Bytes that wait to be written at most; lines beyond it are dropped and counted.
const QUEUE_LIMIT_BYTES: usize = 256 * 1024;
/// Bytes of one write, unless a single line is longer.
const WRITE_LIMIT_BYTES: usize = 4 * 1024;
/// Time during which lines are gathered into one write.
const BATCH_DELAY: Duration = Duration::from_millis(50);

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

/// Takes whole lines without ever waiting for the reader.
#[derive(Debug, Clone)]
pub(crate) struct QueueWriter {
    queue: Arc<LineQueue>,
}

impl QueueWriter {
    /// Starts the thread that writes to standard output.
    pub(crate) fn start() -> Self {
        let queue = Arc::new(LineQueue::default());
        let writer = Self {
            queue: queue.clone(),
        };
        std::thread::spawn(move || write_lines(&queue, &mut std::io::stdout()));
        writer
    }

    /// Writes what waits, before the process ends.
    pub(crate) fn flush_queue(&self) {
        let pending = std::mem::take(&mut *self.queue.lock());
        // Nobody is left to be told of a failure.
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

/// Splits text into runs of whole lines that collectors take in one read.
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
        let (run, left) = rest.split_at(end);
        rest = left;
        Some(run)
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
