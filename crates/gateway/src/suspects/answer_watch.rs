//! Observes streams that deliver events, which shows that the segments of their prompts crash nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use units::SuspectId;

use crate::request::RequestContext;
use crate::suspects::crash_suspects::record_answering;

/// Time after the first event from which further events show that the segments of the prompt crash no
/// backend server. One that is about to crash may still write an event.
const ANSWERING_TIME: Duration = Duration::from_millis(300);

/// Segments on which backend servers are writing answers, with the number of streams.
#[derive(Debug, Default)]
pub(crate) struct AnsweringSegments(BTreeMap<SuspectId, u32>);

impl AnsweringSegments {
    /// Returns whether a stream with a segment delivers events now, so that it will soon be known
    /// whether the segment crashes servers.
    pub(crate) fn contains(&self, segment: SuspectId) -> bool {
        self.0.contains_key(&segment)
    }

    fn insert(&mut self, segment: SuspectId) {
        *self.0.entry(segment).or_default() += 1;
    }

    fn remove(&mut self, segment: SuspectId) {
        if let Some(count) = self.0.get_mut(&segment) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&segment);
            }
        }
    }
}

/// Events of one attempt of a stream.
pub(crate) struct AnswerWatch {
    context: Arc<RequestContext>,
    first_event: Option<Instant>,
    is_recorded: bool,
}

impl AnswerWatch {
    pub(crate) fn new(context: &Arc<RequestContext>) -> Self {
        Self {
            context: context.clone(),
            first_event: None,
            is_recorded: false,
        }
    }

    /// Records events that were delivered.
    pub(crate) fn record_events(&mut self) {
        if self.is_recorded {
            return;
        }
        let now = Instant::now();
        let Some(first_event) = self.first_event else {
            self.first_event = Some(now);
            return self.update_segments(AnsweringSegments::insert);
        };
        if now >= first_event + ANSWERING_TIME {
            self.is_recorded = true;
            record_answering(&self.context);
            self.update_segments(AnsweringSegments::remove);
        }
    }

    fn update_segments(&self, update: fn(&mut AnsweringSegments, SuspectId)) {
        let suspects = self.context.suspects.iter().copied();
        let mut state = self.context.shared.lock();
        for segment in suspects.filter(|suspect| suspect.is_prompt_segment()) {
            update(&mut state.answering_segments, segment);
        }
    }
}

impl Drop for AnswerWatch {
    fn drop(&mut self) {
        if self.first_event.is_some() && !self.is_recorded {
            self.update_segments(AnsweringSegments::remove);
        }
    }
}
