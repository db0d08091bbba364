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
/// How long a new holder of a duty waits before it acts. The one before may have been granted a lease up
/// to the moment the appointment was committed, and more than three seconds must lie between their orders.
pub const DUTY_GAP: Span = Span::millis(5300);
