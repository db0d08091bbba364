//! Live replay: sends the recorded runs to a fleet at a chosen speed. Recordings hold no text, so each block's text
//! is generated from its hash; prompts then share prefixes exactly where the recorded ones did.

use crate::prelude::*;

const BLOCK_BYTES: usize = 64;
const MAX_CONCURRENT_RUNS: usize = 512;
const RUN_TIMEOUT: Duration = Duration::from_secs(15);

/// Outcomes and times to the first piece of the replayed runs.
#[derive(Debug, Default)]
pub struct LiveTotals {
    pub outcomes: BTreeMap<String, u64>,
    pub first_ms: Vec<u64>,
}

/// Where, with which keys (by tenant) and how fast runs are replayed.
pub struct LivePlan {
    pub routers: Vec<String>,
    pub keys: BTreeMap<String, String>,
    pub speed: u64,
    pub seconds: u64,
}

/// Generates a prompt: a fixed text for each block hash, and a tail for blocks without a recorded hash.
fn generated_prompt(run: &RecordedRun) -> String {
    let mut prompt = String::new();
    for hash in &run.block_hashes {
        let mut block_text = format!("{hash} ").repeat(BLOCK_BYTES / (hash.len() + 1) + 1);
        block_text.truncate(BLOCK_BYTES);
        prompt.push_str(&block_text);
    }
    if prompt.len() < run.prompt_blocks as usize * BLOCK_BYTES {
        prompt.push_str("tail");
    }
    prompt
}

/// Replays the runs with their recorded spacing, divided by the speed; a limited number of them at a time.
pub async fn play(runs: Vec<RecordedRun>, plan: LivePlan) -> LiveTotals {
    let totals = Arc::new(Mutex::new(LiveTotals::default()));
    let plan = Arc::new(plan);
    let first_run_began = runs.first().map_or(0, |run| run.began);
    let began = boot_now();
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_RUNS));
    let mut tasks = tokio::task::JoinSet::new();
    for (index, run) in runs.into_iter().enumerate() {
        let offset = Span::millis(run.began.saturating_sub(first_run_began) / plan.speed);
        if offset >= Span::seconds(plan.seconds) {
            break;
        }
        tokio::time::sleep((began + offset).since(boot_now()).as_duration()).await;
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { break };
        let (plan, totals) = (Arc::clone(&plan), Arc::clone(&totals));
        tasks.spawn(async move {
            let router = plan.routers[index % plan.routers.len()].clone();
            let (outcome, first_ms) = send(&run, &router, &plan).await;
            if let Ok(mut totals) = totals.lock() {
                *totals.outcomes.entry(outcome).or_default() += 1;
                totals.first_ms.extend(first_ms);
            }
            drop(permit);
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut totals = totals.lock().map(|mut totals| std::mem::take(&mut *totals)).unwrap_or_default();
    totals.first_ms.sort();
    totals
}

/// Sends one run; returns its outcome and the time to its first piece in milliseconds.
async fn send(run: &RecordedRun, router: &str, plan: &LivePlan) -> (String, Option<u64>) {
    let Some(key) = plan.keys.get(&run.tenant) else { return ("no_key".into(), None) };
    let body = json!({
        "model": run.model, "prompt": generated_prompt(run), "max_tokens": run.max_tokens, "stream": run.streams,
        "kind": run.kind, "repeatable": run.repeatable,
    });
    let request = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
        .header("authorization", format!("Bearer {key}"));
    let began = boot_now();
    let exchange = async {
        let stream = open_stream(router, Span::seconds(1)).await.map_err(|_| "no_answer")?;
        let mut response = stream.send(request).await.map_err(|_| "no_answer")?;
        if response.status.as_u16() != 200 {
            return Err(if response.status.as_u16() == 503 { "not_run" } else { "refused" });
        }
        let mut first_ms = None;
        loop {
            match response.next_chunk().await {
                Ok(Some(_)) => first_ms = first_ms.or(Some(boot_now().since(began).as_millis())),
                Ok(None) => return Ok(first_ms),
                Err(_) => return Err("cut"),
            }
        }
    };
    match tokio::time::timeout(RUN_TIMEOUT, exchange).await {
        Ok(Ok(first_ms)) => ("whole".into(), first_ms),
        Ok(Err(outcome)) => (outcome.into(), None),
        Err(_) => ("no_answer".into(), None),
    }
}
