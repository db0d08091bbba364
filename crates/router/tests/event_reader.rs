//! The pieces of an engine's stream are read in order, each once and none left out, or the stream is broken.

use router::prelude::{EventReader, STREAM_END, Value};

fn engine_stream(pieces: usize) -> Vec<u8> {
    let mut stream: String = (0..pieces).map(|piece| format!("data: {{\"piece\":{piece}}}\n\n")).collect();
    stream.push_str("data: [DONE]\n\n");
    stream.into_bytes()
}

/// Reads a stream cut into pieces of `size` bytes; returns its data, and whether it can be read to its end. As in a
/// forwarded stream, data that is neither JSON nor the end mark breaks it.
fn read_all(stream: &[u8], size: usize) -> (Vec<String>, bool) {
    let mut reader = EventReader::default();
    let mut found = Vec::new();
    for bytes in stream.chunks(size) {
        reader.feed(bytes);
        while let Some(data) = reader.next_data() {
            match data {
                Ok(data) if data == STREAM_END || serde_json::from_str::<Value>(&data).is_ok() => found.push(data),
                Ok(_) | Err(_) => return (found, false),
            }
        }
    }
    (found, reader.is_empty())
}

/// Guards against ORDER: a piece whose line was damaged was passed over, and the stream appeared complete.
#[test]
fn a_stream_with_a_damaged_byte_is_never_shorter_and_whole() {
    const PIECES: usize = 4;
    for position in 0..engine_stream(PIECES).len() {
        for byte in 0..=255u8 {
            let mut stream = engine_stream(PIECES);
            stream[position] = byte;
            let (found, is_whole) = read_all(&stream, 1 + position % 7);
            let appears_complete = is_whole && found.last().is_some_and(|data| data == STREAM_END);
            assert!(!appears_complete || found.len() == PIECES + 1, "byte {position} is {byte}: {found:?}");
        }
    }
}
