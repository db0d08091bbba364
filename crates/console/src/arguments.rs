//! Parses the command line into an action on the operators' interface.

use crate::prelude::*;

pub const HELP: &str = "The operators' command line of haremount.

Usage: console --door IP:PORT[,IP:PORT...] [--json] COMMAND

  fleet                              view, members, nodes, engines, duties
  adapters                           revisions in force, copies at engines, requests by region
  desired-state [show]               the desired state and its edition
  desired-state put FILE             replace the document (--base EDITION, or the current one)
  desired-state patch FILE           merge a patch into it (--base EDITION, or the current one)
  key add TENANT NAME KEY-FILE       let a tenant use the key in the file
  key withdraw TENANT NAME           remove a key; answered once no machine accepts it
  request ID                         the outcome of an earlier submission
  policy check FILE                  the table a policy would compile to, without a change
  policy show NAME                   the table a policy compiles to
  policy compare ROUTERS             figures of each policy from live traffic (IP:PORT,...)
  intent trial POLICY TENANT...      submit an intent; prints the plan of steps
  intent end-trial TENANT...
  intent adopt POLICY
  intent move-weights MODEL WEIGHTS
  intent wall|unwall TENANT
  intent drain|undrain ENGINE
  plan list | plan show ID           plans and their progress
  plan confirm ID                    start a plan

  --door ADDRESSES     keepers' operator addresses (doors), tried in turn
  --key-file FILE      file with the operator's key (default: environment variable HAREMOUNT_KEY)
  --base EDITION       the edition that a change is based on
  --request ID         the request id of a submission, to retry the same one
  --limit-s SECONDS    time to wait for an answer (default 15)
  --policy NAME        with policy compare: only this policy and the default
  --tenant NAME        with policy compare: only this tenant
  --json               print the keeper's JSON unchanged, or the comparison as JSON
  --help, --version

Exit codes: 0 done, 1 refused or no answer, 2 wrong usage, 3 outcome unknown (retry with --request).";

/// The parsed command line.
#[derive(Debug, Default)]
pub struct Arguments {
    pub doors: Vec<String>,
    pub key_file: Option<String>,
    pub base: Option<u64>,
    pub request: Option<String>,
    pub limit_s: u64,
    pub as_json: bool,
    /// With `policy compare`: shows only this policy and the default, or only this tenant.
    pub policy: Option<String>,
    pub tenant: Option<String>,
    pub command: Vec<String>,
}

/// What a command does.
#[derive(Debug)]
pub enum Action {
    Get { path: String },
    ChangeDocument { method: Method, file: String },
    AddKey { path: String, key_file: String },
    WithdrawKey { path: String },
    Post { path: String, body: Value },
    PostFile { path: String, file: String },
    Compare { routers: Vec<String>, policy: Option<String>, tenant: Option<String> },
}

/// The result of parsing: arguments, or help or the version already printed.
pub enum ParsedArguments {
    Arguments(Arguments),
    Printed,
}

pub fn parse_arguments() -> Result<ParsedArguments, Report> {
    let mut arguments = Arguments { limit_s: 15, ..Arguments::default() };
    let mut parser = lexopt::Parser::from_env();
    let usage_error = |error: lexopt::Error| miette!("{error}; see console --help");
    while let Some(argument) = parser.next().map_err(usage_error)? {
        let value = |parser: &mut lexopt::Parser| {
            let value = parser.value().map_err(usage_error)?;
            value.into_string().map_err(|_| miette!("an argument is not UTF-8; see console --help"))
        };
        match argument {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                println!("{HELP}");
                return Ok(ParsedArguments::Printed);
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                println!("console {}", env!("CARGO_PKG_VERSION"));
                return Ok(ParsedArguments::Printed);
            }
            lexopt::Arg::Long("door") => {
                arguments.doors = value(&mut parser)?.split(',').map(str::to_owned).collect()
            }
            lexopt::Arg::Long("key-file") => arguments.key_file = Some(value(&mut parser)?),
            lexopt::Arg::Long("base") => {
                let text = value(&mut parser)?;
                arguments.base = Some(text.parse().map_err(|_| miette!("--base: {text} is not an edition number"))?);
            }
            lexopt::Arg::Long("request") => arguments.request = Some(value(&mut parser)?),
            lexopt::Arg::Long("limit-s") => {
                let text = value(&mut parser)?;
                let seconds = text.parse().ok().filter(|seconds| (1..=600).contains(seconds));
                arguments.limit_s =
                    seconds.ok_or_else(|| miette!("--limit-s: {text} is not a number from 1 to 600"))?;
            }
            lexopt::Arg::Long("policy") => arguments.policy = Some(value(&mut parser)?),
            lexopt::Arg::Long("tenant") => arguments.tenant = Some(value(&mut parser)?),
            lexopt::Arg::Long("json") => arguments.as_json = true,
            lexopt::Arg::Value(word) => {
                arguments
                    .command
                    .push(word.into_string().map_err(|_| miette!("an argument is not UTF-8; see console --help"))?);
            }
            other => return Err(usage_error(other.unexpected())),
        }
    }
    if arguments.doors.is_empty() {
        return Err(miette!("--door is missing; see console --help"));
    }
    Ok(ParsedArguments::Arguments(arguments))
}

