//! Rules 4 and 5: cached blocks are reused only on the weights they were computed on, and never across a tenant's
//! wall.

use crate::prelude::*;

/// How long after the acknowledgement of a wall a request that its router sent earlier may still reach its engine.
pub const WALL_GRACE_MS: u64 = 300;

/// Rule 4: every salt names the weights of its attempt, and no block computed on other weights is reused.
pub(crate) fn cache_matches_weights(record: &Record) -> Vec<String> {
    let mismatched_starts =
        record.work_starts().filter(|start| !start.salt.starts_with(&format!("w{}.", start.weights)));
    let mut found: Vec<String> = mismatched_starts
        .map(|start| format!("attempt {} ran on weights {} with salt {}", start.attempt, start.weights, start.salt))
        .collect();
    for line in &record.events {
        if let EventLine::MemoryUsed { attempt, weights, made_on, .. } = line
            && weights != made_on
        {
            found.push(format!("attempt {attempt} on weights {weights} used a block computed on {made_on}"));
        }
    }
    found
}

/// The periods in which each tenant was certainly walled: from the acknowledgement of the wall until its removal may
/// take effect.
fn walled_spans(record: &Record) -> Vec<(&str, u64, u64)> {
    let mut spans = Vec::new();
    let mut walled_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.events {
        match line {
            EventLine::Walled { at, tenant } => {
                walled_since.entry(tenant).or_insert(*at);
            }
            EventLine::Unwalled { at, tenant } => {
                if let Some(since) = walled_since.remove(tenant.as_str()) {
                    spans.push((tenant.as_str(), since, *at));
                }
            }
            _ => {}
        }
    }
    spans.extend(walled_since.into_iter().map(|(tenant, since)| (tenant, since, u64::MAX)));
    spans
}

/// Rule 5: while a tenant is walled, no attempt starts on a salt that it shares with another tenant, and no cached
/// block is reused across the wall.
pub(crate) fn cache_respects_walls(record: &Record) -> Vec<String> {
    let tenants: BTreeMap<&str, &str> =
        record.callers.iter().map(|caller| (caller.run.as_str(), caller.tenant.as_str())).collect();
    let mut uses: BTreeMap<&str, BTreeMap<&str, Vec<u64>>> = BTreeMap::new();
    for start in record.starts() {
        if let Some(tenant) = tenants.get(run_of_attempt(&start.attempt)) {
            uses.entry(start.salt.as_str()).or_default().entry(tenant).or_default().push(start.at);
        }
    }
    let mut found = Vec::new();
    for (walled, since, until) in walled_spans(record) {
        let in_span = |at: u64| at > since + WALL_GRACE_MS && at < until;
        for (salt, by_tenant) in &uses {
            let Some(own_uses) = by_tenant.get(walled) else { continue };
            for (other, other_uses) in by_tenant.iter().filter(|(tenant, _)| **tenant != walled) {
                let crosses = |uses: &[u64], earlier_uses: &[u64]| {
                    let first_use = earlier_uses.iter().min().copied().unwrap_or(u64::MAX);
                    uses.iter().any(|at| in_span(*at) && first_use <= *at)
                };
                if crosses(own_uses, other_uses) || crosses(other_uses, own_uses) {
                    found.push(format!(
                        "salt {salt} was used by {other} and by {walled}, which was walled at {since}"
                    ));
                }
            }
        }
        for line in &record.events {
            let EventLine::MemoryUsed { at, attempt, tenant, made_for, .. } = line else { continue };
            if tenant != made_for && in_span(*at) && (tenant == walled || made_for == walled) {
                found.push(format!(
                    "attempt {attempt} of {tenant} used a block of {made_for}; {walled} was walled at {since}"
                ));
            }
        }
    }
    found
}
