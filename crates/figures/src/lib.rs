//! Live-traffic metrics per policy and tenant: counters and fixed-bucket histograms.
//!
//! Each router collects them and exposes them as Prometheus text, which is parsed again and summed over routers.
//! Quantiles are estimated with a confidence interval, and only where there are enough samples.

pub mod prelude;

mod exposition;
mod histogram;
mod policy_metrics;
