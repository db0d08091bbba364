//! What was typed, read into a question to the operators' door.

use crate::prelude::*;

pub const HELP: &str = "The operators' command line of haremount.

Usage: console --door IP:PORT[,IP:PORT...] [--json] COMMAND

  fleet                              view, members, nodes, engines, duties
  adapters                           revisions in force, copies at engines, requests by region
  desired-state [show]               the desired state and its edition
  desired-state put FILE             replace it whole (--base EDITION, or the present one)
  desired-state patch FILE           merge a patch into it (--base EDITION, or the present one)
  key add TENANT NAME KEY-FILE       let a tenant use the key in the file
  key withdraw TENANT NAME           end a key; answered once no machine honours it
  request ID                         how an earlier submission was settled
  policy check FILE                  the table a policy would compile to; nothing is changed
  policy show NAME                   the table a policy compiles to
  policy compare ROUTERS             figures of each policy from live traffic (IP:PORT,...)
  intent trial POLICY TENANT...      state an intent; the plan of steps is shown
  intent end-trial TENANT...
  intent adopt POLICY
  intent move-weights MODEL WEIGHTS
  intent wall|unwall TENANT
  intent drain|undrain ENGINE
  plan list | plan show ID           plans and how far they are
  plan confirm ID                    let a plan be carried out

  --door ADDRESSES     doors of keepers, tried in turn
  --key-file FILE      the operator's key; else the environment's HAREMOUNT_KEY
  --base EDITION       the edition a change is based on
  --request ID         the request id of a submission, to ask for the same one again
  --limit-s SECONDS    how long to wait for an answer (default 15)
  --policy NAME        with policy compare: this policy and the default alone
  --tenant NAME        with policy compare: this tenant alone
  --json               print the door's JSON as it came, or the comparison as JSON
  --help, --version

Exit codes: 0 done, 1 refused or not reached, 2 wrong usage, 3 outcome unknown (ask again with --request).";

/// The command line as it was understood.
#[derive(Debug, Default)]
pub struct Words {
    pub doors: Vec<String>,
    pub key_file: Option<String>,
    pub base: Option<u64>,
    pub request: Option<String>,
    pub limit_s: u64,
    pub as_json: bool,
    /// Of a comparison, this policy and the default alone, or this tenant alone.
    pub policy: Option<String>,
    pub tenant: Option<String>,
    pub command: Vec<String>,
}

/// What to do about it.
#[derive(Debug)]
pub enum Deed {
    Show { path: String },
    Change { method: Method, file: String },
    AddKey { path: String, key_file: String },
    DropKey { path: String },
    Post { path: String, body: Value },
    PostFile { path: String, file: String },
    Compare { routers: Vec<String>, policy: Option<String>, tenant: Option<String> },
}

pub enum Read {
    Words(Words),
    Printed,
}

pub fn read_words() -> Result<Read, Report> {
    let mut words = Words { limit_s: 15, ..Words::default() };
    let mut parser = lexopt::Parser::from_env();
    let fault = |fault: lexopt::Error| miette!("{fault}; see console --help");
    while let Some(argument) = parser.next().map_err(fault)? {
        let value = |parser: &mut lexopt::Parser| {
            let value = parser.value().map_err(fault)?;
            value.into_string().map_err(|_| miette!("not UTF-8; see console --help"))
        };
        match argument {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                println!("{HELP}");
                return Ok(Read::Printed);
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                println!("console {}", env!("CARGO_PKG_VERSION"));
                return Ok(Read::Printed);
            }
            lexopt::Arg::Long("door") => words.doors = value(&mut parser)?.split(',').map(str::to_owned).collect(),
            lexopt::Arg::Long("key-file") => words.key_file = Some(value(&mut parser)?),
            lexopt::Arg::Long("base") => {
                let text = value(&mut parser)?;
                words.base = Some(text.parse().map_err(|_| miette!("--base: {text} is no edition"))?);
            }
            lexopt::Arg::Long("request") => words.request = Some(value(&mut parser)?),
            lexopt::Arg::Long("limit-s") => {
                let text = value(&mut parser)?;
                let seconds = text.parse().ok().filter(|seconds| (1..=600).contains(seconds));
                words.limit_s = seconds.ok_or_else(|| miette!("--limit-s: {text} is not 1 to 600"))?;
            }
            lexopt::Arg::Long("policy") => words.policy = Some(value(&mut parser)?),
            lexopt::Arg::Long("tenant") => words.tenant = Some(value(&mut parser)?),
            lexopt::Arg::Long("json") => words.as_json = true,
            lexopt::Arg::Value(word) => {
                words.command.push(word.into_string().map_err(|_| miette!("not UTF-8; see console --help"))?);
            }
            other => return Err(fault(other.unexpected())),
        }
    }
    if words.doors.is_empty() {
        return Err(miette!("--door is missing; see console --help"));
    }
    Ok(Read::Words(words))
}

