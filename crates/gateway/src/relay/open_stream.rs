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
    pub(super) received: EventBatch,
    pub(super) is_ended: bool,
    /// Why the stream cannot be read further; sound events received before it are forwarded first.
    pub(super) fault: Option<String>,
}

impl OpenStream {
    /// Reads the next frame and adds the events that it completes to those received.
    pub(super) async fn read_next(&mut self) {
        match self.answer.body.frame().await {
            None => {
                self.is_ended = true;
                self.fault = self.splitter.finish().map(|fault| format!("{fault:?}"));
            }
            Some(Err(error)) => self.fault = Some(error.to_string()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    let batch = self.splitter.feed(&data);
                    self.add(batch);
                }
            }
        }
    }

    fn add(&mut self, batch: EventBatch) {
        self.received.events.extend(batch.events);
        self.received.last_event = batch.last_event;
        self.fault = batch.fault.map(|fault| format!("{fault:?}"));
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
        let splitter = EventSplitter::after(last_event, self.number_gaps);
        let received = EventBatch { last_event, ..EventBatch::default() };
        let mut stream = OpenStream { answer, splitter, received, is_ended: false, fault: None };
        let limit = StartLimit::of(self, &stream.answer.reservation.engine, stream.answer.weights);
        limit.within(self.read_first_event(&mut stream)).await?;
        self.record_prefill(&mut stream.answer.reservation, stream.answer.weights);
        Ok(stream)
    }

    /// Reads until the first event is complete or the stream has ended.
    async fn read_first_event(&mut self, stream: &mut OpenStream) -> Result<(), AttemptEnd> {
        while stream.received.events.is_empty() && !stream.is_ended {
            let time_left = self.planned.deadline.since(boot_now()).as_duration();
            if tokio::time::timeout(time_left, stream.read_next()).await.is_err() {
                return Err(AttemptEnd::TimedOut { is_sent: true });
            }
            let Some(reason) = stream.fault.as_ref().filter(|_| stream.received.events.is_empty()) else { continue };
            self.record_fault(&stream.answer.reservation.engine, FaultKind::Broken, reason);
            self.number_gaps = stream.splitter.gaps();
            return Err(failed(Failure::Uncertain));
        }
        Ok(())
    }
}
