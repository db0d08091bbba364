//! The routers of the fleet, including those that recent lists left out. A new tail learns of its routers one by
//! one, so its first lists are incomplete; they must not shift the work of all routers to a few.

use crate::prelude::*;

/// How long a router is still counted after it was last listed.
const UNLISTED_RETENTION: Span = Span::seconds(5);

/// The listed routers and those that were listed until recently.
#[derive(Clone, Debug, Default)]
pub struct RouterRoster {
    counted: Arc<Vec<RouterAddress>>,
    /// Routers that the latest list left out, each with the time of the first list without it.
    unlisted: Vec<(RouterAddress, Instant)>,
}

impl RouterRoster {
    /// Applies a new list of routers.
    pub fn take(&mut self, listed: Vec<RouterAddress>, now: Instant) {
        let left_out_since = |router: &RouterAddress| {
            let earlier = self.unlisted.iter().find(|(unlisted, _)| unlisted.router == router.router);
            earlier.map_or(now, |(_, since)| *since)
        };
        // A restarted router has a new id at the same address.
        let is_replaced_or_listed = |router: &RouterAddress| {
            listed.iter().any(|other| other.router == router.router || other.address == router.address)
        };
        let left_out = self.counted.iter().filter(|router| !is_replaced_or_listed(router));
        self.unlisted = left_out.map(|router| (router.clone(), left_out_since(router))).collect();
        let mut counted = listed;
        counted.extend(self.unlisted.iter().map(|(router, _)| router.clone()));
        self.counted = Arc::new(counted);
        self.drop_expired(now);
    }

    /// The routers that count at `now`.
    pub fn counted(&mut self, now: Instant) -> Arc<Vec<RouterAddress>> {
        self.drop_expired(now);
        Arc::clone(&self.counted)
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |since: &Instant| now.since(*since) >= UNLISTED_RETENTION;
        let expired: Vec<NodeId> =
            self.unlisted.iter().filter(|(_, since)| is_expired(since)).map(|(router, _)| router.router).collect();
        if expired.is_empty() {
            return;
        }
        self.unlisted.retain(|(router, _)| !expired.contains(&router.router));
        let counted = self.counted.iter().filter(|router| !expired.contains(&router.router));
        self.counted = Arc::new(counted.cloned().collect());
    }
}
