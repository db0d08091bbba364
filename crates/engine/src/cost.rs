//! How long work takes: prefills run one after the other, at a fixed time per block; decoding slows down with the
//! number of prompt blocks of all running requests.

use crate::prelude::*;

/// The number of active blocks at which decoding a token takes twice as long as on an idle engine.
const BLOCKS_DOUBLING_DECODE_TIME: u64 = 1024;

/// The emulated cost of prefill and decode.
pub struct CostModel {
    /// The time to prefill a block.
    pub prefill: Duration,
    /// The time to decode a token on an idle engine.
    pub decode: Duration,
    prefill_lock: tokio::sync::Mutex<()>,
    active_blocks: AtomicU64,
}

/// Counts the prompt blocks of a running request as active until dropped.
pub struct ActiveBlocksGuard<'a> {
    cost: &'a CostModel,
    blocks: u64,
}

impl Drop for ActiveBlocksGuard<'_> {
    fn drop(&mut self) {
        self.cost.active_blocks.fetch_sub(self.blocks, Ordering::SeqCst);
    }
}

impl CostModel {
    pub fn new(prefill_us: u64, decode_us: u64) -> CostModel {
        CostModel {
            prefill: Duration::from_micros(prefill_us),
            decode: Duration::from_micros(decode_us),
            prefill_lock: tokio::sync::Mutex::new(()),
            active_blocks: AtomicU64::new(0),
        }
    }

    /// Counts a request's prompt blocks as active.
    pub fn begin(&self, blocks: u64) -> ActiveBlocksGuard<'_> {
        self.active_blocks.fetch_add(blocks, Ordering::SeqCst);
        ActiveBlocksGuard { cost: self, blocks }
    }

    pub fn active_blocks(&self) -> u64 {
        self.active_blocks.load(Ordering::SeqCst)
    }

    /// Waits for the prefills before this one, then for as long as the uncached blocks take.
    pub async fn prefill(&self, uncached_blocks: u64) {
        let _turn = self.prefill_lock.lock().await;
        tokio::time::sleep(self.prefill * uncached_blocks as u32).await;
    }

    /// Sleeps for the time of one token, which would take `idle_time` on an idle engine.
    pub async fn decode_token(&self, idle_time: Duration) {
        let slowdown = 1.0 + self.active_blocks() as f64 / BLOCKS_DOUBLING_DECODE_TIME as f64;
        tokio::time::sleep(idle_time.mul_f64(slowdown)).await;
    }
}
