//! The selection of an engine, from cached parts, loads, faults, fetches and stores.

use selection::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use units::prelude::*;

const NOW: Instant = Instant(1_000_000_000_000);
const LATER: Span = Span::seconds(5);

fn name(id: &str) -> PartName {
    PartName::of("s1", id)
}

fn candidate(engine: &str) -> Candidate {
    Candidate {
        engine: engine.into(),
        address: format!("{engine}:1"),
        zone: "a".into(),
        service: "s".into(),
        slots: 8,
        cache_tokens: 100_000,
        weights: WeightsEdition(1),
    }
}

fn candidates(engines: &[&str]) -> Vec<Candidate> {
    engines.iter().map(|engine| candidate(engine)).collect()
}

fn request(parts: &[(&str, u64)]) -> SelectionRequest {
    let parts: Vec<(PartName, u64)> = parts.iter().map(|(id, tokens)| (name(id), *tokens)).collect();
    SelectionRequest {
        prompt_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        parts_by_weights: BTreeMap::from([(WeightsEdition(1), parts)]),
        output_tokens: 80,
        tried: Vec::new(),
        priority: 0,
        target: Span(0),
        block_tokens: 16,
        tie_break_seed: 7,
        sampling_seed: 7,
        zone_penalty_blocks: 0.0,
        token_bytes: 18_432,
        link_mbps: 370_000.0,
    }
}

fn selector() -> Selector {
    Selector::new(NodeId(1), "a".into())
}

fn set_cached(selector: &mut Selector, engine: &str, cached: &[(&str, u64)]) {
    let list: Vec<(PartName, u64)> = cached.iter().map(|(id, tokens)| (name(id), *tokens)).collect();
    selector.replace_parts(&engine.into(), SourcePosition { epoch: 1, next: 10 }, &list, NOW);
}

fn chosen(selection: Selection) -> Chosen {
    match selection {
        Selection::Chosen(chosen) => chosen,
        refused => panic!("{refused:?}"),
    }
}

fn pick(selector: &Selector, listed: &[Candidate], request: &SelectionRequest, now: Instant) -> Chosen {
    chosen(selector.select(listed, request, |_| 1.0, now))
}

fn refusal(selection: Selection) -> Span {
    match selection {
        Selection::Refused { retry_after } => retry_after,
        taken => panic!("{taken:?}"),
    }
}

#[test]
fn the_papers_example_holds() {
    let mut selector = selector();
    for (engine, cached, busy_blocks) in
        [("busy", &[("p", 800), ("q", 640)][..], 300), ("middle", &[("p", 800)][..], 170), ("idle", &[][..], 40)]
    {
        set_cached(&mut selector, engine, cached);
        selector.begin(&engine.into(), busy_blocks * 16);
    }
    let listed = candidates(&["busy", "middle", "idle"]);
    let request = request(&[("p", 800), ("q", 640), ("r", 160)]);
    for (weight, engine, lacking, cost) in [
        (1.0, "idle", 100, 140.0),
        (2.0, "idle", 100, 240.0),
        (3.0, "middle", 50, 320.0),
        (4.0, "busy", 10, 340.0),
        (9.0, "busy", 10, 390.0),
    ] {
        let picked = chosen(selector.select(&listed, &request, |_| weight, NOW));
        assert_eq!(picked.engine, engine.into(), "weight {weight}");
        assert_eq!((picked.prefill_blocks, picked.cost), (BlockCount(lacking), cost));
        assert!(picked.by_events && !picked.is_queued && picked.address == format!("{engine}:1"));
    }
}

#[test]
fn the_weight_depends_on_the_band_and_another_zone_costs_a_penalty() {
    let mut selector = selector();
    set_cached(&mut selector, "keeper", &[("p", 1600)]);
    set_cached(&mut selector, "other", &[]);
    selector.begin(&"keeper".into(), 150 * 16);
    let mut listed = candidates(&["keeper", "other"]);
    let mut request = request(&[("p", 1600)]);
    let weigh = |band| if band == LoadBand::Calm { 2.0 } else { 1.0 };
    assert_eq!(chosen(selector.select(&listed, &request, weigh, NOW)).engine, "keeper".into());
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "other".into());
    listed[1].zone = "b".into();
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "other".into(), "no penalty by default");
    request.zone_penalty_blocks = 51.0;
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "keeper".into());
}

