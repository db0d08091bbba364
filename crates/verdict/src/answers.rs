//! Rules 1 to 3: a request runs at most as often as it may, and answers and streams are whole.

use crate::prelude::*;

pub(crate) fn by_run<'a>(lines: impl Iterator<Item = &'a StartLine>) -> BTreeMap<&'a str, Vec<&'a StartLine>> {
    let mut starts: BTreeMap<&str, Vec<&StartLine>> = BTreeMap::new();
    for start in lines {
        starts.entry(run_of_attempt(&start.attempt)).or_default().push(start);
    }
    starts
}

pub(crate) fn runs_once(record: &Record) -> Vec<String> {
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

pub(crate) fn answers_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, false)
}

pub(crate) fn streams_are_whole(record: &Record) -> Vec<String> {
    wrong_answers(record, true)
}

/// What a caller got is held against its own check of every piece, and against what the engine says it
/// did: a whole answer needs an attempt that was begun, worked to its end, and as long as what came.
fn wrong_answers(record: &Record, streams: bool) -> Vec<String> {
    let ends = record.ends();
    let begun: BTreeSet<&str> = record.starts().map(|start| start.attempt.as_str()).collect();
    let mut found = Vec::new();
    for caller in record.callers.iter().filter(|caller| caller.streams == streams) {
        if !caller.wrong.is_empty() {
            found.push(format!("run {}: {}", caller.run, caller.wrong));
            continue;
        }
        if caller.attempt.is_empty() {
            continue;
        }
        if !begun.contains(caller.attempt.as_str()) {
            found.push(format!("run {}: no engine began attempt {}", caller.run, caller.attempt));
        }
        let Some(end) = ends.get(caller.attempt.as_str()) else { continue };
        if caller.outcome == "whole" && !end.whole {
            found.push(format!("run {}: whole for its caller, not for its engine", caller.run));
        }
        if streams && caller.pieces > end.pieces + 1 {
            found.push(format!("run {}: {} pieces came of {}", caller.run, caller.pieces, end.pieces));
        }
    }
    found
}
