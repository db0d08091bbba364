//! What a router knows of its engines: kept blocks by their events, its own work on them, and their counts.

use crate::prelude::*;

/// The name under which the store's events are followed; no engine can have it.
pub const STORE_SOURCE: &str = "@store";
const HISTORY_BLOCKS: usize = 8192;
const REST_AFTER_FAULT: Span = Span::millis(700);
const REST_WHEN_COLD: Span = Span::millis(1500);

/// Places prompts: owns what this router knows of each engine, and picks by it.
#[derive(Debug)]
pub struct Picker {
    pub(crate) router: NodeId,
    pub(crate) zone: Zone,
    pub(crate) tree: PrefixIndex,
    pub(crate) history: SentHistory,
    pub(crate) engines: BTreeMap<EngineName, KnownEngine>,
    next_index: u32,
    /// What an attempt's blocks usually are, as a running mean.
    pub(crate) usual_blocks: f64,
}

impl Picker {
    /// A picker that knows of no engine yet.
    pub fn new(router: NodeId, zone: Zone) -> Picker {
        Picker {
            router,
            zone,
            tree: PrefixIndex::default(),
            history: SentHistory::new(HISTORY_BLOCKS),
            engines: BTreeMap::new(),
            next_index: 0,
            usual_blocks: 32.0,
        }
    }

    fn engine(&mut self, engine: &EngineName) -> &mut KnownEngine {
        let next_index = &mut self.next_index;
        self.engines.entry(engine.clone()).or_insert_with(|| {
            *next_index += 1;
            KnownEngine { index: *next_index, ..KnownEngine::default() }
        })
    }

    /// Engines no longer listed are forgotten, with all that was known of them.
    pub fn keep_only(&mut self, sight: &FleetSight) {
        let stays = |engine: &EngineName| match engine.as_str() {
            STORE_SOURCE => sight.state.desired.store.is_some(),
            _ => sight.state.listing.engines.contains_key(engine),
        };
        let gone_engines: Vec<EngineName> = self.engines.keys().filter(|engine| !stays(engine)).cloned().collect();
        for engine in gone_engines {
            if let Some(known) = self.engines.remove(&engine) {
                self.tree.drop_source(SourceIndex(known.index));
                self.history.drop_source(SourceIndex(known.index));
            }
        }
    }

    pub(crate) fn index_of(&self, engine: &EngineName) -> Option<SourceIndex> {
        self.engines.get(engine).map(|known| SourceIndex(known.index))
    }

    /// The place from which an engine's events are to be asked; nothing if its snapshot is needed.
    pub fn place_of(&mut self, engine: &EngineName) -> Option<EventCursor> {
        self.engine(engine).place.clone()
    }

    /// Takes the whole list of an engine's kept blocks, and where its events go on.
    pub fn take_snapshot(
        &mut self,
        engine: &EngineName,
        boot: &str,
        next_number: u64,
        names: Vec<BlockHash>,
        asked: Instant,
    ) {
        let known = self.engine(engine);
        known.place = Some(EventCursor { boot: boot.to_owned(), next_number });
        known.heard = asked;
        known.awaited.clear();
        let index = SourceIndex(known.index);
        self.tree.drop_source(index);
        self.tree.apply(index, &CacheEvent::Stored(names));
    }

    /// Takes a batch of events; answers whether the source is still followed. On a gap or another
    /// boot, what it told is dropped.
    pub fn take_events(
        &mut self,
        engine: &EngineName,
        boot: &str,
        first: u64,
        batch: &[CacheEvent],
        asked: Instant,
    ) -> bool {
        let known = self.engine(engine);
        let index = SourceIndex(known.index);
        let Some(place) = known.place.as_mut() else { return false };
        let boot_changed = place.boot != boot;
        let Some(new_events) = place.accept_batch(boot, first, batch) else {
            known.place = None;
            known.awaited.clear();
            self.tree.drop_source(index);
            if boot_changed {
                self.history.drop_source(index);
            }
            return false;
        };
        known.heard = known.heard.max(asked);
        for event in new_events {
            if let CacheEvent::Stored(names) = event {
                for name in names {
                    known.awaited.remove(name);
                }
            }
        }
        for event in new_events {
            self.tree.apply(index, event);
        }
        true
    }

    /// Takes an engine's own count of running requests.
    pub fn take_count(&mut self, engine: &EngineName, running: u64, asked: Instant) {
        self.engine(engine).counted = Some((running, asked));
    }

    /// An engine that could not be reached rests for a moment.
    pub fn note_fault(&mut self, engine: &EngineName, now: Instant) {
        self.engine(engine).rest_until = now + REST_AFTER_FAULT;
    }

    /// An engine refused a request for want of its adapter: it gets none for that adapter for a moment, by
    /// when the conductor knows.
    pub fn note_cold(&mut self, engine: &EngineName, adapter: &AdapterId, now: Instant) {
        let known = self.engine(engine);
        known.cold_until.retain(|_, until| now < *until);
        known.cold_until.insert(adapter.clone(), now + REST_WHEN_COLD);
    }

    /// The first piece came: the prompt's blocks are kept there now, and events should soon say so.
    pub fn note_kept(&mut self, engine: &EngineName, names: &[BlockHash], now: Instant) {
        let index = SourceIndex(self.engine(engine).index);
        self.history.record(index, names);
        let Some(last_name) = names.last().copied().filter(|name| !self.tree.contains(index, *name)) else { return };
        self.engine(engine).awaited.entry(last_name).or_insert(now);
    }

    /// An attempt has been given to an engine.
    pub fn begin_attempt(&mut self, engine: &EngineName, blocks: BlockCount) {
        self.usual_blocks += (blocks.0 as f64 - self.usual_blocks) * 0.05;
        let known = self.engine(engine);
        known.own_blocks += blocks.0;
        known.own_attempts += 1;
    }

    /// An attempt is over.
    pub fn end_attempt(&mut self, engine: &EngineName, blocks: BlockCount) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        known.own_blocks = known.own_blocks.saturating_sub(blocks.0);
        known.own_attempts = known.own_attempts.saturating_sub(1);
    }

    /// Blocks known of, each counted once for a source.
    pub fn tree_blocks(&self) -> usize {
        self.tree.block_count()
    }
}
