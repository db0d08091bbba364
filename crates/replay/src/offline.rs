//! Offline replay: repeats every recorded pick from the candidates and scores in the recording, with the recorded
//! weights or another policy. The same policy must choose the same engine.

use crate::prelude::*;

/// Recorded and replayed picks, compared.
#[derive(Debug, Default)]
pub struct Comparison {
    pub picks: u64,
    pub same: u64,
    pub differences: Vec<String>,
    pub recorded: PlacementTotals,
    pub replayed: PlacementTotals,
}

/// Totals over the engines that were picked.
#[derive(Debug, Default)]
pub struct PlacementTotals {
    prompt_blocks: u64,
    prefill_blocks: u64,
    decode_blocks: u64,
    engines: BTreeMap<String, u64>,
}

impl PlacementTotals {
    fn add(&mut self, run: &RecordedRun, score: &RecordedScore) {
        self.prompt_blocks += run.prompt_blocks;
        self.prefill_blocks += score.prefill_blocks;
        self.decode_blocks += score.decode_blocks;
        *self.engines.entry(score.engine.clone()).or_default() += 1;
    }

    pub fn summary(&self, picks: u64) -> String {
        let busiest = self.engines.values().max().copied().unwrap_or(0);
        format!(
            "reused {:.1} % of blocks, {:.1} blocks in work where placed, busiest engine {:.1} % of picks, {} engines",
            100.0 * (1.0 - self.prefill_blocks as f64 / self.prompt_blocks.max(1) as f64),
            self.decode_blocks as f64 / picks.max(1) as f64,
            100.0 * busiest as f64 / picks.max(1) as f64,
            self.engines.len()
        )
    }
}

/// Reads a policy from a file and compiles it for the recorded tenants and kinds.
pub fn read_policy(path: &str, days: &[RecordedDay]) -> Result<WeightTable, Report> {
    let text = std::fs::read_to_string(path).map_err(|fault| miette!("{path}: {fault}"))?;
    let policy_value = parse_bounded(&text, DOCUMENT_BOUNDS).map_err(|complaint| miette!("{path}: {complaint}"))?;
    let runs = || days.iter().flat_map(|day| &day.runs);
    let tenants: BTreeSet<String> = runs().map(|run| run.tenant.clone()).collect();
    let kinds: BTreeSet<String> = runs().map(|run| run.kind.clone()).collect();
    let object = |members: Vec<(String, JsonValue)>| JsonValue::Object(members.into_iter().collect());
    let document = object(vec![
        ("policies".into(), object(vec![("replayed".into(), policy_value)])),
        ("tenants".into(), object(tenants.iter().map(|tenant| (tenant.clone(), object(Vec::new()))).collect())),
        ("kinds".into(), JsonValue::Array(kinds.iter().cloned().map(JsonValue::String).collect())),
    ]);
    let desired = read_document(&document).map_err(|complaints| {
        let listed: Vec<String> = complaints.iter().map(ToString::to_string).collect();
        miette!("{path}: {}", listed.join("; "))
    })?;
    let policy: &Policy = desired.policies.get("replayed").ok_or_else(|| miette!("{path}: no policy"))?;
    let tenants: Vec<TenantName> = tenants.into_iter().map(TenantName).collect();
    Ok(policy.compile(&tenants, &desired.kinds))
}

/// Repeats every recorded pick and compares the chosen engines.
pub fn compare(days: &[RecordedDay], table: Option<&WeightTable>) -> Comparison {
    let mut comparison = Comparison::default();
    for day in days {
        let router: NodeId = day.header.router.parse().unwrap_or_default();
        for run in &day.runs {
            let Some(pick) = &run.pick else { continue };
            let Some(recorded) = pick.candidates.iter().find(|score| score.engine == pick.chosen) else { continue };
            let Some(replayed) = pick_again(router, run, pick, table) else { continue };
            comparison.picks += 1;
            comparison.recorded.add(run, recorded);
            comparison.replayed.add(run, replayed);
            if replayed.engine == recorded.engine {
                comparison.same += 1;
            } else {
                comparison.differences.push(explain(run, recorded, replayed, table));
            }
        }
    }
    comparison
}

