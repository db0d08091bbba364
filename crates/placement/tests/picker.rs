//! Picks on small fleets: cost, late events, eligibility, trials, old weights, fetches, disaggregated pools.

use blocks::prelude::{Salt, hash_blocks};
use desired::prelude::{
    AdapterCopy, Command, CommandOutcome, CopyStage, EngineStatus, FleetState, Listed, ListedEngine, Listing,
    Submission,
};
use placement::prelude::*;
use std::collections::BTreeMap;
use units::prelude::*;

const NOW: Instant = Instant(1_000_000_000_000);

fn fleet(engine_names: &[&str], document: &str) -> FleetSnapshot {
    let mut state = FleetState::default();
    let mut submit = |command| {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
    };
    submit(Command::Merge { base: None, patch: document.into() });
    let listed = ListedEngine {
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        model: "m".into(),
        role: Role::Whole,
        listed: Listed::Open,
        ..ListedEngine::default()
    };
    let engines = engine_names.iter().map(|name| ((*name).into(), listed.clone())).collect();
    submit(Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    for name in engine_names {
        let status = EngineStatus {
            confirmed: Some((WeightsEdition(1), "x".into())),
            closed: false,
            ..EngineStatus::default()
        };
        state.engine_statuses.insert((*name).into(), status);
    }
    FleetSnapshot::default().after_change(state, None, NOW)
}

fn prompt(text: &str) -> Prompt {
    let salt = Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0));
    let names = hash_blocks(&salt, text.as_bytes());
    Prompt {
        tenant: "t".into(),
        kind: "k".into(),
        model: "m".into(),
        adapter: None,
        blocks: BlockCount(names.len() as u64),
        names: BTreeMap::from([(WeightsEdition(1), names)]),
        output_blocks: BlockCount(1),
        trial_bucket: 0,
        tried: Vec::new(),
    }
}

const DOCUMENT: &str = r#"{"models":{"m":{"weights":1}},"tenants":{"t":{}},"kinds":["k"]}"#;

#[test]
fn the_papers_example_holds_for_the_whole_pick() {
    for (weight, expected_engine) in [(1, "idle"), (2, "idle"), (3, "middle"), (4, "busy"), (9, "busy")] {
        let document = format!(
            r#"{{"models":{{"m":{{"weights":1}}}},"tenants":{{"t":{{}}}},"policies":{{"default":{{"weight":{weight}}}}}}}"#
        );
        let snapshot = fleet(&["busy", "middle", "idle"], &document);
        let asked_prompt = prompt(&"x".repeat(6400));
        let names = asked_prompt.names[&WeightsEdition(1)].clone();
        assert_eq!(names.len(), 100);
        let mut picker = Picker::new(NodeId(1), "a".into());
        for (engine, cached_count, busy_blocks) in [("busy", 90, 300), ("middle", 50, 170), ("idle", 0, 40)] {
            picker.apply_snapshot(&engine.into(), "x", 1, names[..cached_count].to_vec(), NOW);
            picker.begin_attempt(&engine.into(), BlockCount(busy_blocks));
        }
        let placement = picker.pick(&snapshot, &asked_prompt, NOW).unwrap();
        assert_eq!(placement.chosen.engine, expected_engine.into(), "weight {weight}");
        assert_eq!(placement.candidates.len(), 3);
    }
}

#[test]
fn late_or_lost_events_fall_back_to_own_history() {
    let snapshot = fleet(&["one", "two"], DOCUMENT);
    let asked_prompt = prompt(&"y".repeat(640));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    let mut picker = Picker::new(NodeId(1), "a".into());
    for engine in ["one", "two"] {
        picker.apply_snapshot(&engine.into(), "x", 1, Vec::new(), NOW);
    }
    picker.record_cached(&"two".into(), &names, NOW);
    let later = NOW + Span::millis(2100);
    for engine in ["one", "two"] {
        assert!(picker.apply_events(&engine.into(), "x", 1, &[], later));
    }
    let placement = picker.pick(&snapshot, &asked_prompt, later).unwrap();
    assert_eq!(placement.chosen.engine, "two".into(), "a missing storage event makes events late");
    assert!(!placement.chosen.by_events);
    let stored = CacheEvent::Stored(names.clone());
    assert!(picker.apply_events(&"two".into(), "x", 1, &[stored], later));
    let placement = picker.pick(&snapshot, &asked_prompt, later).unwrap();
    assert!(placement.chosen.by_events);
    assert!(!picker.apply_events(&"two".into(), "other", 1, &[], later), "another boot");
    let placement = picker.pick(&snapshot, &asked_prompt, later).unwrap();
    assert!(placement.candidates.iter().all(|score| score.prefill_blocks == BlockCount(10)));
}

