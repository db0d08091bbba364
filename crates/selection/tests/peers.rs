//! A node's selection takes account of the loads that its peers report: reports are scaled up for nodes that don't
//! report, they expire, and an engine's own load report takes precedence.

use selection::prelude::*;
use units::prelude::*;

const NOW: Instant = Instant(1_000_000_000_000);
const SEEDS: u64 = 100;

fn candidate(engine: &str) -> Candidate {
    Candidate {
        engine: engine.into(),
        address: format!("{engine}:1"),
        zone: "a".into(),
        service: "s".into(),
        slots: 64,
        cache_tokens: 200_000,
        weights: WeightsEdition(1),
    }
}

fn candidates(count: u64) -> Vec<Candidate> {
    (0..count).map(|number| candidate(&format!("e{number}"))).collect()
}

fn request(tie_break_seed: u64) -> SelectionRequest {
    SelectionRequest {
        parts_by_weights: [(WeightsEdition(1), Vec::new())].into(),
        prompt_tokens: 1600,
        output_tokens: 16,
        tried: Vec::new(),
        priority: 0,
        target: Span(0),
        block_tokens: 16,
        tie_break_seed,
        sampling_seed: tie_break_seed,
        zone_penalty_blocks: 0.0,
        token_bytes: 1,
        link_mbps: 1000.0,
    }
}

fn selector(node_count: u64) -> Selector {
    let settings = SelectionSettings {
        pending_prefill_share: 1.0,
        tokens_per_ms: Some(50.0),
        overload_factor: Some(3.0),
        overload_base: 6,
        ..SelectionSettings::default()
    };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    selector.expire_peer_reports(node_count, NOW);
    selector
}

fn chosen(selector: &Selector, candidates: &[Candidate], tie_break_seed: u64) -> String {
    match selector.select(candidates, &request(tie_break_seed), |_| 1.0, NOW) {
        Selection::Chosen(chosen) => chosen.engine.as_str().to_owned(),
        refused => panic!("{refused:?}"),
    }
}

fn load(requests: u64, pending_prefill_tokens: u64) -> NodeLoad {
    NodeLoad { requests, tokens: requests * 2000, pending_prefill_tokens }
}

#[test]
fn an_engine_that_peers_use_is_avoided() {
    for seed in 0..SEEDS {
        let mut selector = selector(3);
        selector.record_peer_report(NodeId(2), vec![("e0".into(), load(1, 2000))], NOW);
        selector.record_peer_report(NodeId(3), vec![("e0".into(), load(1, 0)), ("e1".into(), load(1, 2000))], NOW);
        assert_eq!(chosen(&selector, &candidates(3), seed), "e2", "seed {seed}");
    }
}

#[test]
fn a_report_replaces_the_earlier_one_and_an_older_one_is_ignored() {
    for seed in 0..SEEDS {
        let mut selector = selector(2);
        selector.record_peer_report(NodeId(2), vec![("e0".into(), load(2, 9000))], NOW);
        selector.record_peer_report(NodeId(2), vec![("e1".into(), load(2, 9000))], NOW);
        assert_eq!(chosen(&selector, &candidates(2), seed), "e0", "seed {seed}");
        selector.record_peer_report(NodeId(2), vec![("e0".into(), load(2, 9000))], Instant(NOW.0 - 1));
        assert_eq!(chosen(&selector, &candidates(2), seed), "e0", "seed {seed}");
        selector.record_peer_report(NodeId(2), Vec::new(), NOW);
        selector.begin(&"e0".into(), 1616);
        assert_eq!(
            chosen(&selector, &candidates(2), seed),
            "e1",
            "seed {seed}: nothing remains of the earlier report"
        );
    }
}

#[test]
fn old_reports_expire() {
    let mut selector = selector(2);
    selector.record_peer_report(NodeId(2), vec![("e0".into(), load(5, 9000))], NOW);
    selector.expire_peer_reports(2, NOW + Span::millis(1400));
    assert_eq!(chosen(&selector, &candidates(2), 7), "e1");
    selector.begin(&"e1".into(), 1616);
    selector.expire_peer_reports(2, NOW + Span::millis(1500));
    assert_eq!(chosen(&selector, &candidates(2), 7), "e0");
}

#[test]
fn an_engines_own_load_report_takes_precedence() {
    let mut selector = selector(2);
    selector.record_peer_report(NodeId(2), vec![("e0".into(), load(1, 0))], NOW);
    selector.record_load(&"e0".into(), EngineLoad { running: 1, waiting: 0, slots: 64 }, NOW);
    selector.record_load(&"e1".into(), EngineLoad { running: 6, waiting: 0, slots: 64 }, NOW);
    assert_eq!(chosen(&selector, &candidates(2), 1), "e0");
}