#[test]
fn requests_of_other_nodes_are_counted_by_a_recent_load_report() {
    let mut selector = selector();
    let engine: EngineName = "e".into();
    let load = EngineLoad { running: 3, waiting: 1, slots: 8 };
    selector.begin(&engine, 512);
    selector.record_load(&engine, load, NOW);
    let listed = candidates(&["e"]);
    let request = request(&[("p", 160)]);
    assert_eq!(pick(&selector, &listed, &request, NOW).decode_blocks, BlockCount(32 + 3 * 32));
    selector.end(&engine, 512);
    assert_eq!(
        pick(&selector, &listed, &request, NOW).decode_blocks,
        BlockCount(3 * 32),
        "the count of other nodes' requests stays"
    );
    assert_eq!(pick(&selector, &listed, &request, NOW + LATER).decode_blocks, BlockCount(0));
}

#[test]
fn late_events_fall_back_to_the_sent_record() {
    let mut selector = selector();
    let engine: EngineName = "e".into();
    let listed = candidates(&["e"]);
    let request = request(&[("p", 800), ("q", 800)]);
    let parts = request.parts_by_weights[&WeightsEdition(1)].clone();
    selector.record_sent(&engine, &parts[..1], NOW);
    let picked = pick(&selector, &listed, &request, NOW);
    assert_eq!((picked.by_events, picked.prefill_blocks), (false, BlockCount(50)), "never followed");

    set_cached(&mut selector, "e", &[]);
    let picked = pick(&selector, &listed, &request, NOW);
    assert_eq!((picked.by_events, picked.prefill_blocks), (true, BlockCount(100)));
    let picked = pick(&selector, &listed, &request, NOW + LATER);
    assert_eq!((picked.by_events, picked.prefill_blocks), (false, BlockCount(50)), "no events received");

    selector.record_sent(&engine, &parts, NOW);
    let mut batch = PartBatch { epoch: 1, next: 10, lost: false, events: Vec::new() };
    assert_eq!(selector.apply_events(&engine, &batch, NOW + LATER), FollowOutcome::Followed);
    assert!(
        !pick(&selector, &listed, &request, NOW + LATER).by_events,
        "events received, but none for the sent parts"
    );
    let stored = |number, part: usize| PartEvent { number, kept: true, name: parts[part].0, tokens: 800 };
    (batch.next, batch.events) = (12, vec![stored(11, 0), stored(12, 1)]);
    assert_eq!(selector.apply_events(&engine, &batch, NOW + LATER), FollowOutcome::Followed);
    let picked = pick(&selector, &listed, &request, NOW + LATER);
    assert_eq!((picked.by_events, picked.prefill_blocks), (true, BlockCount(0)));
    assert_eq!(selector.position(&engine), Some(SourcePosition { epoch: 1, next: 12 }));

    batch.lost = true;
    assert_eq!(selector.apply_events(&engine, &batch, NOW + LATER), FollowOutcome::Lost);
    assert_eq!((selector.position(&engine), selector.part_count()), (None, 0));
    let picked = pick(&selector, &listed, &request, NOW + LATER);
    assert_eq!(
        (picked.by_events, picked.prefill_blocks),
        (false, BlockCount(0)),
        "the sent record stays after a gap"
    );
    set_cached(&mut selector, "e", &[("p", 800)]);
    batch = PartBatch { epoch: 2, ..batch };
    assert_eq!(selector.apply_events(&engine, &batch, NOW + LATER), FollowOutcome::Lost);
    assert_eq!(
        pick(&selector, &listed, &request, NOW + LATER).prefill_blocks,
        BlockCount(100),
        "the engine restarted"
    );
}

#[test]
fn an_event_that_never_arrives_does_not_make_later_ones_late() {
    let mut selector = selector();
    let engine: EngineName = "e".into();
    set_cached(&mut selector, "e", &[]);
    selector.record_sent(&engine, &[(name("never"), 10)], NOW);
    selector.record_sent(&engine, &[(name("told"), 10)], NOW + Span::seconds(4));
    let request = request(&[("p", 160)]);
    let mut batch = PartBatch { epoch: 1, next: 10, lost: false, events: Vec::new() };
    selector.apply_events(&engine, &batch, NOW + LATER);
    assert!(!pick(&selector, &candidates(&["e"]), &request, NOW + LATER).by_events);
    batch.next = 12;
    batch.events = vec![PartEvent { number: 12, kept: true, name: name("told"), tokens: 10 }];
    selector.apply_events(&engine, &batch, NOW + LATER);
    assert!(pick(&selector, &candidates(&["e"]), &request, NOW + LATER).by_events);
}

