//! What needs no other process: the state of many tenants, the index of kept blocks, and a pick.

use super::documents::tenant_document;
use super::fleet_use::{ProcessUse, median};
use super::plan::Driver;
use super::run::Run;
use super::sample::Sample;
use super::selecting::{measure_parts, measure_selection};
use crate::picks::{engines_sight, prompt_of};
use crate::prelude::*;
use blocks::prelude::{PrefixTree, SourceIndex};
use desired::prelude::{Bounds, parse_bounded, read_document};

const REPEATS: usize = 7;
const COPIES: usize = 4;
/// Far above what a document may hold today.
const WIDE_BOUNDS: Bounds = Bounds { bytes: 256 << 20, depth: 16 };
pub const INDEX_SOURCES: u64 = 100;
pub const PICK_ROUNDS: usize = 5;
pub const PICKS: u32 = 60;
const PICK_PROMPT_BLOCKS: usize = 200;
/// Engines that keep a leading part of the prompt.
pub const KEEPING_ENGINES: usize = 20;

pub fn measure(run: &Run, driver: Driver, size: u64) {
    let mut sample = Sample::new(driver.name(), size, 0);
    match driver {
        Driver::State => measure_state(size, &mut sample),
        Driver::Index => measure_index(size, &mut sample),
        Driver::Parts => measure_parts(size, &mut sample),
        Driver::Selection => measure_selection(size as usize, &mut sample),
        _ => measure_picks(size as usize, &mut sample),
    }
    run.record(sample);
}

pub fn resident_kb() -> f64 {
    ProcessUse::of("self").resident_kb
}

pub fn millis_since(began: Instant) -> f64 {
    boot_now().since(began).0 as f64 / 1e6
}

/// The median time of some repeats, in milliseconds.
pub fn time<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut took: Vec<f64> = (0..REPEATS)
        .map(|_| {
            let began = boot_now();
            std::hint::black_box(work());
            millis_since(began)
        })
        .collect();
    median(&mut took)
}

/// The memory of one copy. The first copies use up what was freed before, and are not counted.
fn resident_of_copies<T>(make: impl Fn() -> T) -> f64 {
    let _first: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let before = resident_kb();
    let _counted: Vec<T> = (0..COPIES).map(|_| make()).collect();
    (resident_kb() - before) / COPIES as f64
}

fn measure_state(tenants: u64, sample: &mut Sample) {
    let mut document = json!({"models": {"model": {"weights": 1}}, "kinds": ["one", "two", "three"], "tenants": {}});
    for number in 0..tenants {
        document["tenants"][format!("tenant-{number:05}")] = tenant_document(number);
    }
    let text = document.to_string();
    drop(document);
    sample.add("document_bytes", text.len() as f64);
    let read = || parse_bounded(&text, WIDE_BOUNDS).map(|value| read_document(&value));
    sample.add("read_ms", time(read));
    let Ok(Ok(desired)) = read() else { return };
    let mut state = FleetState { desired, desired_text: text.clone(), ..FleetState::default() };
    for (number, tenant) in state.desired.tenants.keys().enumerate() {
        if number.is_multiple_of(4) {
            state.walls.insert(tenant.clone(), Default::default());
        }
    }
    sample.add("state_resident_kb", resident_of_copies(|| state.clone()));
    let encoded = rmp_serde::to_vec_named(&state).map_or(0, |bytes| bytes.len());
    sample.add("snapshot_bytes", encoded as f64);
    sample.add("fits_frame", f64::from(u8::from(encoded <= wire::prelude::MOST_FRAME_BYTES)));
    sample.add("clone_ms", time(|| state.clone()));
    let sight = FleetSight::default();
    sample.add("derive_ms", time(|| sight.following(state.clone(), None, boot_now())));
    sample.add("derived_resident_kb", resident_of_copies(|| sight.following(state.clone(), None, boot_now())));
}

fn measure_index(entries: u64, sample: &mut Sample) {
    let name = |source: u64, number: u64| BlockHash(mixed(source << 40 | number));
    let each = entries / INDEX_SOURCES;
    let resident_before = resident_kb();
    let mut tree = PrefixTree::default();
    let began = boot_now();
    for number in 0..each {
        for source in 0..INDEX_SOURCES {
            tree.apply(SourceIndex(source as u32), &KeptEvent::Stored(vec![name(source, number)]));
        }
    }
    let stored = each * INDEX_SOURCES;
    sample.add("entries", tree.block_count() as f64);
    sample.add("store_ns", millis_since(began) * 1e6 / stored as f64);
    sample.add("resident_kb", resident_kb() - resident_before);
    sample.add("bytes_per_entry", (resident_kb() - resident_before) * 1024.0 / stored as f64);
    let churn = each.min(2000);
    let began = boot_now();
    for number in 0..churn {
        for source in 0..INDEX_SOURCES {
            tree.apply(SourceIndex(source as u32), &KeptEvent::Removed(vec![name(source, number)]));
            tree.apply(SourceIndex(source as u32), &KeptEvent::Stored(vec![name(source, each + number)]));
        }
    }
    sample.add("churn_event_ns", millis_since(began) * 1e6 / (2 * churn * INDEX_SOURCES) as f64);
    let prompt: Vec<BlockHash> =
        (0..PICK_PROMPT_BLOCKS as u64).map(|place| BlockHash(mixed(1 << 60 | place))).collect();
    for source in 0..KEEPING_ENGINES {
        let kept = prompt[..(source + 1) * PICK_PROMPT_BLOCKS / KEEPING_ENGINES].to_vec();
        tree.apply(SourceIndex(source as u32), &KeptEvent::Stored(kept));
    }
    sample.add("overlaps_us", time(|| tree.overlaps(&prompt)) * 1000.0);
}

/// Spreads numbers as hashes are spread.
pub fn mixed(number: u64) -> u64 {
    Draw::new(number).number()
}

fn measure_picks(engines: usize, sample: &mut Sample) {
    let sight = engines_sight(engines);
    let prompt = prompt_of(PICK_PROMPT_BLOCKS);
    let names = prompt.names[&WeightsEdition(1)].clone();
    let mut picker = Picker::new(NodeId(1), "a".into());
    for engine in 0..engines {
        let kept_blocks = if engine < KEEPING_ENGINES { (engine + 1) * names.len() / KEEPING_ENGINES } else { 0 };
        let kept = names[..kept_blocks].to_vec();
        picker.take_snapshot(&EngineName(format!("e{engine}")), "x", 1, kept, boot_now());
    }
    let mut micros: Vec<f64> = (0..PICK_ROUNDS)
        .map(|_| {
            let began = boot_now();
            for _ in 0..PICKS {
                std::hint::black_box(picker.pick(&sight, &prompt, boot_now()));
            }
            millis_since(began) * 1000.0 / f64::from(PICKS)
        })
        .collect();
    sample.add("pick_us", median(&mut micros));
}
