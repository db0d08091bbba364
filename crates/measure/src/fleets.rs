//! Measurements on a running fleet.

use crate::prelude::*;

fn fast_engine_flags() -> Vec<String> {
    vec!["--prefill-us=0".into(), "--decode-us=0".into()]
}

/// Latency of a request through a router, alternating with the same request sent directly to the engine.
pub fn measure_overhead() -> Result<(), String> {
    let fleet =
        Fleet::start(FleetPlan { nodes: 1, engines: 1, engine_flags: fast_engine_flags(), ..FleetPlan::small() })?;
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    let engine = fleet.engines[0].address.clone();
    for number in 0..400 {
        let prompt = format!("overhead {number} {}", "x".repeat(4000));
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": 4, "stream": false, "cache_salt": "s"});
        let began = boot_now();
        fleet.request(&engine, Method::POST, "/v1/completions", Some(&body))?;
        direct.push(boot_now().since(began).0 / 1000);
        let began = boot_now();
        let (status, answer) = fleet.complete(0, 0, &prompt)?;
        routed.push(boot_now().since(began).0 / 1000);
        if status != 200 {
            return Err(format!("{status} {answer}"));
        }
    }
    println!("direct, us: {}", crate::quantiles_text(&mut direct));
    println!("routed, us: {}", crate::quantiles_text(&mut routed));
    println!("ratio of medians: {:.2}", routed[routed.len() / 2] as f64 / direct[direct.len() / 2] as f64);
    Ok(())
}

/// Time from sending a change to its acknowledgement, while nine nodes hold leases.
pub fn measure_acks() -> Result<(), String> {
    let fleet = Fleet::start(FleetPlan { nodes: 9, engines: 1, ..FleetPlan::small() })?;
    let mut small = Vec::new();
    let mut large = Vec::new();
    let patch_small = |round: u64| -> Result<u64, String> {
        let began = boot_now();
        fleet.patch_document(&json!({"routing": {"events_late_ms": 2000 + round}}))?;
        Ok(boot_now().since(began).as_millis())
    };
    for round in 0..40 {
        small.push(patch_small(round)?);
    }
    let mut small_on_large = Vec::new();
    for round in 0..10u64 {
        let many: BTreeMap<String, Value> = (0..1500u64)
            .map(|number| {
                (format!("t{number}"), json!({"share": 1 + round, "keys": {"k": format!("{number:064x}")}}))
            })
            .collect();
        let began = boot_now();
        fleet.patch_document(&json!({"tenants": many}))?;
        large.push(boot_now().since(began).as_millis());
        small_on_large.push(patch_small(100 + round)?);
    }
    println!("small changes of a large document, ms: {}", crate::quantiles_text(&mut small_on_large));
    println!("small changes, ms (two round trips: read the edition, change): {}", crate::quantiles_text(&mut small));
    println!("changes of about 170 kB, ms: {}", crate::quantiles_text(&mut large));
    Ok(())
}

/// Concurrent requests with one hot prefix, through nine routers and through one.
pub fn measure_pile_up() -> Result<(), String> {
    for round in 0..3 {
        for nodes in [9usize, 1] {
            let flags = vec!["--prefill-us=1500".into(), "--decode-us=4000".into()];
            let fleet = Fleet::start(FleetPlan { nodes, engines: 20, engine_flags: flags, ..FleetPlan::small() })?;
            let prefix = format!("hot {round} {}", "the very same score ".repeat(500));
            if fleet.complete(0, 0, &prefix)?.0 != 200 {
                return Err("the first request was not served".into());
            }
            wait_until(Duration::from_millis(400), || false);
            let mut firsts: Vec<u64> = std::thread::scope(|scope| {
                let requests: Vec<_> = (0..90)
                    .map(|number| {
                        let (fleet, prompt) = (&fleet, format!("{prefix} own tail {number}"));
                        scope.spawn(move || {
                            let began = boot_now();
                            let answer = fleet.complete(number % nodes, 0, &prompt);
                            (boot_now().since(began).as_millis(), answer.is_ok_and(|answer| answer.0 == 200))
                        })
                    })
                    .collect();
                let answers = requests.into_iter().map(|request| request.join().unwrap_or((0, false)));
                answers.filter(|(_, whole)| *whole).map(|(millis, _)| millis).collect()
            });
            let report = DayReport::from_record(&fleet.record(&[]));
            let mut starts: Vec<u64> = report.engine_starts.values().copied().collect();
            starts.sort_by(|left, right| right.cmp(left));
            println!(
                "{nodes} routers, 90 at once: {} whole, answer ms {}; engines used {}, starts {:?}, reused {:.1} %",
                firsts.len(),
                crate::quantiles_text(&mut firsts),
                starts.len(),
                &starts[..starts.len().min(8)],
                report.reused_share * 100.0
            );
        }
    }
    Ok(())
}

/// Resident memory of a router and a keeper under load over 90 seconds.
pub fn measure_memory() -> Result<(), String> {
    let fleet = Fleet::start(FleetPlan { nodes: 2, engines: 8, office: "sms".into(), ..FleetPlan::small() })?;
    let resident = |process: &Process| -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    let (calling, calls) = fleet.start_caller("day", 90, 150, 1)?;
    let began = boot_millis();
    for step in 0..=9u64 {
        wait_until(Duration::from_secs(60), || boot_millis() >= began + step * 10_000);
        let router = fleet.nodes[0].router.as_ref().map_or(0, &resident);
        let keeper = fleet.keepers[0].process.as_ref().map_or(0, &resident);
        println!("after {:>2} s: router {router} kB, keeper {keeper} kB", step * 10);
        if step < 9 {
            fleet.patch_document(&json!({"routing": {"events_late_ms": 2000 + step}}))?;
        }
    }
    calling.join().map_err(|_| "the caller's thread panicked")??;
    println!("{}", DayReport::from_record(&fleet.record(&[calls])).text());
    Ok(())
}
