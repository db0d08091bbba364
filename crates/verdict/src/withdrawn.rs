//! Rules 6 and 7: withdrawn keys and engines listed away get nothing done.

use crate::prelude::*;

/// So long after its end was acknowledged, nothing is done for a key any more.
pub const KEY_LIMIT_MS: u64 = 5_000;
/// So long after it was listed away, an engine is asked for nothing any more.
pub const LISTING_LIMIT_MS: u64 = 3_000;

/// Work is judged, not starts alone: no attempt may begin, go on at its engine, or bring its caller a
/// piece, later than the limit after the acknowledgement.
pub(crate) fn withdrawn_keys_do_nothing(record: &Record) -> Vec<String> {
    let works = by_run(record.work_starts());
    let ends = record.ends();
    let mut found = Vec::new();
    for line in &record.events {
        let EventLine::KeyWithdrawn { at, key: withdrawn_key } = line else { continue };
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
                let late_end = ends.get(start.attempt.as_str()).filter(|end| end.at > limit && start.at <= limit);
                if let Some(end) = late_end {
                    found.push(format!("run {} was worked on {} ms after its key's end", caller.run, end.at - at));
                }
            }
        }
    }
    found
}

pub(crate) fn engines_listed_away_get_nothing(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for (place, line) in record.events.iter().enumerate() {
        let EventLine::ListedAway { at, engine: left_engine } = line else { continue };
        let later_lines = &record.events[place..];
        let back_at = later_lines.iter().find_map(|later| match later {
            EventLine::ListedOpen { at: opened, engine } if engine == left_engine => Some(*opened),
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
