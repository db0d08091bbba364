//! Counted things. Ids are random and printed as hex; editions and terms only ever grow.

use crate::prelude::*;

macro_rules! count_type {
    ($($(#[$note:meta])* $kind:ident),*) => {$(
        $(#[$note])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $kind(pub u64);
        impl $kind {
            pub fn next(self) -> Self { $kind(self.0 + 1) }
        }
        impl fmt::Display for $kind {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result { write!(out, "{}", self.0) }
        }
    )*};
}

macro_rules! id_type {
    ($($(#[$note:meta])* $kind:ident),*) => {$(
        $(#[$note])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $kind(pub u64);
        impl $kind {
            pub fn random() -> Self {
                let drawn = getrandom::u64().expect("the system gives no random bytes");
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
    /// The number of a record of the fleet state, and of the state it leads to.
    Edition,
    WeightsEdition,
    AdapterRevision,
    WallEdition,
    WallId,
    Term,
    ViewNumber,
    BlockCount,
    /// The platform's own number of its listing.
    ListingNumber,
    RunNumber,
    Piece
);

id_type!(
    /// A keeper or node; made with its data folder or at its start, never reused.
    NodeId,
    FleetId,
    /// One life of a process.
    Incarnation,
    /// Names one submission, so that asking again answers the same outcome.
    RequestId
);

/// Nanoseconds of the boot-time clock, or of the simulator's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instant(pub u64);

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
    /// How long from `earlier` to this; nothing if `earlier` is later.
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