#[test]
fn full_engines_are_skipped_and_requests_refused_only_if_none_is_free() {
    let mut selector = selector();
    let (full, free): (EngineName, EngineName) = ("full".into(), "free".into());
    set_cached(&mut selector, "full", &[("p", 1600)]);
    for _ in 0..8 {
        selector.begin(&full, 1);
    }
    let listed = candidates(&["full", "free"]);
    let request = request(&[("p", 1600)]);
    let picked = chosen(selector.select(&listed, &request, |_| 1000.0, NOW));
    assert_eq!((picked.engine, picked.is_queued), (free.clone(), false), "regardless of cached parts");
    for _ in 0..9 {
        selector.begin(&free, 1);
    }
    let picked = chosen(selector.select(&listed, &request, |_| -1000.0, NOW));
    assert_eq!((picked.engine, picked.is_queued), (full.clone(), true), "the shortest queue");
    for _ in 0..4 {
        selector.begin(&full, 1);
        selector.begin(&free, 1);
    }
    let urgent = refusal(selector.select(&listed, &request, |_| 1.0, NOW));
    let less_urgent =
        refusal(selector.select(&listed, &SelectionRequest { priority: 4, ..request.clone() }, |_| 1.0, NOW));
    assert!(Span(0) < urgent && urgent < less_urgent && less_urgent <= Span::seconds(2));
    for _ in 0..6 {
        selector.end(&free, 1);
    }
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, free, "a slot became free");
}

#[test]
fn the_load_of_other_nodes_and_memory_use_fill_an_engine() {
    let mut selector = selector();
    let listed = candidates(&["told", "free"]);
    let request = request(&[("p", 1600)]);
    selector.record_load(&"told".into(), EngineLoad { running: 8, waiting: 0, slots: 8 }, NOW);
    selector.begin(&"free".into(), 80_000);
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "free".into(), "a free slot precedes any cost");
    selector.begin(&"free".into(), 9_000);
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "told".into(), "89000 and 1680 are over 90 %");
    let mut small = listed.clone();
    small.iter_mut().for_each(|candidate| candidate.cache_tokens = 1599);
    refusal(selector.select(&small, &request, |_| 1.0, NOW));
    small[0].cache_tokens = 1600;
    assert_eq!(pick(&selector, &small, &request, NOW + LATER).engine, "told".into());
    refusal(selector.select(&[], &request, |_| 1.0, NOW));
}

#[test]
fn consecutive_faults_lengthen_the_backoff_until_the_engine_answers() {
    let mut selector = selector();
    let engine: EngineName = "e".into();
    let listed = candidates(&["e", "other"]);
    let request = request(&[("p", 160)]);
    selector.begin(&"other".into(), 50_000);
    let backoff_steps = |selector: &Selector, from: Instant| {
        (0..40).find(|step| pick(selector, &listed, &request, from + Span::millis(step * 100)).engine == "e".into())
    };
    let mut now = NOW;
    for steps in [3, 6, 12, 20, 20] {
        selector.record_fault(&engine, FaultKind::Broken, now);
        selector.record_fault(&engine, FaultKind::Refused, now + Span::millis(50));
        assert_eq!(backoff_steps(&selector, now), Some(steps));
        now = now + LATER;
    }
    selector.record_success(&engine, now);
    selector.record_fault(&engine, FaultKind::Refused, now);
    assert_eq!(backoff_steps(&selector, now), Some(3));
    selector.record_success(&engine, now);
    now = now + LATER;
    selector.record_fault(&engine, FaultKind::Unreachable, now);
    assert_eq!(backoff_steps(&selector, now), Some(6));
    selector.record_success(&engine, now);
    selector.record_fault(&"other".into(), FaultKind::Broken, now);
    assert_eq!(
        pick(&selector, &listed, &request, now).engine,
        "other".into(),
        "all back off: the one that ends first"
    );
    assert_eq!(pick(&selector, &listed[..1], &request, now).engine, "e".into(), "no other engine");
}

