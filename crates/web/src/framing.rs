//! Strict checks of request framing, made before the HTTP library sees the bytes. The library is lenient where two
//! parsers may split the same bytes into different requests (request smuggling). Ambiguous framing is refused here:
//! lines without a carriage return, folded lines, two lengths, a length together with chunked coding.

/// Why a request's framing is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingFault {
    /// A line that ends without a carriage return.
    BareLineFeed,
    /// A header line that continues the previous one.
    FoldedLine,
    /// Two lengths, or a length together with chunked coding.
    TwoLengths,
    /// A length that is not a number.
    BadLength,
    /// A chunk without a valid size, or without a line break after its data.
    BadChunk,
    /// A transfer coding other than `chunked`, or one that is given twice.
    UnknownCoding,
}

const MAX_LINE_BYTES: usize = 64 << 10;

/// The part of a request that comes next.
#[derive(Clone, Debug)]
enum Phase {
    Head,
    Body {
        remaining: u64,
    },
    /// The line with a chunk's size.
    ChunkSize,
    ChunkData {
        remaining: u64,
    },
    /// The line break after a chunk's data.
    ChunkEnd,
    /// The trailer lines after the last chunk.
    Trailer,
    /// A line was too long to be checked; the library refuses it.
    Untracked,
}

/// Tracks the framing of the requests on one connection.
#[derive(Clone, Debug)]
pub struct RequestFraming {
    phase: Phase,
    line: Vec<u8>,
    is_first_line: bool,
    length: Option<u64>,
    is_chunked: bool,
    complete_count: u64,
}

impl Default for RequestFraming {
    fn default() -> RequestFraming {
        RequestFraming {
            phase: Phase::Head,
            line: Vec::new(),
            is_first_line: true,
            length: None,
            is_chunked: false,
            complete_count: 0,
        }
    }
}

impl RequestFraming {
    /// The number of completely received requests.
    pub fn complete_count(&self) -> u64 {
        self.complete_count
    }

    /// Whether the head of a request is partly received. A line too long to be checked counts as one of a head.
    pub fn is_in_head(&self) -> bool {
        match self.phase {
            Phase::Head => !self.is_first_line || !self.line.is_empty(),
            Phase::Untracked => true,
            _ => false,
        }
    }

    /// Whether the rest of a request is still to come.
    pub fn awaits_rest(&self) -> bool {
        self.is_in_head() || !matches!(self.phase, Phase::Head)
    }

    /// Checks the next bytes of the connection.
    pub fn inspect(&mut self, mut bytes: &[u8]) -> Result<(), FramingFault> {
        while !bytes.is_empty() {
            match &mut self.phase {
                Phase::Untracked => return Ok(()),
                Phase::Body { remaining } => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    *remaining -= skipped;
                    if *remaining == 0 {
                        self.end_request();
                    }
                    bytes = &bytes[skipped as usize..];
                }
                Phase::ChunkData { remaining } => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    *remaining -= skipped;
                    if *remaining == 0 {
                        self.phase = Phase::ChunkEnd;
                    }
                    bytes = &bytes[skipped as usize..];
                }
                Phase::Head | Phase::ChunkSize | Phase::ChunkEnd | Phase::Trailer => {
                    let line_end = bytes.iter().position(|byte| *byte == b'\n');
                    let taken = line_end.map_or(bytes.len(), |index| index + 1);
                    self.line.extend_from_slice(&bytes[..taken]);
                    bytes = &bytes[taken..];
                    if line_end.is_some() {
                        self.end_line()?;
                    } else if self.line.len() > MAX_LINE_BYTES {
                        self.phase = Phase::Untracked;
                        self.line = Vec::new();
                    }
                }
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), FramingFault> {
        let line = std::mem::take(&mut self.line);
        let Some(line) = line.strip_suffix(b"\r\n") else { return Err(FramingFault::BareLineFeed) };
        match self.phase {
            Phase::ChunkSize => return self.take_chunk_size(line),
            Phase::ChunkEnd if line.is_empty() => {
                self.phase = Phase::ChunkSize;
                return Ok(());
            }
            Phase::ChunkEnd => return Err(FramingFault::BadChunk),
            Phase::Trailer => {
                if line.is_empty() {
                    self.end_request();
                }
                return Ok(());
            }
            _ => {}
        }
        if line.is_empty() {
            if !self.is_first_line {
                self.end_head();
            }
            return Ok(());
        }
        if std::mem::replace(&mut self.is_first_line, false) {
            return Ok(());
        }
        if matches!(line.first(), Some(b' ' | b'\t')) {
            return Err(FramingFault::FoldedLine);
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return Ok(()) };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.take_length(value)?;
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(FramingFault::UnknownCoding);
            }
            self.is_chunked = true;
        }
        if self.is_chunked && self.length.is_some() {
            return Err(FramingFault::TwoLengths);
        }
        Ok(())
    }

    fn take_length(&mut self, value: &[u8]) -> Result<(), FramingFault> {
        let is_number = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(value).ok().filter(|_| is_number).and_then(|text| text.parse().ok());
        let Some(length) = length else { return Err(FramingFault::BadLength) };
        if self.length.replace(length).is_some() {
            return Err(FramingFault::TwoLengths);
        }
        Ok(())
    }

    fn take_chunk_size(&mut self, line: &[u8]) -> Result<(), FramingFault> {
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let is_number = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
        let Some(size) = text.and_then(|text| u64::from_str_radix(text, 16).ok()) else {
            return Err(FramingFault::BadChunk);
        };
        self.phase = if size == 0 { Phase::Trailer } else { Phase::ChunkData { remaining: size } };
        Ok(())
    }

    fn end_head(&mut self) {
        match (self.is_chunked, self.length) {
            (true, _) => self.phase = Phase::ChunkSize,
            (false, None | Some(0)) => self.end_request(),
            (false, Some(remaining)) => self.phase = Phase::Body { remaining },
        }
    }

    fn end_request(&mut self) {
        let complete_count = self.complete_count + 1;
        *self = RequestFraming { complete_count, ..RequestFraming::default() };
    }
}