impl Arguments {
    pub fn action(&self) -> Result<Action, Report> {
        let words: Vec<&str> = self.command.iter().map(String::as_str).collect();
        let action = match words.as_slice() {
            ["adapters"] => Action::Get { path: "/v1/adapters".into() },
            ["fleet"] => Action::Get { path: "/v1/fleet".into() },
            ["desired-state"] | ["desired-state", "show"] => Action::Get { path: "/v1/desired-state".into() },
            ["desired-state", "put", file] => Action::ChangeDocument { method: Method::PUT, file: (*file).into() },
            ["desired-state", "patch", file] => {
                Action::ChangeDocument { method: Method::PATCH, file: (*file).into() }
            }
            ["key", "add", tenant, name, key_file] => {
                Action::AddKey { path: format!("/v1/tenants/{tenant}/keys/{name}"), key_file: (*key_file).into() }
            }
            ["key", "withdraw", tenant, name] => {
                Action::WithdrawKey { path: format!("/v1/tenants/{tenant}/keys/{name}") }
            }
            ["policy", "check", file] => Action::PostFile { path: "/v1/policies/check".into(), file: (*file).into() },
            ["policy", "show", name] => Action::Get { path: format!("/v1/policies/{name}") },
            ["policy", "compare", routers] => Action::Compare {
                routers: routers.split(',').map(str::to_owned).collect(),
                policy: self.policy.clone(),
                tenant: self.tenant.clone(),
            },
            ["plan", "list"] => Action::Get { path: "/v1/plans".into() },
            ["plan", "show", id] => Action::Get { path: format!("/v1/plans/{id}") },
            ["plan", "confirm", id] => Action::Post { path: format!("/v1/plans/{id}/confirm"), body: json!({}) },
            ["intent", rest @ ..] => Action::Post { path: "/v1/intents".into(), body: parse_intent(rest)? },
            ["request", id] => Action::Get { path: format!("/v1/requests/{id}") },
            [] => return Err(miette!("a command is missing; see console --help")),
            _ => return Err(miette!("unknown command: {}; see console --help", words.join(" "))),
        };
        Ok(action)
    }
}

fn parse_intent(words: &[&str]) -> Result<Value, Report> {
    let intent = match words {
        ["trial", policy, tenants @ ..] => json!({"intent": "trial", "policy": policy, "tenants": tenants}),
        ["end-trial", tenants @ ..] => json!({"intent": "end_trial", "tenants": tenants}),
        ["adopt", policy] => json!({"intent": "adopt", "policy": policy}),
        ["move-weights", model, weights] => {
            let edition: u64 = weights.parse().map_err(|_| miette!("{weights} is not a weights edition"))?;
            json!({"intent": "move_weights", "model": model, "weights": edition})
        }
        [name @ ("wall" | "unwall"), tenant] => json!({"intent": name, "tenant": tenant}),
        [name @ ("drain" | "undrain"), engine] => json!({"intent": name, "engine": engine}),
        _ => return Err(miette!("unknown intent: {}; see console --help", words.join(" "))),
    };
    Ok(intent)
}
