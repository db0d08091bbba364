//! Picks on small fleets: the formula, late events, passing, trials, old weights, fetches, split pools.

use blocks::prelude::{Salt, hash_blocks};
use desired::prelude::{
    AdapterCopy, Command, CopyStage, FleetState, Listed, ListedEngine, Listing, Settled, Standing, Submission,
};
use placement::prelude::*;
use std::collections::BTreeMap;
use units::prelude::*;

const NOW: Instant = Instant(1_000_000_000_000);

fn fleet(engine_names: &[&str], document: &str) -> FleetSight {
    let mut state = FleetState::default();
    let mut submit = |command| {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, Settled::Taken(_)), "{outcome:?}");
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
        let standing =
            Standing { confirmed: Some((WeightsEdition(1), "x".into())), closed: false, ..Standing::default() };
        state.standings.insert((*name).into(), standing);
    }
    FleetSight::default().following(state, None, NOW)
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
        outcome_blocks: BlockCount(1),
        lot: 0,
        tried: Vec::new(),
    }
}

const DOCUMENT: &str = r#"{"models":{"m":{"weights":1}},"tenants":{"t":{}},"kinds":["k"]}"#;

#[test]
fn the_toy_case_of_the_source_holds_on_the_whole_way() {
    for (weight, expected_engine) in [(1, "idle"), (2, "idle"), (3, "middle"), (4, "busy"), (9, "busy")] {
        let document = format!(
            r#"{{"models":{{"m":{{"weights":1}}}},"tenants":{{"t":{{}}}},"policies":{{"default":{{"weight":{weight}}}}}}}"#
        );
        let sight = fleet(&["busy", "middle", "idle"], &document);
        let asked_prompt = prompt(&"x".repeat(6400));
        let names = asked_prompt.names[&WeightsEdition(1)].clone();
        assert_eq!(names.len(), 100);
        let mut picker = Picker::new(NodeId(1), "a".into());
        for (engine, kept_count, busy_blocks) in [("busy", 90, 300), ("middle", 50, 170), ("idle", 0, 40)] {
            picker.take_snapshot(&engine.into(), "x", 1, names[..kept_count].to_vec(), NOW);
            picker.begin_attempt(&engine.into(), BlockCount(busy_blocks));
        }
        let placement = picker.pick(&sight, &asked_prompt, NOW).unwrap();
        assert_eq!(placement.chosen.engine, expected_engine.into(), "weight {weight}");
        assert_eq!(placement.candidates.len(), 3);
    }
}

#[test]
fn late_or_lost_events_fall_back_to_own_history() {
    let sight = fleet(&["one", "two"], DOCUMENT);
    let asked_prompt = prompt(&"y".repeat(640));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    let mut picker = Picker::new(NodeId(1), "a".into());
    for engine in ["one", "two"] {
        picker.take_snapshot(&engine.into(), "x", 1, Vec::new(), NOW);
    }
    picker.note_kept(&"two".into(), &names, NOW);
    let later = NOW + Span::millis(2100);
    for engine in ["one", "two"] {
        assert!(picker.take_events(&engine.into(), "x", 1, &[], later));
    }
    let placement = picker.pick(&sight, &asked_prompt, later).unwrap();
    assert_eq!(placement.chosen.engine, "two".into(), "a storing that was never told makes events late");
    assert!(!placement.chosen.by_events);
    let stored = CacheEvent::Stored(names.clone());
    assert!(picker.take_events(&"two".into(), "x", 1, &[stored], later));
    let placement = picker.pick(&sight, &asked_prompt, later).unwrap();
    assert!(placement.chosen.by_events);
    assert!(!picker.take_events(&"two".into(), "other", 1, &[], later), "another boot");
    let placement = picker.pick(&sight, &asked_prompt, later).unwrap();
    assert!(placement.candidates.iter().all(|score| score.prefill_blocks == BlockCount(10)));
}

