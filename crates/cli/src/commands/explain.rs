//! `explain`: one request's decisions in order, with what its processes believed meanwhile.

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
    MissingSnafu,
    ReadFileSnafu, //
};
use crate::{
    CliError,
    CommandReport, //
};

/// Milliseconds before a request's first decision from which changes of belief are shown.
const LOOK_BACK_MS: u64 = 3_000;

/// show what happened to one request, from log lines
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// file of log lines; standard input when absent
    #[argh(option)]
    log: Option<PathBuf>,
}

/// One log line, as far as it is shown.
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
        None => read_input(),
    };
    let text = text.context(ReadFileSnafu { path })?;
    let records = read_records(&text);
    let told = story(&records, &args.request);
    if told.is_empty() {
        let (kind, name) = ("request in these lines", args.request.clone());
        return MissingSnafu { kind, name }.fail();
    }
    let start = told[0].time_ms;
    let lines = told.iter().map(|record| show(record, start));
    Ok(CommandReport::new(lines.collect::<String>(), &told))
}

fn read_input() -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    std::io::stdin().read_to_end(&mut text)?;
    Ok(text)
}

/// Reads the lines that are log records; collectors may put text of their own before them.
fn read_records(text: &[u8]) -> Vec<LogRecord> {
    let lines = text.split(|byte| *byte == b'\n');
    let records = lines.filter_map(|line| {
        let start = line.iter().position(|byte| *byte == b'{')?;
        serde_json::from_slice(&line[start..]).ok()
    });
    records.collect()
}

/// A request's records, and changes of belief of the same processes around them.
fn story(records: &[LogRecord], request: &str) -> Vec<LogRecord> {
    let is_own = |record: &&LogRecord| record.request.as_deref() == Some(request);
    let own: Vec<&LogRecord> = records.iter().filter(is_own).collect();
    let times = own.iter().map(|record| record.time_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let processes: BTreeSet<&str> = own.iter().map(|record| record.process.as_str()).collect();
    let span = first.saturating_sub(LOOK_BACK_MS)..=last;
    let is_around = |record: &&LogRecord| {
        record.request.is_none()
            && processes.contains(record.process.as_str())
            && span.contains(&record.time_ms)
    };
    let around = records.iter().filter(is_around);
    let mut told: Vec<LogRecord> = own.into_iter().chain(around).cloned().collect();
    told.sort_by_key(|record| record.time_ms);
    told
}

fn show(record: &LogRecord, start: u64) -> String {
    let after = record.time_ms - start;
    let chosen = record.chosen.as_deref().unwrap_or("-");
    let inputs = record
        .inputs
        .iter()
        .map(|(name, value)| format!(" {name}={value}"));
    let inputs: String = inputs.collect();
    let mark = if record.request.is_some() { '*' } else { ' ' };
    format!(
        "{mark} +{after} ms {} {} {chosen}: {}{inputs}\n",
        record.process, record.kind, record.reason
    )
}
