//! Stand-in for the platform's listing of engines: a numbered JSON list that the fleet's operator, or a test, changes
//! over HTTP. The numbers begin anew at each start of the process; `boot` tells one start from another.

mod prelude;

use crate::prelude::*;

const MAX_ENGINE_BODY_BYTES: usize = 1 << 16;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "platform",
    about: "Stand-in for the platform's listing of engines.",
    settings: &[setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "the address to listen on"), LOG_LEVEL],
};

struct PlatformServer {
    listing: Mutex<PlatformListing>,
}

impl PlatformServer {
    fn listing(&self) -> std::sync::MutexGuard<'_, PlatformListing> {
        self.listing.lock().expect("no holder of this lock panics")
    }

    async fn route(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let (method, segments) = request.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "engines"]) => {
                let listing = self.listing().clone();
                let tag = format!("\"{}-{}\"", listing.boot, listing.number);
                if request.header("if-none-match") == Some(tag.as_str()) {
                    return bytes_response(StatusCode::NOT_MODIFIED, "application/json", "")
                        .with_header("etag", &tag);
                }
                json_response(StatusCode::OK, &json!(listing)).with_header("etag", &tag)
            }
            ("PUT", ["v1", "engines", name]) => {
                let name = (*name).to_owned();
                let body = request.read_body(MAX_ENGINE_BODY_BYTES).await.unwrap_or_default();
                let Ok(engine) = serde_json::from_slice::<PlatformEngine>(&body) else {
                    return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not an engine entry");
                };
                if engine.name != name {
                    return error_response(
                        StatusCode::BAD_REQUEST,
                        "bad_request",
                        "the name in the body differs from the name in the path",
                    );
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

impl RequestHandler for PlatformServer {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.route(request))
    }
}

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| {
        let listing = PlatformListing { boot: Incarnation::random().to_string(), number: 1, engines: Vec::new() };
        serve_standin(&PROGRAM, &settings, Arc::new(PlatformServer { listing: Mutex::new(listing) }))
    })
}