#[test]
fn an_engine_that_reported_itself_full_is_skipped_for_a_short_time() {
    let mut selector = selector();
    let listed = candidates(&["e", "other"]);
    let request = request(&[("p", 160)]);
    selector.begin(&"other".into(), 5_000);
    selector.record_full(&"e".into(), NOW);
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, "other".into());
    assert_eq!(refusal(selector.select(&listed[..1], &request, |_| 1.0, NOW)), Span::millis(100));
    assert_eq!(pick(&selector, &listed, &request, NOW + Span::millis(100)).engine, "e".into());
    let tried = SelectionRequest { tried: vec!["e".into(), "other".into()], ..request };
    refusal(selector.select(&listed, &tried, |_| 1.0, NOW + LATER));
}

#[test]
fn ties_are_spread_over_nodes_and_prefixes_and_are_deterministic() {
    let listed = candidates(&["e0", "e1", "e2", "e3"]);
    let mut request = request(&[("p", 160)]);
    let mut picks: BTreeMap<EngineName, usize> = BTreeMap::new();
    for node in 1..=200 {
        let selector = Selector::new(NodeId(node), "a".into());
        let picked = pick(&selector, &listed, &request, NOW).engine;
        assert_eq!(pick(&selector, &listed, &request, NOW).engine, picked);
        *picks.entry(picked).or_default() += 1;
    }
    assert!(picks.len() == 4 && picks.values().all(|count| *count > 25), "{picks:?}");
    let selector = selector();
    let by_prefix: BTreeSet<EngineName> = (0..40)
        .map(|tie_break_seed| {
            request.tie_break_seed = tie_break_seed;
            pick(&selector, &listed, &request, NOW).engine
        })
        .collect();
    assert_eq!(by_prefix.len(), 4);
}

/// "near" is idle; "keeper" caches the most parts and is overloaded.
fn fetching() -> (Selector, Vec<Candidate>) {
    let settings = SelectionSettings { tokens_per_ms: Some(112.0), ..SelectionSettings::default() };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    set_cached(&mut selector, "near", &[]);
    set_cached(&mut selector, "keeper", &[("p", 4000), ("q", 1000)]);
    selector.begin(&"keeper".into(), 80_000);
    (selector, candidates(&["near", "keeper"]))
}

#[test]
fn parts_are_fetched_from_the_peer_that_caches_the_most_additional_tokens() {
    let (mut selector, mut listed) = fetching();
    let request = request(&[("p", 4000), ("q", 1000), ("r", 200)]);
    let from = |source: &str, address: &str, tokens| {
        Some(FetchSource { source: source.into(), address: address.into(), tokens })
    };
    let fetch = |selector: &Selector, listed: &[Candidate], request: &SelectionRequest| {
        let picked = pick(selector, listed, request, NOW);
        assert_eq!(picked.engine, "near".into());
        picked.fetch
    };
    assert_eq!(fetch(&selector, &listed, &request), from("keeper", "keeper:1", 5000));
    set_cached(&mut selector, "near", &[("p", 1000)]);
    assert_eq!(fetch(&selector, &listed, &request), from("keeper", "keeper:1", 4000), "only the additional tokens");
    let tried = SelectionRequest { tried: vec!["keeper".into()], ..request.clone() };
    assert_eq!(fetch(&selector, &listed, &tried), None);
    assert_eq!(fetch(&selector, &listed[..1], &request), None, "not listed");
    listed[1].weights = WeightsEdition(2);
    assert_eq!(fetch(&selector, &listed, &request), None, "other weights");
    listed[1].weights = WeightsEdition(1);
    selector.record_fault(&"keeper".into(), FaultKind::Unreachable, NOW);
    assert_eq!(fetch(&selector, &listed, &request), None, "an unreachable source would cost more than it saves");
}

