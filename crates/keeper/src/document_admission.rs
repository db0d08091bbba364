//! Limits how many operators' documents are read at once: a document in memory takes many times its size as text.

use crate::prelude::*;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Documents from this size on are read one at a time.
const LARGE_FROM_BYTES: usize = 1 << 20;
/// The total size of smaller documents that are read at once.
const SMALL_TOTAL_BYTES: usize = 2 << 20;
/// How long a document waits for those before it.
const WAIT_LIMIT: Duration = Duration::from_secs(4);
/// How long a read of the configuration waits for those before it.
const READ_WAIT_LIMIT: Duration = Duration::from_millis(900);

/// Admits documents and reads of the configuration, in the order of their arrival.
pub struct DocumentAdmission {
    large: Semaphore,
    small: Semaphore,
    reads: Semaphore,
}

impl Default for DocumentAdmission {
    fn default() -> DocumentAdmission {
        DocumentAdmission {
            large: Semaphore::new(1),
            small: Semaphore::new(SMALL_TOTAL_BYTES),
            reads: Semaphore::new(1),
        }
    }
}

impl DocumentAdmission {
    /// Waits until a document of this size may be read; `None` if that takes too long.
    pub async fn admit(&self, bytes: usize) -> Option<DocumentPermit<'_>> {
        let is_large = bytes >= LARGE_FROM_BYTES;
        let permit = match is_large {
            true => within(WAIT_LIMIT, self.large.acquire()).await?,
            false => within(WAIT_LIMIT, self.small.acquire_many(bytes as u32)).await?,
        };
        Some(DocumentPermit { is_large, _permit: permit })
    }

    /// Waits until the configuration may be fetched for an operator; `None` if that takes too long.
    pub async fn admit_read(&self) -> Option<SemaphorePermit<'_>> {
        within(READ_WAIT_LIMIT, self.reads.acquire()).await
    }
}

/// Allows a document to be read. To be dropped after the document: the memory of a large one is then returned to the
/// system, since most of it is in small blocks.
pub struct DocumentPermit<'a> {
    is_large: bool,
    _permit: SemaphorePermit<'a>,
}

impl Drop for DocumentPermit<'_> {
    fn drop(&mut self) {
        if self.is_large {
            return_unused_memory();
        }
    }
}

async fn within<T, E>(limit: Duration, acquiring: impl Future<Output = Result<T, E>>) -> Option<T> {
    tokio::time::timeout(limit, acquiring).await.ok()?.ok()
}
