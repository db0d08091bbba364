//! The operators' command line. It sends a request to the first keeper that answers and prints the answer. A
//! submission carries a request id, so that sending it to a second keeper never applies it twice.

mod arguments;
mod comparison;
mod prelude;

use crate::prelude::*;

const EXIT_UNKNOWN: u8 = 3;

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(ParsedArguments::Arguments(arguments)) => arguments,
        Ok(ParsedArguments::Printed) => return ExitCode::SUCCESS,
        Err(report) => return print_error(&report, EXIT_USAGE),
    };
    let action = match arguments.action() {
        Ok(action) => action,
        Err(report) => return print_error(&report, EXIT_USAGE),
    };
    match execute(&arguments, action) {
        Ok(code) => ExitCode::from(code),
        Err(report) => print_error(&report, EXIT_FAULT),
    }
}

fn print_error(report: &Report, code: u8) -> ExitCode {
    eprintln!("console: {report}");
    ExitCode::from(code)
}

/// Sends requests to keepers' operator interfaces (doors).
pub struct Client {
    pub runtime: tokio::runtime::Runtime,
    doors: Vec<String>,
    key: String,
    pub limit: Span,
}

type Reply = (StatusCode, HeaderMap, Vec<u8>);

impl Client {
    /// Sends a request to the doors in turn until one answers.
    fn send(&self, request: &OutgoingRequest) -> Result<Reply, Report> {
        let mut reasons = Vec::new();
        for door in &self.doors {
            let authorized = request.clone().header("authorization", format!("Bearer {}", self.key));
            match self.runtime.block_on(fetch_response(door, authorized, self.limit, 16 << 20)) {
                Ok((status, headers, body)) => return Ok((status, headers, body.to_vec())),
                Err(reason) => reasons.push(format!("{door}: {reason}")),
            }
        }
        Err(miette!("no door answered: {}", reasons.join("; ")))
    }

    fn current_edition(&self) -> Result<u64, Report> {
        let (status, headers, body) = self.send(&OutgoingRequest::get("/v1/desired-state"))?;
        let tag = headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("");
        tag.trim_matches('"')
            .parse()
            .map_err(|_| miette!("no edition in the answer: {status} {}", String::from_utf8_lossy(&body)))
    }
}

fn execute(arguments: &Arguments, action: Action) -> Result<u8, Report> {
    let key = match &arguments.key_file {
        Some(path) => std::fs::read_to_string(path).map_err(|fault| miette!("--key-file: {path}: {fault}"))?,
        None => std::env::var("HAREMOUNT_KEY").map_err(|_| miette!("no key: give --key-file or HAREMOUNT_KEY"))?,
    };
    let client = Client {
        runtime: small_runtime(1).map_err(|fault| miette!("{fault}"))?,
        doors: arguments.doors.clone(),
        key: key.trim().to_owned(),
        limit: Span::seconds(arguments.limit_s),
    };
    let request_id = match &arguments.request {
        Some(text) => text.parse::<RequestId>().map_err(|_| miette!("--request: {text} is not a request id"))?,
        None => RequestId::random(),
    };
    let request = match action {
        Action::Compare { routers, policy, tenant } => {
            let mut metrics = fetch_metrics(&client, &routers)?;
            filter_metrics(&mut metrics, policy.as_deref(), tenant.as_deref())?;
            print_comparison(&metrics, arguments.as_json);
            return Ok(0);
        }
        Action::Post { path, body } => {
            OutgoingRequest::with_json(Method::POST, &path, &body).header("x-request-id", request_id.to_string())
        }
        Action::PostFile { path, file } => {
            let text = std::fs::read_to_string(&file).map_err(|fault| miette!("{file}: {fault}"))?;
            OutgoingRequest { method: Method::POST, body: text.into(), ..OutgoingRequest::get(&path) }
        }
        Action::Get { path } => OutgoingRequest::get(&path),
        Action::ChangeDocument { method, file } => {
            let text = std::fs::read_to_string(&file).map_err(|fault| miette!("{file}: {fault}"))?;
            let base = match arguments.base {
                Some(base) => base,
                None => client.current_edition()?,
            };
            OutgoingRequest { method, body: text.into(), ..OutgoingRequest::get("/v1/desired-state") }
                .header("content-type", "application/json")
                .header("if-match", format!("\"{base}\""))
                .header("x-request-id", request_id.to_string())
        }
        Action::AddKey { path, key_file } => {
            let new_key = std::fs::read_to_string(&key_file).map_err(|fault| miette!("{key_file}: {fault}"))?;
            OutgoingRequest::with_json(Method::PUT, &path, &json!({"key": new_key.trim()}))
                .header("x-request-id", request_id.to_string())
        }
        Action::WithdrawKey { path } => OutgoingRequest { method: Method::DELETE, ..OutgoingRequest::get(&path) }
            .header("x-request-id", request_id.to_string()),
    };
    let (status, headers, body) = client.send(&request)?;
    print_response(arguments, status, &headers, &body)
}

fn print_response(arguments: &Arguments, status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Result<u8, Report> {
    let text = String::from_utf8_lossy(body);
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    if arguments.as_json {
        println!("{text}");
    } else if let Some(kind) = value["error"]["type"].as_str() {
        println!("{kind}: {}", value["error"]["message"].as_str().unwrap_or(""));
        for error in value["error"]["complaints"].as_array().into_iter().flatten() {
            let part = |key: &str| error[key].as_str().unwrap_or("").to_owned();
            println!("  {}: {}", part("path"), part("reason"));
        }
        if let Some(now) = value["now"].as_u64() {
            println!("  the current edition is {now}");
        }
        if let Some(request_id) = value["request"].as_str() {
            println!("  request {request_id}");
        }
    } else if value["view"].is_object() {
        print_fleet(&value);
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

fn print_fleet(fleet: &Value) {
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
    let reachability =
        if listing["reachable"] == true { "reachable" } else { "NOT reachable: the last listing stays in force" };
    println!("listing {} platform {reachability}", listing["number"]);
}
