//! What live traffic shows of each policy and tenant: counts and histograms of fixed buckets, kept by
//! each router, told as Prometheus text, read again and summed over routers; quantiles come with an
//! interval, and with "too few requests" where they would say more than was seen.

pub mod prelude;

mod exposition;
mod histogram;
mod policy_metrics;