#[test]
fn closed_leaving_tried_and_resting_engines_are_passed_over() {
    let sight = fleet(&["closed", "gone", "leaving", "resting", "tried", "well"], DOCUMENT);
    let mut state = (*sight.state).clone();
    state.standings.get_mut(&"closed".into()).unwrap().closed = true;
    state.listing.engines.remove(&"gone".into());
    state.listing.engines.get_mut(&"leaving".into()).unwrap().listed = Listed::Leaving;
    let sight = sight.following(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    picker.note_fault(&"resting".into(), NOW);
    let asked_prompt = Prompt { tried: vec!["tried".into()], ..prompt("z") };
    let placement = picker.pick(&sight, &asked_prompt, NOW).unwrap();
    let passing: Vec<&str> = placement.candidates.iter().map(|score| score.engine.as_str()).collect();
    assert_eq!(passing, ["well"]);
}

#[test]
fn a_share_of_a_trial_tenants_requests_goes_by_the_trial() {
    let document = r#"{"models":{"m":{"weights":1}},"tenants":{"t":{},"u":{}},"kinds":["k"],
        "policies":{"p":{"weight":4}},"trials":{"t":"p"},"routing":{"trial_percent":30}}"#;
    let sight = fleet(&["one", "two"], document);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let mut on_trial = |tenant: &str, lot| {
        let asked = Prompt { tenant: tenant.into(), lot, ..prompt("z") };
        picker.pick(&sight, &asked, NOW).unwrap().policy == "p"
    };
    assert_eq!((0..100).filter(|lot| on_trial("t", *lot)).count(), 30);
    assert_eq!((0..100).filter(|lot| on_trial("u", *lot)).count(), 0);
}

#[test]
fn old_weights_are_given_up_in_time() {
    let sight = fleet(&["one"], DOCUMENT);
    let mut state = (*sight.state).clone();
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let five_ago = Instant(NOW.0 - Span::seconds(5).0);
    let pushed_sight = sight.following(state.clone(), Some(five_ago), NOW);
    let engine = "one".into();
    assert_eq!(pushed_sight.usable_weights(&engine, NOW + Span::millis(9999)), Some(WeightsEdition(1)));
    assert_eq!(pushed_sight.usable_weights(&engine, NOW + Span::seconds(10)), None);
    assert_eq!(sight.following(state.clone(), None, NOW).usable_weights(&engine, NOW), None);
    let told = [("m".into(), WeightsEdition(1), five_ago)];
    let fresh_sight = FleetSight::default().starting_over(state.clone(), &told, NOW);
    assert_eq!(fresh_sight.usable_weights(&engine, NOW + Span::millis(9999)), Some(WeightsEdition(1)));
    assert_eq!(fresh_sight.usable_weights(&engine, NOW + Span::seconds(10)), None);
    state.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(3);
    let later = NOW + Span::seconds(9);
    let moved_again = pushed_sight.following(state, Some(later), later);
    assert_eq!(moved_again.usable_weights(&engine, later), Some(WeightsEdition(1)));
    let past = NOW + Span::seconds(10);
    assert_eq!(moved_again.usable_weights(&engine, past), None, "a further move does not prolong the old edition");
}

#[test]
fn missing_blocks_come_from_where_they_are_cheapest() {
    let document = |other_zone_us: u64| {
        format!(
            r#"{{"models":{{"m":{{"weights":1}}}},"tenants":{{"t":{{}}}},"store":"127.0.0.1:9",
            "routing":{{"fetch":{{"other_zone_block_us":{other_zone_us},"store_block_us":1000}}}}}}"#
        )
    };
    let asked_prompt = prompt(&"f".repeat(6400));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    let plan = |other_zone_us: u64, peer_blocks: usize| {
        let sight = fleet(&["chosen", "peer"], &document(other_zone_us));
        let mut state = (*sight.state).clone();
        state.listing.engines.get_mut(&"peer".into()).unwrap().zone = "b".into();
        let sight = sight.following(state, None, NOW);
        let mut picker = Picker::new(NodeId(1), "a".into());
        picker.take_snapshot(&"chosen".into(), "x", 1, names[..10].to_vec(), NOW);
        picker.take_snapshot(&"peer".into(), "x", 1, names[..peer_blocks].to_vec(), NOW);
        picker.take_snapshot(&STORE_SOURCE.into(), "x", 1, names[..80].to_vec(), NOW);
        picker.begin_attempt(&"peer".into(), BlockCount(500));
        let placement = picker.pick(&sight, &asked_prompt, NOW).unwrap();
        assert_eq!(placement.chosen.engine, "chosen".into());
        placement.fetches.into_iter().map(|run| (run.from, run.names.len())).collect::<Vec<_>>()
    };
    let peer = || FetchFrom::Peer("peer".into());
    assert_eq!(plan(300, 60), [(peer(), 50), (FetchFrom::Store, 20)]);
    assert_eq!(plan(2500, 60), [(FetchFrom::Store, 70)], "a slow link is no use");
    assert_eq!(plan(2500, 90), [(FetchFrom::Store, 70)], "what only a slow peer keeps is prefilled");
}

