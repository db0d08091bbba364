//! Events are forwarded whole and in order, however the stream's bytes are split, and what is sound before a fault
//! is forwarded first.

use gateway::prelude::{EventSplitter, EventStreamError, NumberGaps};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 5\ndata: c\n\nid: 6\ndata: d\n\n";

fn splitter(last_event: Option<u64>) -> EventSplitter {
    EventSplitter::after(last_event, NumberGaps::None)
}

#[test]
fn events_come_out_whole_and_unchanged_however_they_are_cut() {
    for cut in 1..STREAM.len() {
        let mut splitter = splitter(None);
        let mut passed = Vec::new();
        let mut last_event = None;
        for piece in STREAM.chunks(cut) {
            let batch = splitter.feed(piece);
            assert_eq!(batch.fault, None);
            assert!(batch.events.is_empty() || batch.events.ends_with(b"\n\n"), "part of an event was forwarded");
            passed.extend(batch.events);
            last_event = batch.last_event;
        }
        assert_eq!(passed, STREAM);
        assert_eq!((last_event, splitter.finish()), (Some(6), None));
    }
}

#[test]
fn events_out_of_order_and_endless_ones_are_refused() {
    assert_eq!(splitter(Some(2)).feed(b"id: 2\ndata: b\n\n").fault, Some(EventStreamError::OutOfOrder));
    assert_eq!(splitter(None).feed(&vec![b'x'; 2 << 20]).fault, Some(EventStreamError::TooLarge));
    assert_eq!(splitter(None).feed(b"data: b\n\n").fault, Some(EventStreamError::NoNumber));
    let mut splitter = splitter(Some(2));
    assert_eq!(splitter.feed(b"id: 3\r\ndata: b\r\n\r\nid: 4").events, b"id: 3\r\ndata: b\r\n\r\n");
    assert_eq!(splitter.finish(), Some(EventStreamError::Incomplete));
}

/// Guards against ORDER in review/7: the sound event before a damaged one counted as delivered and was dropped.
#[test]
fn the_events_before_a_damaged_one_are_returned_with_its_fault() {
    let mut splitter = splitter(Some(4));
    let batch = splitter.feed(b"id: 5\ndata: e\n\nid: 2\ndata: f\n\nid: 7\ndata: g\n\n");
    assert_eq!(batch.events, b"id: 5\ndata: e\n\n");
    assert_eq!((batch.last_event, batch.fault), (Some(5), Some(EventStreamError::OutOfOrder)));
}

#[test]
fn an_event_after_a_gap_is_held_until_the_next_number_confirms_it() {
    let mut sparse = splitter(Some(2));
    let held = sparse.feed(b"id: 9\ndata: c\n\n");
    assert_eq!((held.events, held.last_event, held.fault), (Vec::new(), Some(2), None));
    assert_eq!(sparse.finish(), Some(EventStreamError::UnconfirmedGap));
    assert_eq!(sparse.feed(b"id: 10\ndata: d\n\n").events, b"id: 9\ndata: c\n\nid: 10\ndata: d\n\n");
    assert_eq!(sparse.feed(b"id: 20\ndata: e\n\n").last_event, Some(20), "this engine's numbers leave gaps");

    let mut damaged = splitter(Some(2));
    damaged.feed(b"id: 9\ndata: c\n\n");
    let batch = damaged.feed(b"id: 4\ndata: d\n\n");
    assert_eq!((batch.events, batch.last_event), (Vec::new(), Some(2)));
    assert_eq!(batch.fault, Some(EventStreamError::OutOfOrder));
    assert_eq!(damaged.gaps(), NumberGaps::None);
}

#[test]
fn a_gap_that_two_engines_leave_is_sound() {
    let mut first = splitter(Some(2));
    first.feed(b"id: 5\ndata: c\n\n");
    assert_eq!(first.gaps(), NumberGaps::Suspected(5));
    let mut second = EventSplitter::after(Some(2), first.gaps());
    assert_eq!(second.feed(b"id: 5\ndata: c\n\n").last_event, Some(5));
    assert_eq!(second.finish(), None);
}

