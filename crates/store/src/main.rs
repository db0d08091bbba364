//! Stand-in for the prompt store: caches blocks by hash for all engines, reports changes as the same numbered events
//! as an engine, and is empty at each start.

use engine::prelude::*;
use standin::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "store",
    about: "Stand-in for the prompt store.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "the address to listen on"),
        setting("blocks", SettingKind::Integer(16, 1 << 24), Some("65536"), "capacity of the store, in blocks"),
        LOG_LEVEL,
    ],
};

struct StoreServer {
    cache: Mutex<BlockCache>,
    cache_changes: tokio::sync::watch::Sender<u64>,
}

impl RequestHandler for StoreServer {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.route(request))
    }
}

impl StoreServer {
    fn cache(&self) -> std::sync::MutexGuard<'_, BlockCache> {
        self.cache.lock().expect("no holder of this lock panics")
    }

    async fn route(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let (method, segments) = request.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "kept", "events"]) => {
                let number = request.query_value("from").and_then(|text| text.parse().ok()).unwrap_or(1);
                let wait_ms = request.query_value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                drop(request);
                poll_events(&self.cache, &self.cache_changes, || false, number, wait_ms).await
            }
            ("GET", ["v1", "kept", "snapshot"]) => {
                let snapshot = self.cache().snapshot();
                json_response(StatusCode::OK, &json!(snapshot))
            }
            ("GET", ["live"]) => bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("GET", ["metrics"]) => {
                let text = format!("haremount_store_kept_share {:.4}\n", self.cache().fill_ratio());
                bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
            }
            ("POST", ["v1", "blocks"]) => {
                let Some(hashes) = read_block_hashes(&mut request).await else { return bad_block_hashes_response() };
                self.cache().insert(&hashes);
                self.cache_changes.send_modify(|count| *count += 1);
                json_response(StatusCode::OK, &json!(FoundBlocks { found: hashes.len() as u64 }))
            }
            ("POST", ["v1", "kept", "blocks"]) => {
                let Some(hashes) = read_block_hashes(&mut request).await else { return bad_block_hashes_response() };
                let found = self.cache().cached_prefix_len(&hashes) as u64;
                json_response(StatusCode::OK, &json!(FoundBlocks { found }))
            }
            _ => not_found_response(),
        }
    }
}

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| {
        let cache = BlockCache::new(Incarnation::random().to_string(), settings.whole("blocks")? as usize);
        let server = StoreServer { cache: Mutex::new(cache), cache_changes: tokio::sync::watch::channel(0).0 };
        serve_standin(&PROGRAM, &settings, Arc::new(server))
    })
}
