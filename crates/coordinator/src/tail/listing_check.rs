//! Freshness of the listing in the replicated state. Each keeper reads the platform itself and compares; a node's
//! lease is granted only if the listing is known to have matched recently.

use crate::prelude::*;

/// Maximum time since state and platform last matched for a node lease to be granted. Together with the lease this
/// stays below the three seconds for which an engine removed from the listing may still get requests.
const MAX_LISTING_AGE: Span = Span::millis(800);
/// How long a failed read counts as evidence that the platform is unavailable; meanwhile the last listing remains
/// valid.
const MAX_FAILURE_AGE: Span = Span::millis(1300);
/// Listings of the state that are remembered: the latest one, and its predecessor for nodes that have not applied the
/// latest yet.
const REMEMBERED_LISTINGS: usize = 2;

/// The platform's listing as read by this keeper, compared with the one in the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListingCheck {
    /// When the latest successful read began.
    requested_at: Instant,
    newest: Option<(String, ListingNumber)>,
    /// When the latest failed read began.
    failed_at: Instant,
    /// Listings in the state, latest first: each one's edition, and when the latest read that matched it began.
    agreed: VecDeque<(Edition, Instant)>,
}

impl ListingCheck {
    /// Records a read that began at `requested_at`; `read` is empty if the platform was unreachable.
    pub(crate) fn record_reading(&mut self, read: Option<(String, ListingNumber)>, requested_at: Instant) {
        match read {
            None => self.failed_at = self.failed_at.max(requested_at),
            Some((boot, number)) if requested_at >= self.requested_at => {
                self.requested_at = requested_at;
                self.newest = Some((boot, number));
            }
            Some(_) => {}
        }
    }

    /// Records whether the platform currently matches the state's listing, which was taken in `listing_edition`.
    fn compare(&mut self, in_state: &Listing, listing_edition: Edition) {
        if self.agreed.front().is_none_or(|(edition, _)| *edition != listing_edition) {
            self.agreed.push_front((listing_edition, Instant(0)));
            self.agreed.truncate(REMEMBERED_LISTINGS);
        }
        let agrees =
            self.newest.as_ref().is_some_and(|(boot, number)| *boot == in_state.boot && *number <= in_state.number);
        if agrees && let Some((_, agreed)) = self.agreed.front_mut() {
            *agreed = (*agreed).max(self.requested_at);
        }
    }

    /// Whether the listing known to a node that has applied this edition is fresh enough to grant it a lease.
    fn is_fresh(&self, applied: Edition, now: Instant) -> bool {
        let own_agreed = self.agreed.iter().find(|(edition, _)| applied >= *edition);
        let has_latest = self.agreed.front().is_some_and(|(edition, _)| applied >= *edition);
        let platform_away = self.failed_at >= self.requested_at && now.since(self.failed_at) < MAX_FAILURE_AGE;
        own_agreed.is_some_and(|(_, agreed)| now.since(*agreed) < MAX_LISTING_AGE) || (has_latest && platform_away)
    }
}

impl Coordinator {
    /// Compares the listing in the state with the platform's.
    pub(crate) fn compare_listing(&mut self) {
        let state = self.log.state();
        self.listing_check.compare(&state.listing, state.listing_edition);
    }

    /// Whether the listing allows granting leases to a node that has applied this edition.
    pub(crate) fn listing_is_fresh(&self, applied: Edition, now: Instant) -> bool {
        !self.settings.requires_fresh_listing || self.listing_check.is_fresh(applied, now)
    }
}