/// The cost of a candidate under another policy; the recorded cost without one, or if the engine only decodes.
fn new_cost(run: &RecordedRun, score: &RecordedScore, table: Option<&WeightTable>) -> f64 {
    let Some(table) = table.filter(|_| !score.decodes) else { return score.cost };
    let band = LoadBand::of(BlockCount(score.decode_blocks));
    let weight = table.weight(&TenantName(run.tenant.clone()), &run.kind, band);
    cost(weight, BlockCount(score.prefill_blocks), BlockCount(score.decode_blocks)) + score.distance_blocks as f64
}

/// Picks the cheapest candidate, with the router's own order of ties.
fn pick_again<'a>(
    router: NodeId,
    run: &RecordedRun,
    pick: &'a RecordedPick,
    table: Option<&WeightTable>,
) -> Option<&'a RecordedScore> {
    let tie_name: BlockHash = pick.tie_name.parse().unwrap_or(BlockHash(0));
    let tie_break = |score: &RecordedScore| spread_of(tie_name, router, &EngineName(score.engine.clone()));
    pick.candidates.iter().min_by(|left, right| {
        new_cost(run, left, table)
            .total_cmp(&new_cost(run, right, table))
            .then_with(|| left.is_far.cmp(&right.is_far))
            .then_with(|| tie_break(left).cmp(&tie_break(right)))
    })
}

fn explain(
    run: &RecordedRun,
    recorded: &RecordedScore,
    replayed: &RecordedScore,
    table: Option<&WeightTable>,
) -> String {
    let (old_cost, other_cost) = (new_cost(run, recorded, table), new_cost(run, replayed, table));
    let why = match table {
        Some(_) if old_cost > other_cost => "the other policy's weights",
        Some(_) => "equal costs under the other policy; the tie went by its hash",
        None => "NOT explained: the recorded engine was not the cheapest",
    };
    format!(
        "run {} kind {}: {} (cost {old_cost:.1}) became {} (cost {other_cost:.1}): {why}",
        run.run, run.kind, recorded.engine, replayed.engine
    )
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_same_policy_picks_the_same_engine_and_another_is_explained() {
        let score = |engine: &str, prefill_blocks: u64, decode_blocks: u64| RecordedScore {
            engine: engine.into(),
            prefill_blocks,
            decode_blocks,
            weight: 1.0,
            cost: prefill_blocks as f64 + decode_blocks as f64,
            by_events: true,
            decodes: false,
            is_far: false,
            distance_blocks: 0,
        };
        let pick = RecordedPick {
            policy: "default".into(),
            chosen: "idle".into(),
            default_engine: "idle".into(),
            weights: 1,
            tie_name: "00000000000000aa".into(),
            candidates: vec![score("idle", 100, 40), score("busy", 10, 300)],
        };
        let run = RecordedRun {
            at: 0,
            began: 0,
            run: "r.1".into(),
            tenant: "t".into(),
            kind: "k".into(),
            model: "m".into(),
            block_hashes: vec!["00000000000000aa".into()],
            prompt_blocks: 100,
            max_tokens: 1,
            streams: true,
            repeatable: false,
            pick: Some(pick),
            outcome: "whole".into(),
            first_ms: Some(1),
            total_ms: 1,
        };
        let header = recording::prelude::DayHeader { format: 1, router: "00000000000000bb".into() };
        let days = [RecordedDay { header, runs: vec![run], truncated_line: None }];
        let same = compare(&days, None);
        assert_eq!((same.picks, same.same), (1, 1));
        let reuse_policy = Policy { weight: 4.0, rules: Vec::new() };
        let table = reuse_policy.compile(&["t".into()], &["k".into()]);
        let other = compare(&days, Some(&table));
        assert_eq!((other.same, other.differences.len()), (0, 1));
        assert!(other.differences[0].contains("the other policy's weights"), "{}", other.differences[0]);
    }
}
