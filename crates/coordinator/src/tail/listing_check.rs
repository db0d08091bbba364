//! Whether the listing in the state is still what the platform says: each keeper reads the platform itself
//! and compares. A node's lease is granted only on a listing known to have agreed lately.

use crate::prelude::*;

/// How old the agreement of state and platform may be for a node's lease to be granted on it: with the
/// lease itself this stays below the three seconds an engine that was listed away may get requests.
const MAX_LISTING_AGE: Span = Span::millis(800);
/// How long a failed reading counts: the platform is away, and the last list holds.
const MAX_FAILURE_AGE: Span = Span::millis(1300);
/// How many listings of the state are remembered: the latest, and the one that nodes have which have yet to
/// apply it.
const REMEMBERED_LISTINGS: usize = 2;

/// The platform's listing as this keeper itself read it, against the one in the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListingCheck {
    /// When the latest good reading began.
    asked: Instant,
    newest: Option<(String, ListingNumber)>,
    /// When the latest reading that failed began.
    failed_at: Instant,
    /// The listings in the state, latest first: the edition each came in, and when the latest reading
    /// began that agreed with it.
    agreed: VecDeque<(Edition, Instant)>,
}

impl ListingCheck {
    /// Notes a reading that began at `asked`; nothing was read if the platform could not be reached.
    pub(crate) fn record_reading(&mut self, read: Option<(String, ListingNumber)>, asked: Instant) {
        match read {
            None => self.failed_at = self.failed_at.max(asked),
            Some((boot, number)) if asked >= self.asked => {
                self.asked = asked;
                self.newest = Some((boot, number));
            }
            Some(_) => {}
        }
    }

    /// Notes whether the platform and the listing of the state, taken in an edition, agree now.
    fn compare(&mut self, in_state: &Listing, listing_edition: Edition) {
        if self.agreed.front().is_none_or(|(edition, _)| *edition != listing_edition) {
            self.agreed.push_front((listing_edition, Instant(0)));
            self.agreed.truncate(REMEMBERED_LISTINGS);
        }
        let agrees =
            self.newest.as_ref().is_some_and(|(boot, number)| *boot == in_state.boot && *number <= in_state.number);
        if agrees && let Some((_, agreed)) = self.agreed.front_mut() {
            *agreed = (*agreed).max(self.asked);
        }
    }

    /// Whether a node that has applied so much may be let start on the listing it has.
    fn is_fresh(&self, applied: Edition, now: Instant) -> bool {
        let own_agreed = self.agreed.iter().find(|(edition, _)| applied >= *edition);
        let has_latest = self.agreed.front().is_some_and(|(edition, _)| applied >= *edition);
        let platform_away = self.failed_at >= self.asked && now.since(self.failed_at) < MAX_FAILURE_AGE;
        own_agreed.is_some_and(|(_, agreed)| now.since(*agreed) < MAX_LISTING_AGE) || (has_latest && platform_away)
    }
}

impl Coordinator {
    /// Compares the listing in the state with the platform's.
    pub(crate) fn compare_listing(&mut self) {
        let state = self.log.state();
        self.listing_check.compare(&state.listing, state.listing_edition);
    }

    /// Whether leases may be granted to a node that has applied so much.
    pub(crate) fn listing_is_fresh(&self, applied: Edition, now: Instant) -> bool {
        !self.settings.requires_fresh_listing || self.listing_check.is_fresh(applied, now)
    }
}
