//! One revision of a tuned adapter, which names exactly what an engine holds in a place for adapters.

use crate::prelude::*;

/// An adapter and its revision; written `name@revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    pub name: AdapterName,
    pub revision: AdapterRevision,
}

impl AdapterId {
    pub fn new(name: impl Into<AdapterName>, revision: u64) -> AdapterId {
        AdapterId { name: name.into(), revision: AdapterRevision(revision) }
    }

    /// Reads `name@revision`, which is how it is written.
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