impl Words {
    pub fn deed(&self) -> Result<Deed, Report> {
        let words: Vec<&str> = self.command.iter().map(String::as_str).collect();
        let deed = match words.as_slice() {
            ["adapters"] => Deed::Show { path: "/v1/adapters".into() },
            ["fleet"] => Deed::Show { path: "/v1/fleet".into() },
            ["desired-state"] | ["desired-state", "show"] => Deed::Show { path: "/v1/desired-state".into() },
            ["desired-state", "put", file] => Deed::Change { method: Method::PUT, file: (*file).into() },
            ["desired-state", "patch", file] => Deed::Change { method: Method::PATCH, file: (*file).into() },
            ["key", "add", tenant, name, key_file] => {
                Deed::AddKey { path: format!("/v1/tenants/{tenant}/keys/{name}"), key_file: (*key_file).into() }
            }
            ["key", "withdraw", tenant, name] => Deed::DropKey { path: format!("/v1/tenants/{tenant}/keys/{name}") },
            ["policy", "check", file] => Deed::PostFile { path: "/v1/policies/check".into(), file: (*file).into() },
            ["policy", "show", name] => Deed::Show { path: format!("/v1/policies/{name}") },
            ["policy", "compare", routers] => Deed::Compare {
                routers: routers.split(',').map(str::to_owned).collect(),
                policy: self.policy.clone(),
                tenant: self.tenant.clone(),
            },
            ["plan", "list"] => Deed::Show { path: "/v1/plans".into() },
            ["plan", "show", id] => Deed::Show { path: format!("/v1/plans/{id}") },
            ["plan", "confirm", id] => Deed::Post { path: format!("/v1/plans/{id}/confirm"), body: json!({}) },
            ["intent", rest @ ..] => Deed::Post { path: "/v1/intents".into(), body: read_intent(rest)? },
            ["request", id] => Deed::Show { path: format!("/v1/requests/{id}") },
            [] => return Err(miette!("a command is missing; see console --help")),
            _ => return Err(miette!("unknown command: {}; see console --help", words.join(" "))),
        };
        Ok(deed)
    }
}

fn read_intent(words: &[&str]) -> Result<Value, Report> {
    let intent = match words {
        ["trial", policy, tenants @ ..] => json!({"intent": "trial", "policy": policy, "tenants": tenants}),
        ["end-trial", tenants @ ..] => json!({"intent": "end_trial", "tenants": tenants}),
        ["adopt", policy] => json!({"intent": "adopt", "policy": policy}),
        ["move-weights", model, weights] => {
            let edition: u64 = weights.parse().map_err(|_| miette!("{weights} is no weights edition"))?;
            json!({"intent": "move_weights", "model": model, "weights": edition})
        }
        [name @ ("wall" | "unwall"), tenant] => json!({"intent": name, "tenant": tenant}),
        [name @ ("drain" | "undrain"), engine] => json!({"intent": name, "engine": engine}),
        _ => return Err(miette!("unknown intent: {}; see console --help", words.join(" "))),
    };
    Ok(intent)
}
