//! The `replay` tool: checks recorded days, repeats their placement decisions offline, or replays them against a
//! fleet.

mod command_line;
mod live;
mod offline;
mod prelude;

use crate::prelude::*;

fn main() -> ExitCode {
    let arguments = match read_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("replay: {report}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("replay: {report}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Report> {
    let mut days = Vec::new();
    for path in &arguments.files {
        let bytes = std::fs::read(path).map_err(|fault| miette!("{path}: {fault}"))?;
        let text = String::from_utf8(bytes).map_err(|_| miette!("{path}: not UTF-8"))?;
        let day = read_day(&text, arguments.allows_truncated).map_err(|reason| miette!("{path}: {reason}"))?;
        if let Some(line) = day.truncated_line {
            println!("{path}: line {line} is truncated and was left out");
        }
        println!("{path}: router {}, {} runs", day.header.router, day.runs.len());
        days.push(day);
    }
    match arguments.command.as_str() {
        "offline" => place_offline(arguments, &days),
        "play" => play_live(arguments, days),
        _ => {
            let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
            for run in days.iter().flat_map(|day| &day.runs) {
                *outcomes.entry(run.outcome.as_str()).or_default() += 1;
            }
            let listed: Vec<String> = outcomes.iter().map(|(outcome, count)| format!("{outcome}={count}")).collect();
            println!("outcomes: {}", listed.join(" "));
            Ok(())
        }
    }
}

fn place_offline(arguments: &Arguments, days: &[RecordedDay]) -> Result<(), Report> {
    let table = arguments.policy.as_ref().map(|path| read_policy(path, days)).transpose()?;
    let comparison = compare(days, table.as_ref());
    println!("picks {} same {} different {}", comparison.picks, comparison.same, comparison.differences.len());
    println!("recorded: {}", comparison.recorded.summary(comparison.picks));
    println!("replayed: {}", comparison.replayed.summary(comparison.picks));
    for difference in comparison.differences.iter().take(20) {
        println!("  {difference}");
    }
    let unexplained = comparison.differences.iter().filter(|difference| difference.contains("NOT explained")).count();
    if unexplained > 0 {
        return Err(miette!("{unexplained} differences are not explained"));
    }
    Ok(())
}

fn play_live(arguments: &Arguments, days: Vec<RecordedDay>) -> Result<(), Report> {
    if arguments.routers.is_empty() {
        return Err(miette!("--routers is missing; see replay --help"));
    }
    let keys_path = arguments.keys.as_ref().ok_or_else(|| miette!("--keys is missing; see replay --help"))?;
    let keys_text = std::fs::read_to_string(keys_path).map_err(|fault| miette!("{keys_path}: {fault}"))?;
    let pairs: Vec<(String, String)> =
        serde_json::from_str(&keys_text).map_err(|fault| miette!("{keys_path}: {fault}"))?;
    let mut runs: Vec<RecordedRun> = days.into_iter().flat_map(|day| day.runs).collect();
    runs.sort_by_key(|run| run.began);
    let recorded_whole = runs.iter().filter(|run| run.outcome == "whole").count();
    let mut recorded_first: Vec<u64> = runs.iter().filter_map(|run| run.first_ms).collect();
    recorded_first.sort();
    let run_count = runs.len();
    let plan = LivePlan {
        routers: arguments.routers.clone(),
        keys: pairs.into_iter().collect(),
        speed: arguments.speed,
        seconds: arguments.seconds,
    };
    let runtime = small_runtime(2).map_err(|fault| miette!("{fault}"))?;
    let totals = runtime.block_on(play(runs, plan));
    let median = |sorted: &[u64]| sorted.get(sorted.len() / 2).copied().unwrap_or(0);
    let p90 = |sorted: &[u64]| sorted.get(sorted.len() * 9 / 10).copied().unwrap_or(0);
    println!(
        "recorded: {run_count} runs, {recorded_whole} whole, first piece {}/{} ms (p50 p90)",
        median(&recorded_first),
        p90(&recorded_first)
    );
    let listed: Vec<String> = totals.outcomes.iter().map(|(outcome, count)| format!("{outcome}={count}")).collect();
    println!(
        "played: {}, first piece {}/{} ms (p50 p90)",
        listed.join(" "),
        median(&totals.first_ms),
        p90(&totals.first_ms)
    );
    Ok(())
}
