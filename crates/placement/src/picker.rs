//! The state that a router keeps about its engines: cached blocks, its own attempts, and reported counts.

use crate::prelude::*;

/// The source name for the store's events; no engine can have this name.
pub const STORE_SOURCE: &str = "@store";
/// The limit on the recorded sent blocks of each engine.
const HISTORY_BLOCKS: usize = 8192;
/// The weight of a new attempt in the moving average of blocks.
const AVERAGE_WEIGHT: f64 = 0.05;
const INITIAL_AVERAGE_BLOCKS: f64 = 32.0;
const FAULT_BACKOFF: Span = Span::millis(700);
/// By then the conductor knows that the adapter is missing.
const COLD_BACKOFF: Span = Span::millis(1500);

/// Picks the engines for prompts by what this router knows about them.
#[derive(Debug)]
pub struct Picker {
    pub(crate) router: NodeId,
    pub(crate) zone: Zone,
    pub(crate) tree: PrefixIndex,
    pub(crate) history: SentHistory,
    pub(crate) engines: BTreeMap<EngineName, EngineState>,
    next_index: u32,
    /// The moving average of the blocks of an attempt.
    pub(crate) average_blocks: f64,
}

impl Picker {
    /// A picker without any engines.
    pub fn new(router: NodeId, zone: Zone) -> Picker {
        Picker {
            router,
            zone,
            tree: PrefixIndex::default(),
            history: SentHistory::new(HISTORY_BLOCKS),
            engines: BTreeMap::new(),
            next_index: 0,
            average_blocks: INITIAL_AVERAGE_BLOCKS,
        }
    }

    fn engine_mut(&mut self, engine: &EngineName) -> &mut EngineState {
        let next_index = &mut self.next_index;
        self.engines.entry(engine.clone()).or_insert_with(|| {
            *next_index += 1;
            EngineState { index: *next_index, ..EngineState::default() }
        })
    }

    /// Removes engines that are no longer listed, with all of their state.
    pub fn retain_listed(&mut self, snapshot: &FleetSnapshot) {
        let stays = |engine: &EngineName| match engine.as_str() {
            STORE_SOURCE => snapshot.state.desired.store.is_some(),
            _ => snapshot.state.listing.engines.contains_key(engine),
        };
        let removed: Vec<EngineName> = self.engines.keys().filter(|engine| !stays(engine)).cloned().collect();
        for engine in removed {
            if let Some(state) = self.engines.remove(&engine) {
                self.tree.drop_source(SourceIndex(state.index));
                self.history.drop_source(SourceIndex(state.index));
            }
        }
    }

    pub(crate) fn index_of(&self, engine: &EngineName) -> Option<SourceIndex> {
        self.engines.get(engine).map(|state| SourceIndex(state.index))
    }

    /// The position from which to request an engine's events; none if its full list is needed.
    pub fn event_position(&mut self, engine: &EngineName) -> Option<EventCursor> {
        self.engine_mut(engine).position.clone()
    }

    /// Replaces an engine's cached blocks by its full list, and sets the position of its next event.
    pub fn apply_snapshot(
        &mut self,
        engine: &EngineName,
        boot: &str,
        next_number: u64,
        names: Vec<BlockHash>,
        requested_at: Instant,
    ) {
        let state = self.engine_mut(engine);
        state.position = Some(EventCursor { boot: boot.to_owned(), next_number });
        state.events_known_until = requested_at;
        state.expected_blocks.clear();
        let index = SourceIndex(state.index);
        self.tree.drop_source(index);
        self.tree.apply(index, &CacheEvent::Stored(names));
    }

    /// Applies a batch of events and returns whether the engine is still followed. After a gap or another boot,
    /// the engine's cached blocks are dropped.
    pub fn apply_events(
        &mut self,
        engine: &EngineName,
        boot: &str,
        first: u64,
        batch: &[CacheEvent],
        requested_at: Instant,
    ) -> bool {
        let state = self.engine_mut(engine);
        let index = SourceIndex(state.index);
        let Some(position) = state.position.as_mut() else { return false };
        let boot_changed = position.boot != boot;
        let Some(new_events) = position.accept_batch(boot, first, batch) else {
            state.position = None;
            state.expected_blocks.clear();
            self.tree.drop_source(index);
            if boot_changed {
                self.history.drop_source(index);
            }
            return false;
        };
        state.events_known_until = state.events_known_until.max(requested_at);
        for event in new_events {
            if let CacheEvent::Stored(names) = event {
                for name in names {
                    state.expected_blocks.remove(name);
                }
            }
        }
        for event in new_events {
            self.tree.apply(index, event);
        }
        true
    }

    /// Records an engine's own count of running requests.
    pub fn record_running_count(&mut self, engine: &EngineName, running: u64, requested_at: Instant) {
        self.engine_mut(engine).reported_running = Some((running, requested_at));
    }

    /// Records that an engine could not be reached; it backs off for a short time.
    pub fn record_fault(&mut self, engine: &EngineName, now: Instant) {
        self.engine_mut(engine).backoff_until = now + FAULT_BACKOFF;
    }

    /// Records that an engine refused a request because its adapter is not loaded: the engine gets no requests for
    /// that adapter for a short time.
    pub fn record_cold(&mut self, engine: &EngineName, adapter: &AdapterId, now: Instant) {
        let state = self.engine_mut(engine);
        state.cold_until.retain(|_, until| now < *until);
        state.cold_until.insert(adapter.clone(), now + COLD_BACKOFF);
    }

    /// Records that the engine sent its first output. It caches the prompt's blocks now, and events for them are
    /// expected.
    pub fn record_cached(&mut self, engine: &EngineName, names: &[BlockHash], now: Instant) {
        let index = SourceIndex(self.engine_mut(engine).index);
        self.history.record(index, names);
        let Some(last_name) = names.last().copied().filter(|name| !self.tree.contains(index, *name)) else { return };
        self.engine_mut(engine).expected_blocks.entry(last_name).or_insert(now);
    }

    /// Counts an attempt that was sent to an engine.
    pub fn begin_attempt(&mut self, engine: &EngineName, blocks: BlockCount) {
        self.average_blocks += (blocks.0 as f64 - self.average_blocks) * AVERAGE_WEIGHT;
        let state = self.engine_mut(engine);
        state.own_blocks += blocks.0;
        state.own_attempts += 1;
    }

    /// Stops counting an attempt that ended.
    pub fn end_attempt(&mut self, engine: &EngineName, blocks: BlockCount) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.own_blocks = state.own_blocks.saturating_sub(blocks.0);
        state.own_attempts = state.own_attempts.saturating_sub(1);
    }

    /// The number of cached blocks, counted once per source.
    pub fn tree_blocks(&self) -> usize {
        self.tree.block_count()
    }
}
