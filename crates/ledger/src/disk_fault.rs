//! Errors of the data folder, each marked as transient or permanent.

use crate::prelude::*;

/// An error of the data folder.
#[derive(Debug)]
pub struct DiskFault {
    /// What was being done, and why it failed.
    pub reason: String,
    /// A retry may succeed, for example after a full disk or an I/O error. Otherwise the folder is damaged,
    /// inaccessible or written in another format.
    pub is_transient: bool,
}

impl DiskFault {
    pub(crate) fn permanent(reason: String) -> DiskFault {
        DiskFault { reason, is_transient: false }
    }
}

impl fmt::Display for DiskFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.reason)
    }
}

/// Turns storage errors into a `DiskFault` that names the failed operation.
pub(crate) trait DiskContext<T> {
    fn disk_context(self, operation: &str) -> Result<T, DiskFault>;
}

impl<T, E: Into<redb::Error>> DiskContext<T> for Result<T, E> {
    fn disk_context(self, operation: &str) -> Result<T, DiskFault> {
        self.map_err(|fault| {
            let fault = fault.into();
            let is_transient = match &fault {
                redb::Error::Io(fault) => is_transient_kind(fault.kind()),
                redb::Error::PreviousIo => true,
                _ => false,
            };
            DiskFault { reason: format!("{operation}: {fault}"), is_transient }
        })
    }
}

/// Every kind is transient except those that mean damage or an unusable folder, since failing disks report
/// many kinds that have no name of their own.
fn is_transient_kind(kind: io::ErrorKind) -> bool {
    use io::ErrorKind;
    !matches!(
        kind,
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::AlreadyExists
            | ErrorKind::NotADirectory
            | ErrorKind::IsADirectory
            | ErrorKind::InvalidInput
            | ErrorKind::InvalidData
            | ErrorKind::UnexpectedEof
            | ErrorKind::Unsupported
    )
}