#[test]
fn closed_leaving_tried_and_backing_off_engines_are_skipped() {
    let snapshot = fleet(&["closed", "gone", "leaving", "resting", "tried", "well"], DOCUMENT);
    let mut state = (*snapshot.state).clone();
    state.engine_statuses.get_mut(&"closed".into()).unwrap().closed = true;
    state.listing.engines.remove(&"gone".into());
    state.listing.engines.get_mut(&"leaving".into()).unwrap().listed = Listed::Leaving;
    let snapshot = snapshot.after_change(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    picker.record_fault(&"resting".into(), NOW);
    let asked_prompt = Prompt { tried: vec!["tried".into()], ..prompt("z") };
    let placement = picker.pick(&snapshot, &asked_prompt, NOW).unwrap();
    let eligible: Vec<&str> = placement.candidates.iter().map(|score| score.engine.as_str()).collect();
    assert_eq!(eligible, ["well"]);
}

#[test]
fn a_share_of_a_trial_tenants_requests_uses_the_trial_policy() {
    let document = r#"{"models":{"m":{"weights":1}},"tenants":{"t":{},"u":{}},"kinds":["k"],
        "policies":{"p":{"weight":4}},"trials":{"t":"p"},"routing":{"trial_percent":30}}"#;
    let snapshot = fleet(&["one", "two"], document);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let mut on_trial = |tenant: &str, trial_bucket| {
        let prompt = Prompt { tenant: tenant.into(), trial_bucket, ..prompt("z") };
        picker.pick(&snapshot, &prompt, NOW).unwrap().policy == "p"
    };
    assert_eq!((0..100).filter(|trial_bucket| on_trial("t", *trial_bucket)).count(), 30);
    assert_eq!((0..100).filter(|trial_bucket| on_trial("u", *trial_bucket)).count(), 0);
}

#[test]
fn old_weights_are_used_until_their_deadline() {
    let snapshot = fleet(&["one"], DOCUMENT);
    let mut state = (*snapshot.state).clone();
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let five_ago = Instant(NOW.0 - Span::seconds(5).0);
    let updated = snapshot.after_change(state.clone(), Some(five_ago), NOW);
    let engine = "one".into();
    assert_eq!(updated.usable_weights(&engine, NOW + Span::millis(9999)), Some(WeightsEdition(1)));
    assert_eq!(updated.usable_weights(&engine, NOW + Span::seconds(10)), None);
    assert_eq!(snapshot.after_change(state.clone(), None, NOW).usable_weights(&engine, NOW), None);
    let replaced = [("m".into(), WeightsEdition(1), five_ago)];
    let transferred = FleetSnapshot::default().after_full_transfer(state.clone(), &replaced, NOW);
    assert_eq!(transferred.usable_weights(&engine, NOW + Span::millis(9999)), Some(WeightsEdition(1)));
    assert_eq!(transferred.usable_weights(&engine, NOW + Span::seconds(10)), None);
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(3);
    let later = NOW + Span::seconds(9);
    let updated_again = updated.after_change(state, Some(later), later);
    assert_eq!(updated_again.usable_weights(&engine, later), Some(WeightsEdition(1)));
    let past = NOW + Span::seconds(10);
    assert_eq!(updated_again.usable_weights(&engine, past), None, "a further edition does not extend the deadline");
}

#[test]
fn a_restart_before_the_deadline_moves_it_and_a_later_one_revives_nothing() {
    let settle = Span::seconds(3);
    let limits = OldWeightsLimits { settle: Some(settle), ..OldWeightsLimits::default() };
    let snapshot = FleetSnapshot { old_weights_limits: limits, ..fleet(&["one"], DOCUMENT) };
    let mut state = (*snapshot.state).clone();
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let engine = "one".into();
    let updated = snapshot.after_change(state.clone(), Some(NOW), NOW);
    let given_up = NOW + limits.send;
    assert!(updated.after_restart(Instant(0)).is_none(), "it is not newer than the known one");
    let restarted = NOW + Span::seconds(4);
    let moved = updated.after_restart(restarted).unwrap();
    let moved_end = restarted + settle + limits.send;
    assert_eq!(moved.usable_weights(&engine, Instant(moved_end.0 - 1)), Some(WeightsEdition(1)));
    assert_eq!(moved.usable_weights(&engine, moved_end), None);
    let revived = updated.after_restart(given_up).unwrap();
    assert_eq!(revived.usable_weights(&engine, given_up), None, "they were given up before the restart");
    let known = FleetSnapshot { last_restart: Instant(NOW.0 - Span::seconds(1).0), ..snapshot };
    let named_after = known.after_change(state, Some(NOW), NOW);
    let named_after_end = NOW + Span::seconds(2) + limits.send;
    assert_eq!(named_after.usable_weights(&engine, Instant(named_after_end.0 - 1)), Some(WeightsEdition(1)));
    assert_eq!(named_after.usable_weights(&engine, named_after_end), None);
}

