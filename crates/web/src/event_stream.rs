//! Splits a stream of server-sent events into blocks, each up to its blank line, and reads the fields of a block.
//! A block that is not sound is reported instead of passed over, so that no event is lost or joined to another
//! unnoticed.

/// The limit on buffered bytes, and thus on the size of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The names of an event's own fields.
const FIELD_NAMES: [&str; 4] = ["data", "id", "event", "retry"];

/// The prefix of field names that are not part of the standard. They stand before the event's own fields.
const EXTENSION_PREFIX: &str = "x-";

/// Why a stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// An event exceeds `MAX_EVENT_BYTES`.
    TooLarge,
    /// A line is neither a comment nor a field of an event, or fields stand where they are not allowed.
    Malformed,
}

/// The part of a stream up to a blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventBlock {
    /// Nothing that makes an event: comments, a name or a retry time without data, or nothing.
    Filler(Vec<u8>),
    Event(Event),
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, unchanged, with the blank line.
    pub bytes: Vec<u8>,
    /// The text of its id, if it has one.
    pub id: Option<String>,
    /// The values of its data lines, joined by line feeds.
    pub data: Vec<u8>,
}

/// Splits a byte stream into blocks.
#[derive(Clone, Debug, Default)]
pub struct EventBlocks {
    pending: Vec<u8>,
    /// The number of bytes of `pending` that belong to blocks already taken.
    taken: usize,
    has_failed: bool,
}

impl EventBlocks {
    /// Appends bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.drain(..self.taken);
        self.taken = 0;
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next complete block; `None` until there are more bytes, and after a fault.
    pub fn next_block(&mut self) -> Option<Result<EventBlock, EventFault>> {
        if self.has_failed {
            return None;
        }
        let pending = &self.pending[self.taken..];
        let length = match length_of_block(pending) {
            Some(length) => length,
            None if pending.len() <= MAX_EVENT_BYTES => return None,
            None => pending.len(),
        };
        let block = pending[..length].to_vec();
        self.taken += length;
        let block = if length > MAX_EVENT_BYTES { Err(EventFault::TooLarge) } else { read_block(block) };
        self.has_failed = block.is_err();
        Some(block)
    }

    /// Whether no bytes of an incomplete block are left.
    pub fn is_at_boundary(&self) -> bool {
        !self.has_failed && self.taken == self.pending.len()
    }
}

/// The length up to the end of the first blank line.
fn length_of_block(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let line_end = line_start + length;
        let is_blank = matches!(&bytes[line_start..line_end], b"" | b"\r");
        line_start = line_end + 1;
        if is_blank {
            return Some(line_start);
        }
    }
    None
}

/// The fields of a block, read line by line.
#[derive(Default)]
struct BlockFields {
    has_comments: bool,
    has_extensions: bool,
    has_own_fields: bool,
    id: Option<String>,
    data: Option<Vec<u8>>,
}

fn read_block(bytes: Vec<u8>) -> Result<EventBlock, EventFault> {
    let mut fields = BlockFields::default();
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if !line.is_empty() {
            fields.read_line(line).ok_or(EventFault::Malformed)?;
        }
    }
    match fields.data {
        Some(data) => Ok(EventBlock::Event(Event { bytes, id: fields.id, data })),
        None if fields.has_extensions || fields.id.is_some() => Err(EventFault::Malformed),
        None => Ok(EventBlock::Filler(bytes)),
    }
}

impl BlockFields {
    fn has_fields(&self) -> bool {
        self.has_extensions || self.has_own_fields
    }

    /// Reads a line that is not blank; `None` if it is not allowed here. A line end of old systems would divide an
    /// event for some readers and not for others, so it is not allowed anywhere.
    fn read_line(&mut self, line: &[u8]) -> Option<()> {
        if line.contains(&b'\r') {
            return None;
        }
        let colon = line.iter().position(|byte| *byte == b':')?;
        let (name, value) = (std::str::from_utf8(&line[..colon]).ok()?, &line[colon + 1..]);
        if name.is_empty() {
            return self.read_comment(value);
        }
        let value = value.strip_prefix(b" ").unwrap_or(value);
        self.read_field(name, value)
    }

    /// Comments stand in blocks of their own: one within an event may be a field whose name was damaged, as is one
    /// that reads like a field but for its first letter.
    fn read_comment(&mut self, text: &[u8]) -> Option<()> {
        self.has_comments = true;
        let is_damaged_field = |name: &&str| text.strip_prefix(&name.as_bytes()[1..]).is_some_and(starts_with_colon);
        (!self.has_fields() && !FIELD_NAMES.iter().any(is_damaged_field)).then_some(())
    }

    fn read_field(&mut self, name: &str, value: &[u8]) -> Option<()> {
        if self.has_comments {
            return None;
        }
        if name.starts_with(EXTENSION_PREFIX) {
            self.has_extensions = true;
            return (!self.has_own_fields).then_some(());
        }
        if !FIELD_NAMES.contains(&name) {
            return None;
        }
        self.has_own_fields = true;
        match name {
            "id" => {
                let text = std::str::from_utf8(value).ok()?;
                self.id.replace(text.to_owned()).is_none().then_some(())
            }
            "data" => {
                match &mut self.data {
                    Some(data) => {
                        data.push(b'\n');
                        data.extend_from_slice(value);
                    }
                    None => self.data = Some(value.to_vec()),
                }
                Some(())
            }
            _ => Some(()),
        }
    }
}

fn starts_with_colon(text: &[u8]) -> bool {
    text.first() == Some(&b':')
}
