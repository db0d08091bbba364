//! The workloads of the two offices. Each prompt is a shared prefix, drawn from a small pool that belongs to the
//! tenant and the kind of request, followed by a tail that no other prompt has.

use crate::prelude::*;

/// The number of tenants in every workload.
pub const TENANTS: usize = 8;
/// The bytes of prompt text in a block.
pub const BLOCK_BYTES: usize = 64;
/// The tokens in a block.
pub const TOKENS_PER_BLOCK: u64 = 16;

/// A kind of request, and how its prompts are made.
pub struct RequestKind {
    pub name: &'static str,
    /// The percentage of requests that are of this kind.
    pub share: u64,
    pub prefix_blocks: usize,
    /// The number of different prefixes of each tenant.
    pub prefix_pool: u64,
    /// The smallest and the largest length of the tail.
    pub tail_blocks: (u64, u64),
    /// The number of tokens to generate.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub streams: bool,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
}

/// The mix of requests that an office's callers send.
pub struct Workload {
    pub kinds: &'static [RequestKind],
    /// The percentage of requests from each tenant; a few tenants send most of them.
    pub tenant_shares: [u64; TENANTS],
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

/// The Polish office, music engraving: layouts of whole works, single parts, quick notation checks.
pub static ENGRAVING: Workload = Workload {
    kinds: &[
        kind("layout", 25, (160, 4), (8, 24), 24),
        kind("part", 45, (96, 8), (4, 12), 16),
        RequestKind { streams: false, repeatable: true, ..kind("check", 30, (8, 1), (2, 6), 4) },
    ],
    tenant_shares: [30, 25, 15, 10, 8, 6, 4, 2],
    requests_per_second: 24,
};

/// The Namibian office, SMS: reminder batches for clinics, payment confirmations, single messages to classify.
pub static SMS: Workload = Workload {
    kinds: &[
        kind("reminders", 15, (128, 4), (12, 32), 32),
        kind("payment", 45, (64, 6), (2, 6), 8),
        RequestKind { streams: false, repeatable: true, ..kind("classify", 40, (6, 1), (1, 3), 2) },
    ],
    tenant_shares: [35, 25, 12, 9, 7, 5, 4, 3],
    requests_per_second: 60,
};

/// Pseudorandom text of a number of blocks; the same key always gives the same text.
pub fn generate_text(key: &str, blocks: usize) -> String {
    let mut text = String::with_capacity(blocks * BLOCK_BYTES);
    let mut index = 0u64;
    while text.len() < blocks * BLOCK_BYTES {
        let hash = BlockHash::of_parts(&[key.as_bytes(), &index.to_le_bytes()]);
        text.push_str(&format!("{hash} "));
        index += 1;
    }
    text.truncate(blocks * BLOCK_BYTES);
    text
}

/// A request to be sent.
pub struct GeneratedRequest {
    pub tenant_index: usize,
    pub kind: &'static RequestKind,
    pub prompt: String,
}

impl Workload {
    /// The workload of an office, by its name in the settings.
    pub fn of_office(name: &str) -> &'static Workload {
        if name == "sms" { &SMS } else { &ENGRAVING }
    }

    /// Draws the next request.
    pub fn draw_request(&'static self, rng: &mut SeededRng) -> GeneratedRequest {
        let tenant_index = rng.weighted_index(self.tenant_shares.iter().copied());
        let kind = &self.kinds[rng.weighted_index(self.kinds.iter().map(|kind| kind.share))];
        let prefix_number = rng.below(kind.prefix_pool);
        let prefix = generate_text(&format!("{tenant_index}/{}/{prefix_number}", kind.name), kind.prefix_blocks);
        let tail_blocks = kind.tail_blocks.0 + rng.below(kind.tail_blocks.1 - kind.tail_blocks.0 + 1);
        let tail = generate_text(&format!("own/{}", rng.next_u64()), tail_blocks as usize);
        GeneratedRequest { tenant_index, kind, prompt: format!("{prefix}{tail}") }
    }
}
