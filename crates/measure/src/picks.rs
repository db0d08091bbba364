//! The time of a pick by the size of the prefix tree; the sizes alternate over several rounds.

use crate::prelude::*;

const ENGINES: usize = 20;
const ROUNDS: usize = 5;
const PICKS: u32 = 300;

/// A snapshot of a fleet with the given number of open engines of one model.
pub fn fleet_snapshot(engines: usize) -> FleetSnapshot {
    let mut state = FleetState::default();
    let document = r#"{"models":{"m":{"weights":1}},"tenants":{"t":{}},"kinds":["k"]}"#;
    let submit = |state: &mut FleetState, command| {
        state.apply(&Submission { request: RequestId::random(), command });
    };
    submit(&mut state, Command::Merge { base: None, patch: document.into() });
    let listed_engines = (0..engines)
        .map(|number| {
            let listed = ListedEngine {
                address: "127.0.0.1:1".into(),
                zone: "a".into(),
                model: "m".into(),
                role: Default::default(),
                listed: Listed::Open,
                ..ListedEngine::default()
            };
            (EngineName(format!("e{number}")), listed)
        })
        .collect();
    submit(
        &mut state,
        Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines: listed_engines }),
    );
    for number in 0..engines {
        let status = EngineStatus {
            confirmed: Some((WeightsEdition(1), "x".into())),
            closed: false,
            ..EngineStatus::default()
        };
        state.engine_statuses.insert(EngineName(format!("e{number}")), status);
    }
    FleetSnapshot::default().after_change(state, None, boot_now())
}

/// A prompt of the given number of blocks for that fleet.
pub fn prompt_of(blocks: usize) -> Prompt {
    let salt = Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0));
    let hashes = hash_blocks(&salt, "x".repeat(blocks * 64).as_bytes());
    Prompt {
        tenant: "t".into(),
        kind: "k".into(),
        model: "m".into(),
        adapter: None,
        blocks: BlockCount(hashes.len() as u64),
        names: BTreeMap::from([(WeightsEdition(1), hashes)]),
        output_blocks: BlockCount(1),
        trial_bucket: 0,
        tried: Vec::new(),
    }
}

/// Time of a pick for prefix trees of 1,000 to 1,000,000 blocks.
pub fn measure_picks() {
    let snapshot = fleet_snapshot(ENGINES);
    let prompt = prompt_of(200);
    let hashes = prompt.names[&WeightsEdition(1)].clone();
    let sizes = [1_000u64, 10_000, 100_000, 1_000_000];
    let mut pickers: Vec<Picker> = sizes
        .iter()
        .map(|size| {
            let mut picker = Picker::new(NodeId(1), "a".into());
            for engine in 0..ENGINES as u64 {
                let own = (0..size / ENGINES as u64).map(|number| BlockHash(engine << 40 | number));
                let kept: Vec<BlockHash> = hashes[..(engine as usize * 9)].iter().copied().chain(own).collect();
                picker.apply_snapshot(&EngineName(format!("e{engine}")), "x", 1, kept, boot_now());
                picker.apply_events(
                    &EngineName(format!("e{engine}")),
                    "x",
                    1,
                    &[CacheEvent::Stored(Vec::new())],
                    boot_now(),
                );
            }
            picker
        })
        .collect();
    let mut nanos: Vec<Vec<u64>> = vec![Vec::new(); sizes.len()];
    for _ in 0..ROUNDS {
        for (index, picker) in pickers.iter_mut().enumerate() {
            let began = boot_now();
            for _ in 0..PICKS {
                std::hint::black_box(picker.pick(&snapshot, &prompt, boot_now()));
            }
            nanos[index].push(boot_now().since(began).0 / u64::from(PICKS));
        }
    }
    for (size, figures) in sizes.iter().zip(nanos.iter_mut()) {
        println!(
            "tree of {size} blocks over {ENGINES} engines, prompt of 200: ns a pick {}",
            crate::quantiles_text(figures)
        );
    }
}
