//! Opens a stream: nothing is sent to the caller before the first event is complete.

use super::Relay;
use super::answer_head::OpenResponse;
use super::attempt_end::{AttemptEnd, failed};
use super::start_limit::StartLimit;
use crate::prelude::*;

/// An engine's open stream, with the events received but not yet forwarded.
pub(super) struct OpenStream {
    pub(super) answer: OpenResponse,
    pub(super) splitter: EventSplitter,
    pub(super) events: Vec<u8>,
    pub(super) is_ended: bool,
}

impl OpenStream {
    /// Reads the next frame; appends the events that it completes to `events`.
    pub(super) async fn read_next(&mut self) -> Result<(), String> {
        let Some(frame) = self.answer.body.frame().await else {
            if !self.splitter.is_at_boundary() {
                return Err("the stream ended inside an event".into());
            }
            self.is_ended = true;
            return Ok(());
        };
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            let whole_events = self.splitter.feed(&data).map_err(|error| format!("{error:?}"))?;
            self.events.extend(whole_events);
        }
        Ok(())
    }
}

impl Relay {
    /// Opens a stream and waits for its first event.
    pub(super) async fn open_stream(
        &mut self,
        is_retry: bool,
        last_event: Option<u64>,
    ) -> Result<OpenStream, AttemptEnd> {
        let answer = self.attempt(is_retry, last_event).await?;
        let splitter = EventSplitter::after(last_event);
        let mut stream = OpenStream { answer, splitter, events: Vec::new(), is_ended: false };
        let limit = StartLimit::of(self, &stream.answer.reservation.engine, stream.answer.weights);
        limit.within(self.read_first_event(&mut stream)).await?;
        self.record_prefill(&mut stream.answer.reservation, stream.answer.weights);
        Ok(stream)
    }

    /// Reads until the first event is complete or the stream has ended.
    async fn read_first_event(&mut self, stream: &mut OpenStream) -> Result<(), AttemptEnd> {
        while stream.events.is_empty() && !stream.is_ended {
            let time_left = self.planned.deadline.since(boot_now()).as_duration();
            match tokio::time::timeout(time_left, stream.read_next()).await {
                Err(_) => return Err(AttemptEnd::TimedOut { is_sent: true }),
                Ok(Ok(())) => {}
                Ok(Err(reason)) => {
                    self.record_fault(&stream.answer.reservation.engine, FaultKind::Broken, &reason);
                    return Err(failed(Failure::Uncertain));
                }
            }
        }
        Ok(())
    }
}
