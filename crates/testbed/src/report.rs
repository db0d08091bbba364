//! The summary of a played day.

use crate::prelude::*;

/// The summary of a played day.
#[derive(Clone, Debug, Default)]
pub struct DayReport {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Time to the first piece in milliseconds by kind of request: p50, p90 and p99.
    pub first_ms: BTreeMap<String, [u64; 3]>,
    /// Share of prompt blocks that engines had cached.
    pub reused_share: f64,
    /// Number of attempts started by engine.
    pub engine_starts: BTreeMap<String, u64>,
    /// Share of retries among all attempts.
    pub retry_share: f64,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0)
}

impl DayReport {
    /// Summarizes a record and checks it against the rules.
    pub fn from_record(record: &Record) -> DayReport {
        let mut report = DayReport { violations: check_record(record), ..DayReport::default() };
        let mut firsts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        let (mut prompt_blocks, mut cached_blocks) = (0, 0);
        for caller in &record.callers {
            *report.outcomes.entry(caller.outcome.clone()).or_default() += 1;
            if let Some(first_ms) = caller.first_ms {
                firsts.entry(caller.kind.clone()).or_default().push(first_ms);
                firsts.entry("all".into()).or_default().push(first_ms);
            }
        }
        for start in record.starts() {
            prompt_blocks += start.prompt_blocks;
            cached_blocks += start.cached_blocks;
            *report.engine_starts.entry(start.engine.clone()).or_default() += 1;
        }
        for (kind, mut millis) in firsts {
            millis.sort();
            report.first_ms.insert(kind, [0.5, 0.9, 0.99].map(|share| quantile(&millis, share)));
        }
        report.reused_share = cached_blocks as f64 / u64::max(prompt_blocks, 1) as f64;
        report.retry_share = record.retries as f64 / u64::max(record.attempts, 1) as f64;
        report
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::from("requests by outcome:");
        for (outcome, count) in &self.outcomes {
            text.push_str(&format!(" {outcome}={count}"));
        }
        text.push_str("\nfirst piece, ms (p50 p90 p99):");
        for (kind, [p50, p90, p99]) in &self.first_ms {
            text.push_str(&format!(" {kind}={p50}/{p90}/{p99}"));
        }
        let counts: Vec<u64> = self.engine_starts.values().copied().collect();
        let mean = counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64;
        text.push_str(&format!(
            "\nreused blocks: {:.1} %\nengine starts: least {} mean {mean:.1} most {}\nfurther attempts: {:.2} %\n",
            self.reused_share * 100.0,
            counts.iter().min().unwrap_or(&0),
            counts.iter().max().unwrap_or(&0),
            self.retry_share * 100.0,
        ));
        if self.violations.is_empty() {
            text.push_str("verdict: clean");
        }
        for violation in self.violations.iter().take(20) {
            text.push_str(&format!("verdict: rule {} broken: {}\n", violation.rule, violation.what));
        }
        text
    }
}
