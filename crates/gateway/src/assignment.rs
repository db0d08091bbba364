//! Assigns the readers of each source. An engine accepts few readers, so with many routers one router per zone
//! reads a source and the others of the zone query that router. Rendezvous hashing over the routers that hold
//! leases gives all routers the same assignment without coordination; unresponsive readers are skipped.

use crate::prelude::*;

/// The number of readers of each source to leave free for starting routers, if all routers read directly.
const SPARE_READERS: u64 = 2;

/// How this router follows the sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// The sources that it reads directly, with their addresses.
    pub direct: BTreeSet<(EngineName, String)>,
    /// The routers that it queries for the sources they read, with their addresses.
    pub relays: BTreeSet<(NodeId, String)>,
}

/// Computes this router's own assignment.
pub fn assign(
    own_id: NodeId,
    routers: &[RouterAddress],
    unresponsive: &BTreeSet<NodeId>,
    sources: &BTreeSet<(EngineName, String)>,
    readers_per_source: u64,
) -> Assignment {
    let Some(own_address) = routers.iter().find(|listed| listed.router == own_id) else {
        return Assignment::default();
    };
    let all_may_read = routers.len() as u64 + SPARE_READERS <= readers_per_source;
    if all_may_read || own_address.relay.is_none() {
        return Assignment { direct: sources.clone(), relays: BTreeSet::new() };
    }
    let readers: Vec<&RouterAddress> = routers
        .iter()
        .filter(|listed| listed.zone == own_address.zone && listed.relay.is_some())
        .filter(|listed| listed.router == own_id || !unresponsive.contains(&listed.router))
        .collect();
    let mut assignment = Assignment::default();
    for (source, address) in sources {
        let Some(reader) = readers.iter().max_by_key(|listed| rank(source, listed.router)) else { continue };
        if reader.router == own_id {
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
