//! The pick itself.

use crate::prelude::*;

/// The name under which the store's events are followed; no engine can have it.
pub const STORE_SOURCE: &str = "@store";
const HISTORY_BLOCKS: usize = 8192;
const COUNT_SPAN: Span = Span::seconds(3);
const REST_AFTER_FAULT: Span = Span::millis(700);
const REST_WHEN_COLD: Span = Span::millis(1500);
const AWAIT_FACTOR: u64 = 10;

/// A prompt to be placed.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub tenant: TenantName,
    pub kind: String,
    pub model: ModelName,
    /// The adapter it runs on, alone; none for the bare model.
    pub adapter: Option<AdapterId>,
    /// Its block names, under the salt of each edition in use.
    pub names: BTreeMap<WeightsEdition, Vec<BlockHash>>,
    pub blocks: BlockCount,
    pub outcome_blocks: BlockCount,
    /// From 0 to 99, by which requests of a tenant on trial are told apart.
    pub lot: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
}

/// One candidate's score, with all that went into it.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    pub engine: EngineName,
    pub role: Role,
    pub weights: WeightsEdition,
    pub prefill_blocks: BlockCount,
    pub decode_blocks: BlockCount,
    pub weight: f64,
    pub cost: f64,
    /// Whether the overlap came from events (or else from our own history).
    pub by_events: bool,
    /// Could not be reached a moment ago; chosen only if every candidate is such.
    pub is_resting: bool,
    /// Decodes in another zone than ours, or stands in another zone with the adapter asked for, which loses
    /// ties.
    pub is_far: bool,
    /// What is added to the cost for standing in another region than ours, in blocks.
    pub distance_blocks: u64,
}

#[derive(Clone, Debug)]
pub struct Placement {
    pub chosen: Score,
    pub address: String,
    pub candidates: Vec<Score>,
    /// What the default policy would have chosen.
    pub default_engine: EngineName,
    /// What the chosen engine costs more than that one, by the default's weights.
    pub default_excess: f64,
    pub policy: String,
    /// Where the chosen engine gets blocks it lacks; the rest it prefills.
    pub fetches: Vec<FetchRun>,
    /// In a split pool: the engine that prefills before the chosen one decodes.
    pub prefill: Option<PrefillPlace>,
    /// The block name by which ties were spread.
    pub tie_name: BlockHash,
}

/// Where a prompt is prefilled in a split pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillPlace {
    pub engine: EngineName,
    pub address: String,
}

#[derive(Debug, Default)]
struct EngineSight {
    index: u32,
    place: Option<SourcePlace>,
    /// When a poll that was answered was asked.
    heard: Instant,
    /// Blocks whose storing was to be told, and since when.
    awaited: HashMap<BlockHash, Instant>,
    own_blocks: u64,
    own_shots: u64,
    /// The engine's own coarse count of running requests, and when it was asked.
    counted: Option<(u64, Instant)>,
    rest_until: Instant,
    /// Adapters that the engine said it does not hold, though the fleet state says so, and until when that is
    /// gone by.
    cold_until: BTreeMap<AdapterId, Instant>,
}

#[derive(Debug)]
pub struct Picker {
    router: NodeId,
    zone: Zone,
    pub(crate) tree: PrefixTree,
    history: SentHistory,
    engines: BTreeMap<EngineName, EngineSight>,
    next_index: u32,
    usual_blocks: f64,
}

impl Picker {
    pub fn new(router: NodeId, zone: Zone) -> Picker {
        Picker {
            router,
            zone,
            tree: PrefixTree::default(),
            history: SentHistory::new(HISTORY_BLOCKS),
            engines: BTreeMap::new(),
            next_index: 0,
            usual_blocks: 32.0,
        }
    }

