//! Which router reads which source. An engine bears few readers, so where there are many routers one of each
//! zone reads a source and the others of the zone ask it. Readers follow from the routers that hold leases,
//! by a hash, so that all agree without a word; one that does not answer is passed over for a while.

use crate::prelude::*;

/// Routers that may read every source directly leave so many of its readers free, for those that start anew.
const SPARE_READERS: u64 = 2;

/// How this router gets the news of its sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Sources that it reads itself, with their addresses.
    pub direct: BTreeSet<(EngineName, String)>,
    /// Routers that it asks, with their addresses, for all that they read.
    pub relays: BTreeSet<(NodeId, String)>,
}

/// Who reads what, as this router sees it.
pub fn assign(
    me: NodeId,
    routers: &[RouterAddress],
    unresponsive: &BTreeSet<NodeId>,
    sources: &BTreeSet<(EngineName, String)>,
    readers_per_source: u64,
) -> Assignment {
    let Some(own_address) = routers.iter().find(|listed| listed.router == me) else { return Assignment::default() };
    let all_may_read = routers.len() as u64 + SPARE_READERS <= readers_per_source;
    if all_may_read || own_address.relay.is_none() {
        return Assignment { direct: sources.clone(), relays: BTreeSet::new() };
    }
    let readers: Vec<&RouterAddress> = routers
        .iter()
        .filter(|listed| listed.zone == own_address.zone && listed.relay.is_some())
        .filter(|listed| listed.router == me || !unresponsive.contains(&listed.router))
        .collect();
    let mut assignment = Assignment::default();
    for (source, address) in sources {
        let Some(reader) = readers.iter().max_by_key(|listed| rank(source, listed.router)) else { continue };
        if reader.router == me {
            assignment.direct.insert((source.clone(), address.clone()));
        } else if let Some(relay) = &reader.relay {
            assignment.relays.insert((reader.router, relay.clone()));
        }
    }
    assignment
}

fn rank(source: &EngineName, router: NodeId) -> u64 {
    PartName::of(source.as_str(), &router.to_string()).0
}
