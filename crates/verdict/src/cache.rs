//! Rules 4 and 5: kept blocks serve their own weights alone, and never across a tenant's wall.

use crate::prelude::*;

/// What passed a router before the wall stood may reach its engine a little later.
pub const WALL_GRACE_MS: u64 = 300;

pub(crate) fn memory_is_of_its_weights(record: &Record) -> Vec<String> {
    let foreign_starts =
        record.work_starts().filter(|start| !start.salt.starts_with(&format!("w{}.", start.weights)));
    let mut found: Vec<String> = foreign_starts
        .map(|start| format!("attempt {} ran on weights {} with salt {}", start.attempt, start.weights, start.salt))
        .collect();
    for line in &record.events {
        if let EventLine::MemoryUsed { attempt, weights, made_on, .. } = line
            && weights != made_on
        {
            found.push(format!("attempt {attempt} on weights {weights} used memory made on {made_on}"));
        }
    }
    found
}

/// When each tenant was surely walled: from an acknowledgement until the wall may come down again.
fn walled_spans(record: &Record) -> Vec<(&str, u64, u64)> {
    let mut spans = Vec::new();
    let mut up_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.events {
        match line {
            EventLine::Walled { at, tenant } => {
                up_since.entry(tenant).or_insert(*at);
            }
            EventLine::Unwalled { at, tenant } => {
                if let Some(since) = up_since.remove(tenant.as_str()) {
                    spans.push((tenant.as_str(), since, *at));
                }
            }
            _ => {}
        }
    }
    spans.extend(up_since.into_iter().map(|(tenant, since)| (tenant, since, u64::MAX)));
    spans
}

/// While a tenant is walled, no start may be on a salt that another tenant used up to then or uses, and
/// no kept block may serve across the wall.
pub(crate) fn memory_keeps_to_walls(record: &Record) -> Vec<String> {
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
                let crosses = |uses: &[u64], made: &[u64]| {
                    let first_made = made.iter().min().copied().unwrap_or(u64::MAX);
                    uses.iter().any(|at| in_span(*at) && first_made <= *at)
                };
                if crosses(own_uses, other_uses) || crosses(other_uses, own_uses) {
                    found.push(format!("salt {salt} served {other} and {walled}, which was walled at {since}"));
                }
            }
        }
        for line in &record.events {
            let EventLine::MemoryUsed { at, attempt, tenant, made_for, .. } = line else { continue };
            if tenant != made_for && in_span(*at) && (tenant == walled || made_for == walled) {
                found.push(format!(
                    "attempt {attempt} of {tenant} used memory made for {made_for}, walled at {since}"
                ));
            }
        }
    }
    found
}
