//! The data folder: one redb file with plain rows and numbered rows. Whatever one batch stores goes
//! into one transaction, synced before the call returns. What the rows mean is the keeper's matter.

pub mod prelude;

#[cfg(feature = "faults")]
mod faults;
mod folder;
#[cfg(feature = "faults")]
mod frail;
