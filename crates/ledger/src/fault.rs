//! Faults of the data folder, and which of them may pass.

use crate::prelude::*;

#[derive(Debug)]
pub struct DiskFault {
    pub reason: String,
    /// The disk refuses for now, as a full or failing one does: asking again later may do. Otherwise the
    /// folder is damaged, foreign or out of reach.
    pub is_transient: bool,
}

impl DiskFault {
    pub(crate) fn lasting(reason: String) -> DiskFault {
        DiskFault { reason, is_transient: false }
    }
}

impl fmt::Display for DiskFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.reason)
    }
}

pub(crate) trait OrDisk<T> {
    fn or_disk(self, doing: &str) -> Result<T, DiskFault>;
}

impl<T, E: Into<redb::Error>> OrDisk<T> for Result<T, E> {
    fn or_disk(self, doing: &str) -> Result<T, DiskFault> {
        self.map_err(|fault| {
            let fault = fault.into();
            let is_transient = match &fault {
                redb::Error::Io(fault) => is_refusal(fault.kind()),
                redb::Error::PreviousIo => true,
                _ => false,
            };
            DiskFault { reason: format!("{doing}: {fault}"), is_transient }
        })
    }
}

/// All but what tells of damage or of a folder that cannot be right: disks fail in more ways than have names.
fn is_refusal(kind: io::ErrorKind) -> bool {
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
