//! Parsing of query parameters.

use std::time::Duration;

/// Returns the value of the first query parameter called `name`, without percent-decoding.
pub(crate) fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a duration in seconds or milliseconds, such as `10s` or `250ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.parse().ok().map(Duration::from_secs)
}