#[test]
fn a_fetch_must_gain_enough_tokens_and_be_fast() {
    let (mut selector, mut listed) = fetching();
    let request = request(&[("p", 4000), ("q", 1000), ("r", 200)]);
    let fetches = |selector: &Selector, listed: &[Candidate], request: &SelectionRequest| {
        pick(selector, listed, request, NOW).fetch.is_some()
    };
    set_cached(&mut selector, "near", &[("p", 4000)]);
    assert!(!fetches(&selector, &listed, &request));
    for (cached, is_worthwhile) in [(2952, false), (2951, true)] {
        set_cached(&mut selector, "near", &[("p", cached)]);
        assert_eq!(fetches(&selector, &listed, &request), is_worthwhile, "{cached} cached");
    }
    // Prefill of 5000 tokens takes 44.6 ms, which leaves 20.3 ms for the transfer: 737 Mbit at 36300 Mbit/s.
    set_cached(&mut selector, "near", &[]);
    let over_link = |link_mbps| SelectionRequest { link_mbps, ..request.clone() };
    assert!(fetches(&selector, &listed, &over_link(37_000.0)));
    assert!(!fetches(&selector, &listed, &over_link(36_000.0)));
    assert!(!fetches(&selector, &listed, &over_link(0.0)));
    listed[1].zone = "b".into();
    assert!(!fetches(&selector, &listed, &over_link(80_000.0)), "twice as long between zones: 22.4 ms");
    assert!(fetches(&selector, &listed, &over_link(82_000.0)));
    selector.replace_parts(&"keeper".into(), SourcePosition::default(), &[(name("p"), 4000)], Instant(0));
    listed[1].zone = "a".into();
    assert!(!fetches(&selector, &listed, &request), "its events are late");
}

#[test]
fn a_store_is_a_source_while_it_is_set() {
    let (mut selector, listed) = fetching();
    let request = request(&[("p", 4000), ("q", 1000), ("r", 200)]);
    let source = store_source(&"k".into());
    assert_eq!(source, "@store:k".into());
    let place = StoreLocation { address: "k:2".into(), zone: "a".into(), link_mbps: 150_000.0 };
    selector.set_stores(BTreeMap::from([("k".into(), place.clone())]));
    let cached = [(name("p"), 4000), (name("q"), 1000), (name("r"), 200)];
    selector.replace_parts(&source, SourcePosition::default(), &cached, NOW);
    let fetched = pick(&selector, &listed, &request, NOW).fetch;
    assert_eq!(fetched, Some(FetchSource { source, address: "k:2".into(), tokens: 5200 }));
    selector.set_stores(BTreeMap::from([("k".into(), StoreLocation { link_mbps: 1000.0, ..place })]));
    assert_eq!(pick(&selector, &listed, &request, NOW).fetch.unwrap().tokens, 5000, "its link is too slow");
    selector.set_stores(BTreeMap::new());
    assert_eq!(pick(&selector, &listed, &request, NOW).fetch.unwrap().source, "keeper".into());
}

#[test]
fn engines_that_are_not_retained_are_removed_but_not_their_running_requests() {
    let mut selector = selector();
    let (gone, idle): (EngineName, EngineName) = ("gone".into(), "idle".into());
    set_cached(&mut selector, "gone", &[("p", 160)]);
    set_cached(&mut selector, "idle", &[("p", 160)]);
    selector.begin(&gone, 500);
    selector.retain_sources(&BTreeSet::new());
    assert_eq!((selector.part_count(), selector.position(&gone), selector.position(&idle)), (0, None, None));
    assert_eq!(selector.outstanding(&gone), (1, 500));
    selector.end(&gone, 500);
    selector.retain_sources(&BTreeSet::new());
    selector.end(&gone, 500);
    assert_eq!(selector.outstanding(&gone), (0, 0));
}