#[test]
fn responses_may_begin_on_old_weights_a_little_longer_than_requests_are_sent() {
    let snapshot = fleet(&["one"], DOCUMENT);
    let model = "m".into();
    assert_eq!(snapshot.latest_start(&model, WeightsEdition(1)), None, "these are the wanted weights");
    let mut state = (*snapshot.state).clone();
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let updated = snapshot.after_change(state.clone(), Some(NOW), NOW);
    let latest_start = updated.latest_start(&model, WeightsEdition(1));
    assert_eq!(latest_start, Some(NOW + Span::millis(16_200)));
    let given_up = NOW + Span::seconds(15);
    let unrelated = updated.after_change(state, Some(given_up), given_up);
    assert_eq!(unrelated.latest_start(&model, WeightsEdition(1)), latest_start, "a later change moves nothing");
}

#[test]
fn missing_blocks_are_fetched_from_the_cheapest_source() {
    let document = |other_zone_us: u64| {
        format!(
            r#"{{"models":{{"m":{{"weights":1}}}},"tenants":{{"t":{{}}}},"store":"127.0.0.1:9",
            "routing":{{"fetch":{{"other_zone_block_us":{other_zone_us},"store_block_us":1000}}}}}}"#
        )
    };
    let asked_prompt = prompt(&"f".repeat(6400));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    let plan = |other_zone_us: u64, peer_blocks: usize| {
        let snapshot = fleet(&["chosen", "peer"], &document(other_zone_us));
        let mut state = (*snapshot.state).clone();
        state.listing.engines.get_mut(&"peer".into()).unwrap().zone = "b".into();
        let snapshot = snapshot.after_change(state, None, NOW);
        let mut picker = Picker::new(NodeId(1), "a".into());
        picker.apply_snapshot(&"chosen".into(), "x", 1, names[..10].to_vec(), NOW);
        picker.apply_snapshot(&"peer".into(), "x", 1, names[..peer_blocks].to_vec(), NOW);
        picker.apply_snapshot(&STORE_SOURCE.into(), "x", 1, names[..80].to_vec(), NOW);
        picker.begin_attempt(&"peer".into(), BlockCount(500));
        let placement = picker.pick(&snapshot, &asked_prompt, NOW).unwrap();
        assert_eq!(placement.chosen.engine, "chosen".into());
        placement.fetches.into_iter().map(|run| (run.from, run.names.len())).collect::<Vec<_>>()
    };
    let peer = || FetchFrom::Peer("peer".into());
    assert_eq!(plan(300, 60), [(peer(), 50), (FetchFrom::Store, 20)]);
    assert_eq!(plan(2500, 60), [(FetchFrom::Store, 70)], "the link is too slow");
    assert_eq!(plan(2500, 90), [(FetchFrom::Store, 70)], "blocks that only a slow peer caches are prefilled");
}

