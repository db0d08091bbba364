//! A record that follows all rules has no violations; each change to it violates exactly the rule given with it.

use contract::prelude::{EngineLogLine, StartLine};
use verdict::prelude::*;

fn start(at: u64, engine: &str, attempt: &str, weights: u64) -> EngineLogLine {
    EngineLogLine::Start(StartLine {
        at,
        engine: engine.into(),
        attempt: attempt.into(),
        salt: format!("w{weights}.x"),
        weights,
        adapter: String::new(),
        prompt_blocks: 1,
        cached_blocks: 0,
    })
}

fn order(at: u64, holder: &str) -> EngineLogLine {
    let (engine, holder) = ("e1".into(), holder.into());
    EngineLogLine::Order { at, engine, holder, term: at, taken: true, order: String::new() }
}

fn end(at: u64, attempt: &str, whole: bool) -> EngineLogLine {
    EngineLogLine::End { at, engine: "e1".into(), attempt: attempt.into(), pieces: 3, whole }
}

fn used(at: u64, made_on: u64, tenant: &str, made_for: &str) -> EventLine {
    let (tenant, made_for) = (tenant.into(), made_for.into());
    EventLine::MemoryUsed { at, attempt: "r.3.1".into(), weights: 2, made_on, tenant, made_for }
}

fn sample(at: u64, router: &str, edition: u64, leased: bool) -> EventLine {
    EventLine::Sample { at, router: router.into(), edition, leased, attempts: 0, retries: 0 }
}

fn caller(run: &str, outcome: &str) -> CallerLine {
    CallerLine { run: run.into(), outcome: outcome.into(), ..CallerLine::default() }
}

/// A record without violations that gives every oracle something to check.
fn clean_record() -> Record {
    let mut callers = vec![caller("r.1", "whole"), caller("r.2", "not_run"), caller("r.3", "whole")];
    callers[0].tenant = "a".into();
    callers[0].key = "ka".into();
    (callers[0].attempt, callers[0].pieces) = ("r.1.1".into(), 3);
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
        events: vec![
            EventLine::KeyWithdrawn { at: 0, key: "ka".into() },
            EventLine::ListedAway { at: 0, engine: "e1".into() },
            EventLine::Walled { at: 0, tenant: "a".into() },
            EventLine::WeightsAcked { at: 0, weights: 2 },
            EventLine::Acked { at: 0, edition: 4 },
            sample(3_000, "r", 4, true),
            EventLine::LastFaultOver { at: 30_000 },
            EventLine::RunEnds { at: 60_000 },
        ],
        attempts: 1000,
        retries: 100,
    }
}

#[test]
fn a_clean_record_has_no_violations() {
    assert_eq!(check_record(&clean_record()), []);
    let mut unwalled = clean_record();
    unwalled.events.push(EventLine::Unwalled { at: 500, tenant: "a".into() });
    unwalled.events.push(used(900, 2, "b", "a"));
    assert_eq!(check_record(&unwalled), [], "blocks may be shared once the wall is removed");
}

/// A change to the clean record.
type Change = fn(&mut Record);

#[test]
fn each_oracle_reports_its_violation() {
    let changes: [(u8, Change); 29] = [
        (1, |record| record.engines.push(start(101, "e2", "r.1.2", 1))),
        (1, |record| record.engines.push(start(101, "e2", "r.2.1", 3))),
        (2, |record| record.callers[0].wrong = "foreign".into()),
        (2, |record| record.callers[0].attempt = "r.9.1".into()),
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
            let EngineLogLine::Start(line) = &mut record.engines[0] else { panic!() };
            line.salt = "w9.z".into();
        }),
        (1, |record| {
            record.callers[0].idempotency = "k".into();
            let again = CallerLine { run: "r.3".into(), idempotency: "k".into(), ..record.callers[0].clone() };
            record.callers[2] = CallerLine { attempt: String::new(), key: String::new(), ..again };
        }),
        (4, |record| record.events.push(used(900, 1, "b", "b"))),
        (5, |record| record.events.push(used(900, 2, "b", "a"))),
        (5, |record| record.engines[1] = start(900, "e2", "r.3.1", 1)),
        (5, |record| {
            record.engines[0] = start(100, "e1", "r.1.1", 2);
            record.engines[1] = start(900, "e2", "r.3.1", 2);
            record.events[2] = EventLine::Walled { at: 150, tenant: "a".into() };
        }),
        (6, |record| record.engines[0] = start(5_001, "e2", "r.1.1", 1)),
        (7, |record| record.engines[0] = start(3_001, "e1", "r.1.1", 1)),
        (7, |record| {
            let EngineLogLine::Start(line) = start(3_001, "e1", "r.3.1", 2) else { panic!() };
            record.engines.push(EngineLogLine::Prefill(line));
        }),
        (7, |record| record.engines.push(EngineLogLine::Asked { at: 3_001, engine: "e1".into() })),
        (6, |record| record.engines[2] = end(5_001, "r.1.1", true)),
        (6, |record| record.callers[0].last_at = 5_001),
        (8, |record| record.events.push(sample(9_000, "q", 3, true))),
        (8, |record| record.events.push(sample(9_000, "r", 3, false))),
        (9, |record| record.engines.push(start(20_001, "e2", "q.1.1", 1))),
        (10, |record| record.engines.push(order(4_500, "h1"))),
        (10, |record| {
            let (engine, holder) = ("e1".into(), "h2".into());
            let order =
                EngineLogLine::Order { at: 9_000, engine, holder, term: 9, taken: true, order: String::new() };
            record.engines.push(order);
        }),
        (11, |record| record.retries = 300),
        (11, |record| {
            let router = "z".into();
            let sampled = EventLine::Sample { at: 9_000, router, edition: 4, leased: true, attempts: 40, retries: 9 };
            record.events.push(sampled);
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
        let broken_rules: Vec<u8> = check_record(&record).iter().map(|violation| violation.rule).collect();
        assert_eq!(broken_rules, [rule]);
    }
}
