//! Rule 13 and the check of questions: requests run only on their tenant's adapter, and each question is answered
//! once, completely and in time.

use crate::prelude::*;

/// How long after a switch attempts may still start on the previous revision: a router with a valid lease may not
/// have applied the switch yet, and requests that it sent earlier may be in flight.
pub const ADAPTER_SWITCH_GRACE_MS: u64 = 3_000;

/// For each tenant, the adapters that its requests were bound to, in order, each with the time of its binding.
type Bindings<'a> = BTreeMap<&'a str, Vec<(u64, &'a str)>>;

fn bindings(record: &Record) -> Bindings<'_> {
    let mut bound: Bindings<'_> = BTreeMap::new();
    for line in &record.events {
        if let EventLine::AdapterInForce { at, tenant, adapter } = line {
            bound.entry(tenant).or_default().push((*at, adapter));
        }
    }
    bound
}

/// Whether an attempt that started at a time may run on an adapter: the one bound at that time, one replaced within
/// the grace before it, or one bound within the grace after it.
fn may_run_on(bound: &[(u64, &str)], adapter: &str, at: u64) -> bool {
    bound.iter().enumerate().any(|(index, (since, known))| {
        let until = bound.get(index + 1).map_or(u64::MAX, |(next, _)| next + ADAPTER_SWITCH_GRACE_MS);
        *known == adapter && at + ADAPTER_SWITCH_GRACE_MS >= *since && at <= until
    })
}

/// Rule 13: requests of a tenant bound to an adapter run only on that adapter, those of other tenants on the base
/// model; responses name the adapter they ran on; no cached block is shared between adapters; and no attempt runs on
/// an adapter that its own router had already replaced when it wrote the attempt's first byte.
pub(crate) fn adapters_match_tenants(record: &Record) -> Vec<String> {
    let bound = bindings(record);
    let tenants: BTreeMap<&str, &str> =
        record.callers.iter().map(|caller| (caller.run.as_str(), caller.tenant.as_str())).collect();
    let mut found = Vec::new();
    let mut ran_on: BTreeMap<&str, &str> = BTreeMap::new();
    for work in record.work_starts() {
        ran_on.insert(&work.attempt, &work.adapter);
        let Some(tenant) = tenants.get(run_of_attempt(&work.attempt)) else { continue };
        let is_allowed = match bound.get(tenant) {
            None => work.adapter.is_empty(),
            Some(own) => may_run_on(own, &work.adapter, work.at),
        };
        if !is_allowed {
            found.push(format!(
                "attempt {} of {tenant} ran on adapter {:?} at {}",
                work.attempt, work.adapter, work.at
            ));
        }
    }
    for caller in record.callers.iter().filter(|caller| caller.outcome == "whole" && !caller.attempt.is_empty()) {
        let Some(adapter) = ran_on.get(caller.attempt.as_str()) else { continue };
        if caller.adapter != *adapter {
            found.push(format!(
                "run {} names adapter {:?} in its response, but ran on {adapter:?}",
                caller.run, caller.adapter
            ));
        }
    }
    for line in &record.events {
        match line {
            EventLine::AdapterMemoryUsed { attempt, adapter, made_under, .. } => {
                found.push(format!(
                    "attempt {attempt} on adapter {adapter:?} used a block computed under {made_under:?}"
                ));
            }
            EventLine::Written { attempt, adapter, .. } => {
                let started_on = ran_on.get(attempt.as_str()).filter(|started_on| *started_on != adapter);
                found.extend(started_on.map(|started_on| {
                    format!(
                        "attempt {attempt} ran on {started_on:?}, but at its first byte its router had {adapter:?}"
                    )
                }));
            }
            _ => {}
        }
    }
    found
}

/// Every question must be answered completely exactly once, within the limit after it was first asked. A question
/// that is not repeatable may stay unanswered only if its engine or router was lost while it ran.
pub fn check_questions(record: &Record, limit_ms: u64) -> Vec<String> {
    let mut asked: BTreeMap<&str, Vec<&CallerLine>> = BTreeMap::new();
    for caller in record.callers.iter().filter(|caller| !caller.question.is_empty()) {
        asked.entry(&caller.question).or_default().push(caller);
    }
    let engines: BTreeMap<&str, &str> =
        record.starts().map(|start| (run_of_attempt(&start.attempt), start.engine.as_str())).collect();
    let mut found = Vec::new();
    for (question, lines) in asked {
        let whole: Vec<&&CallerLine> = lines.iter().filter(|line| line.outcome == "whole").collect();
        let first_asked = lines.iter().map(|line| line.at).min().unwrap_or_default();
        match whole.as_slice() {
            [answer] if answer.ended <= first_asked + limit_ms => {}
            [answer] => {
                found.push(format!("question {question} was answered only after {} ms", answer.ended - first_asked))
            }
            [] if lines.iter().any(|line| is_excused(record, &engines, line)) => {}
            [] => {
                let ends: Vec<&str> = lines.iter().map(|line| line.outcome.as_str()).collect();
                found.push(format!("question {question} of {} was not answered: {ends:?}", lines[0].tenant));
            }
            several => found.push(format!("question {question} was answered {} times", several.len())),
        }
    }
    found
}

