//! The system's allocator: large blocks are returned as soon as they are freed, small ones on request.

/// Blocks from this size on are mapped one by one. The allocator would otherwise raise the threshold up to 32 MB as
/// such blocks are freed, and keep later ones within its heap.
#[cfg(target_env = "gnu")]
const MAPPED_FROM_BYTES: libc::c_int = 128 << 10;

/// Makes the allocator return every large block when it is freed. To be called once, before threads start.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code)]
pub fn configure_allocator() {
    // SAFETY: the call only sets a number within the allocator.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_FROM_BYTES);
    }
}

/// Returns the pages of freed small blocks to the system.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code)]
pub fn return_unused_memory() {
    // SAFETY: the call only releases pages that the allocator does not use.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Other allocators decide by themselves.
#[cfg(not(target_env = "gnu"))]
pub fn configure_allocator() {}

/// Other allocators decide by themselves.
#[cfg(not(target_env = "gnu"))]
pub fn return_unused_memory() {}
