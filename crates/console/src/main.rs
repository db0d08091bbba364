//! The operators' command line. It asks one of the doors it was given and says what came of it; a
//! submission carries a request id, so that asking a second door can never do a thing twice.

mod comparing;
mod prelude;
mod words;

use crate::prelude::*;

const EXIT_UNKNOWN: u8 = 3;

fn main() -> ExitCode {
    let words = match read_words() {
        Ok(Read::Words(words)) => words,
        Ok(Read::Printed) => return ExitCode::SUCCESS,
        Err(report) => return complain(&report, EXIT_USAGE),
    };
    let deed = match words.deed() {
        Ok(deed) => deed,
        Err(report) => return complain(&report, EXIT_USAGE),
    };
    match work(&words, deed) {
        Ok(code) => ExitCode::from(code),
        Err(report) => complain(&report, EXIT_FAULT),
    }
}

fn complain(report: &Report, code: u8) -> ExitCode {
    eprintln!("console: {report}");
    ExitCode::from(code)
}

pub struct Asker {
    pub runtime: tokio::runtime::Runtime,
    doors: Vec<String>,
    key: String,
    pub limit: Span,
}

type Reply = (StatusCode, HeaderMap, Vec<u8>);

impl Asker {
    /// Asks the doors in turn until one answers.
    fn ask(&self, question: &OutgoingRequest) -> Result<Reply, Report> {
        let mut reasons = Vec::new();
        for door in &self.doors {
            let asked = question.clone().header("authorization", format!("Bearer {}", self.key));
            match self.runtime.block_on(fetch_response(door, asked, self.limit, 16 << 20)) {
                Ok((status, headers, body)) => return Ok((status, headers, body.to_vec())),
                Err(reason) => reasons.push(format!("{door}: {reason}")),
            }
        }
        Err(miette!("no door answered: {}", reasons.join("; ")))
    }

    fn present_edition(&self) -> Result<u64, Report> {
        let (status, headers, body) = self.ask(&OutgoingRequest::get("/v1/desired-state"))?;
        let tag = headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("");
        tag.trim_matches('"')
            .parse()
            .map_err(|_| miette!("the present edition is not told: {status} {}", String::from_utf8_lossy(&body)))
    }
}

fn work(words: &Words, deed: Deed) -> Result<u8, Report> {
    let key = match &words.key_file {
        Some(path) => std::fs::read_to_string(path).map_err(|fault| miette!("--key-file: {path}: {fault}"))?,
        None => std::env::var("HAREMOUNT_KEY").map_err(|_| miette!("no key: give --key-file or HAREMOUNT_KEY"))?,
    };
    let asker = Asker {
        runtime: small_runtime(1).map_err(|fault| miette!("{fault}"))?,
        doors: words.doors.clone(),
        key: key.trim().to_owned(),
        limit: Span::seconds(words.limit_s),
    };
    let request = match &words.request {
        Some(text) => text.parse::<RequestId>().map_err(|_| miette!("--request: {text} is no request id"))?,
        None => RequestId::random(),
    };
    let question = match deed {
        Deed::Compare { routers, policy, tenant } => {
            let mut book = gather(&asker, &routers)?;
            narrow(&mut book, policy.as_deref(), tenant.as_deref())?;
            show_comparison(&book, words.as_json);
            return Ok(0);
        }
        Deed::Post { path, body } => {
            OutgoingRequest::with_json(Method::POST, &path, &body).header("x-request-id", request.to_string())
        }
        Deed::PostFile { path, file } => {
            let text = std::fs::read_to_string(&file).map_err(|fault| miette!("{file}: {fault}"))?;
            OutgoingRequest { method: Method::POST, body: text.into(), ..OutgoingRequest::get(&path) }
        }
        Deed::Show { path } => OutgoingRequest::get(&path),
        Deed::Change { method, file } => {
            let text = std::fs::read_to_string(&file).map_err(|fault| miette!("{file}: {fault}"))?;
            let base = match words.base {
                Some(base) => base,
                None => asker.present_edition()?,
            };
            OutgoingRequest { method, body: text.into(), ..OutgoingRequest::get("/v1/desired-state") }
                .header("content-type", "application/json")
                .header("if-match", format!("\"{base}\""))
                .header("x-request-id", request.to_string())
        }
        Deed::AddKey { path, key_file } => {
            let new_key = std::fs::read_to_string(&key_file).map_err(|fault| miette!("{key_file}: {fault}"))?;
            OutgoingRequest::with_json(Method::PUT, &path, &json!({"key": new_key.trim()}))
                .header("x-request-id", request.to_string())
        }
        Deed::DropKey { path } => OutgoingRequest { method: Method::DELETE, ..OutgoingRequest::get(&path) }
            .header("x-request-id", request.to_string()),
    };
    let (status, headers, body) = asker.ask(&question)?;
    show(words, status, &headers, &body)
}

fn show(words: &Words, status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Result<u8, Report> {
    let text = String::from_utf8_lossy(body);
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    if words.as_json {
        println!("{text}");
    } else if let Some(kind) = value["error"]["type"].as_str() {
        println!("{kind}: {}", value["error"]["message"].as_str().unwrap_or(""));
        for complaint in value["error"]["complaints"].as_array().into_iter().flatten() {
            let part = |key: &str| complaint[key].as_str().unwrap_or("").to_owned();
            println!("  {}: {}", part("path"), part("reason"));
        }
        if let Some(now) = value["now"].as_u64() {
            println!("  it now stands at edition {now}");
        }
        if let Some(request) = value["request"].as_str() {
            println!("  request {request}");
        }
    } else if value["view"].is_object() {
        show_fleet(&value);
    } else {
        if let Some(edition) = headers.get("etag").and_then(|tag| tag.to_str().ok()) {
            println!("edition {}", edition.trim_matches('"'));
        }
        println!("{}", serde_json::to_string_pretty(&value).unwrap_or_else(|_| text.into_owned()));
    }
    Ok(match status {
        status if status.is_success() => 0,
        StatusCode::GATEWAY_TIMEOUT => EXIT_UNKNOWN,
        _ => EXIT_FAULT,
    })
}

fn show_fleet(fleet: &Value) {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    println!("fleet {} edition {}", text(&fleet["fleet"]), fleet["edition"]);
    println!("view {} chain {}", fleet["view"]["number"], text(&fleet["view"]["chain"]));
    for member in fleet["members"].as_array().into_iter().flatten() {
        let alive = if member["alive"] == true { "alive" } else { "silent" };
        println!(
            "  keeper {} zone {} {alive} at {} door {}",
            text(&member["id"]),
            text(&member["zone"]),
            text(&member["address"]),
            text(&member["door"])
        );
    }
    for (duty, held) in fleet["duties"].as_object().into_iter().flatten() {
        println!("  duty {duty} held by {} term {}", text(&held["holder"]), held["term"]);
    }
    for node in fleet["nodes"].as_array().into_iter().flatten() {
        println!("  node {} applied {} lease {} ms", text(&node["id"]), node["applied"], node["lease_left_ms"]);
    }
    for engine in fleet["engines"].as_array().into_iter().flatten() {
        let closed = if engine["closed"] == true { " closed" } else { "" };
        println!(
            "  engine {} {} weights {}{closed} zone {} at {}",
            text(&engine["name"]),
            text(&engine["listed"]),
            engine["weights"],
            text(&engine["zone"]),
            text(&engine["address"])
        );
    }
    let listing = &fleet["listing"];
    let reach = if listing["reachable"] == true { "reachable" } else { "NOT reachable: the last list holds" };
    println!("listing {} platform {reach}", listing["number"]);
}