/// Whether a request may have run, is not repeatable, and lost its engine or router while it ran. If no engine logged
/// a start of the run, the request may have been in flight to any engine that was lost.
fn is_excused(record: &Record, engines: &BTreeMap<&str, &str>, line: &CallerLine) -> bool {
    let may_have_run = matches!(line.outcome.as_str(), "unknown" | "cut" | "no_answer");
    let engine_of_run = engines.get(line.run.as_str()).copied();
    let is_its_engine = |what: &str| match engine_of_run {
        Some(engine) => what == engine,
        None => engines.values().any(|engine| what == *engine),
    };
    let is_lost = record.events.iter().any(|lost| match lost {
        EventLine::Lost { at, what } => {
            let in_time = *at <= line.ended && *at + ADAPTER_SWITCH_GRACE_MS >= line.at;
            in_time && (is_its_engine(what) || *what == line.router)
        }
        _ => false,
    });
    may_have_run && !line.repeatable && is_lost
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn start(at: u64, attempt: &str, adapter: &str) -> EngineLogLine {
        EngineLogLine::Start(StartLine {
            at,
            engine: "e1".into(),
            attempt: attempt.into(),
            salt: "w1.x".into(),
            weights: 1,
            adapter: adapter.into(),
            prompt_blocks: 1,
            cached_blocks: 0,
        })
    }

    fn asked(run: &str, tenant: &str, adapter: &str) -> CallerLine {
        CallerLine {
            at: 1_000,
            ended: 2_000,
            run: run.into(),
            tenant: tenant.into(),
            outcome: "whole".into(),
            attempt: format!("{run}.1"),
            adapter: adapter.into(),
            question: format!("q{run}"),
            router: "n1".into(),
            pieces: 1,
            ..CallerLine::default()
        }
    }

    fn in_force(at: u64, tenant: &str, adapter: &str) -> EventLine {
        EventLine::AdapterInForce { at, tenant: tenant.into(), adapter: adapter.into() }
    }

    /// Tenant a on `x@1`, and on `x@2` from 10,000 ms on; tenant b on `y@1`; tenant c on the base model.
    fn clean_record() -> Record {
        Record {
            callers: vec![asked("r.1", "a", "x@1"), asked("r.2", "b", "y@1"), asked("r.3", "c", "")],
            engines: vec![start(1_000, "r.1.1", "x@1"), start(1_000, "r.2.1", "y@1"), start(1_000, "r.3.1", "")],
            events: vec![
                in_force(0, "a", "x@1"),
                in_force(10_000, "a", "x@2"),
                in_force(0, "b", "y@1"),
                EventLine::Written { at: 999, attempt: "r.1.1".into(), adapter: "x@1".into() },
                EventLine::Written { at: 999, attempt: "r.3.1".into(), adapter: String::new() },
            ],
            ..Record::default()
        }
    }

    fn rules(record: &Record) -> Vec<u8> {
        check_record(record).iter().map(|violation| violation.rule).collect()
    }

    type Change = fn(&mut Record);

    #[test]
    fn each_answer_from_a_wrong_adapter_is_reported() {
        assert_eq!(rules(&clean_record()), [0u8; 0]);
        let changes: [Change; 9] = [
            |record| record.engines[0] = start(1_000, "r.1.1", "y@1"),
            |record| record.engines[0] = start(1_000, "r.1.1", ""),
            |record| record.engines[2] = start(1_000, "r.3.1", "x@1"),
            |record| record.engines[0] = start(1_000, "r.1.1", "x@2"),
            |record| record.engines[0] = start(13_001, "r.1.1", "x@1"),
            |record| record.callers[0].adapter = "y@1".into(),
            |record| record.callers[0].adapter = String::new(),
            |record| {
                let (adapter, made_under) = ("x@1".into(), "y@1".into());
                record.events.push(EventLine::AdapterMemoryUsed {
                    at: 1,
                    attempt: "r.1.1".into(),
                    adapter,
                    made_under,
                });
            },
            |record| {
                record.events.push(EventLine::Written { at: 999, attempt: "r.1.1".into(), adapter: "x@2".into() })
            },
        ];
        for (index, change) in changes.iter().enumerate() {
            let mut record = clean_record();
            change(&mut record);
            let broken = rules(&record);
            assert!(!broken.is_empty() && broken.iter().all(|rule| *rule == 13), "change {index}: {broken:?}");
        }
    }

    #[test]
    fn each_question_unanswered_late_or_answered_twice_is_reported() {
        let limit_ms = 5_000;
        assert_eq!(check_questions(&clean_record(), limit_ms), [""; 0]);
        let changes: [Change; 4] = [
            |record| record.callers[0].ended = 6_001,
            |record| record.callers[0].outcome = "not_run".into(),
            |record| record.callers.push(CallerLine { run: "r.9".into(), ..record.callers[0].clone() }),
            |record| record.callers[0].outcome = "cut".into(),
        ];
        for change in changes {
            let mut record = clean_record();
            change(&mut record);
            assert_eq!(check_questions(&record, limit_ms).len(), 1);
        }
        let mut lost = clean_record();
        lost.callers[0].outcome = "unknown".into();
        lost.events.push(EventLine::Lost { at: 1_500, what: "e1".into() });
        assert_eq!(check_questions(&lost, limit_ms), [""; 0], "the request ran on the engine that was lost");
        lost.callers[0].repeatable = true;
        assert_eq!(check_questions(&lost, limit_ms).len(), 1, "a repeatable question can be asked again");
    }
}
