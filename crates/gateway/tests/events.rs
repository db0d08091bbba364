//! Events are forwarded whole and in order, however the stream's bytes are split.

use gateway::prelude::{EventSplitter, EventStreamError};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 5\ndata: c\n\n";

#[test]
fn events_come_out_whole_and_unchanged_however_they_are_cut() {
    for cut in 1..STREAM.len() {
        let mut splitter = EventSplitter::after(None);
        let mut passed = Vec::new();
        for piece in STREAM.chunks(cut) {
            let events = splitter.feed(piece).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"), "part of an event was forwarded");
            passed.extend(events);
        }
        assert_eq!(passed, STREAM);
        assert_eq!((splitter.last_event(), splitter.is_at_boundary()), (Some(5), true));
    }
}

#[test]
fn events_out_of_order_and_endless_ones_are_refused() {
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(splitter.feed(b"id: 2\ndata: b\n\n"), Err(EventStreamError::OutOfOrder));
    let mut splitter = EventSplitter::after(None);
    assert_eq!(splitter.feed(&vec![b'x'; 2 << 20]), Err(EventStreamError::TooLarge));
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(splitter.feed(b"id: 3\r\ndata: b\r\n\r\nid: 4").unwrap(), b"id: 3\r\ndata: b\r\n\r\n");
    assert!(!splitter.is_at_boundary());
}