/// In any state, the chosen engine is a candidate, not tried before and large enough; no request is refused while an
/// engine is idle; and the counts of requests return to zero after all requests ended.
#[test]
fn a_chosen_engine_is_eligible_in_any_state() {
    let (chosen_count, refused_count) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let run_count = std::cell::Cell::new(0);
    for seed in 0..400_u64 {
        arbtest::arbtest(|source| {
            let mut selector = selector();
            let mut listed = candidates(&["e0", "e1", "e2", "e3", "e4"]);
            for candidate in &mut listed {
                candidate.slots = source.int_in_range(0..=3)?;
                candidate.cache_tokens = *source.choose(&[0, 700, 1000, 5000, u64::MAX])?;
                candidate.weights = WeightsEdition(source.int_in_range(1..=2)?);
                candidate.zone = (*source.choose(&["a", "b"])?).into();
            }
            let mut running: Vec<(EngineName, u64)> = Vec::new();
            // Engines that reported a load or that they are full.
            let mut reporting: BTreeSet<EngineName> = BTreeSet::new();
            let mut now = NOW;
            for _ in 0..40 {
                let engine = EngineName(format!("e{}", source.int_in_range(0..=6)?));
                now = now + Span::millis(source.int_in_range(0..=400)?);
                let parts = [(name("p"), 500), (name("q"), source.int_in_range(0..=500)?)];
                match source.int_in_range(0..=11)? {
                    0 => selector.record_fault(&engine, FaultKind::Broken, now),
                    1 => {
                        selector.record_full(&engine, now);
                        reporting.insert(engine);
                    }
                    2 => selector.record_success(&engine, now),
                    3 => selector.record_sent(&engine, &parts, now),
                    4 => selector.replace_parts(&engine, SourcePosition::default(), &parts, now),
                    5 => {
                        let numbers = [source.int_in_range(0..=2)?, source.int_in_range(0..=u64::MAX)?];
                        let load = EngineLoad { running: numbers[0], waiting: numbers[1] % 3, slots: numbers[1] % 5 };
                        selector.record_load(&engine, load, now);
                        reporting.insert(engine);
                    }
                    6 => {
                        let number = source.int_in_range(0..=50)?;
                        let event = PartEvent { number, kept: true, name: name("p"), tokens: number };
                        let (epoch, lost) = (source.int_in_range(0..=1)?, source.ratio(1, 8)?);
                        let batch = PartBatch { epoch, next: number, lost, events: vec![event] };
                        selector.apply_events(&engine, &batch, now);
                    }
                    7 => selector.retain_sources(&BTreeSet::from([engine])),
                    8 if !running.is_empty() => {
                        let (engine, tokens) = running.swap_remove(source.choose_index(running.len())?);
                        selector.end(&engine, tokens);
                    }
                    _ => {
                        let mut request = request(&[("p", 500)]);
                        request.prompt_tokens = *source.choose(&[0, 500, 1000, u64::MAX])?;
                        request.block_tokens = source.int_in_range(0..=16)?;
                        request.tried = (0..source.int_in_range(0..=2)?).map(|_| engine.clone()).collect();
                        let weight = *source.choose(&[1.0, 0.0, -1.0, f64::NAN, f64::INFINITY, 1e300])?;
                        match selector.select(&listed, &request, |_| weight, now) {
                            Selection::Chosen(picked) => {
                                let taken = listed.iter().find(|candidate| candidate.engine == picked.engine);
                                let taken = taken.expect("a chosen engine is a candidate");
                                assert!(!request.tried.contains(&picked.engine));
                                assert!(request.prompt_tokens <= taken.cache_tokens);
                                assert_eq!(picked.weights, taken.weights);
                                let bound = taken.slots.max(4) * 3 / 2 + 1;
                                assert!(selector.outstanding(&picked.engine).0 < bound);
                                selector.begin(&picked.engine, request.tokens());
                                running.push((picked.engine, request.tokens()));
                                chosen_count.set(chosen_count.get() + 1);
                            }
                            Selection::Refused { retry_after } => {
                                assert!(Span(0) < retry_after && retry_after <= Span::seconds(2));
                                assert!(listed.iter().all(|candidate| {
                                    request.tried.contains(&candidate.engine)
                                        || request.prompt_tokens > candidate.cache_tokens
                                        || reporting.contains(&candidate.engine)
                                        || selector.outstanding(&candidate.engine).0 > 0
                                }));
                                refused_count.set(refused_count.get() + 1);
                            }
                        }
                    }
                }
            }
            for (engine, tokens) in running.drain(..) {
                selector.end(&engine, tokens);
            }
            for engine in 0..=6 {
                assert_eq!(selector.outstanding(&EngineName(format!("e{engine}"))), (0, 0));
            }
            run_count.set(run_count.get() + 1);
            Ok(())
        })
        .seed(seed << 32 | 2000)
        .run();
    }
    let counts = (chosen_count.get(), refused_count.get(), run_count.get());
    assert!(counts.0 > 1000 && counts.1 > 500 && counts.2 >= 300, "{counts:?}");
}

