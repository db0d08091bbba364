//! Admission control: the limit on a tenant's concurrent requests on this router, and the budget that keeps
//! retries to a small share of all attempts.

pub mod prelude;

mod budget;
mod shares;
