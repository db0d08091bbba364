//! A request being forwarded: its plan and its handles to the router's parts. Writes the request's recording and log
//! lines, and updates the counters.

use crate::prelude::*;

/// A request being forwarded.
pub struct Run {
    /// The checked request.
    pub plan: RequestPlan,
    /// Released when the run ends, however it ends.
    pub _held: (ConcurrencySlot, RunningGuard),
    /// This router's id.
    pub router: NodeId,
    /// The router's shared state.
    pub shared: Arc<SharedState>,
    /// Picks engines.
    pub scheduler: SchedulerHandle,
    /// The buffers of resumable runs.
    pub held_runs: Arc<HeldRuns>,
    /// Settles claims of idempotency keys.
    pub coordinator: Arc<CoordinatorClient>,
    /// Records the run, if recording is on.
    pub recorder: Recorder,
    /// The last pick, kept for the recording.
    pub draft: Option<RecordedPick>,
}

impl Run {
    /// Writes the run to the recording, if recording is on.
    pub(super) fn record(&self, outcome: &str, first_ms: Option<u64>) {
        if !self.recorder.is_on() {
            return;
        }
        let snapshot = self.shared.snapshot();
        let weights = self.draft.as_ref().map(|draft| WeightsEdition(draft.weights));
        let names = weights
            .map(|weights| hash_blocks(&self.plan.salt(&snapshot, weights), self.plan.prompt_text.as_bytes()))
            .unwrap_or_default();
        self.recorder.write(RecordedRun {
            at: unix_millis(),
            began: self.plan.began.0 / 1_000_000,
            run: self.plan.run.clone(),
            tenant: self.plan.tenant.0.clone(),
            kind: self.plan.kind.clone(),
            model: self.plan.model.0.clone(),
            block_hashes: format_hashes(&names),
            prompt_blocks: blocks_needed(self.plan.prompt_text.len()).0,
            max_tokens: self.plan.max_tokens,
            streams: self.plan.streams,
            repeatable: self.plan.repeatable,
            pick: self.draft.clone(),
            outcome: outcome.to_owned(),
            first_ms,
            total_ms: boot_now().since(self.plan.began).as_millis(),
        });
    }

    /// Logs the basis on which an attempt was placed.
    pub(super) fn log_pick(&self, placement: &Placement, attempt_name: &str) {
        let candidates: Vec<String> = placement
            .candidates
            .iter()
            .map(|score| {
                format!("{}:{:.1}:{}+{}", score.engine, score.cost, score.prefill_blocks, score.decode_blocks)
            })
            .collect();
        let chosen = &placement.chosen;
        if !chosen.by_events {
            Counts::add(&self.shared.counts.history_picks, 1);
        }
        event!(
            info,
            "picked",
            shot = attempt_name,
            tenant = self.plan.tenant,
            kind = self.plan.kind,
            engine = chosen.engine,
            cost = format!("{:.1}", chosen.cost),
            weights = chosen.weights,
            by = if chosen.by_events { "events" } else { "history" },
            fetch = placement.fetches.iter().map(|run| run.names.len()).sum::<usize>(),
            policy = placement.policy,
            default_engine = placement.default_engine,
            candidates = candidates.join(",")
        );
    }

    /// Counts, at the first piece, how many blocks the pick let the engine reuse or fetch.
    pub(super) fn count_blocks(&self, placement: &Placement) {
        let prompt_blocks = blocks_needed(self.plan.prompt_text.len()).0;
        Counts::add(&self.shared.counts.prompt_blocks, prompt_blocks);
        let reused_blocks = prompt_blocks.saturating_sub(placement.chosen.prefill_blocks.0);
        Counts::add(&self.shared.counts.reused_blocks, reused_blocks);
        let first_ms = boot_now().since(self.plan.began).as_millis();
        self.shared.record_policy_metrics(&placement.policy, &self.plan.tenant, |figures| {
            figures.requests += 1;
            figures.first.add(first_ms as f64);
            figures.occupancy.add(placement.chosen.decode_blocks.0 as f64);
            figures.prompt_blocks += prompt_blocks;
            figures.reused_blocks += reused_blocks;
            figures.differs += u64::from(placement.default_engine != placement.chosen.engine);
            figures.excess_blocks += placement.default_excess as u64;
            *figures.engines.entry(placement.chosen.engine.0.clone()).or_default() += 1;
        });
        let fetched_blocks = placement.fetches.iter().map(|run| run.names.len() as u64).sum();
        Counts::add(&self.shared.counts.fetch_blocks, fetched_blocks);
    }
}