#[test]
fn a_split_pool_decodes_by_blocks_in_use_and_prefers_its_zone() {
    let sight = fleet(&["far", "near", "prefill"], DOCUMENT);
    let mut state = (*sight.state).clone();
    for (name, zone, role) in
        [("far", "b", Role::Decode), ("near", "a", Role::Decode), ("prefill", "b", Role::Prefill)]
    {
        let listed = state.listing.engines.get_mut(&name.into()).unwrap();
        (listed.zone, listed.role) = (zone.into(), role);
    }
    let sight = sight.following(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let asked_prompt = prompt(&"s".repeat(640));
    let names = asked_prompt.names[&WeightsEdition(1)].clone();
    for engine in ["far", "near", "prefill"] {
        picker.take_snapshot(&engine.into(), "x", 1, Vec::new(), NOW);
    }
    picker.take_snapshot(&"far".into(), "x", 1, names.clone(), NOW);
    let placement = picker.pick(&sight, &asked_prompt, NOW).unwrap();
    assert_eq!(placement.chosen.engine, "near".into(), "overlap is off for decode, and the zone breaks the tie");
    assert_eq!(placement.chosen.cost, 11.0, "blocks in use plus those added");
    assert_eq!(placement.prefill.as_ref().map(|place| place.engine.clone()), Some("prefill".into()));
    assert_eq!(placement.fetches[0].names, names);
    picker.begin_attempt(&"near".into(), BlockCount(1));
    assert_eq!(picker.pick(&sight, &asked_prompt, NOW).unwrap().chosen.engine, "far".into());
}

#[test]
fn a_prompt_on_an_adapter_goes_only_where_exactly_that_is_warm_and_rather_near() {
    let document = r#"{"models":{"m":{"weights":1,"adapter_places":2}},"tenants":{"t":{"adapters":["x"]}},
        "adapters":{"x":{"model":"m","owners":["t"],"revision":2}},"zones":{"a":"north","b":"north","c":"south"}}"#;
    let sight = fleet(&["bare", "far", "near", "stale"], document);
    let mut state = (*sight.state).clone();
    for (name, zone, revision) in [("far", "c", 2), ("near", "b", 2), ("stale", "a", 1)] {
        state.listing.engines.get_mut(&name.into()).unwrap().zone = zone.into();
        let stage = CopyStage::Warm { boot: "x".into() };
        let copy = AdapterCopy { adapter: AdapterId::new("x", revision), stage };
        state.adapters.copies.insert(name.into(), vec![copy]);
    }
    let sight = sight.following(state, None, NOW);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let adapted = Prompt { adapter: Some(AdapterId::new("x", 2)), ..prompt(&"a".repeat(640)) };
    let chosen = |picker: &mut Picker, prompt: &Prompt| {
        picker.pick(&sight, prompt, NOW).map(|placement| placement.chosen.engine)
    };
    assert_eq!(chosen(&mut picker, &adapted), Some("near".into()));
    picker.begin_attempt(&"near".into(), BlockCount(500));
    assert_eq!(chosen(&mut picker, &adapted), Some("far".into()), "a farther one that is idle");
    picker.note_cold(&"far".into(), &AdapterId::new("x", 2), NOW);
    assert_eq!(chosen(&mut picker, &adapted), Some("near".into()), "the far one said it does not hold it");
    let both = Prompt { tried: vec!["near".into()], ..adapted.clone() };
    assert_eq!(chosen(&mut picker, &both), None, "never the bare model, another revision or a cold engine");
    assert!(chosen(&mut picker, &prompt("bare")).is_some());
}

#[test]
fn an_adapter_of_a_second_model_is_warm_by_that_models_weights() {
    let document = r#"{"models":{"m":{"weights":1},"n":{"weights":3,"adapter_places":1}},"tenants":{"t":{"adapters":["y"]}},
        "adapters":{"y":{"model":"n","owners":["t"]}}}"#;
    let sight = fleet(&["both"], document);
    let adapter = AdapterId::new("y", 1);
    let holding = |listed_weights: u64| {
        let mut state = (*sight.state).clone();
        let listed = state.listing.engines.get_mut(&"both".into()).unwrap();
        listed.further_models.insert("n".into(), WeightsEdition(listed_weights));
        let copy = AdapterCopy { adapter: adapter.clone(), stage: CopyStage::Warm { boot: "x".into() } };
        state.adapters.copies.insert("both".into(), vec![copy]);
        sight.following(state, None, NOW)
    };
    assert!(holding(3).is_warm_anywhere(&adapter, NOW));
    assert!(!holding(2).is_warm_anywhere(&adapter, NOW), "on weights given up, though the first model's are wanted");
    let mut outdated = (*holding(3).state).clone();
    outdated.desired.models.get_mut(&"m".into()).unwrap().weights = WeightsEdition(2);
    let outdated = FleetSight::default().following(outdated, None, NOW);
    assert!(outdated.is_warm_anywhere(&adapter, NOW), "whatever the first model's weights are");
}