#[test]
fn a_failing_engine_is_used_less_until_it_succeeds_or_its_failures_decay() {
    let settings = SelectionSettings { recent_failure_cost: 100.0, ..SelectionSettings::default() };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    let (failing, other): (EngineName, EngineName) = ("failing".into(), "other".into());
    let listed = candidates(&["failing", "other"]);
    let request = request(&[("p", 160)]);
    selector.begin(&other, 16 * 150);
    let picked = |selector: &Selector, now| pick(selector, &listed, &request, now).engine;
    assert_eq!(picked(&selector, NOW), failing, "it has the lower load");
    selector.record_fault(&failing, FaultKind::Failed, NOW);
    assert_eq!(picked(&selector, NOW), failing, "one failure does not outweigh the load, and there is no backoff");
    selector.record_fault(&failing, FaultKind::Failed, NOW);
    assert_eq!(picked(&selector, NOW), other);
    assert_eq!(picked(&selector, NOW + Span::seconds(8)), failing, "failures decay");
    for _ in 0..4 {
        selector.record_success(&failing, NOW);
    }
    assert_eq!(picked(&selector, NOW), failing, "successes compensate for failures");
}

#[test]
fn a_long_queue_refuses_requests_and_less_urgent_ones_first() {
    let mut selector = selector();
    let mut listed = candidates(&["e"]);
    listed[0].slots = 8;
    let load = |running, waiting| EngineLoad { running, waiting, slots: 8 };
    let request = |priority| SelectionRequest { priority, ..request(&[("p", 160)]) };
    let is_refused = |selector: &Selector, priority| {
        matches!(selector.select(&listed, &request(priority), |_| 1.0, NOW), Selection::Refused { .. })
    };
    selector.record_load(&"e".into(), load(8, 3), NOW);
    assert!(!is_refused(&selector, 0) && !is_refused(&selector, 9), "a short queue accepts all");
    selector.record_load(&"e".into(), load(8, 6), NOW);
    assert!(!is_refused(&selector, 0) && is_refused(&selector, 5), "the less urgent first");
    selector.record_load(&"e".into(), load(8, 12), NOW);
    assert!(is_refused(&selector, 0));
}

#[test]
fn an_overloaded_engine_gets_no_more_requests_regardless_of_cached_parts() {
    let settings = SelectionSettings { overload_factor: Some(2.0), overload_base: 2, ..SelectionSettings::default() };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    let keeping: EngineName = "keeping".into();
    let listed = candidates(&["keeping", "b", "c", "d"]);
    let request = request(&[("p", 16_000), ("own", 16)]);
    selector.replace_parts(&keeping, SourcePosition::default(), &[(name("p"), 16_000)], NOW);
    let mut taken = 0;
    while pick(&selector, &listed, &request, NOW).engine == keeping {
        selector.begin(&keeping, 16);
        taken += 1;
    }
    assert_eq!(
        taken, 3,
        "with three in flight the bound is twice their average over four engines, rounded down, plus two"
    );
    for other in ["b", "c", "d"] {
        (0..4).for_each(|_| selector.begin(&other.into(), 16));
    }
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, keeping, "all have the same load");
}

#[test]
fn an_unreachable_source_is_ignored_until_its_events_arrive() {
    let mut selector = selector();
    let engine: EngineName = "e".into();
    selector.replace_parts(&engine, SourcePosition::default(), &[(name("p"), 160)], NOW);
    let listed = candidates(&["e"]);
    assert!(pick(&selector, &listed, &request(&[("p", 160)]), NOW).by_events);
    selector.mark_unreachable(&engine);
    assert!(!pick(&selector, &listed, &request(&[("p", 160)]), NOW).by_events);
    selector.apply_events(&engine, &PartBatch::default(), NOW);
    assert!(pick(&selector, &listed, &request(&[("p", 160)]), NOW).by_events);
}

/// Fetches cost a share of prefill and must not take longer than prefill.
fn cheap_fetch_settings() -> SelectionSettings {
    SelectionSettings {
        fetch_share: 0.15,
        fetch_min_tokens: 16,
        fetch_max_time_share: 1.0,
        tokens_per_ms: Some(100.0),
        ..SelectionSettings::default()
    }
}