/// An engine's stream after an event, to the last one; each event in one of the forms that engines use.
fn engine_stream(after: u64, last: u64, line_end: &str) -> Vec<u8> {
    let event = |number: u64| {
        let weights = if number.is_multiple_of(4) { format!("x-weights: 2{line_end}") } else { String::new() };
        format!("{weights}id: {number}{line_end}data: 6.0.{number}.ynfyt{line_end}{line_end}")
    };
    (after + 1..=last).map(event).collect::<String>().into_bytes()
}

/// What a caller has received, and whether it appears complete.
#[derive(Default)]
struct Received {
    bytes: Vec<u8>,
    is_complete: bool,
}

impl Received {
    /// The numbers of the events. Each event must have one id and one line of data.
    fn numbers(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.bytes).replace('\r', "");
        let blocks = text.split("\n\n").map(|block| block.trim_start_matches('\n')).filter(|block| !block.is_empty());
        let number_of = |block: &str| {
            let values = |name: &str| block.lines().filter(|line| line.starts_with(name)).count();
            assert_eq!((values("id:"), values("data:")), (1, 1), "{block:?}");
            let id = block.lines().find_map(|line| line.strip_prefix("id:"));
            id.and_then(|id| id.trim().parse().ok()).unwrap_or_else(|| panic!("{block:?}"))
        };
        blocks.map(number_of).collect()
    }
}

/// Forwards a stream in the drawn pieces; returns the last event that went on if the stream is not complete.
fn forward(
    stream: &[u8],
    splitter: &mut EventSplitter,
    received: &mut Received,
    unstructured: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Option<u64>> {
    let mut rest = stream;
    let mut last_event = None;
    while !rest.is_empty() {
        let size = unstructured.int_in_range(1..=rest.len().min(120))?;
        let (piece, after) = rest.split_at(size);
        rest = after;
        let batch = splitter.feed(piece);
        received.bytes.extend(batch.events);
        last_event = batch.last_event;
        if batch.fault.is_some() {
            return Ok(last_event);
        }
    }
    received.is_complete = splitter.finish().is_none();
    Ok(last_event)
}

/// Guards against ORDER by damage in any byte of any event, however the stream is cut into pieces.
#[test]
fn a_damaged_stream_is_complete_or_a_prefix_and_is_complete_once_resumed() {
    for seed in 0..4000u64 {
        arbtest::arbtest(|unstructured| {
            let last = unstructured.int_in_range(1..=14)?;
            let line_end = *unstructured.choose(&["\n", "\r\n"])?;
            let mut stream = engine_stream(0, last, line_end);
            let position = unstructured.int_in_range(0..=stream.len() - 1)?;
            let likely = *unstructured.choose(b"\n\r: 0123456789idatx-\xff")?;
            stream[position] = if unstructured.arbitrary()? { likely } else { unstructured.arbitrary()? };
            let mut first = splitter(None);
            let mut received = Received::default();
            let went_on = forward(&stream, &mut first, &mut received, unstructured)?;
            let numbers = received.numbers();
            let whole: Vec<u64> = (1..=last).collect();
            assert!(whole.starts_with(&numbers), "{numbers:?} of {last}, byte {position} damaged");
            assert!(!received.is_complete || numbers == whole, "an incomplete stream appears complete");
            if received.is_complete {
                return Ok(());
            }
            let after = went_on.unwrap_or(0);
            let mut second = EventSplitter::after(went_on, first.gaps());
            forward(&engine_stream(after, last, line_end), &mut second, &mut received, unstructured)?;
            assert!(received.is_complete, "byte {position} damaged");
            assert_eq!(received.numbers(), whole, "byte {position} damaged");
            Ok(())
        })
        .seed(seed << 32 | 512)
        .run();
    }
}
