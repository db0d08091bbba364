//! What other nodes tell of their own work moves a node's choice: it is multiplied for those that are not heard,
//! it is forgotten when it is old, and an engine's own count goes before it.

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

fn work(requests: u64, pending_prefill_tokens: u64) -> NodeLoad {
    NodeLoad { requests, tokens: requests * 2000, pending_prefill_tokens }
}

#[test]
fn an_engine_that_others_are_at_is_passed_over() {
    for seed in 0..SEEDS {
        let mut selector = selector(3);
        selector.record_peer_report(NodeId(2), vec![("e0".into(), work(1, 2000))], NOW);
        selector.record_peer_report(NodeId(3), vec![("e0".into(), work(1, 0)), ("e1".into(), work(1, 2000))], NOW);
        assert_eq!(chosen(&selector, &candidates(3), seed), "e2", "seed {seed}");
    }
}

#[test]
fn a_report_takes_the_place_of_the_one_before_and_an_older_one_counts_for_nothing() {
    for seed in 0..SEEDS {
        let mut selector = selector(2);
        selector.record_peer_report(NodeId(2), vec![("e0".into(), work(2, 9000))], NOW);
        selector.record_peer_report(NodeId(2), vec![("e1".into(), work(2, 9000))], NOW);
        assert_eq!(chosen(&selector, &candidates(2), seed), "e0", "seed {seed}");
        selector.record_peer_report(NodeId(2), vec![("e0".into(), work(2, 9000))], Instant(NOW.0 - 1));
        assert_eq!(chosen(&selector, &candidates(2), seed), "e0", "seed {seed}");
        selector.record_peer_report(NodeId(2), Vec::new(), NOW);
        selector.begin(&"e0".into(), 1616);
        assert_eq!(chosen(&selector, &candidates(2), seed), "e1", "seed {seed}: nothing is left of it");
    }
}

#[test]
fn what_was_told_too_long_ago_is_forgotten() {
    let mut selector = selector(2);
    selector.record_peer_report(NodeId(2), vec![("e0".into(), work(5, 9000))], NOW);
    selector.expire_peer_reports(2, NOW + Span::millis(1400));
    assert_eq!(chosen(&selector, &candidates(2), 7), "e1");
    selector.begin(&"e1".into(), 1616);
    selector.expire_peer_reports(2, NOW + Span::millis(1500));
    assert_eq!(chosen(&selector, &candidates(2), 7), "e0");
}

#[test]
fn an_engine_that_tells_its_load_is_counted_by_that() {
    let mut selector = selector(2);
    selector.record_peer_report(NodeId(2), vec![("e0".into(), work(1, 0))], NOW);
    selector.note_load(&"e0".into(), EngineLoad { running: 1, waiting: 0, slots: 64 }, NOW);
    selector.note_load(&"e1".into(), EngineLoad { running: 6, waiting: 0, slots: 64 }, NOW);
    assert_eq!(chosen(&selector, &candidates(2), 1), "e0");
}

/// Where few of many nodes are heard, an engine's load is estimated nearer to the truth than by what is seen
/// alone, and than by the share of nodes that are heard.
#[test]
fn the_load_of_nodes_that_are_not_heard_is_estimated() {
    const NODES: u64 = 90;
    const HEARD: u64 = 18;
    const ENGINES: u64 = 60;
    let mut errors = [0.0_f64; 3];
    for seed in 0..SEEDS {
        let mut draw = seed;
        let mut next = |bound: u64| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (draw >> 33) % bound
        };
        let mut selector = selector(NODES);
        let mut truth = vec![0_u64; ENGINES as usize];
        let mut seen = vec![0_u64; ENGINES as usize];
        for node in 2..=NODES {
            let mut told = Vec::new();
            for _ in 0..2 {
                // Some engines have far more to do than others.
                let engine = (next(ENGINES) * next(ENGINES) / ENGINES) as usize;
                truth[engine] += 1;
                if node < HEARD + 2 {
                    seen[engine] += 1;
                    told.push((EngineName(format!("e{engine}")), work(1, 0)));
                }
            }
            if node < HEARD + 2 {
                let mut by_engine: std::collections::BTreeMap<EngineName, NodeLoad> = Default::default();
                for (engine, one) in told {
                    let sum = by_engine.entry(engine).or_default();
                    *sum = work(sum.requests + one.requests, 0);
                }
                selector.record_peer_report(NodeId(node), by_engine.into_iter().collect(), NOW);
            }
        }
        let mean = |counts: &[f64]| counts.iter().sum::<f64>() / counts.len() as f64;
        let truth: Vec<f64> = truth.iter().map(|count| *count as f64).collect();
        let estimates = |factor: f64| -> Vec<f64> { seen.iter().map(|count| *count as f64 * factor).collect() };
        let factor = selector.unseen_load_factor(&candidates(ENGINES));
        for (place, factor) in [factor, 1.0, (NODES - 1) as f64 / HEARD as f64].into_iter().enumerate() {
            let estimated = estimates(factor);
            // Only differences between engines matter to a choice.
            let shift = mean(&truth) - mean(&estimated);
            let squares = truth.iter().zip(&estimated).map(|(truth, found)| (truth - found - shift).powi(2));
            errors[place] += squares.sum::<f64>();
        }
    }
    let [estimated, as_seen, by_share] = errors;
    assert!(estimated < as_seen && estimated < by_share, "{estimated} {as_seen} {by_share}");
}

/// With lots, many nodes that choose on the same news of a moment ago spread over the engines; without, all take
/// the engine that was least loaded then.
#[test]
fn nodes_that_choose_on_the_same_old_news_do_not_pile_up() {
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
                selector.note_load(&EngineName(format!("e{number}")), load, NOW);
            }
            *counts.entry(chosen(&selector, &candidates(ENGINES), seed * NODES + node)).or_default() += 1;
        }
        counts.values().max().copied().unwrap_or(0)
    };
    for seed in 0..20 {
        let (all, drawn) = (most_at_one(None, seed), most_at_one(Some(2.0), seed));
        assert!(drawn <= 16, "seed {seed}: {drawn} of {NODES} at one engine");
        assert_eq!(all, NODES, "seed {seed}: without lots");
    }
}

#[test]
fn a_node_that_is_alone_looks_at_all_engines() {
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