#[test]
fn a_disaggregated_pool_decodes_by_blocks_in_use_and_prefers_its_zone() {
    let snapshot = fleet(&["far", "near", "prefill"], DOCUMENT);
    let mut state = (*snapshot.state).clone();
    for (name, zone, role) in
        [("far", "b", Role::Decode), ("near", "a", Role::Decode), ("prefill", "b", Role::Prefill)]
    {
        let listed = state.listing.engines.get_mut(&name.into()).unwrap();
        (listed.zone, listed.role) = (zone.into(), role);
    }
    let snapshot = snapshot.after_change(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let asked_prompt = prompt(&"s".repeat(640));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    for engine in ["far", "near", "prefill"] {
        picker.apply_snapshot(&engine.into(), "x", 1, Vec::new(), NOW);
    }
    picker.apply_snapshot(&"far".into(), "x", 1, names.clone(), NOW);
    let placement = picker.pick(&snapshot, &asked_prompt, NOW).unwrap();
    assert_eq!(
        placement.chosen.engine,
        "near".into(),
        "decode ignores the cached prefix, and the zone breaks the tie"
    );
    assert_eq!(placement.chosen.cost, 11.0, "blocks in use plus those to be added");
    assert_eq!(placement.prefill.as_ref().map(|place| place.engine.clone()), Some("prefill".into()));
    assert_eq!(placement.fetches[0].names, names);
    picker.begin_attempt(&"near".into(), BlockCount(1));
    assert_eq!(picker.pick(&snapshot, &asked_prompt, NOW).unwrap().chosen.engine, "far".into());
}

#[test]
fn a_prompt_on_an_adapter_goes_to_engines_with_exactly_that_warm_and_prefers_near_ones() {
    let document = r#"{"models":{"m":{"weights":1,"adapter_places":2}},"tenants":{"t":{"adapters":["x"]}},
        "adapters":{"x":{"model":"m","owners":["t"],"revision":2}},"zones":{"a":"north","b":"north","c":"south"}}"#;
    let snapshot = fleet(&["bare", "far", "near", "stale"], document);
    let mut state = (*snapshot.state).clone();
    for (name, zone, revision) in [("far", "c", 2), ("near", "b", 2), ("stale", "a", 1)] {
        state.listing.engines.get_mut(&name.into()).unwrap().zone = zone.into();
        let stage = CopyStage::Warm { boot: "x".into() };
        let copy = AdapterCopy { adapter: AdapterId::new("x", revision), stage };
        state.adapters.copies.insert(name.into(), vec![copy]);
    }
    let snapshot = snapshot.after_change(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let adapted = Prompt { adapter: Some(AdapterId::new("x", 2)), ..prompt(&"a".repeat(640)) };
    let chosen = |picker: &mut Picker, prompt: &Prompt| {
        picker.pick(&snapshot, prompt, NOW).map(|placement| placement.chosen.engine)
    };
    assert_eq!(chosen(&mut picker, &adapted), Some("near".into()));
    picker.begin_attempt(&"near".into(), BlockCount(500));
    assert_eq!(chosen(&mut picker, &adapted), Some("far".into()), "a distant engine that is idle");
    picker.record_cold(&"far".into(), &AdapterId::new("x", 2), NOW);
    assert_eq!(chosen(&mut picker, &adapted), Some("near".into()), "the distant engine reported it as not loaded");
    let both = Prompt { tried: vec!["near".into()], ..adapted.clone() };
    assert_eq!(chosen(&mut picker, &both), None, "never the base model, another revision or a cold engine");
    assert!(chosen(&mut picker, &prompt("bare")).is_some());
}

#[test]
fn an_adapter_of_a_second_model_depends_on_that_models_weights() {
    let document = r#"{"models":{"m":{"weights":1},"n":{"weights":3,"adapter_places":1}},"tenants":{"t":{"adapters":["y"]}},
        "adapters":{"y":{"model":"n","owners":["t"]}}}"#;
    let snapshot = fleet(&["both"], document);
    let adapter = AdapterId::new("y", 1);
    let holding = |listed_weights: u64| {
        let mut state = (*snapshot.state).clone();
        let listed = state.listing.engines.get_mut(&"both".into()).unwrap();
        listed.further_models.insert("n".into(), WeightsEdition(listed_weights));
        let copy = AdapterCopy { adapter: adapter.clone(), stage: CopyStage::Warm { boot: "x".into() } };
        state.adapters.copies.insert("both".into(), vec![copy]);
        snapshot.after_change(state, None, NOW)
    };
    assert!(holding(3).is_warm_anywhere(&adapter, NOW));
    assert!(!holding(2).is_warm_anywhere(&adapter, NOW), "on replaced weights, though the first model's are current");
    let mut outdated = (*holding(3).state).clone();
    outdated.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let outdated = FleetSnapshot::default().after_change(outdated, None, NOW);
    assert!(outdated.is_warm_anywhere(&adapter, NOW), "whatever the first model's weights are");
}

