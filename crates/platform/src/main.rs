//! Stand-in for the platform's listing of engines: a numbered JSON list, changed over HTTP by whoever
//! runs the fleet. It numbers its listing anew in each life.

mod prelude;

use crate::prelude::*;

static TRADE: ProgramSpec = ProgramSpec {
    program: "platform",
    about: "Stand-in for the platform's listing of engines.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "where the listing is served"),
        LOG_LEVEL,
    ],
};

struct PlatformSite {
    listing: Mutex<PlatformListing>,
}

impl PlatformSite {
    fn listing(&self) -> std::sync::MutexGuard<'_, PlatformListing> {
        self.listing.lock().expect("no holder of this lock panics")
    }

    async fn enter(self: Arc<Self>, mut asked: IncomingRequest) -> WebResponse {
        let (method, segments) = asked.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "engines"]) => {
                let listing = self.listing().clone();
                let tag = format!("\"{}-{}\"", listing.boot, listing.number);
                if asked.header("if-none-match") == Some(tag.as_str()) {
                    return bytes_response(StatusCode::NOT_MODIFIED, "application/json", "")
                        .with_header("etag", &tag);
                }
                json_response(StatusCode::OK, &json!(listing)).with_header("etag", &tag)
            }
            ("PUT", ["v1", "engines", name]) => {
                let name = (*name).to_owned();
                let body = asked.read_body(1 << 16).await.unwrap_or_default();
                let Ok(engine) = serde_json::from_slice::<PlatformEngine>(&body) else {
                    return error_response(StatusCode::BAD_REQUEST, "bad_request", "no engine");
                };
                if engine.name != name {
                    return error_response(StatusCode::BAD_REQUEST, "bad_request", "name differs from path");
                }
                let mut listing = self.listing();
                listing.engines.retain(|known| known.name != name);
                listing.engines.push(engine);
                listing.number += 1;
                json_response(StatusCode::OK, &json!({"number": listing.number}))
            }
            ("DELETE", ["v1", "engines", name]) => {
                let mut listing = self.listing();
                listing.engines.retain(|known| known.name != *name);
                listing.number += 1;
                json_response(StatusCode::OK, &json!({"number": listing.number}))
            }
            _ => not_found_response(),
        }
    }
}

impl RequestHandler for PlatformSite {
    fn handle(self: Arc<Self>, asked: IncomingRequest) -> ResponseFuture {
        Box::pin(self.enter(asked))
    }
}

fn main() -> std::process::ExitCode {
    run_program(&TRADE, |settings| {
        let listing = PlatformListing { boot: Incarnation::random().to_string(), number: 1, engines: Vec::new() };
        serve_standin(&TRADE, &settings, Arc::new(PlatformSite { listing: Mutex::new(listing) }))
    })
}
