//! Settings of the duties towards the platform that one gateway carries out for all.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfError;
use crate::check::require_range;
use crate::read::parse_json;

/// Calls a second of all gateways together, if the platform states no limit.
const DEFAULT_CALLS_PER_SECOND: f64 = 1.0;

/// Duties and what the platform asks of them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address of the platform's API for duties.
    pub address: SocketAddr,
    /// Names of the duties in the platform's words.
    #[serde(default)]
    pub names: Vec<String>,
    /// Calls a second that the platform takes from all gateways together.
    #[serde(default = "default_calls_per_second")]
    pub calls_per_s: f64,
    /// Length of the windows of usage, in seconds.
    #[serde(default)]
    pub usage_window_s: Option<f64>,
    /// Time after the end of a window in which its usage is due, in seconds.
    #[serde(default)]
    pub usage_late_s: Option<f64>,
}

fn default_calls_per_second() -> f64 {
    DEFAULT_CALLS_PER_SECOND
}

/// Windows of usage and when their reports are due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageTiming {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub late: Duration,
    /// Least time between two calls.
    pub call_interval: Duration,
}

impl DutySettings {
    /// Parses and checks the JSON text of duties that is kept apart from the other settings. Returns `None`
    /// if the text is blank, as where the platform asks for none.
    pub fn parse(text: &str) -> Result<Option<Self>, ConfError> {
        if text.trim().is_empty() {
            return Ok(None);
        }
        let duties: Self = parse_json(text.as_bytes())?;
        duties.check()?;
        Ok(Some(duties))
    }

    /// Checks the ranges of the settings.
    pub(crate) fn check(&self) -> Result<(), ConfError> {
        require_range(self.calls_per_s, 0.01, 1e6, "duties.calls_per_s")?;
        if let Some(window_s) = self.usage_window_s {
            require_range(window_s, 0.5, 86_400.0, "duties.usage_window_s")?;
        }
        if let Some(late_s) = self.usage_late_s {
            require_range(late_s, 1.0, 86_400.0, "duties.usage_late_s")?;
        }
        Ok(())
    }

    /// Returns when usage is due, if the settings say so.
    pub fn usage_timing(&self) -> Option<UsageTiming> {
        let window = Duration::from_secs_f64(self.usage_window_s?);
        let late = self.usage_late_s.map(Duration::from_secs_f64);
        Some(UsageTiming {
            window,
            late: late.unwrap_or(window),
            call_interval: Duration::from_secs_f64(1.0 / self.calls_per_s),
        })
    }
}
