//! Blocks of an event stream: read whole however the bytes are cut, and reported if they are not sound.

use web::prelude::{EventBlock, EventBlocks, EventFault, MAX_EVENT_BYTES};

fn blocks_of(pieces: &[&[u8]]) -> Vec<Result<EventBlock, EventFault>> {
    let mut blocks = EventBlocks::default();
    let mut found = Vec::new();
    for piece in pieces {
        blocks.feed(piece);
        found.extend(std::iter::from_fn(|| blocks.next_block()));
    }
    found
}

fn is_event(block: &Result<EventBlock, EventFault>, id: Option<&str>, data: &[u8]) -> bool {
    matches!(block, Ok(EventBlock::Event(event)) if event.id.as_deref() == id && event.data == data)
}

#[test]
fn fields_are_read_however_the_bytes_are_cut() {
    let stream =
        b":note\n: another\n\nid: 1\ndata: a\n\nx-weights: 2\r\nid:2\r\nevent: e\r\ndata: b\r\ndata:c: d\r\n\r\n\n";
    for size in 1..=stream.len() {
        let pieces: Vec<&[u8]> = stream.chunks(size).collect();
        let found = blocks_of(&pieces);
        assert_eq!(found.len(), 4, "cut into {size}");
        assert_eq!(found[0], Ok(EventBlock::Filler(b":note\n: another\n\n".to_vec())));
        assert!(is_event(&found[1], Some("1"), b"a") && is_event(&found[2], Some("2"), b"b\nc: d"), "{found:?}");
        assert_eq!(found[3], Ok(EventBlock::Filler(b"\n".to_vec())));
    }
}

/// Guards against events that are passed over or joined because one byte of a line is damaged.
#[test]
fn a_block_with_an_unsound_line_is_reported() {
    let unsound: [&[u8]; 13] = [
        b"data: a\n:data: b\n\n",
        b"data: a\n: b\n\n",
        b": a\ndata: b\n\n",
        b":ata: a\n\n",
        b":d: 6\ndata: a\n\n",
        b"dbta: a\n\n",
        b"data; a\n\n",
        b"data: a\n id: 7\ndata: b\n\n",
        b"id: 6\ndata: a\nid: 7\ndata: b\n\n",
        b"id: 6\n\n",
        b"data: a\n\rid: 7\ndata: b\n\n",
        b"id: 6\nx-weights: 2\ndata: a\n\n",
        b"x-weights: 2\n\n",
    ];
    for block in unsound {
        let found = blocks_of(&[block]);
        assert_eq!(found.first(), Some(&Err(EventFault::Malformed)), "{}", String::from_utf8_lossy(block));
    }
}

#[test]
fn a_block_without_data_is_no_event() {
    for filler in [&b"retry: 1000\n\n"[..], b"event: ping\n\n", b":\n\n", b"\r\n"] {
        assert_eq!(blocks_of(&[filler]), [Ok(EventBlock::Filler(filler.to_vec()))]);
    }
}

#[test]
fn an_endless_block_is_reported_after_the_blocks_before_it() {
    let mut stream = b"data: a\n\ndata: ".to_vec();
    stream.resize(stream.len() + MAX_EVENT_BYTES, b'x');
    let found = blocks_of(&[&stream]);
    assert_eq!(found.len(), 2);
    assert!(is_event(&found[0], None, b"a"));
    assert_eq!(found[1], Err(EventFault::TooLarge));
}
