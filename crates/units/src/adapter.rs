//! Identifies one revision of a fine-tuned adapter.

use crate::prelude::*;

/// An adapter and its revision, displayed as `name@revision`. An engine loads adapters by this identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    pub name: AdapterName,
    pub revision: AdapterRevision,
}

impl AdapterId {
    pub fn new(name: impl Into<AdapterName>, revision: u64) -> AdapterId {
        AdapterId { name: name.into(), revision: AdapterRevision(revision) }
    }

    /// Parses the displayed form, `name@revision`. Returns `None` if either part is malformed.
    pub fn parse(text: &str) -> Option<AdapterId> {
        let (name, revision) = text.rsplit_once('@')?;
        let revision = revision.parse().ok()?;
        is_valid_name(name).then(|| AdapterId::new(name, revision))
    }
}

impl fmt::Display for AdapterId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}@{}", self.name, self.revision)
    }
}
