//! Rules 11 and 12: retries stay within their budget, and service recovers after the last fault.

use crate::prelude::*;

/// Retries allowed for each first attempt.
pub const RETRY_RATIO_LIMIT: f64 = 0.15;
/// Retries allowed in addition, over a whole run.
pub const RUN_RETRY_ALLOWANCE: u64 = 30;
/// Retries allowed in addition, for each router in a window.
pub const ROUTER_RETRY_ALLOWANCE: u64 = 3;
/// Length of the windows in which retries are counted.
pub const RETRY_WINDOW_MS: u64 = 5_000;
/// Service recovers within this time after the last fault.
pub const RECOVERY_LIMIT_MS: u64 = 12_000;

/// Rule 11: retries stay within their budget over the whole run and in each window.
pub(crate) fn retries_within_budget(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let first_attempts = record.attempts.saturating_sub(record.retries);
    let allowed = (first_attempts as f64 * RETRY_RATIO_LIMIT) as u64 + RUN_RETRY_ALLOWANCE;
    if record.retries > allowed {
        found.push(format!("{} retries for {first_attempts} first attempts", record.retries));
    }
    for (window, (attempts, retries, router_count)) in retry_windows(record) {
        let first_attempts = attempts.saturating_sub(retries);
        let allowed = (first_attempts as f64 * RETRY_RATIO_LIMIT) as u64 + ROUTER_RETRY_ALLOWANCE * router_count;
        if retries > allowed {
            let from = window * RETRY_WINDOW_MS;
            found.push(format!("{retries} retries for {first_attempts} first attempts in the window from {from}"));
        }
    }
    found
}

/// Attempts, retries and routers in each window, from the routers' own counters.
fn retry_windows(record: &Record) -> BTreeMap<u64, (u64, u64, u64)> {
    let mut last_counts: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    for line in &record.events {
        let EventLine::Sample { at, router, attempts, retries, .. } = line else { continue };
        last_counts.insert((router, at / RETRY_WINDOW_MS), (*attempts, *retries));
    }
    let mut windows: BTreeMap<u64, (u64, u64, u64)> = BTreeMap::new();
    let mut earlier: Option<(&str, (u64, u64))> = None;
    for ((router, window), (attempts, retries)) in last_counts {
        let before = earlier.filter(|(name, _)| *name == router).map_or((0, 0), |(_, counts)| counts);
        let sums = windows.entry(window).or_default();
        sums.0 += attempts.saturating_sub(before.0);
        sums.1 += retries.saturating_sub(before.1);
        sums.2 += 1;
        earlier = Some((router, (attempts, retries)));
    }
    windows
}

/// Rule 12: once the recovery limit after the last fault has passed, nearly all requests are served, and most
/// requests of each router and of each kind.
pub(crate) fn service_recovers(record: &Record) -> Vec<String> {
    let over_at = record.events.iter().rev().find_map(|line| match line {
        EventLine::LastFaultOver { at } => Some(*at),
        _ => None,
    });
    let ends_at = record.events.iter().rev().find_map(|line| match line {
        EventLine::RunEnds { at } => Some(*at),
        _ => None,
    });
    let (Some(over_at), Some(ends_at)) = (over_at, ends_at) else { return Vec::new() };
    if ends_at <= over_at + RECOVERY_LIMIT_MS {
        return Vec::new();
    }
    let late_callers: Vec<&CallerLine> = record
        .callers
        .iter()
        .filter(|caller| caller.at > over_at + RECOVERY_LIMIT_MS && caller.at < ends_at)
        .collect();
    if late_callers.is_empty() {
        return vec!["no requests after the last fault: recovery cannot be checked".into()];
    }
    let mut found = Vec::new();
    let unserved = late_callers.iter().filter(|caller| is_unserved(caller)).count();
    if unserved * 100 > late_callers.len() {
        found.push(format!("{unserved} of {} late requests were not served", late_callers.len()));
    }
    // One failing router or kind of request can hide in the total of a large fleet.
    let mut groups: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
    for caller in &late_callers {
        for naming in [("router", caller.router.as_str()), ("kind", caller.kind.as_str())] {
            let group = groups.entry(naming).or_default();
            group.0 += 1;
            group.1 += usize::from(is_unserved(caller));
        }
    }
    for ((what, name), (asked, unserved)) in groups {
        if asked >= 3 && unserved * 2 > asked {
            found.push(format!("{what} {name} served {} of {asked} late requests", asked - unserved));
        }
    }
    found
}

fn is_unserved(caller: &CallerLine) -> bool {
    let failed = matches!(caller.outcome.as_str(), "not_run" | "unknown" | "cut" | "no_answer");
    failed && !(400..500).contains(&caller.status)
}