    fn engine(&mut self, engine: &EngineName) -> &mut EngineSight {
        let next_index = &mut self.next_index;
        self.engines.entry(engine.clone()).or_insert_with(|| {
            *next_index += 1;
            EngineSight { index: *next_index, ..EngineSight::default() }
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
    pub fn place_of(&mut self, engine: &EngineName) -> Option<SourcePlace> {
        self.engine(engine).place.clone()
    }

    pub fn take_snapshot(
        &mut self,
        engine: &EngineName,
        boot: &str,
        next_number: u64,
        names: Vec<BlockHash>,
        asked: Instant,
    ) {
        let known = self.engine(engine);
        known.place = Some(SourcePlace { boot: boot.to_owned(), next_number });
        known.heard = asked;
        known.awaited.clear();
        let index = SourceIndex(known.index);
        self.tree.drop_source(index);
        self.tree.apply(index, &KeptEvent::Stored(names));
    }

    /// Takes a batch of events; answers whether the source is still followed. On a gap or another
    /// boot, what it told is dropped.
    pub fn take_events(
        &mut self,
        engine: &EngineName,
        boot: &str,
        first: u64,
        batch: &[KeptEvent],
        asked: Instant,
    ) -> bool {
        let known = self.engine(engine);
        let index = SourceIndex(known.index);
        let Some(place) = known.place.as_mut() else { return false };
        let boot_changed = place.boot != boot;
        let Some(new_events) = place.follow(boot, first, batch) else {
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
            if let KeptEvent::Stored(names) = event {
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
        let Some(last_name) = names.last().copied().filter(|name| !self.tree.keeps(index, *name)) else { return };
        self.engine(engine).awaited.entry(last_name).or_insert(now);
    }

    pub fn begin_shot(&mut self, engine: &EngineName, blocks: BlockCount) {
        self.usual_blocks += (blocks.0 as f64 - self.usual_blocks) * 0.05;
        let known = self.engine(engine);
        known.own_blocks += blocks.0;
        known.own_shots += 1;
    }

    pub fn end_shot(&mut self, engine: &EngineName, blocks: BlockCount) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        known.own_blocks = known.own_blocks.saturating_sub(blocks.0);
        known.own_shots = known.own_shots.saturating_sub(1);
    }

    /// Blocks the engine works on: our own, and a share for what others run there.
    fn decode_blocks(&self, known: &EngineSight, now: Instant) -> BlockCount {
        let foreign_count = known
            .counted
            .filter(|(_, asked)| now.since(*asked) < COUNT_SPAN)
            .map_or(0, |(running, _)| running.saturating_sub(known.own_shots));
        BlockCount(known.own_blocks + (foreign_count as f64 * self.usual_blocks) as u64)
    }

    /// Events are late when no poll was answered, or when a storing we know of was not told in time.
    fn events_are_late(known: &EngineSight, late_after: Span, now: Instant) -> bool {
        let forgotten_after = late_after.times(AWAIT_FACTOR);
        known.place.is_none()
            || now.since(known.heard) >= late_after
            || known.awaited.values().any(|since| {
                let waited = now.since(*since);
                waited >= late_after && waited < forgotten_after
            })
    }

    pub fn tree_blocks(&self) -> usize {
        self.tree.block_count()
    }

    /// The lowest-cost engine among those that pass; nothing if none does. In a split pool the engine
    /// that prefills is picked by overlap, and the one that decodes by blocks in use and added.
    pub fn pick(&mut self, sight: &FleetSight, prompt: &Prompt, now: Instant) -> Option<Placement> {
        let is_drawn = prompt.lot < sight.state.desired.routing.trial_percent;
        let (policy, table) = match sight.trial_tables.get(&prompt.tenant).filter(|_| is_drawn) {
            Some((name, table)) => (name.clone(), table),
            None => (DEFAULT_POLICY.to_owned(), &sight.default_table),
        };
        let scores = self.score(sight, prompt, table, now);
        let (mut candidates, prefillers): (Vec<Score>, Vec<Score>) =
            scores.into_iter().partition(|score| score.role != Role::Prefill);
        let chosen = self.cheapest(&candidates, prompt)?.clone();
        let (default_engine, default_excess) = if policy == DEFAULT_POLICY {
            (chosen.engine.clone(), 0.0)
        } else {
            let default_scores = self.score(sight, prompt, &sight.default_table, now);
            let default_candidates: Vec<Score> =
                default_scores.into_iter().filter(|score| score.role != Role::Prefill).collect();
            let default_chosen = self.cheapest(&default_candidates, prompt)?;
            let own_cost = default_candidates.iter().find(|score| score.engine == chosen.engine)?.cost;
            (default_chosen.engine.clone(), own_cost - default_chosen.cost)
        };
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let address = sight.state.listing.engines.get(&chosen.engine)?.address.clone();
        let names = prompt.names.get(&chosen.weights).map(Vec::as_slice).unwrap_or_default();
        let mut placement = Placement {
            chosen: chosen.clone(),
            address,
            candidates,
            default_engine,
            default_excess,
            policy,
            fetches: Vec::new(),
            prefill: None,
            tie_name: tie_name(prompt),
        };
        if chosen.role != Role::Decode {
            placement.fetches = self.plan_fetch(sight, names, &chosen);
            return Some(placement);
        }
        let same_weights: Vec<Score> =
            prefillers.into_iter().filter(|score| score.weights == chosen.weights).collect();
        let prefiller = self.cheapest(&same_weights, prompt).cloned();
        if let Some(prefiller) = prefiller
            && let Some(listed) = sight.state.listing.engines.get(&prefiller.engine)
        {
            let address = listed.address.clone();
            let from = FetchFrom::Peer(prefiller.engine.clone());
            placement.fetches = vec![FetchRun { from, address: address.clone(), names: names.to_vec() }];
            placement.prefill = Some(PrefillPlace { engine: prefiller.engine, address });
        }
        Some(placement)
    }

    fn score(&self, sight: &FleetSight, prompt: &Prompt, table: &Table, now: Instant) -> Vec<Score> {
        let routing = &sight.state.desired.routing;
        let overlaps: BTreeMap<WeightsEdition, HashMap<SourceIndex, BlockCount>> = prompt
            .names
            .iter()
            .map(|(edition, names)| (*edition, self.tree.overlaps(names).into_iter().collect()))
            .collect();
        let has_regions = !sight.state.desired.zones.is_empty();
        let own_region = sight.state.desired.region_of(&self.zone);
        let mut scores = Vec::new();
        for (engine, listed) in &sight.state.listing.engines {
            let passes = listed.model == prompt.model && !prompt.tried.contains(engine);
            let Some(weights) = sight.usable_weights(engine, now).filter(|_| passes) else { continue };
            let Some(names) = prompt.names.get(&weights) else { continue };
            let unknown_engine = EngineSight::default();
            let known = self.engines.get(engine).unwrap_or(&unknown_engine);
            if !holds_adapter(sight, engine, known, prompt.adapter.as_ref(), now) {
                continue;
            }
            let is_resting = now < known.rest_until;
            let index = SourceIndex(known.index);
            let by_events =
                routing.sight == Sight::Events && !Picker::events_are_late(known, routing.events_late, now);
            let overlap = match routing.sight {
                Sight::OccupancyOnly => BlockCount(0),
                _ if listed.role == Role::Decode => BlockCount(0),
                _ if by_events => overlaps[&weights].get(&index).copied().unwrap_or_default(),
                _ => self.history.overlap(index, names),
            };
            let decode_blocks = self.decode_blocks(known, now);
            let prefill_blocks = BlockCount(prompt.blocks.0 - overlap.0.min(prompt.blocks.0));
            let weight = table.weight(&prompt.tenant, &prompt.kind, Band::of(decode_blocks));
            let is_other_region = has_regions && sight.state.desired.region_of(&listed.zone) != own_region;
            let distance_blocks = if is_other_region { routing.other_region_blocks } else { 0 };
            let cost = match listed.role {
                Role::Decode => (decode_blocks.0 + prompt.blocks.0 + prompt.outcome_blocks.0) as f64,
                _ => cost(weight, prefill_blocks, decode_blocks),
            };
            let cost = cost + distance_blocks as f64;
            let prefers_zone = listed.role == Role::Decode || prompt.adapter.is_some();
            scores.push(Score {
                role: listed.role,
                engine: engine.clone(),
                weights,
                prefill_blocks,
                decode_blocks,
                weight,
                cost,
                by_events,
                is_resting,
                is_far: prefers_zone && listed.zone != self.zone,
                distance_blocks,
            });
        }
        if scores.iter().any(|score| !score.is_resting) {
            scores.retain(|score| !score.is_resting);
        }
        scores
    }

    /// Equal costs go to our own zone if the engine decodes, and else by a hash of prefix, router and
    /// engine, so that routers do not all choose alike.
    fn cheapest<'a>(&self, scores: &'a [Score], prompt: &Prompt) -> Option<&'a Score> {
        let prefix = tie_name(prompt);
        let spread = |score: &Score| spread_of(prefix, self.router, &score.engine);
        scores.iter().min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| left.is_far.cmp(&right.is_far))
                .then_with(|| spread(left).cmp(&spread(right)))
        })
    }
}

