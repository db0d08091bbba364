//! Stand-in for the prompt store: keeps blocks by name for any engine, tells of them by the same
//! numbered events, and starts empty each time.

use engine::prelude::*;
use standin::prelude::*;

static TRADE: ProgramSpec = ProgramSpec {
    program: "store",
    about: "Stand-in for the prompt store.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "where blocks are put and asked for"),
        setting("blocks", SettingKind::Integer(16, 1 << 24), Some("65536"), "how many blocks it keeps"),
        LOG_LEVEL,
    ],
};

struct StoreSite {
    memory: Mutex<BlockCache>,
    news: tokio::sync::watch::Sender<u64>,
}

impl RequestHandler for StoreSite {
    fn handle(self: Arc<Self>, asked: IncomingRequest) -> ResponseFuture {
        Box::pin(self.enter(asked))
    }
}

impl StoreSite {
    fn memory(&self) -> std::sync::MutexGuard<'_, BlockCache> {
        self.memory.lock().expect("no holder of this lock panics")
    }

    async fn enter(self: Arc<Self>, mut asked: IncomingRequest) -> WebResponse {
        let (method, segments) = asked.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "kept", "events"]) => {
                let number = asked.query_value("from").and_then(|text| text.parse().ok()).unwrap_or(1);
                let wait_ms = asked.query_value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                drop(asked);
                poll_events(&self.memory, &self.news, || false, number, wait_ms).await
            }
            ("GET", ["v1", "kept", "snapshot"]) => {
                let snapshot = self.memory().snapshot();
                json_response(StatusCode::OK, &json!(snapshot))
            }
            ("GET", ["live"]) => bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("GET", ["metrics"]) => {
                let text = format!("haremount_store_kept_share {:.4}\n", self.memory().fill_ratio());
                bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
            }
            ("POST", ["v1", "blocks"]) => {
                let Some(names) = read_block_hashes(&mut asked).await else { return bad_block_hashes_response() };
                self.memory().insert(&names);
                self.news.send_modify(|count| *count += 1);
                json_response(StatusCode::OK, &json!(FoundBlocks { found: names.len() as u64 }))
            }
            ("POST", ["v1", "kept", "blocks"]) => {
                let Some(names) = read_block_hashes(&mut asked).await else { return bad_block_hashes_response() };
                let found = self.memory().cached_prefix_len(&names) as u64;
                json_response(StatusCode::OK, &json!(FoundBlocks { found }))
            }
            _ => not_found_response(),
        }
    }
}

fn main() -> std::process::ExitCode {
    run_program(&TRADE, |settings| {
        let memory = BlockCache::new(Incarnation::random().to_string(), settings.whole("blocks")? as usize);
        let site = StoreSite { memory: Mutex::new(memory), news: tokio::sync::watch::channel(0).0 };
        serve_standin(&TRADE, &settings, Arc::new(site))
    })
}
