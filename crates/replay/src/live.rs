//! Live: the recorded runs are sent again at a chosen speed. A block's text is made up from its name,
//! so prompts share prefixes exactly where the recorded ones did; no text was recorded.

use crate::prelude::*;

const BLOCK_BYTES: usize = 64;
const MOST_AT_ONCE: usize = 512;

#[derive(Debug, Default)]
pub struct LiveSums {
    pub outcomes: BTreeMap<String, u64>,
    pub first_ms: Vec<u64>,
}

pub struct LivePlan {
    pub routers: Vec<String>,
    pub keys: BTreeMap<String, String>,
    pub speed: u64,
    pub seconds: u64,
}

/// Text for a prompt of these blocks, one fixed text for each name, and a tail for what was not named.
fn made_up_prompt(run: &RecordedRun) -> String {
    let mut prompt = String::new();
    for name in &run.block_hashes {
        let mut block_text = format!("{name} ").repeat(BLOCK_BYTES / (name.len() + 1) + 1);
        block_text.truncate(BLOCK_BYTES);
        prompt.push_str(&block_text);
    }
    if prompt.len() < run.prompt_blocks as usize * BLOCK_BYTES {
        prompt.push_str("tail");
    }
    prompt
}

pub async fn play(runs: Vec<RecordedRun>, plan: LivePlan) -> LiveSums {
    let sums = Arc::new(Mutex::new(LiveSums::default()));
    let plan = Arc::new(plan);
    let first_began = runs.first().map_or(0, |run| run.began);
    let began = boot_now();
    let seats = Arc::new(tokio::sync::Semaphore::new(MOST_AT_ONCE));
    let mut playing = tokio::task::JoinSet::new();
    for (place, run) in runs.into_iter().enumerate() {
        let offset = Span::millis(run.began.saturating_sub(first_began) / plan.speed);
        if offset >= Span::seconds(plan.seconds) {
            break;
        }
        tokio::time::sleep((began + offset).since(boot_now()).as_duration()).await;
        let Ok(seat) = Arc::clone(&seats).acquire_owned().await else { break };
        let (plan, sums) = (Arc::clone(&plan), Arc::clone(&sums));
        playing.spawn(async move {
            let router = plan.routers[place % plan.routers.len()].clone();
            let (outcome, first_ms) = ask(&run, &router, &plan).await;
            if let Ok(mut sums) = sums.lock() {
                *sums.outcomes.entry(outcome).or_default() += 1;
                sums.first_ms.extend(first_ms);
            }
            drop(seat);
        });
    }
    while playing.join_next().await.is_some() {}
    let mut sums = sums.lock().map(|mut sums| std::mem::take(&mut *sums)).unwrap_or_default();
    sums.first_ms.sort();
    sums
}

async fn ask(run: &RecordedRun, router: &str, plan: &LivePlan) -> (String, Option<u64>) {
    let Some(key) = plan.keys.get(&run.tenant) else { return ("no_key".into(), None) };
    let body = json!({
        "model": run.model, "prompt": made_up_prompt(run), "max_tokens": run.max_tokens, "stream": run.streams,
        "kind": run.kind, "repeatable": run.repeatable,
    });
    let question = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
        .header("authorization", format!("Bearer {key}"));
    let began = boot_now();
    let whole_call = async {
        let stream = open_stream(router, Span::seconds(1)).await.map_err(|_| "no_answer")?;
        let mut replied = stream.send(question).await.map_err(|_| "no_answer")?;
        if replied.status.as_u16() != 200 {
            return Err(if replied.status.as_u16() == 503 { "not_run" } else { "refused" });
        }
        let mut first_ms = None;
        loop {
            match replied.next_chunk().await {
                Ok(Some(_)) => first_ms = first_ms.or(Some(boot_now().since(began).as_millis())),
                Ok(None) => return Ok(first_ms),
                Err(_) => return Err("cut"),
            }
        }
    };
    match tokio::time::timeout(Duration::from_secs(15), whole_call).await {
        Ok(Ok(first_ms)) => ("whole".into(), first_ms),
        Ok(Err(outcome)) => (outcome.into(), None),
        Err(_) => ("no_answer".into(), None),
    }
}
