//! Frames: a little-endian 32-bit length, then a MessagePack body.

use crate::prelude::*;

/// The number of this wire format. A peer with another format is rejected with an error that names both.
pub const FORMAT: u64 = 7;
/// The maximum length of a frame's body.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// The maximum length of a hello's body.
const MAX_HELLO_BYTES: usize = 1 << 10;
/// The pieces in which a frame is counted while it arrives.
const PIECE_BYTES: usize = 16 << 10;
const MAGIC: [u8; 4] = *b"HARE";

/// The first frame in each direction of every stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub magic: [u8; 4],
    pub format: u64,
    /// Zero while the sender belongs to no fleet yet.
    pub fleet: FleetId,
    pub speaker: NodeId,
    pub purpose: Purpose,
}

/// The kind of process that opened a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    Keeper,
    Agent,
    Router,
}

impl Hello {
    /// A hello in this program's format.
    pub fn new(fleet: FleetId, speaker: NodeId, purpose: Purpose) -> Hello {
        Hello { magic: MAGIC, format: FORMAT, fleet, speaker, purpose }
    }

    /// Verifies that the peer uses this protocol and format.
    pub fn check(&self) -> Result<(), String> {
        if self.magic != MAGIC {
            return Err("not a haremount stream".into());
        }
        if self.format != FORMAT {
            return Err(format!("wire format {} met, {FORMAT} spoken here", self.format));
        }
        Ok(())
    }
}

/// A message received by a keeper, from another keeper or from an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Inbound {
    Core(Envelope),
    Node(AgentToKeeper),
}

/// Encodes a message as a frame. Fails if the body exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let body = rmp_serde::to_vec_named(message).map_err(|fault| fault.to_string())?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(format!("frame body of {} bytes exceeds the maximum of {MAX_FRAME_BYTES}", body.len()));
    }
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Encodes a message and writes it to a stream.
pub fn write_frame<T: Serialize>(stream: &mut impl Write, message: &T) -> Result<(), String> {
    let frame = encode(message)?;
    stream.write_all(&frame).map_err(|fault| fault.to_string())
}

/// Reads one frame.
pub fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> Result<T, String> {
    read_frame_counted(stream, MAX_FRAME_BYTES, |_| Ok(()))
}

/// Reads the first frame of a stream, whose sender is not known yet.
pub fn read_hello(stream: &mut impl Read) -> Result<Hello, String> {
    read_frame_counted(stream, MAX_HELLO_BYTES, |_| Ok(()))
}

/// Reads one frame of at most `max_bytes`. `count` is told the bytes of each piece that is awaited, and may refuse to
/// go on. The body's buffer grows with the bytes received, so a false length prefix cannot force a large allocation.
pub fn read_frame_counted<T: DeserializeOwned>(
    stream: &mut impl Read,
    max_bytes: usize,
    mut count: impl FnMut(usize) -> Result<(), String>,
) -> Result<T, String> {
    let mut length_bytes = [0u8; 4];
    stream.read_exact(&mut length_bytes).map_err(|fault| fault.to_string())?;
    let length = u32::from_le_bytes(length_bytes) as usize;
    if length > max_bytes {
        return Err(format!("frame length {length} exceeds the maximum of {max_bytes}"));
    }
    let mut body = Vec::new();
    while body.len() < length {
        let piece = PIECE_BYTES.min(length - body.len());
        count(piece)?;
        let received = stream.take(piece as u64).read_to_end(&mut body).map_err(|fault| fault.to_string())?;
        if received < piece {
            return Err("stream ended inside a frame".into());
        }
    }
    rmp_serde::from_slice(&body).map_err(|fault| format!("unknown frame: {fault}"))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn malformed_frames_are_rejected_with_a_reason() {
        let huge_length = [0xffu8, 0xff, 0xff, 0x7f];
        assert!(read_frame::<Hello>(&mut &huge_length[..]).unwrap_err().starts_with("frame length"));
        let mut short_frame = encode(&Hello::new(FleetId(1), NodeId(2), Purpose::Agent)).unwrap();
        short_frame.pop();
        assert_eq!(read_frame::<Hello>(&mut &short_frame[..]).unwrap_err(), "stream ended inside a frame");
        let foreign_frame = encode(&"GET / HTTP/1.1").unwrap();
        assert!(read_frame::<CoreMessage>(&mut &foreign_frame[..]).unwrap_err().starts_with("unknown frame"));
        let other_format = Hello { format: 9, ..Hello::new(FleetId(1), NodeId(2), Purpose::Keeper) };
        assert_eq!(other_format.check().unwrap_err(), format!("wire format 9 met, {FORMAT} spoken here"));
    }

    #[test]
    fn core_messages_round_trip() {
        let message = CoreMessage::Retired { view: ViewNumber(3) };
        let frame = encode(&message).unwrap();
        assert_eq!(read_frame::<CoreMessage>(&mut &frame[..]).unwrap(), message);
    }
}
