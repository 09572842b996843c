//! `galenarail explain`: shows the decisions about one request in order, among the other events that
//! the same processes logged around that time.

use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;

use argh::FromArgs;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};
use snafu::ResultExt;

use crate::error::{
    NotFoundSnafu,
    ReadFileSnafu, //
};
use crate::{
    CliError,
    CommandReport, //
};

/// Time before the first decision about a request from which other events are shown.
const CONTEXT_BEFORE_MS: u64 = 3_000;

/// show what happened to one request, according to log lines
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log file; standard input if absent
    #[argh(option)]
    log: Option<PathBuf>,
}

/// Fields of a log line that are shown.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct LogRecord {
    time_ms: u64,
    process: String,
    kind: String,
    reason: String,
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    chosen: Option<String>,
    #[serde(default)]
    inputs: Map<String, Value>,
}

pub(crate) fn run(args: &ExplainArgs) -> Result<CommandReport, CliError> {
    let path = args.log.clone().unwrap_or_else(|| "standard input".into());
    let text = match &args.log {
        Some(path) => std::fs::read(path),
        None => read_stdin(),
    };
    let text = text.context(ReadFileSnafu { path })?;
    let records = parse_records(&text);
    let selected = select_records(&records, &args.request);
    if selected.is_empty() {
        let (kind, name) = ("log line for request", args.request.clone());
        return NotFoundSnafu { kind, name }.fail();
    }
    let start_ms = selected[0].time_ms;
    let lines = selected
        .iter()
        .map(|record| format_record(record, start_ms));
    Ok(CommandReport::new(lines.collect::<String>(), &selected))
}

fn read_stdin() -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    std::io::stdin().read_to_end(&mut text)?;
    Ok(text)
}

/// Parses the lines that contain a log record. Log collectors may prefix the record with other text.
fn parse_records(text: &[u8]) -> Vec<LogRecord> {
    let lines = text.split(|byte| *byte == b'\n');
    let records = lines.filter_map(|line| {
        let start = line.iter().position(|byte| *byte == b'{')?;
        serde_json::from_slice(&line[start..]).ok()
    });
    records.collect()
}

/// Returns the records of a request and the records without a request that the same processes wrote
/// from shortly before until the last record of the request, in order of time.
fn select_records(records: &[LogRecord], request: &str) -> Vec<LogRecord> {
    let is_of_request = |record: &&LogRecord| record.request.as_deref() == Some(request);
    let request_records: Vec<&LogRecord> = records.iter().filter(is_of_request).collect();
    let times = request_records.iter().map(|record| record.time_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let processes: BTreeSet<&str> = request_records
        .iter()
        .map(|record| record.process.as_str())
        .collect();
    let time_range = first.saturating_sub(CONTEXT_BEFORE_MS)..=last;
    let is_context = |record: &&LogRecord| {
        record.request.is_none()
            && processes.contains(record.process.as_str())
            && time_range.contains(&record.time_ms)
    };
    let context_records = records.iter().filter(is_context);
    let mut selected: Vec<LogRecord> = request_records
        .into_iter()
        .chain(context_records)
        .cloned()
        .collect();
    selected.sort_by_key(|record| record.time_ms);
    selected
}

/// Formats a record as one line, which starts with `*` if the record is about the request.
fn format_record(record: &LogRecord, start_ms: u64) -> String {
    let elapsed_ms = record.time_ms - start_ms;
    let chosen = record.chosen.as_deref().unwrap_or("-");
    let inputs = record
        .inputs
        .iter()
        .map(|(name, value)| format!(" {name}={value}"));
    let inputs: String = inputs.collect();
    let mark = if record.request.is_some() { '*' } else { ' ' };
    format!(
        "{mark} +{elapsed_ms} ms {} {} {chosen}: {}{inputs}\n",
        record.process, record.kind, record.reason
    )
}
