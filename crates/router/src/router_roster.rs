//! The routers of the fleet as this one was told, with those that a list lately left out. A list that is not
//! whole, as of a tail that hears of its routers one by one, must not hand the work of all to a few.

use crate::prelude::*;

/// How long a router that is not listed any more is still counted with the others.
const UNLISTED_RETENTION: Span = Span::seconds(5);

/// The routers that are listed, and those that were until lately.
#[derive(Clone, Debug, Default)]
pub struct RouterRoster {
    counted: Arc<Vec<RouterAddress>>,
    /// Routers that the latest list left out, and since when.
    unlisted: Vec<(RouterAddress, Instant)>,
}

impl RouterRoster {
    /// Takes a new list.
    pub fn take(&mut self, listed: Vec<RouterAddress>, now: Instant) {
        let left_out_since = |router: &RouterAddress| {
            let earlier = self.unlisted.iter().find(|(unlisted, _)| unlisted.router == router.router);
            earlier.map_or(now, |(_, since)| *since)
        };
        // A router started again is another one at the same address.
        let is_followed = |router: &RouterAddress| {
            listed.iter().any(|other| other.router == router.router || other.address == router.address)
        };
        let left_out = self.counted.iter().filter(|router| !is_followed(router));
        self.unlisted = left_out.map(|router| (router.clone(), left_out_since(router))).collect();
        let mut counted = listed;
        counted.extend(self.unlisted.iter().map(|(router, _)| router.clone()));
        self.counted = Arc::new(counted);
        self.forget(now);
    }

    /// The routers that count now.
    pub fn counted(&mut self, now: Instant) -> Arc<Vec<RouterAddress>> {
        self.forget(now);
        Arc::clone(&self.counted)
    }

    fn forget(&mut self, now: Instant) {
        let is_over = |since: &Instant| now.since(*since) >= UNLISTED_RETENTION;
        let gone: Vec<NodeId> =
            self.unlisted.iter().filter(|(_, since)| is_over(since)).map(|(router, _)| router.router).collect();
        if gone.is_empty() {
            return;
        }
        self.unlisted.retain(|(router, _)| !gone.contains(&router.router));
        let counted = self.counted.iter().filter(|router| !gone.contains(&router.router));
        self.counted = Arc::new(counted.cloned().collect());
    }
}
