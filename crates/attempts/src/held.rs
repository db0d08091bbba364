//! The buffered events of a resumable run: in order, bounded in number and size, with how the run ended. A
//! caller that resumes names the last event it received and gets those after it.

use crate::prelude::*;

/// Maximum number of buffered events of a run.
pub const MAX_HELD_EVENTS: usize = 8192;
/// Maximum size of a run's buffered events, in bytes.
pub const MAX_HELD_BYTES: usize = 4 << 20;
/// How long a run's events are kept after its end.
pub const HELD_AFTER_END: Span = Span::seconds(30);

/// How a held run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldEnd {
    /// Complete, with its end mark.
    Whole,
    /// Before its end mark.
    Cut(CutReason),
}

/// The buffered events of a run.
#[derive(Clone, Debug)]
pub struct HeldEvents<E> {
    events: Vec<E>,
    bytes: usize,
    end: Option<(HeldEnd, Instant)>,
}

impl<E> Default for HeldEvents<E> {
    fn default() -> HeldEvents<E> {
        HeldEvents { events: Vec::new(), bytes: 0, end: None }
    }
}

impl<E: Clone> HeldEvents<E> {
    /// Appends an event; false if the buffer is full.
    pub fn hold(&mut self, event: E, bytes: usize) -> bool {
        if self.events.len() >= MAX_HELD_EVENTS || self.bytes + bytes > MAX_HELD_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.events.push(event);
        true
    }

    /// Records how the run ended; later calls change nothing.
    pub fn end(&mut self, end: HeldEnd, now: Instant) {
        self.end.get_or_insert((end, now));
    }

    /// The number of buffered events.
    pub fn count(&self) -> usize {
        self.events.len()
    }

    /// The events so far from an index on, and how the run ended if it has.
    pub fn from(&self, index: usize) -> (Vec<E>, Option<HeldEnd>) {
        let rest = self.events.get(index..).map(<[E]>::to_vec).unwrap_or_default();
        (rest, self.end.as_ref().map(|(end, _)| end.clone()))
    }

    /// Whether the events need not be kept any longer.
    pub fn is_over(&self, now: Instant) -> bool {
        self.end.as_ref().is_some_and(|(_, ended)| now.since(*ended) >= HELD_AFTER_END)
    }
}

/// The index of the first event after the last piece received; `None` if that piece was never sent.
pub fn resume_index(last_piece: Option<u64>, event_count: usize) -> Option<usize> {
    let index = last_piece.map_or(0, |piece| piece + 1) as usize;
    (index <= event_count).then_some(index)
}

/// A parsed event id: router, run and piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The router that holds the run.
    pub router: NodeId,
    /// The run's number at that router.
    pub run: u64,
    /// The last piece received; `None` if the id names only the run.
    pub piece: Option<u64>,
}

impl EventId {
    /// Parses `ROUTER.RUN` or `ROUTER.RUN.PIECE`; anything else is `None`.
    pub fn read(text: &str) -> Option<EventId> {
        if text.len() > 64 {
            return None;
        }
        let mut parts = text.split('.');
        let router_text = parts.next().filter(|part| part.len() == 16)?;
        let router = router_text.parse().ok()?;
        let run = parts.next()?.parse().ok()?;
        let piece = match parts.next() {
            Some(part) => Some(part.parse().ok()?),
            None => None,
        };
        parts.next().is_none().then_some(EventId { router, run, piece })
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn event_ids_are_parsed_strictly() {
        let id = EventId::read("00000000000000ab.7.12").unwrap();
        assert_eq!((id.router, id.run, id.piece), (NodeId(0xab), 7, Some(12)));
        assert_eq!(EventId::read("00000000000000ab.7").unwrap().piece, None);
        let long_id = format!("00000000000000ab.7.{}", "1".repeat(80));
        for malformed in
            ["", "ab.7.1", "00000000000000ab", "00000000000000ab.7.1.2", "00000000000000ab.-7.1", "zz.1.1", &long_id]
        {
            assert_eq!(EventId::read(malformed), None, "{malformed}");
        }
    }

    #[test]
    fn a_held_run_is_bounded_and_resumes_after_the_last_piece_received() {
        let mut held = HeldEvents::default();
        assert!(held.hold("a", MAX_HELD_BYTES - 1) && held.hold("b", 1));
        assert!(!held.hold("c", 1), "the buffer is full");
        assert_eq!(held.from(1), (vec!["b"], None));
        let late = HeldEnd::Cut(CutReason { kind: "cut", message: "late".into() });
        held.end(late.clone(), Instant(5));
        held.end(HeldEnd::Whole, Instant(6));
        assert_eq!(held.from(2), (vec![], Some(late)), "the first end is kept");
        assert!(held.is_over(Instant(5) + HELD_AFTER_END) && !held.is_over(Instant(6)));
        let indexes = [None, Some(0), Some(1), Some(2)].map(|last| resume_index(last, held.count()));
        assert_eq!(indexes, [Some(0), Some(1), Some(2), None]);
    }
}
