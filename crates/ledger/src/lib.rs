//! The data folder: one redb file that holds key-value rows and consecutively numbered records. Each batch
//! is written in one transaction, which is synced before the call returns. Disk errors are returned to the
//! caller, who may then store the same batch again. The keeper defines what the rows contain.

pub mod prelude;

mod data_folder;
mod disk_fault;
#[cfg(feature = "faults")]
mod faulty_disk;
mod medium;
#[cfg(feature = "faults")]
mod simulated_disk;
