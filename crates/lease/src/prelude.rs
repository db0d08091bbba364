//! The one import of this package's files.

pub use crate::held::*;
pub use crate::nodes::*;
pub use crate::read::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;

pub const READ_LEASE: Span = Span::millis(700);
pub const NODE_LEASE: Span = Span::millis(2000);
/// Added by whoever waits for another's lease to run out, against clocks of unequal rate.
pub const LEASE_MARGIN: Span = Span::millis(100);
/// A node that has not applied a change this old is not renewed.
pub const LAG_LIMIT: Span = Span::millis(800);
/// Between the last possible order of one holder and the first of the next.
pub const DUTY_GAP: Span = Span::millis(3200);
