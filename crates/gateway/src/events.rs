//! Splits a server-sent event stream into whole events, so that a caller never receives part of one, and tracks
//! the number of the last whole event.

/// The limit on buffered bytes, and thus on the size of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStreamError {
    TooLarge,
    /// An event's number is not greater than the previous one.
    OutOfOrder,
}

/// Splits a byte stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that continues after the given event.
    pub fn after(last_event: Option<u64>) -> EventSplitter {
        EventSplitter { pending: Vec::new(), last_event }
    }

    /// The number of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether no partial event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds bytes and returns the events that they complete, unchanged.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventStreamError> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventStreamError::TooLarge);
        }
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending) else { return Ok(Vec::new()) };
        let rest = self.pending.split_off(end);
        let whole_events = std::mem::replace(&mut self.pending, rest);
        for number in event_numbers(&whole_events) {
            if self.last_event.is_some_and(|last| number <= last) {
                return Err(EventStreamError::OutOfOrder);
            }
            self.last_event = Some(number);
        }
        Ok(whole_events)
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let after_line_feeds = bytes.windows(2).rposition(|window| window == b"\n\n").map(|index| index + 2);
    let after_line_ends = bytes.windows(4).rposition(|window| window == b"\r\n\r\n").map(|index| index + 4);
    after_line_feeds.max(after_line_ends)
}

fn event_numbers(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
