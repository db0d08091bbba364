//! Writes one line for each run, on a thread fed by a bounded queue. When the queue is full, a run is counted instead
//! of recorded: recording never delays a request.

use crate::prelude::*;

/// How many runs may wait to be written.
const QUEUE_CAPACITY: usize = 4096;
/// The most runs written between two flushes.
const MAX_BATCH: usize = 256;
/// How long the writer waits for the first run of a batch.
const BATCH_WAIT: Duration = Duration::from_millis(500);

/// Records runs, if recording is on.
#[derive(Clone, Default)]
pub struct Recorder {
    queue: Option<Sender<RecordedRun>>,
    /// The number of runs not recorded because the queue was full.
    pub unrecorded: Arc<AtomicU64>,
}

impl Recorder {
    /// Starts the thread that writes into `folder`.
    pub fn start(folder: &str, router: NodeId, max_file_bytes: u64) -> Result<Recorder, Report> {
        let mut writer = DayWriter::create(std::path::Path::new(folder), &router.to_string(), max_file_bytes)
            .map_err(|fault| miette!("record: {folder}: {fault}"))?;
        let (queue, runs) = bounded_queue::<RecordedRun>(QUEUE_CAPACITY);
        spawn_thread("recorder", move || {
            while let Some(batch) = receive_batch(&runs, BATCH_WAIT, MAX_BATCH) {
                let written = batch.iter().try_for_each(|run| writer.write(run)).and_then(|()| writer.flush());
                if let Err(fault) = written {
                    event!(error, "recording_ended", reason = fault);
                    return;
                }
            }
        });
        Ok(Recorder { queue: Some(queue), unrecorded: Arc::default() })
    }

    /// Whether runs are recorded.
    pub fn is_on(&self) -> bool {
        self.queue.is_some()
    }

    /// Queues a run to be written.
    pub fn write(&self, run: RecordedRun) {
        let Some(queue) = &self.queue else { return };
        if queue.try_send(run).is_err() {
            Counts::add(&self.unrecorded, 1);
        }
    }
}

/// Conversion of a placement to its recorded form.
pub trait FromPlacement {
    /// The recorded form of a placement.
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
