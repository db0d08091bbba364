//! The two offices: what their callers send. Each request is a long or short shared prefix, drawn from
//! a small pool that belongs to its tenant and kind, followed by its own material.

use crate::prelude::*;

pub struct RequestKind {
    pub name: &'static str,
    /// Of a hundred requests.
    pub share: u64,
    pub prefix_blocks: usize,
    /// How many different prefixes a tenant has.
    pub prefix_pool: u64,
    pub tail_blocks: (u64, u64),
    pub tokens: u64,
    pub streams: bool,
    pub repeatable: bool,
}

pub struct Office {
    pub kinds: &'static [RequestKind],
    /// Shares of the eight tenants, a few of them large.
    pub tenant_shares: [u64; 8],
    pub requests_per_second: u64,
}

const fn kind(
    name: &'static str,
    share: u64,
    prefix: (usize, u64),
    tail_blocks: (u64, u64),
    tokens: u64,
) -> RequestKind {
    RequestKind {
        name,
        share,
        prefix_blocks: prefix.0,
        prefix_pool: prefix.1,
        tail_blocks,
        tokens,
        streams: true,
        repeatable: false,
    }
}

/// Polish engraving: layouts of whole works, single parts, quick notation checks.
pub static ENGRAVING: Office = Office {
    kinds: &[
        kind("layout", 25, (160, 4), (8, 24), 24),
        kind("part", 45, (96, 8), (4, 12), 16),
        RequestKind { streams: false, repeatable: true, ..kind("check", 30, (8, 1), (2, 6), 4) },
    ],
    tenant_shares: [30, 25, 15, 10, 8, 6, 4, 2],
    requests_per_second: 24,
};

/// Namibian SMS: reminder batches for clinics, payment confirmations, single messages to classify.
pub static SMS: Office = Office {
    kinds: &[
        kind("reminders", 15, (128, 4), (12, 32), 32),
        kind("payment", 45, (64, 6), (2, 6), 8),
        RequestKind { streams: false, repeatable: true, ..kind("classify", 40, (6, 1), (1, 3), 2) },
    ],
    tenant_shares: [35, 25, 12, 9, 7, 5, 4, 3],
    requests_per_second: 60,
};

const BLOCK_BYTES: usize = 64;

/// Text of so many blocks, the same for the same naming.
pub fn text_of(naming: &str, blocks: usize) -> String {
    let mut text = String::with_capacity(blocks * BLOCK_BYTES);
    let mut place = 0u64;
    while text.len() < blocks * BLOCK_BYTES {
        let hash = BlockHash::of_parts(&[naming.as_bytes(), &place.to_le_bytes()]);
        text.push_str(&format!("{hash} "));
        place += 1;
    }
    text.truncate(blocks * BLOCK_BYTES);
    text
}

pub struct Request {
    pub tenant_place: usize,
    pub kind: &'static RequestKind,
    pub prompt: String,
}

impl Office {
    pub fn named(name: &str) -> &'static Office {
        if name == "sms" { &SMS } else { &ENGRAVING }
    }

    pub fn draw_request(&'static self, draw: &mut SeededRng) -> Request {
        let tenant_place = draw.weighted_index(self.tenant_shares.iter().copied());
        let kind = &self.kinds[draw.weighted_index(self.kinds.iter().map(|kind| kind.share))];
        let prefix_number = draw.below(kind.prefix_pool);
        let prefix = text_of(&format!("{tenant_place}/{}/{prefix_number}", kind.name), kind.prefix_blocks);
        let tail_blocks = kind.tail_blocks.0 + draw.below(kind.tail_blocks.1 - kind.tail_blocks.0 + 1);
        let tail = text_of(&format!("own/{}", draw.next_u64()), tail_blocks as usize);
        Request { tenant_place, kind, prompt: format!("{prefix}{tail}") }
    }
}
