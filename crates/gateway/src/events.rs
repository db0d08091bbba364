//! Checks the numbers of a stream's events, so that a caller receives whole events in order, each once and none
//! left out: what is sound before a fault is passed on, and nothing after it.

use crate::prelude::*;

/// Why a stream cannot be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStreamError {
    TooLarge,
    /// A part of the stream is no event.
    Malformed,
    /// An event has no number.
    NoNumber,
    /// An event's number is not greater than the previous one, or is greater than the one that follows.
    OutOfOrder,
    /// The last event's number leaves a gap, and nothing shows that this engine's numbers do.
    UnconfirmedGap,
    /// The stream ended inside an event.
    Incomplete,
}

/// The events that some bytes have completed, and the fault that ends the stream, if there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Sound events in order, unchanged.
    pub events: Vec<u8>,
    /// The number of the last of these events, or of the last one before them.
    pub last_event: Option<u64>,
    pub fault: Option<EventStreamError>,
}

/// What is known about gaps between the numbers of a stream's events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NumberGaps {
    /// Each number so far was the next one.
    #[default]
    None,
    /// An earlier engine left a gap before this number, and it was not confirmed.
    Suspected(u64),
    /// A gap was followed by a greater number: this engine's numbers leave gaps.
    Confirmed,
}

/// An event after a gap. Its number may be damaged, so it is held until the next number shows that it is not.
#[derive(Clone, Debug)]
struct HeldEvent {
    number: u64,
    bytes: Vec<u8>,
}

/// Splits a stream into whole events and checks their numbers.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    blocks: EventBlocks,
    last_event: Option<u64>,
    gaps: NumberGaps,
    held: Option<HeldEvent>,
}

impl EventSplitter {
    /// A splitter for a stream that continues after the given event.
    pub fn after(last_event: Option<u64>, gaps: NumberGaps) -> EventSplitter {
        EventSplitter { last_event, gaps, ..EventSplitter::default() }
    }

    /// What another engine that continues this stream must know about gaps.
    pub fn gaps(&self) -> NumberGaps {
        match &self.held {
            Some(held) => NumberGaps::Suspected(held.number),
            None => self.gaps,
        }
    }

    /// Adds bytes and returns the events that they complete, up to a fault if there is one.
    pub fn feed(&mut self, bytes: &[u8]) -> EventBatch {
        self.blocks.feed(bytes);
        let mut events = Vec::new();
        let mut fault = None;
        while let (None, Some(block)) = (fault, self.blocks.next_block()) {
            fault = self.take_block(block, &mut events).err();
        }
        EventBatch { events, last_event: self.last_event, fault }
    }

    /// The fault of a stream that ends here, if it is not complete.
    pub fn finish(&self) -> Option<EventStreamError> {
        if !self.blocks.is_at_boundary() {
            return Some(EventStreamError::Incomplete);
        }
        self.held.as_ref().map(|_| EventStreamError::UnconfirmedGap)
    }

    fn take_block(
        &mut self,
        block: Result<EventBlock, EventFault>,
        events: &mut Vec<u8>,
    ) -> Result<(), EventStreamError> {
        match block {
            Ok(EventBlock::Event(event)) => self.take_event(event, events),
            Ok(EventBlock::Filler(bytes)) => {
                self.held.as_mut().map_or(events, |held| &mut held.bytes).extend(bytes);
                Ok(())
            }
            Err(EventFault::TooLarge) => Err(EventStreamError::TooLarge),
            Err(EventFault::Malformed) => Err(EventStreamError::Malformed),
        }
    }

    fn take_event(&mut self, event: Event, events: &mut Vec<u8>) -> Result<(), EventStreamError> {
        let number = event.id.as_deref().and_then(read_number).ok_or(EventStreamError::NoNumber)?;
        if self.last_event.is_some_and(|last| number <= last) {
            return Err(EventStreamError::OutOfOrder);
        }
        if let Some(held) = self.held.take() {
            self.confirm(held, number, events)?;
        }
        if self.leaves_unknown_gap(number) {
            self.held = Some(HeldEvent { number, bytes: event.bytes });
            return Ok(());
        }
        if number != first_after(self.last_event) {
            self.gaps = NumberGaps::Confirmed;
        }
        self.last_event = Some(number);
        events.extend(event.bytes);
        Ok(())
    }

    /// Passes on a held event if the number that follows shows that its own is sound.
    fn confirm(&mut self, held: HeldEvent, next: u64, events: &mut Vec<u8>) -> Result<(), EventStreamError> {
        let starts_at_zero = held.number == 0;
        let is_sound = if starts_at_zero { next == 1 } else { next > held.number };
        if !is_sound {
            return Err(EventStreamError::OutOfOrder);
        }
        if !starts_at_zero {
            self.gaps = NumberGaps::Confirmed;
        }
        self.last_event = Some(held.number);
        events.extend(held.bytes);
        Ok(())
    }

    fn leaves_unknown_gap(&self, number: u64) -> bool {
        match self.gaps {
            NumberGaps::Confirmed => false,
            NumberGaps::Suspected(suspected) if number == suspected => false,
            _ => number != first_after(self.last_event),
        }
    }
}

fn first_after(last_event: Option<u64>) -> u64 {
    last_event.unwrap_or(0).saturating_add(1)
}

fn read_number(text: &str) -> Option<u64> {
    let has_only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    has_only_digits.then(|| text.parse().ok()).flatten()
}
