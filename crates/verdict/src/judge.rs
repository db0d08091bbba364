//! One judge for each of the rules.

use crate::prelude::*;

pub const KEY_LIMIT_MS: u64 = 5_000;
pub const LISTING_LIMIT_MS: u64 = 3_000;
pub const DESIRED_STATE_LIMIT_MS: u64 = 2_000;
pub const WEIGHTS_LIMIT_MS: u64 = 20_000;
pub const HOLDER_GAP_MS: u64 = 3_000;
/// What passed a router before the wall stood may reach its engine a little later.
pub const WALL_FLIGHT_MS: u64 = 300;
pub const RETRY_SHARE: f64 = 0.15;
pub const RETRY_FLOAT: u64 = 30;
pub const RETRY_FLOAT_OF_ROUTER: u64 = 3;
pub const RETRY_WINDOW_MS: u64 = 5_000;
pub const RECOVERY_LIMIT_MS: u64 = 12_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: u8,
    pub what: String,
}

/// What one rule's judge found.
type Judge = fn(&Record) -> Vec<String>;

/// Everything that broke a rule; empty for a clean run.
pub fn judge(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let judges: [(u8, Judge); 13] = [
        (1, runs_once),
        (2, answers_are_whole),
        (3, streams_are_whole),
        (4, memory_is_of_its_weights),
        (5, memory_keeps_to_walls),
        (6, withdrawn_keys_do_nothing),
        (7, engines_listed_away_get_nothing),
        (8, desired_states_hold),
        (9, old_weights_end),
        (10, one_holder_orders),
        (11, retries_are_few),
        (12, service_returns),
        (13, adapters_are_own),
    ];
    for (rule, judge_rule) in judges {
        violations.extend(judge_rule(record).into_iter().map(|what| Violation { rule, what }));
    }
    violations
}

fn by_run<'a>(lines: impl Iterator<Item = &'a StartLine>) -> BTreeMap<&'a str, Vec<&'a StartLine>> {
    let mut starts: BTreeMap<&str, Vec<&StartLine>> = BTreeMap::new();
    for start in lines {
        starts.entry(run_of(&start.shot)).or_default().push(start);
    }
    starts
}

fn runs_once(record: &Record) -> Vec<String> {
    let starts = by_run(record.starts());
    let mut found = Vec::new();
    let mut started_by_key: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for caller in record.callers.iter().filter(|caller| !caller.idempotency.is_empty() && !caller.repeatable) {
        if starts.contains_key(caller.run.as_str()) {
            started_by_key.entry((&caller.tenant, &caller.idempotency)).or_default().insert(&caller.run);
        }
    }
    for ((tenant, key), runs) in started_by_key.iter().filter(|(_, runs)| runs.len() > 1) {
        found.push(format!("{tenant}'s idempotency key {key} was run as {runs:?}"));
    }
    for caller in record.callers.iter().filter(|caller| !caller.run.is_empty()) {
        let start_count = starts.get(caller.run.as_str()).map_or(0, Vec::len);
        if !caller.repeatable && start_count > 1 {
            found.push(format!("unrepeatable run {} started {start_count} times", caller.run));
        }
        if caller.outcome == "not_run" && start_count > 0 {
            found.push(format!("run {} was said not to have run", caller.run));
        }
    }
    found
}

fn answers_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, false)
}

fn streams_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, true)
}

/// What a caller got is held against its own check of every piece, and against what the engine says it
/// did: a whole answer needs a shot that was begun, worked to its end, and as long as what came.
fn wrong_answers(record: &Record, streams: bool) -> Vec<String> {
    let ends = record.ends();
    let begun: BTreeSet<&str> = record.starts().map(|start| start.shot.as_str()).collect();
    let mut found = Vec::new();
    for caller in record.callers.iter().filter(|caller| caller.streams == streams) {
        if !caller.wrong.is_empty() {
            found.push(format!("run {}: {}", caller.run, caller.wrong));
            continue;
        }
        if caller.shot.is_empty() {
            continue;
        }
        if !begun.contains(caller.shot.as_str()) {
            found.push(format!("run {}: no engine began shot {}", caller.run, caller.shot));
        }
        let Some(end) = ends.get(caller.shot.as_str()) else { continue };
        if caller.outcome == "whole" && !end.whole {
            found.push(format!("run {}: whole for its caller, not for its engine", caller.run));
        }
        if streams && caller.pieces > end.pieces + 1 {
            found.push(format!("run {}: {} pieces came of {}", caller.run, caller.pieces, end.pieces));
        }
    }
    found
}

