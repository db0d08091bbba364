//! Counters, ids, and times. Ids are random and displayed as hex; editions and terms only ever increase.

use crate::prelude::*;

/// Defines newtypes of a `u64` counter, displayed in decimal.
macro_rules! count_type {
    ($($(#[$note:meta])* $kind:ident),*) => {$(
        $(#[$note])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $kind(pub u64);
        impl $kind {
            /// The number that follows this one.
            pub fn next(self) -> Self { $kind(self.0 + 1) }
        }
        impl fmt::Display for $kind {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result { write!(out, "{}", self.0) }
        }
    )*};
}

/// Defines newtypes of a random, non-zero `u64` id, displayed as 16 hex digits.
macro_rules! id_type {
    ($($(#[$note:meta])* $kind:ident),*) => {$(
        $(#[$note])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $kind(pub u64);
        impl $kind {
            /// Draws a new id from the system's random number generator.
            pub fn random() -> Self {
                let drawn = getrandom::u64().expect("the system's random number generator failed");
                $kind(drawn.max(1))
            }
        }
        impl fmt::Display for $kind {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result { write!(out, "{:016x}", self.0) }
        }
        impl FromStr for $kind {
            type Err = std::num::ParseIntError;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map($kind)
            }
        }
    )*};
}

count_type!(
    /// The log index of a record, and the version of the fleet state after applying it.
    Edition,
    /// The version of a model's weights.
    WeightsEdition,
    /// The version of an adapter.
    AdapterRevision,
    /// The version of a wall; raising it invalidates everything cached behind the wall.
    WallEdition,
    /// A wall: a cache isolation domain. Cached blocks are never shared between two walls.
    WallId,
    /// The fencing term of a duty's holder.
    Term,
    /// The number of a view of the core's membership.
    ViewNumber,
    /// A number of KV-cache blocks.
    BlockCount,
    /// The sequence number that the platform gives its listing of engines.
    ListingNumber,
    RunNumber,
    Piece
);

id_type!(
    /// A keeper or node. Created with the data folder or at process start, and never reused.
    NodeId,
    /// A fleet: one set of keepers and the nodes they serve.
    FleetId,
    /// One run of a process, from start to exit.
    Incarnation,
    /// Identifies a submission, so that a retry receives the outcome of the first try.
    RequestId
);

/// A point in time, in nanoseconds of the boot-time clock or of the simulator's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instant(pub u64);

/// A duration in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    pub const fn millis(count: u64) -> Span {
        Span(count * 1_000_000)
    }
    pub const fn micros(count: u64) -> Span {
        Span(count * 1000)
    }
    pub const fn seconds(count: u64) -> Span {
        Span::millis(count * 1000)
    }
    pub const fn from_duration(duration: std::time::Duration) -> Span {
        Span(duration.as_nanos() as u64)
    }
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_nanos(self.0)
    }
    pub const fn times(self, count: u64) -> Span {
        Span(self.0 * count)
    }
}

impl Instant {
    /// The time elapsed since `earlier`; zero if `earlier` is in fact later.
    pub fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Span> for Instant {
    type Output = Instant;
    fn add(self, added: Span) -> Instant {
        Instant(self.0.saturating_add(added.0))
    }
}

impl std::ops::Add for Span {
    type Output = Span;
    fn add(self, added: Span) -> Span {
        Span(self.0.saturating_add(added.0))
    }
}
