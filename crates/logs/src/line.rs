//! JSON format of a log line.

use serde::Serialize;
use spdlog::formatter::{
    Formatter,
    FormatterContext, //
};
use units::InstanceId;

use crate::DecisionRecord;

/// Fields of a log line after its time and level.
#[derive(Serialize)]
pub(crate) struct LineFields<'a> {
    pub(crate) process: &'a InstanceId,
    #[serde(flatten)]
    pub(crate) record: &'a DecisionRecord,
}

/// Formats a log record, whose payload is a JSON object, with its time and level as first fields.
#[derive(Clone, Default)]
pub(crate) struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &spdlog::Record<'_>,
        dest: &mut spdlog::StringBuf,
        _context: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        use std::fmt::Write;
        let since = record.time().duration_since(std::time::UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        let level = record.level().as_str();
        let fields = record.payload().strip_prefix('{').unwrap_or("}");
        writeln!(
            dest,
            "{{\"time_ms\":{millis},\"level\":\"{level}\",{fields}"
        )
        .map_err(spdlog::Error::FormatRecord)
    }
}