#[test]
fn a_leaving_engine_serves_the_last_copy_of_an_adapter_until_the_lease_at_its_listing_expires() {
    let document = r#"{"models":{"m":{"weights":1,"adapter_places":2}},"tenants":{"t":{"adapters":["x"]}},
        "adapters":{"x":{"model":"m","owners":["t"]}}}"#;
    let adapter = AdapterId::new("x", 1);
    let warm = || vec![AdapterCopy { adapter: adapter.clone(), stage: CopyStage::Warm { boot: "x".into() } }];
    let mut open = (*fleet(&["bare", "holder"], document).state).clone();
    open.adapters.copies.insert("holder".into(), warm());
    let before = FleetSnapshot::default().after_change(open, None, NOW);
    let mut leaving = (*before.state).clone();
    leaving.listing.engines.get_mut(&"holder".into()).unwrap().listed = Listed::Leaving;
    let lease_until = NOW + Span::millis(900);
    let snapshot = before.after_change(leaving.clone(), None, NOW).with_leaving_deadline(&before.state, lease_until);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let adapted = Prompt { adapter: Some(adapter.clone()), ..prompt("adapted") };
    let mut chosen = |snapshot: &FleetSnapshot, prompt: &Prompt, now: Instant| {
        picker.pick(snapshot, prompt, now).map(|placement| placement.chosen.engine)
    };
    assert_eq!(chosen(&snapshot, &adapted, NOW), Some("holder".into()));
    assert!(snapshot.is_warm_anywhere(&adapter, NOW));
    assert_eq!(chosen(&snapshot, &prompt("bare"), NOW), Some("bare".into()), "no requests for the base model");
    // Later changes under a later lease don't extend the deadline.
    let later = snapshot
        .after_change(leaving.clone(), None, NOW)
        .with_leaving_deadline(&leaving, lease_until + Span::seconds(1));
    for known in [&snapshot, &later] {
        assert_eq!(chosen(known, &adapted, lease_until), None);
        assert!(!known.is_warm_anywhere(&adapter, lease_until));
    }
    let mut replaced = leaving.clone();
    replaced.adapters.copies.insert("bare".into(), warm());
    let replaced = snapshot.after_change(replaced, None, NOW);
    for _ in 0..8 {
        assert_eq!(chosen(&replaced, &adapted, NOW), Some("bare".into()), "its replacement is warm");
    }
    let without_lease = FleetSnapshot::default().after_change(leaving, None, NOW);
    assert_eq!(chosen(&without_lease, &adapted, NOW), None, "no lease under which the change was received");
}

/// Under any policy, the pick is an eligible engine or none.
#[test]
fn no_policy_picks_closed_drained_leaving_or_wrongly_loaded_engines() {
    let tested = std::cell::Cell::new(0);
    for seed in 0..400u64 {
        arbtest::arbtest(|source| {
            let weight = *source.choose(&["0", "1e-300", "1", "1000000", "0.5"])?;
            let mut rules = Vec::new();
            for _ in 0..source.int_in_range(0..=12)? {
                let band = *source.choose(&["calm", "steady", "busy"])?;
                let tenant = *source.choose(&["", r#""tenant":"t","#])?;
                let rule_weight = *source.choose(&["0", "1000000", "3"])?;
                rules.push(format!(r#"{{{tenant}"band":"{band}","weight":{rule_weight}}}"#));
            }
            let document = format!(
                r#"{{"models":{{"m":{{"weights":1}}}},"tenants":{{"t":{{}}}},"kinds":["k"],"trials":{{"t":"hostile"}},
                "policies":{{"hostile":{{"weight":{weight},"rules":[{}]}}}}}}"#,
                rules.join(",")
            );
            let snapshot = fleet(&["e0", "e1", "e2", "e3", "e4", "e5"], &document);
            let mut state = (*snapshot.state).clone();
            let mut eligible = Vec::new();
            for number in 0..6 {
                let engine = EngineName(format!("e{number}"));
                match source.int_in_range(0..=5)? {
                    0 => state.engine_statuses.get_mut(&engine).unwrap().closed = true,
                    1 => state.listing.engines.get_mut(&engine).unwrap().listed = Listed::Leaving,
                    2 => {
                        state.drained.insert(engine.clone());
                    }
                    3 => {
                        state.engine_statuses.get_mut(&engine).unwrap().confirmed =
                            Some((WeightsEdition(7), "x".into()))
                    }
                    _ => eligible.push(engine.clone()),
                }
            }
            let snapshot = snapshot.after_change(state, None, NOW);
            let mut picker = Picker::new(NodeId(1), "a".into());
            for number in 0..6 {
                let busy_blocks = source.int_in_range(0..=2000)?;
                picker.begin_attempt(&EngineName(format!("e{number}")), BlockCount(busy_blocks));
            }
            match picker.pick(&snapshot, &prompt(&"h".repeat(640)), NOW) {
                Some(placement) => {
                    assert!(eligible.contains(&placement.chosen.engine));
                    assert_eq!(placement.policy, "hostile");
                    assert!(placement.candidates.iter().all(|score| score.cost.is_finite()));
                }
                None => assert!(eligible.is_empty()),
            }
            tested.set(tested.get() + 1);
            Ok(())
        })
        .seed(seed << 32 | 200)
        .run();
    }
    assert!(tested.get() >= 300, "only {} policies were tested", tested.get());
}
