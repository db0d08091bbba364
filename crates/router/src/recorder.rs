//! The recorder: a duty that writes one line for each run, fed by a bounded ring. When the ring is full
//! a run goes unrecorded and is counted; recording never holds a request up.

use crate::prelude::*;

#[derive(Clone, Default)]
pub struct Recorder {
    queue: Option<Sender<RecordedRun>>,
    pub unrecorded: Arc<AtomicU64>,
}

impl Recorder {
    pub fn start(folder: &str, router: NodeId, max_file_bytes: u64) -> Result<Recorder, Report> {
        let mut writer = DayWriter::create(std::path::Path::new(folder), &router.to_string(), max_file_bytes)
            .map_err(|fault| miette!("record: {folder}: {fault}"))?;
        let (queue, runs) = bounded_queue::<RecordedRun>(4096);
        spawn_thread("recorder", move || {
            while let Some(batch) = receive_batch(&runs, Duration::from_millis(500), 256) {
                let written = batch.iter().try_for_each(|run| writer.write(run)).and_then(|()| writer.flush());
                if let Err(fault) = written {
                    event!(error, "recording_ended", reason = fault);
                    return;
                }
            }
        });
        Ok(Recorder { queue: Some(queue), unrecorded: Arc::default() })
    }

    pub fn is_on(&self) -> bool {
        self.queue.is_some()
    }

    pub fn write(&self, run: RecordedRun) {
        let Some(queue) = &self.queue else { return };
        if queue.try_send(run).is_err() {
            Counts::add(&self.unrecorded, 1);
        }
    }
}

/// A placement as it is recorded.
pub trait FromPlacement {
    fn from_placement(placement: &Placement) -> RecordedPick;
}

impl FromPlacement for RecordedPick {
    fn from_placement(placement: &Placement) -> RecordedPick {
        let candidates = placement
            .candidates
            .iter()
            .map(|score| RecordedScore {
                engine: score.engine.0.clone(),
                prefill_blocks: score.prefill_blocks.0,
                decode_blocks: score.decode_blocks.0,
                weight: score.weight,
                cost: score.cost,
                by_events: score.by_events,
                decodes: score.role == Role::Decode,
                is_far: score.is_far,
                distance_blocks: score.distance_blocks,
            })
            .collect();
        RecordedPick {
            policy: placement.policy.clone(),
            chosen: placement.chosen.engine.0.clone(),
            default_engine: placement.default_engine.0.clone(),
            weights: placement.chosen.weights.0,
            tie_name: placement.tie_name.to_string(),
            candidates,
        }
    }
}
