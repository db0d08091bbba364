//! Rules 11 and 12: second attempts are few, and service returns after the last fault.

use crate::prelude::*;

/// Second attempts allowed for each first one.
pub const RETRY_RATIO_LIMIT: f64 = 0.15;
/// Second attempts allowed besides, over a whole run.
pub const RUN_RETRY_ALLOWANCE: u64 = 30;
/// Second attempts allowed besides, for each router in a window.
pub const ROUTER_RETRY_ALLOWANCE: u64 = 3;
/// The stretch of time over which they are counted.
pub const RETRY_WINDOW_MS: u64 = 5_000;
/// Within this after the last fault, service is back.
pub const RECOVERY_LIMIT_MS: u64 = 12_000;

pub(crate) fn retries_are_few(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let first_attempts = record.attempts.saturating_sub(record.retries);
    let allowed = (first_attempts as f64 * RETRY_RATIO_LIMIT) as u64 + RUN_RETRY_ALLOWANCE;
    if record.retries > allowed {
        found.push(format!("{} further attempts on {first_attempts} first ones", record.retries));
    }
    for (window, (attempts, retries, router_count)) in retry_windows(record) {
        let first_attempts = attempts.saturating_sub(retries);
        let allowed = (first_attempts as f64 * RETRY_RATIO_LIMIT) as u64 + ROUTER_RETRY_ALLOWANCE * router_count;
        if retries > allowed {
            let from = window * RETRY_WINDOW_MS;
            found
                .push(format!("{retries} further attempts on {first_attempts} first ones in the window from {from}"));
        }
    }
    found
}

/// Attempts, second attempts and routers seen in each stretch of time, from the routers' own counts.
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

pub(crate) fn service_returns(record: &Record) -> Vec<String> {
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
        return vec!["nobody called after the last fault; recovery was not seen".into()];
    }
    let mut found = Vec::new();
    let turned_away = late_callers.iter().filter(|caller| is_turned_away(caller)).count();
    if turned_away * 100 > late_callers.len() {
        found.push(format!("{turned_away} of {} late requests were not served", late_callers.len()));
    }
    // Each router and each kind of request, not the fleet as a whole alone.
    let mut groups: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
    for caller in &late_callers {
        for naming in [("router", caller.router.as_str()), ("kind", caller.kind.as_str())] {
            let group = groups.entry(naming).or_default();
            group.0 += 1;
            group.1 += usize::from(is_turned_away(caller));
        }
    }
    for ((what, name), (asked, turned_away)) in groups {
        if asked >= 3 && turned_away * 2 > asked {
            found.push(format!("{what} {name} served {} of {asked} late requests", asked - turned_away));
        }
    }
    found
}

fn is_turned_away(caller: &CallerLine) -> bool {
    let unserved = matches!(caller.outcome.as_str(), "not_run" | "unknown" | "cut" | "no_answer");
    unserved && !(400..500).contains(&caller.status)
}