/// If few of many nodes report, the estimate of an engine's load is closer to the truth than the reported load alone,
/// and than that load divided by the share of reporting nodes.
#[test]
fn the_load_of_nodes_that_do_not_report_is_estimated() {
    const NODES: u64 = 90;
    const REPORTING: u64 = 18;
    const ENGINES: u64 = 60;
    let mut errors = [0.0_f64; 3];
    for seed in 0..SEEDS {
        let mut random = seed;
        let mut next = |bound: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % bound
        };
        let mut selector = selector(NODES);
        let mut truth = vec![0_u64; ENGINES as usize];
        let mut seen = vec![0_u64; ENGINES as usize];
        for node in 2..=NODES {
            let mut reported = Vec::new();
            for _ in 0..2 {
                // Some engines have a far higher load than others.
                let engine = (next(ENGINES) * next(ENGINES) / ENGINES) as usize;
                truth[engine] += 1;
                if node < REPORTING + 2 {
                    seen[engine] += 1;
                    reported.push((EngineName(format!("e{engine}")), load(1, 0)));
                }
            }
            if node < REPORTING + 2 {
                let mut by_engine: std::collections::BTreeMap<EngineName, NodeLoad> = Default::default();
                for (engine, one) in reported {
                    let sum = by_engine.entry(engine).or_default();
                    *sum = load(sum.requests + one.requests, 0);
                }
                selector.record_peer_report(NodeId(node), by_engine.into_iter().collect(), NOW);
            }
        }
        let mean = |counts: &[f64]| counts.iter().sum::<f64>() / counts.len() as f64;
        let truth: Vec<f64> = truth.iter().map(|count| *count as f64).collect();
        let estimates = |factor: f64| -> Vec<f64> { seen.iter().map(|count| *count as f64 * factor).collect() };
        let factor = selector.unseen_load_factor(&candidates(ENGINES));
        for (place, factor) in [factor, 1.0, (NODES - 1) as f64 / REPORTING as f64].into_iter().enumerate() {
            let estimated = estimates(factor);
            // Only differences between engines matter to the selection.
            let shift = mean(&truth) - mean(&estimated);
            let squares = truth.iter().zip(&estimated).map(|(truth, found)| (truth - found - shift).powi(2));
            errors[place] += squares.sum::<f64>();
        }
    }
    let [estimated, as_seen, by_share] = errors;
    assert!(estimated < as_seen && estimated < by_share, "{estimated} {as_seen} {by_share}");
}

/// With sampling, many nodes that select by the same outdated load reports spread over the engines; without it, all
/// of them take the engine that was least loaded.
#[test]
fn nodes_with_the_same_outdated_reports_do_not_all_take_one_engine() {
    const NODES: u64 = 90;
    const ENGINES: u64 = 60;
    let most_at_one = |samples_per_engine: Option<f64>, seed: u64| {
        let mut counts = std::collections::BTreeMap::<String, u64>::new();
        for node in 1..=NODES {
            let settings =
                SelectionSettings { samples_per_engine, pending_prefill_share: 1.0, ..SelectionSettings::default() };
            let mut selector = Selector::with_settings(NodeId(node), "a".into(), settings);
            selector.expire_peer_reports(NODES, NOW);
            for number in 0..ENGINES {
                let running = if number == seed { 0 } else { 1 + (number * 7 + seed) % 9 };
                let load = EngineLoad { running, waiting: 0, slots: 64 };
                selector.record_load(&EngineName(format!("e{number}")), load, NOW);
            }
            *counts.entry(chosen(&selector, &candidates(ENGINES), seed * NODES + node)).or_default() += 1;
        }
        counts.values().max().copied().unwrap_or(0)
    };
    for seed in 0..20 {
        let (all, sampled) = (most_at_one(None, seed), most_at_one(Some(2.0), seed));
        assert!(sampled <= 16, "seed {seed}: {sampled} of {NODES} at one engine");
        assert_eq!(all, NODES, "seed {seed}: without sampling");
    }
}

#[test]
fn a_single_node_considers_all_engines() {
    for seed in 0..SEEDS {
        let settings = SelectionSettings {
            samples_per_engine: Some(2.0),
            pending_prefill_share: 1.0,
            ..SelectionSettings::default()
        };
        let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
        selector.expire_peer_reports(1, NOW);
        for number in 0..40 {
            selector.begin(&EngineName(format!("e{number}")), if number == 23 { 100 } else { 5000 });
        }
        assert_eq!(chosen(&selector, &candidates(40), seed), "e23", "seed {seed}");
    }
}
