//! Rules 1 to 3: a request that is not repeatable runs at most once, and responses and streams are complete.

use crate::prelude::*;

/// Groups starts by their run.
pub(crate) fn starts_by_run<'a>(lines: impl Iterator<Item = &'a StartLine>) -> BTreeMap<&'a str, Vec<&'a StartLine>> {
    let mut starts: BTreeMap<&str, Vec<&StartLine>> = BTreeMap::new();
    for start in lines {
        starts.entry(run_of_attempt(&start.attempt)).or_default().push(start);
    }
    starts
}

/// Rule 1: one run for each idempotency key, one start for each run that is not repeatable, and none for a run
/// reported as `not_run`.
pub(crate) fn no_duplicate_runs(record: &Record) -> Vec<String> {
    let starts = starts_by_run(record.starts());
    let mut found = Vec::new();
    let mut started_by_key: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for caller in record.callers.iter().filter(|caller| !caller.idempotency.is_empty() && !caller.repeatable) {
        if starts.contains_key(caller.run.as_str()) {
            started_by_key.entry((&caller.tenant, &caller.idempotency)).or_default().insert(&caller.run);
        }
    }
    for ((tenant, key), runs) in started_by_key.iter().filter(|(_, runs)| runs.len() > 1) {
        found.push(format!("idempotency key {key} of {tenant} started several runs: {runs:?}"));
    }
    for caller in record.callers.iter().filter(|caller| !caller.run.is_empty()) {
        let start_count = starts.get(caller.run.as_str()).map_or(0, Vec::len);
        if !caller.repeatable && start_count > 1 {
            found.push(format!("run {} is not repeatable but started {start_count} times", caller.run));
        }
        if caller.outcome == "not_run" && start_count > 0 {
            found.push(format!("run {} started but was reported as not_run", caller.run));
        }
    }
    found
}

/// Rule 2: responses that are not streamed are complete.
pub(crate) fn answers_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, false)
}

/// Rule 3: streams are complete.
pub(crate) fn streams_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, true)
}

/// Compares what each caller received with the caller's own check of every piece and with the engine's log: a
/// whole response needs an attempt that started, completed, and produced at least as many pieces as arrived.
fn wrong_answers(record: &Record, streams: bool) -> Vec<String> {
    let ends = record.ends();
    let started: BTreeSet<&str> = record.starts().map(|start| start.attempt.as_str()).collect();
    let mut found = Vec::new();
    for caller in record.callers.iter().filter(|caller| caller.streams == streams) {
        if !caller.wrong.is_empty() {
            found.push(format!("run {}: {}", caller.run, caller.wrong));
            continue;
        }
        if caller.attempt.is_empty() {
            continue;
        }
        if !started.contains(caller.attempt.as_str()) {
            found.push(format!("run {}: no engine started attempt {}", caller.run, caller.attempt));
        }
        let Some(end) = ends.get(caller.attempt.as_str()) else { continue };
        if caller.outcome == "whole" && !end.whole {
            found.push(format!("run {}: complete for its caller, but not for its engine", caller.run));
        }
        if streams && caller.pieces > end.pieces + 1 {
            found.push(format!("run {}: {} pieces received, but {} produced", caller.run, caller.pieces, end.pieces));
        }
    }
    found
}