#[test]
fn a_leaving_engine_serves_the_last_copy_of_an_adapter_until_the_lease_at_its_listing_has_run_out() {
    let document = r#"{"models":{"m":{"weights":1,"adapter_places":2}},"tenants":{"t":{"adapters":["x"]}},
        "adapters":{"x":{"model":"m","owners":["t"]}}}"#;
    let adapter = AdapterId::new("x", 1);
    let warm = || vec![AdapterCopy { adapter: adapter.clone(), stage: CopyStage::Warm { boot: "x".into() } }];
    let mut open = (*fleet(&["bare", "holder"], document).state).clone();
    open.adapters.copies.insert("holder".into(), warm());
    let before = FleetSight::default().following(open, None, NOW);
    let mut leaving = (*before.state).clone();
    leaving.listing.engines.get_mut(&"holder".into()).unwrap().listed = Listed::Leaving;
    let lease_until = NOW + Span::millis(900);
    let sight = before.following(leaving.clone(), None, NOW).heard_under(&before.state, lease_until);
    let mut picker = Picker::new(NodeId(1), "a".into());
    let adapted = Prompt { adapter: Some(adapter.clone()), ..prompt("adapted") };
    let mut chosen = |sight: &FleetSight, prompt: &Prompt, now: Instant| {
        picker.pick(sight, prompt, now).map(|placement| placement.chosen.engine)
    };
    assert_eq!(chosen(&sight, &adapted, NOW), Some("holder".into()));
    assert!(sight.is_warm_anywhere(&adapter, NOW));
    assert_eq!(chosen(&sight, &prompt("bare"), NOW), Some("bare".into()), "nothing on the bare model");
    // What comes after it under a later lease does not prolong it.
    let later = sight.following(leaving.clone(), None, NOW).heard_under(&leaving, lease_until + Span::seconds(1));
    for known in [&sight, &later] {
        assert_eq!(chosen(known, &adapted, lease_until), None);
        assert!(!known.is_warm_anywhere(&adapter, lease_until));
    }
    let mut replaced = leaving.clone();
    replaced.adapters.copies.insert("bare".into(), warm());
    let replaced = sight.following(replaced, None, NOW);
    for _ in 0..8 {
        assert_eq!(chosen(&replaced, &adapted, NOW), Some("bare".into()), "its replacement is warm");
    }
    let unheard = FleetSight::default().following(leaving, None, NOW);
    assert_eq!(chosen(&unheard, &adapted, NOW), None, "without a lease under which it was heard");
}

/// Whatever a policy says, the pick is an engine that passes, or nobody.
#[test]
fn no_policy_gets_past_closed_drained_leaving_or_foreign_engines() {
    let judged = std::cell::Cell::new(0);
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
            let sight = fleet(&["e0", "e1", "e2", "e3", "e4", "e5"], &document);
            let mut state = (*sight.state).clone();
            let mut passing = Vec::new();
            for number in 0..6 {
                let engine = EngineName(format!("e{number}"));
                match source.int_in_range(0..=5)? {
                    0 => state.standings.get_mut(&engine).unwrap().closed = true,
                    1 => state.listing.engines.get_mut(&engine).unwrap().listed = Listed::Leaving,
                    2 => {
                        state.drained.insert(engine.clone());
                    }
                    3 => state.standings.get_mut(&engine).unwrap().confirmed = Some((WeightsEdition(7), "x".into())),
                    _ => passing.push(engine.clone()),
                }
            }
            let sight = sight.following(state, None, NOW);
            let mut picker = Picker::new(NodeId(1), "a".into());
            for number in 0..6 {
                let busy_blocks = source.int_in_range(0..=2000)?;
                picker.begin_attempt(&EngineName(format!("e{number}")), BlockCount(busy_blocks));
            }
            match picker.pick(&sight, &prompt(&"h".repeat(640)), NOW) {
                Some(placement) => {
                    assert!(passing.contains(&placement.chosen.engine));
                    assert_eq!(placement.policy, "hostile");
                    assert!(placement.candidates.iter().all(|score| score.cost.is_finite()));
                }
                None => assert!(passing.is_empty()),
            }
            judged.set(judged.get() + 1);
            Ok(())
        })
        .seed(seed << 32 | 200)
        .run();
    }
    assert!(judged.get() >= 300, "only {} policies were judged", judged.get());
}