/// Whether an engine may get a prompt for the sake of its adapter: a prompt that runs on one goes only where
/// exactly that is warm.
fn holds_adapter(
    sight: &FleetSight,
    engine: &EngineName,
    known: &EngineSight,
    adapter: Option<&AdapterId>,
    now: Instant,
) -> bool {
    let Some(adapter) = adapter else { return true };
    let is_cold = known.cold_until.get(adapter).is_some_and(|until| now < *until);
    sight.state.adapters.is_warm(engine, adapter) && !is_cold
}

/// The prompt's first name under the lowest edition in use, by which ties are spread.
fn tie_name(prompt: &Prompt) -> BlockHash {
    prompt.names.values().next().and_then(|names| names.first()).copied().unwrap_or(BlockHash(0))
}

/// The order among equal costs.
pub fn spread_of(prefix: BlockHash, router: NodeId, engine: &EngineName) -> BlockHash {
    BlockHash::over(&[&prefix.0.to_le_bytes(), &router.0.to_le_bytes(), engine.as_str().as_bytes()])
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use blocks::prelude::{Salt, cut};
    use desired::prelude::{AdapterCopy, Command, CopyStage, ListedEngine, Listing, Settled, Standing, Submission};

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
            let standing = Standing { confirmed: Some((WeightsEdition(1), "x".into())), closed: false };
            state.standings.insert((*name).into(), standing);
        }
        FleetSight::default().following(state, None, NOW)
    }

    fn prompt(text: &str) -> Prompt {
        let salt = Salt::of(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0));
        let names = cut(&salt, text.as_bytes());
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
                picker.begin_shot(&engine.into(), BlockCount(busy_blocks));
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
        let stored = KeptEvent::Stored(names.clone());
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
        assert_eq!(
            moved_again.usable_weights(&engine, past),
            None,
            "a further move does not prolong the old edition"
        );
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
            picker.begin_shot(&"peer".into(), BlockCount(500));
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
        picker.begin_shot(&"near".into(), BlockCount(1));
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
        picker.begin_shot(&"near".into(), BlockCount(500));
        assert_eq!(chosen(&mut picker, &adapted), Some("far".into()), "a farther one that is idle");
        picker.note_cold(&"far".into(), &AdapterId::new("x", 2), NOW);
        assert_eq!(chosen(&mut picker, &adapted), Some("near".into()), "the far one said it does not hold it");
        let both = Prompt { tried: vec!["near".into()], ..adapted.clone() };
        assert_eq!(chosen(&mut picker, &both), None, "never the bare model, another revision or a cold engine");
        assert!(chosen(&mut picker, &prompt("bare")).is_some());
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
                    picker.begin_shot(&EngineName(format!("e{number}")), BlockCount(busy_blocks));
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
}
