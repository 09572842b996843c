//! Observes how long a stream has been delivering events.

use std::time::Duration;

use tokio::time::Instant;

use crate::crash_suspects::record_answering;
use crate::request::RequestContext;

/// Time after the first event from which further events show that the segments of the prompt crash no
/// backend server. One that is about to crash may still write an event.
const ANSWERING_TIME: Duration = Duration::from_millis(300);

/// Events of one attempt of a stream.
#[derive(Debug, Default)]
pub(crate) struct AnswerWatch {
    first_event: Option<Instant>,
    is_recorded: bool,
}

impl AnswerWatch {
    /// Records events that were delivered.
    pub(crate) fn record_events(&mut self, context: &RequestContext) {
        if self.is_recorded {
            return;
        }
        let now = Instant::now();
        let first_event = *self.first_event.get_or_insert(now);
        if now >= first_event + ANSWERING_TIME {
            self.is_recorded = true;
            record_answering(context);
        }
    }
}
