//! Rules 6 and 7: no work for withdrawn keys, and no requests to engines that the platform lists as leaving or gone.

use crate::prelude::*;

/// All work for a key ends within this time after its withdrawal was acknowledged.
pub const KEY_LIMIT_MS: u64 = 5_000;
/// Requests to an engine end within this time after it was listed as leaving or gone.
pub const LISTING_LIMIT_MS: u64 = 3_000;

/// Rule 6: later than the limit after the acknowledgement, no attempt starts, no engine works on one, and no caller
/// receives a piece.
pub(crate) fn withdrawn_keys_get_no_work(record: &Record) -> Vec<String> {
    let starts = starts_by_run(record.work_starts());
    let ends = record.ends();
    let mut found = Vec::new();
    for line in &record.events {
        let EventLine::KeyWithdrawn { at, key: withdrawn_key } = line else { continue };
        let limit = at + KEY_LIMIT_MS;
        for caller in record.callers.iter().filter(|caller| caller.key == *withdrawn_key && !caller.run.is_empty()) {
            if caller.last_at > limit {
                found.push(format!(
                    "run {} delivered a piece {} ms after its key was withdrawn",
                    caller.run,
                    caller.last_at - at
                ));
            }
            for start in starts.get(caller.run.as_str()).into_iter().flatten() {
                if start.at > limit {
                    found.push(format!(
                        "run {} started {} ms after its key was withdrawn",
                        caller.run,
                        start.at - at
                    ));
                }
                let late_end = ends.get(start.attempt.as_str()).filter(|end| end.at > limit && start.at <= limit);
                if let Some(end) = late_end {
                    found.push(format!(
                        "run {} was still being worked on {} ms after its key was withdrawn",
                        caller.run,
                        end.at - at
                    ));
                }
            }
        }
    }
    found
}

/// Rule 7: no request reaches an engine later than the limit after it was listed as leaving or gone, until it is
/// listed as open again.
pub(crate) fn delisted_engines_get_no_requests(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for (index, line) in record.events.iter().enumerate() {
        let EventLine::ListedAway { at, engine: delisted_engine } = line else { continue };
        let later_lines = &record.events[index..];
        let reopened_at = later_lines.iter().find_map(|later| match later {
            EventLine::ListedOpen { at: opened, engine } if engine == delisted_engine => Some(*opened),
            _ => None,
        });
        let reopened_at = reopened_at.unwrap_or(u64::MAX);
        for asked_at in record.requests_to(delisted_engine) {
            if asked_at > at + LISTING_LIMIT_MS && asked_at < reopened_at {
                let late = asked_at - at;
                found.push(format!(
                    "engine {delisted_engine} got a request at {asked_at}, {late} ms after it was delisted"
                ));
            }
        }
    }
    found
}
