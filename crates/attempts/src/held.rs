//! A run held for its caller to come back to: its events in order, bounded in number and size, and how
//! it ended. Whoever goes on with it names the last event it saw and gets the ones after that.

use crate::prelude::*;

/// Events of one run that are held at the most.
pub const MAX_HELD_EVENTS: usize = 8192;
/// Bytes of one run that are held at the most.
pub const MAX_HELD_BYTES: usize = 4 << 20;
/// How long a run is held after its end.
pub const HELD_AFTER_END: Span = Span::seconds(30);

/// How a held run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldEnd {
    /// With its end mark.
    Whole,
    /// Before its end mark.
    Cut(CutReason),
}

/// The events of a held run.
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
    /// Holds an event; false if there is no more room.
    pub fn hold(&mut self, event: E, bytes: usize) -> bool {
        if self.events.len() >= MAX_HELD_EVENTS || self.bytes + bytes > MAX_HELD_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.events.push(event);
        true
    }

    /// Notes the end; the first one stands.
    pub fn end(&mut self, end: HeldEnd, now: Instant) {
        self.end.get_or_insert((end, now));
    }

    /// How many events are held.
    pub fn count(&self) -> usize {
        self.events.len()
    }

    /// The events from a place on, as far as they have come, and the end if it has.
    pub fn from(&self, place: usize) -> (Vec<E>, Option<HeldEnd>) {
        let rest = self.events.get(place..).map(<[E]>::to_vec).unwrap_or_default();
        (rest, self.end.as_ref().map(|(end, _)| end.clone()))
    }

    /// Whether the run need not be held any longer.
    pub fn is_over(&self, now: Instant) -> bool {
        self.end.as_ref().is_some_and(|(_, ended)| now.since(*ended) >= HELD_AFTER_END)
    }
}

/// The place to go on from after the last piece that was seen; nothing if that piece was never sent.
pub fn resume_index(last_piece: Option<u64>, event_count: usize) -> Option<usize> {
    let place = last_piece.map_or(0, |piece| piece + 1) as usize;
    (place <= event_count).then_some(place)
}

/// An event id, taken apart: router, run, piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The router that holds the run.
    pub router: NodeId,
    /// The run's number there.
    pub run: u64,
    /// The last piece seen; none if the run alone is named.
    pub piece: Option<u64>,
}

impl EventId {
    /// Reads `ROUTER.RUN` or `ROUTER.RUN.PIECE`, strictly.
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
    fn event_names_are_read_strictly() {
        let named = EventId::read("00000000000000ab.7.12").unwrap();
        assert_eq!((named.router, named.run, named.piece), (NodeId(0xab), 7, Some(12)));
        assert_eq!(EventId::read("00000000000000ab.7").unwrap().piece, None);
        let long_name = format!("00000000000000ab.7.{}", "1".repeat(80));
        for forged in [
            "",
            "ab.7.1",
            "00000000000000ab",
            "00000000000000ab.7.1.2",
            "00000000000000ab.-7.1",
            "zz.1.1",
            &long_name,
        ] {
            assert_eq!(EventId::read(forged), None, "{forged}");
        }
    }

    #[test]
    fn a_held_run_has_bounds_and_goes_on_where_its_caller_left_off() {
        let mut held = HeldEvents::default();
        assert!(held.hold("a", MAX_HELD_BYTES - 1) && held.hold("b", 1));
        assert!(!held.hold("c", 1), "no more room");
        assert_eq!(held.from(1), (vec!["b"], None));
        let late = HeldEnd::Cut(CutReason { kind: "cut", message: "late".into() });
        held.end(late.clone(), Instant(5));
        held.end(HeldEnd::Whole, Instant(6));
        assert_eq!(held.from(2), (vec![], Some(late)), "the first end stands");
        assert!(held.is_over(Instant(5) + HELD_AFTER_END) && !held.is_over(Instant(6)));
        let places = [None, Some(0), Some(1), Some(2)].map(|last| resume_index(last, held.count()));
        assert_eq!(places, [Some(0), Some(1), Some(2), None]);
    }
}
