//! Decision log of one process: writes decisions to a file or stream, or records them in memory.

use std::path::Path;
use std::sync::{
    Arc,
    Mutex, //
};

use snafu::ResultExt;
use spdlog::sink::{
    FileSink,
    Sink,
    StdStream,
    StdStreamSink,
    WriteSink, //
};
use spdlog::{
    Level,
    LevelFilter,
    Logger, //
};
use units::InstanceId;

use crate::error::{
    BuildLoggerSnafu,
    OpenFileSnafu, //
};
use crate::line::LineFormatter;
use crate::queue::QueueWriter;
use crate::{
    DecisionKind,
    DecisionRecord,
    LogError, //
};

/// Log of decisions: writes them as lines of JSON or records them in memory for tests.
#[derive(Clone)]
pub struct LogSink {
    process: InstanceId,
    logger: Option<Arc<Logger>>,
    recorded: Option<Arc<Mutex<Vec<DecisionRecord>>>>,
    queue: Option<QueueWriter>,
}

impl LogSink {
    /// Creates a log that writes to standard error.
    pub fn stderr(process: InstanceId) -> Result<Self, LogError> {
        let built = StdStreamSink::builder()
            .std_stream(StdStream::Stderr)
            .formatter(LineFormatter)
            .build_arc();
        let sink = built.map_err(Box::new).context(BuildLoggerSnafu)?;
        Self::with_sink(process, sink)
    }

    /// Creates a log that appends to a file.
    pub fn file(process: InstanceId, path: &Path) -> Result<Self, LogError> {
        let built = FileSink::builder()
            .path(path)
            .formatter(LineFormatter)
            .build_arc();
        let sink = built.map_err(Box::new).context(OpenFileSnafu { path })?;
        Self::with_sink(process, sink)
    }

    /// Creates a log that discards all decisions.
    pub fn none(process: InstanceId) -> Self {
        Self {
            process,
            logger: None,
            recorded: None,
            queue: None,
        }
    }

    /// Creates a log that records decisions in memory, for [`Self::take_lines`].
    pub fn memory(process: InstanceId) -> Self {
        Self {
            process,
            logger: None,
            recorded: Some(Arc::default()),
            queue: None,
        }
    }

    fn with_sink(process: InstanceId, sink: Arc<dyn Sink>) -> Result<Self, LogError> {
        let built = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info))
            .build_arc();
        let logger = built.map_err(Box::new).context(BuildLoggerSnafu)?;
        Ok(Self {
            process,
            logger: Some(logger),
            recorded: None,
            queue: None,
        })
    }

    /// Creates a log that writes to standard output from a dedicated thread.
    ///
    /// While the queue of that thread is full, lines are dropped and counted, so that a slow reader
    /// does not block the process.
    pub fn stdout(process: InstanceId) -> Result<Self, LogError> {
        let writer = QueueWriter::start();
        let built = WriteSink::builder()
            .target(writer.clone())
            .formatter(LineFormatter)
            .build_arc();
        let sink = built.map_err(Box::new).context(BuildLoggerSnafu)?;
        let mut log = Self::with_sink(process, sink)?;
        log.queue = Some(writer);
        Ok(log)
    }

    /// Writes the lines queued for standard output; call it before the process exits.
    pub fn flush(&self) {
        if let Some(queue) = &self.queue {
            queue.flush_queue();
        }
    }

    /// Writes one decision.
    pub fn write(&self, record: DecisionRecord) {
        if let Some(logger) = &self.logger {
            let line = record.to_line(&self.process);
            let level = record_level(&record);
            spdlog::log!(logger: logger, level, "{}", line);
        }
        if let Some(recorded) = &self.recorded {
            let mut records = recorded.lock().unwrap_or_else(|e| e.into_inner());
            records.push(record);
        }
    }

    /// Removes the recorded decisions and returns them as lines of JSON.
    pub fn take_lines(&self) -> Vec<String> {
        let Some(recorded) = &self.recorded else {
            return Vec::new();
        };
        let mut recorded = recorded.lock().unwrap_or_else(|e| e.into_inner());
        let records = std::mem::take(&mut *recorded);
        records
            .iter()
            .map(|record| record.to_line(&self.process))
            .collect()
    }
}

fn record_level(record: &DecisionRecord) -> Level {
    match record.kind() {
        DecisionKind::Intruder | DecisionKind::RefuseOrder | DecisionKind::Suspect => Level::Warn,
        _ if record.is_failure() => Level::Warn,
        _ => Level::Info,
    }
}
