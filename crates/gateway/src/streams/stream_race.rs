//! Waits for the next bytes of a stream, and lets another attempt compete with a silent engine.

use tokio::time::sleep_until;
use units::InstanceId;

use crate::send::record_silence;
use crate::streams::generation::has_other_engine;
use crate::streams::standby::open_standby;
use crate::streams::stream_attempt::{
    StreamAttempt,
    record_failed_attempt, //
};
use crate::streams::stream_forwarder::{
    StreamEnd,
    StreamForwarder,
    StreamStep, //
};
use crate::suspects::crash_suspects::record_silence_later;

impl StreamForwarder {
    /// Waits for the next bytes of an attempt. Silence of the engine is no reason to end the stream,
    /// only to open another attempt beside it.
    pub(crate) async fn next_step(
        &mut self,
        attempt: &mut StreamAttempt,
        instance: &InstanceId,
    ) -> StreamStep {
        let can_resume = self.context.rule.kind.is_retryable();
        let mut is_noted = false;
        loop {
            let context = &self.context;
            tokio::select! {
                received = attempt.next_bytes() => return StreamStep::Received(received),
                () = context.wait_until_unresponsive(instance), if can_resume => {}
                never = record_silence(context, instance), if !can_resume => match never {},
                () = self.chunks.closed() => return StreamStep::Ended(StreamEnd::Aborted),
                () = sleep_until(context.deadline) => {
                    return StreamStep::Ended(StreamEnd::DeadlineExceeded);
                }
            }
            let may_retry = context.may_retry(&self.history)
                && !self.history.has_failed_too_often()
                && has_other_engine(context, &self.history);
            if !is_noted {
                is_noted = true;
                context.log_silence(instance, may_retry);
                record_silence_later(&context.shared, context.witness(), instance.clone());
            }
            if may_retry && let Some(step) = self.race_standby(attempt).await {
                return step;
            }
        }
    }

    /// Opens another attempt while a silent engine may still go on, and continues with the one that
    /// sends first. Returns `None` if the other attempt fails before the silence ends.
    async fn race_standby(&mut self, attempt: &mut StreamAttempt) -> Option<StreamStep> {
        let context = &self.context;
        let instance = attempt.instance.clone();
        let mut failure = None;
        let standby = {
            let standby = open_standby(context, &mut self.history, self.cursor.clone());
            tokio::pin!(standby);
            loop {
                let failed = tokio::select! {
                    received = attempt.next_bytes(), if failure.is_none() => match received {
                        Err(reason) => reason,
                        Ok(None) if self.cursor.is_mid_event() => "ended_mid_event",
                        received => break Err(StreamStep::Received(received)),
                    },
                    standby = &mut standby => break Ok(standby),
                    () = self.chunks.closed() => break Err(StreamStep::Ended(StreamEnd::Aborted)),
                    () = sleep_until(context.deadline) => {
                        break Err(StreamStep::Ended(StreamEnd::DeadlineExceeded));
                    }
                };
                record_failed_attempt(context, &instance, failed);
                failure = Some(failed);
            }
        };
        match standby {
            Ok(Ok(standby)) => {
                if failure.is_none() {
                    record_failed_attempt(context, &instance, "silent");
                }
                let used = &standby.attempt.instance;
                context.log_standby(used, "used", failure.unwrap_or("silent"));
                Some(StreamStep::Replaced(Box::new(standby)))
            }
            Ok(Err(reason)) => {
                context.log_standby(&instance, "failed", reason);
                failure.map(|reason| StreamStep::Ended(StreamEnd::Failed(instance, reason)))
            }
            Err(step) => {
                self.history.record_given_up();
                context.log_standby(&instance, "given_up", "stream went on or ended");
                Some(step)
            }
        }
    }
}
