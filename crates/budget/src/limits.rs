//! The limits of a process, and the shares of them that its servers may fill.

/// The bytes and connections that the peers of one server may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// The most bytes.
    pub bytes: u64,
    /// The most connections.
    pub connections: usize,
}

/// Heads, bodies and answers up to this size may use the whole budget.
pub const SMALL_BYTES: u64 = 64 << 10;
/// This part of a budget is reserved for connections and what is small, so that ordinary requests pass while large
/// bodies and answers that are being served fill the rest.
const RESERVED_DIVISOR: u64 = 4;

impl BudgetLimits {
    /// The bytes that all may hold before something of this size is refused.
    pub(crate) fn limit_for(&self, bytes: u64) -> u64 {
        match bytes <= SMALL_BYTES {
            true => self.bytes,
            false => self.bytes - self.bytes / RESERVED_DIVISOR,
        }
    }
}

/// The limits of a process on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory in bytes.
    pub memory: u64,
    /// The descriptors for sockets.
    pub descriptors: u64,
}

/// The part of a process's limits that the peers of one server may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The memory is divided by this.
    pub memory_divisor: u64,
    /// The descriptors are divided by this.
    pub descriptors_divisor: u64,
}

/// What an open connection counts for without any request: its buffers, its task or threads.
pub const CONNECTION_BYTES: u64 = 24 << 10;
/// Of a process's descriptors, so many are left for files.
const DESCRIPTORS_FOR_FILES: u64 = 200;
/// The fewest descriptors that a process counts on.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
const DEFAULT_MAX_DESCRIPTORS: u64 = 4096;

impl ProcessLimits {
    /// The limits of a process with this much memory and this many descriptors in all.
    pub fn new(memory: u64, max_descriptors: u64) -> ProcessLimits {
        let descriptors = max_descriptors.saturating_sub(DESCRIPTORS_FOR_FILES).max(MIN_DESCRIPTORS);
        ProcessLimits { memory, descriptors }
    }

    /// A part of the memory and a part of the descriptors, one connection at least.
    pub fn share(&self, share: Share) -> BudgetLimits {
        BudgetLimits {
            bytes: self.memory / share.memory_divisor,
            connections: (self.descriptors / share.descriptors_divisor).max(1) as usize,
        }
    }
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits::new(DEFAULT_MEMORY_BYTES, DEFAULT_MAX_DESCRIPTORS)
    }
}