fn memory_is_of_its_weights(record: &Record) -> Vec<String> {
    let foreign_starts = record.works().filter(|start| !start.salt.starts_with(&format!("w{}.", start.weights)));
    let mut found: Vec<String> = foreign_starts
        .map(|start| format!("shot {} ran on weights {} with salt {}", start.shot, start.weights, start.salt))
        .collect();
    for line in &record.world {
        if let WorldLine::MemoryUsed { shot, weights, made_on, .. } = line
            && weights != made_on
        {
            found.push(format!("shot {shot} on weights {weights} used memory made on {made_on}"));
        }
    }
    found
}

/// When each tenant was surely walled: from an acknowledgement until the wall may come down again.
fn walled_spans(record: &Record) -> Vec<(&str, u64, u64)> {
    let mut spans = Vec::new();
    let mut up_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.world {
        match line {
            WorldLine::Walled { at, tenant } => {
                up_since.entry(tenant).or_insert(*at);
            }
            WorldLine::Unwalled { at, tenant } => {
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
fn memory_keeps_to_walls(record: &Record) -> Vec<String> {
    let tenants: BTreeMap<&str, &str> =
        record.callers.iter().map(|caller| (caller.run.as_str(), caller.tenant.as_str())).collect();
    let mut uses: BTreeMap<&str, BTreeMap<&str, Vec<u64>>> = BTreeMap::new();
    for start in record.starts() {
        if let Some(tenant) = tenants.get(run_of(&start.shot)) {
            uses.entry(start.salt.as_str()).or_default().entry(tenant).or_default().push(start.at);
        }
    }
    let mut found = Vec::new();
    for (walled, since, until) in walled_spans(record) {
        let in_span = |at: u64| at > since + WALL_FLIGHT_MS && at < until;
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
        for line in &record.world {
            let WorldLine::MemoryUsed { at, shot, tenant, made_for, .. } = line else { continue };
            if tenant != made_for && in_span(*at) && (tenant == walled || made_for == walled) {
                found.push(format!("shot {shot} of {tenant} used memory made for {made_for}, walled at {since}"));
            }
        }
    }
    found
}

/// Work is judged, not starts alone: no shot may begin, go on at its engine, or bring its caller a
/// piece, later than the limit after the acknowledgement.
fn withdrawn_keys_do_nothing(record: &Record) -> Vec<String> {
    let works = by_run(record.works());
    let ends = record.ends();
    let mut found = Vec::new();
    for line in &record.world {
        let WorldLine::KeyWithdrawn { at, key: withdrawn_key } = line else { continue };
        let limit = at + KEY_LIMIT_MS;
        for caller in record.callers.iter().filter(|caller| caller.key == *withdrawn_key && !caller.run.is_empty()) {
            if caller.last_at > limit {
                found.push(format!(
                    "run {} brought a piece {} ms after its key's end",
                    caller.run,
                    caller.last_at - at
                ));
            }
            for start in works.get(caller.run.as_str()).into_iter().flatten() {
                if start.at > limit {
                    found.push(format!("run {} began {} ms after its key's end", caller.run, start.at - at));
                }
                let late_end = ends.get(start.shot.as_str()).filter(|end| end.at > limit && start.at <= limit);
                if let Some(end) = late_end {
                    found.push(format!("run {} was worked on {} ms after its key's end", caller.run, end.at - at));
                }
            }
        }
    }
    found
}

fn engines_listed_away_get_nothing(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for (place, line) in record.world.iter().enumerate() {
        let WorldLine::ListedAway { at, engine: left_engine } = line else { continue };
        let later_lines = &record.world[place..];
        let back_at = later_lines.iter().find_map(|later| match later {
            WorldLine::ListedOpen { at: opened, engine } if engine == left_engine => Some(*opened),
            _ => None,
        });
        let back_at = back_at.unwrap_or(u64::MAX);
        for asked_at in record.requests_to(left_engine) {
            if asked_at > at + LISTING_LIMIT_MS && asked_at < back_at {
                let late = asked_at - at;
                found.push(format!(
                    "engine {left_engine} was asked {late} ms after it was listed away, at {asked_at}"
                ));
            }
        }
    }
    found
}

fn desired_states_hold(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let mut shown: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.world {
        let WorldLine::Sample { at, router, edition, leased, .. } = line else { continue };
        let highest = shown.entry(router).or_insert(0);
        if *edition < *highest {
            found.push(format!("router {router} fell back from edition {highest} to {edition}"));
        }
        *highest = (*highest).max(*edition);
        for acked in &record.world {
            let WorldLine::Acked { at: acked_at, edition: acked_edition } = acked else { continue };
            if *leased && *at > acked_at + DESIRED_STATE_LIMIT_MS && edition < acked_edition {
                found.push(format!(
                    "router {router} served edition {edition} {} ms after {acked_edition}",
                    at - acked_at
                ));
            }
        }
    }
    found
}

fn old_weights_end(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for line in &record.world {
        let WorldLine::WeightsAcked { at, weights } = line else { continue };
        for start in record.works().filter(|start| start.weights < *weights) {
            if start.at > at + WEIGHTS_LIMIT_MS {
                found.push(format!(
                    "shot {} began on weights {} {} ms late",
                    start.shot,
                    start.weights,
                    start.at - at
                ));
            }
        }
    }
    found
}

fn one_holder_orders(record: &Record) -> Vec<String> {
    let mut orders: BTreeMap<&str, Vec<(u64, u64, &str, bool)>> = BTreeMap::new();
    for line in &record.engines {
        if let EngineLine::Order { at, engine, holder, term, taken, .. } = line {
            orders.entry(engine).or_default().push((*at, *term, holder, *taken));
        }
    }
    let mut found = Vec::new();
    for (engine, mut engine_orders) in orders {
        engine_orders.sort_by_key(|order| order.0);
        for pair in engine_orders.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if earlier.2 != later.2 && later.0 - earlier.0 < HOLDER_GAP_MS {
                found.push(format!("engine {engine}: two holders within {} ms", later.0 - earlier.0));
            }
            if later.1 < earlier.1 && later.3 {
                found.push(format!("engine {engine}: took term {} after {}", later.1, earlier.1));
            }
        }
    }
    found
}

fn retries_are_few(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let first_shots = record.shots.saturating_sub(record.retries);
    let allowed = (first_shots as f64 * RETRY_SHARE) as u64 + RETRY_FLOAT;
    if record.retries > allowed {
        found.push(format!("{} second shots on {first_shots} first ones", record.retries));
    }
    for (window, (shots, retries, router_count)) in retry_windows(record) {
        let first_shots = shots.saturating_sub(retries);
        let allowed = (first_shots as f64 * RETRY_SHARE) as u64 + RETRY_FLOAT_OF_ROUTER * router_count;
        if retries > allowed {
            let from = window * RETRY_WINDOW_MS;
            found.push(format!("{retries} second shots on {first_shots} first ones in the window from {from}"));
        }
    }
    found
}

/// Shots, second shots and routers seen in each stretch of time, from the routers' own counts.
fn retry_windows(record: &Record) -> BTreeMap<u64, (u64, u64, u64)> {
    let mut last_counts: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    for line in &record.world {
        let WorldLine::Sample { at, router, shots, retries, .. } = line else { continue };
        last_counts.insert((router, at / RETRY_WINDOW_MS), (*shots, *retries));
    }
    let mut windows: BTreeMap<u64, (u64, u64, u64)> = BTreeMap::new();
    let mut earlier: Option<(&str, (u64, u64))> = None;
    for ((router, window), (shots, retries)) in last_counts {
        let before = earlier.filter(|(name, _)| *name == router).map_or((0, 0), |(_, counts)| counts);
        let sums = windows.entry(window).or_default();
        sums.0 += shots.saturating_sub(before.0);
        sums.1 += retries.saturating_sub(before.1);
        sums.2 += 1;
        earlier = Some((router, (shots, retries)));
    }
    windows
}

fn service_returns(record: &Record) -> Vec<String> {
    let over_at = record.world.iter().rev().find_map(|line| match line {
        WorldLine::LastFaultOver { at } => Some(*at),
        _ => None,
    });
    let ends_at = record.world.iter().rev().find_map(|line| match line {
        WorldLine::RunEnds { at } => Some(*at),
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

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn start(at: u64, engine: &str, shot: &str, weights: u64) -> EngineLine {
        EngineLine::Start(StartLine {
            at,
            engine: engine.into(),
            shot: shot.into(),
            salt: format!("w{weights}.x"),
            weights,
            adapter: String::new(),
            prompt_blocks: 1,
            cached_blocks: 0,
        })
    }

    fn order(at: u64, holder: &str) -> EngineLine {
        let (engine, holder) = ("e1".into(), holder.into());
        EngineLine::Order { at, engine, holder, term: at, taken: true, order: String::new() }
    }

    fn end(at: u64, shot: &str, whole: bool) -> EngineLine {
        EngineLine::End { at, engine: "e1".into(), shot: shot.into(), pieces: 3, whole }
    }

    fn used(at: u64, made_on: u64, tenant: &str, made_for: &str) -> WorldLine {
        let (tenant, made_for) = (tenant.into(), made_for.into());
        WorldLine::MemoryUsed { at, shot: "r.3.1".into(), weights: 2, made_on, tenant, made_for }
    }

    fn sample(at: u64, router: &str, edition: u64, leased: bool) -> WorldLine {
        WorldLine::Sample { at, router: router.into(), edition, leased, shots: 0, retries: 0 }
    }

    fn caller(run: &str, outcome: &str) -> CallerLine {
        CallerLine { run: run.into(), outcome: outcome.into(), ..CallerLine::default() }
    }

    /// A record that breaks no rule, with something for each judge to look at.
    fn clean_record() -> Record {
        let mut callers = vec![caller("r.1", "whole"), caller("r.2", "not_run"), caller("r.3", "whole")];
        callers[0].tenant = "a".into();
        callers[0].key = "ka".into();
        (callers[0].shot, callers[0].pieces) = ("r.1.1".into(), 3);
        callers[2].tenant = "b".into();
        let mut late_caller = caller("r.4", "whole");
        late_caller.at = 50_000;
        callers.push(late_caller);
        let mut rightly_refused = caller("", "not_run");
        (rightly_refused.at, rightly_refused.status) = (50_000, 401);
        callers.push(rightly_refused);
        Record {
            callers,
            engines: vec![
                start(100, "e1", "r.1.1", 1),
                start(200, "e2", "r.3.1", 2),
                end(150, "r.1.1", true),
                order(10, "h1"),
                order(4_000, "h2"),
            ],
            world: vec![
                WorldLine::KeyWithdrawn { at: 0, key: "ka".into() },
                WorldLine::ListedAway { at: 0, engine: "e1".into() },
                WorldLine::Walled { at: 0, tenant: "a".into() },
                WorldLine::WeightsAcked { at: 0, weights: 2 },
                WorldLine::Acked { at: 0, edition: 4 },
                sample(3_000, "r", 4, true),
                WorldLine::LastFaultOver { at: 30_000 },
                WorldLine::RunEnds { at: 60_000 },
            ],
            shots: 1000,
            retries: 100,
        }
    }

    #[test]
    fn a_clean_record_is_clean() {
        assert_eq!(judge(&clean_record()), []);
        let mut unwalled = clean_record();
        unwalled.world.push(WorldLine::Unwalled { at: 500, tenant: "a".into() });
        unwalled.world.push(used(900, 2, "b", "a"));
        assert_eq!(judge(&unwalled), [], "memory may be shared once the wall is down");
    }

    /// One change to the clean record.
    type Change = fn(&mut Record);

    #[test]
    fn each_judge_catches_its_violation() {
        let changes: [(u8, Change); 29] = [
            (1, |record| record.engines.push(start(101, "e2", "r.1.2", 1))),
            (1, |record| record.engines.push(start(101, "e2", "r.2.1", 3))),
            (2, |record| record.callers[0].wrong = "foreign".into()),
            (2, |record| record.callers[0].shot = "r.9.1".into()),
            (2, |record| record.engines[2] = end(150, "r.1.1", false)),
            (3, |record| {
                record.callers[0].streams = true;
                record.callers[0].pieces = 5;
            }),
            (3, |record| {
                record.callers[0].streams = true;
                record.callers[0].wrong = "piece lost".into();
            }),
            (4, |record| {
                let EngineLine::Start(line) = &mut record.engines[0] else { panic!() };
                line.salt = "w9.z".into();
            }),
            (1, |record| {
                record.callers[0].idempotency = "k".into();
                let again = CallerLine { run: "r.3".into(), idempotency: "k".into(), ..record.callers[0].clone() };
                record.callers[2] = CallerLine { shot: String::new(), key: String::new(), ..again };
            }),
            (4, |record| record.world.push(used(900, 1, "b", "b"))),
            (5, |record| record.world.push(used(900, 2, "b", "a"))),
            (5, |record| record.engines[1] = start(900, "e2", "r.3.1", 1)),
            (5, |record| {
                record.engines[0] = start(100, "e1", "r.1.1", 2);
                record.engines[1] = start(900, "e2", "r.3.1", 2);
                record.world[2] = WorldLine::Walled { at: 150, tenant: "a".into() };
            }),
            (6, |record| record.engines[0] = start(5_001, "e2", "r.1.1", 1)),
            (7, |record| record.engines[0] = start(3_001, "e1", "r.1.1", 1)),
            (7, |record| {
                let EngineLine::Start(line) = start(3_001, "e1", "r.3.1", 2) else { panic!() };
                record.engines.push(EngineLine::Prefill(line));
            }),
            (7, |record| record.engines.push(EngineLine::Asked { at: 3_001, engine: "e1".into() })),
            (6, |record| record.engines[2] = end(5_001, "r.1.1", true)),
            (6, |record| record.callers[0].last_at = 5_001),
            (8, |record| record.world.push(sample(9_000, "q", 3, true))),
            (8, |record| record.world.push(sample(9_000, "r", 3, false))),
            (9, |record| record.engines.push(start(20_001, "e2", "q.1.1", 1))),
            (10, |record| record.engines.push(order(4_500, "h1"))),
            (10, |record| {
                let (engine, holder) = ("e1".into(), "h2".into());
                let order =
                    EngineLine::Order { at: 9_000, engine, holder, term: 9, taken: true, order: String::new() };
                record.engines.push(order);
            }),
            (11, |record| record.retries = 300),
            (11, |record| {
                let router = "z".into();
                let sampled =
                    WorldLine::Sample { at: 9_000, router, edition: 4, leased: true, shots: 40, retries: 9 };
                record.world.push(sampled);
            }),
            (12, |record| record.callers[3].outcome = "not_run".into()),
            (12, |record| {
                let good = CallerLine { router: "r1".into(), ..record.callers[3].clone() };
                let bad = CallerLine { router: "r2".into(), outcome: "no_answer".into(), ..good.clone() };
                record.callers.extend(std::iter::repeat_n(good, 400));
                record.callers.extend(std::iter::repeat_n(bad, 3));
            }),
            (12, |record| {
                record.callers.truncate(3);
            }),
        ];
        for (rule, change) in changes {
            let mut record = clean_record();
            change(&mut record);
            let broken_rules: Vec<u8> = judge(&record).iter().map(|violation| violation.rule).collect();
            assert_eq!(broken_rules, [rule]);
        }
    }
}