#[test]
fn a_candidate_is_scored_by_the_fetch_that_is_possible_for_it() {
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), cheap_fetch_settings());
    let mut listed = candidates(&["keeping", "near", "far"]);
    listed[2].zone = "b".into();
    set_cached(&mut selector, "keeping", &[("p", 16_000)]);
    selector.record_full(&"keeping".into(), NOW);
    // Per token, a transfer takes 0.007 ms within a zone and 0.014 ms between zones; prefill takes 0.01 ms.
    let over_slow_links = SelectionRequest { link_mbps: 20_000.0, ..request(&[("p", 16_000), ("own", 160)]) };
    let picked = pick(&selector, &listed, &over_slow_links, NOW);
    assert_eq!((picked.engine.as_str(), picked.prefill_tokens), ("near", 160));
    assert_eq!(picked.fetch.map(|fetch| fetch.tokens), Some(16_000));
    selector.begin(&"near".into(), 16 * 160);
    let picked = pick(&selector, &listed, &over_slow_links, NOW);
    assert_eq!(picked.engine.as_str(), "near", "160 blocks of load are less than the 250 that a fetch saves");
    selector.begin(&"near".into(), 16 * 200);
    let picked = pick(&selector, &listed, &over_slow_links, NOW);
    assert_eq!((picked.engine.as_str(), picked.prefill_tokens), ("far", 16_160));
    assert_eq!(picked.fetch, None, "between zones the transfer takes longer than prefill");
}

#[test]
fn pending_prefill_counts_as_prefill_blocks_of_the_next_request() {
    let settings = SelectionSettings { pending_prefill_share: 1.0, ..SelectionSettings::default() };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    let listed = candidates(&["keeping", "idle"]);
    let request = request(&[("p", 1600)]);
    let keeping: EngineName = "keeping".into();
    set_cached(&mut selector, "keeping", &[("p", 800)]);
    set_cached(&mut selector, "idle", &[]);
    let picked = pick(&selector, &listed, &request, NOW);
    assert_eq!((picked.engine.as_str(), picked.prefill_blocks), ("keeping", BlockCount(50)));
    selector.begin_prefill(&keeping, 640);
    let picked = pick(&selector, &listed, &request, NOW);
    assert_eq!((picked.engine.as_str(), picked.prefill_blocks), ("keeping", BlockCount(90)));
    selector.begin_prefill(&keeping, 320);
    assert_eq!(
        pick(&selector, &listed, &request, NOW).engine.as_str(),
        "idle",
        "60 blocks are pending, 50 are cached"
    );
    selector.end_prefill(&keeping, 640);
    assert_eq!(pick(&selector, &listed, &request, NOW).engine, keeping);
    selector.end_prefill(&keeping, 320);
    selector.end_prefill(&keeping, 320);
    assert_eq!(pick(&selector, &listed, &request, NOW).prefill_blocks, BlockCount(50), "never below zero");
}

#[test]
fn waiting_requests_of_other_nodes_count_and_are_prefilled_over_time() {
    let settings =
        SelectionSettings { pending_prefill_share: 1.0, tokens_per_ms: Some(10.0), ..SelectionSettings::default() };
    let mut selector = Selector::with_settings(NodeId(1), "a".into(), settings);
    let listed = candidates(&["keeping", "idle"]);
    let request = request(&[("p", 1600)]);
    set_cached(&mut selector, "keeping", &[("p", 800)]);
    set_cached(&mut selector, "idle", &[]);
    let keeping: EngineName = "keeping".into();
    let pick_weighted = |selector: &Selector, now| chosen(selector.select(&listed, &request, |_| 8.0, now));
    selector.record_load(&keeping, EngineLoad { running: 0, waiting: 2, slots: 8 }, NOW);
    assert_eq!(pick_weighted(&selector, NOW).engine.as_str(), "idle", "two average prompts wait");
    let later = NOW + Span::millis(100);
    assert_eq!(pick_weighted(&selector, later).engine, keeping, "a thousand tokens were prefilled since");
    selector.begin_prefill(&keeping, 16);
    selector.record_load(&keeping, EngineLoad { running: 0, waiting: 1, slots: 8 }, NOW);
    assert_eq!(pick_weighted(&selector, NOW).prefill_blocks, BlockCount(51), "only this node's request waits");
}
