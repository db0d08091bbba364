//! Operators' intents and the plans made from them.
//!
//! An intent is translated into numbered steps on the basis of the state in which it is stated. One command both
//! executes a step and marks it as done, so no step is executed twice, even if another conductor continues the plan.

use crate::prelude::*;

/// A change that an operator wants. Its `Debug` text is part of `Command::order_fingerprint` and must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Intent {
    /// Puts a policy on trial for these tenants.
    Trial { policy: String, tenants: Vec<TenantName> },
    /// Ends the trials of these tenants.
    EndTrial { tenants: Vec<TenantName> },
    /// Makes a policy the default and ends its trials.
    Adopt { policy: String },
    /// Moves a model to newer weights.
    MoveWeights { model: ModelName, weights: WeightsEdition },
    /// Isolates a tenant's cache blocks.
    Wall { tenant: TenantName },
    /// Ends the isolation of a tenant's cache blocks.
    Unwall { tenant: TenantName },
    /// Stops sending new requests to an engine and waits until it is idle.
    Drain { engine: EngineName },
    /// Sends requests to a drained engine again.
    Undrain { engine: EngineName },
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Applies a merge patch to the operators' document.
    Patch(String),
    /// Waits until every open engine of the model runs these weights.
    WaitWeights {
        model: ModelName,
        weights: WeightsEdition,
    },
    Drain {
        engine: EngineName,
    },
    Undrain {
        engine: EngineName,
    },
    /// Waits until no request runs on the engine.
    WaitIdle {
        engine: EngineName,
    },
}

/// The status of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanStatus {
    /// Waiting for an operator's confirmation.
    Stated,
    /// Being executed.
    Confirmed,
    Done,
    /// Stopped for this reason.
    Halted(String),
    /// Not confirmed in time.
    Expired,
}

/// An intent with the steps that realise it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub intent: Intent,
    /// The edition of the document the plan was made on.
    pub base: Edition,
    pub steps: Vec<Step>,
    /// The number of completed steps.
    pub done: usize,
    pub status: PlanStatus,
    /// The edition in which the plan was confirmed.
    pub confirmed: Option<Edition>,
}

/// The number of plans that are kept.
pub const MAX_PLANS: usize = 64;

impl Plan {
    /// The next step to execute, if the plan is confirmed.
    pub fn next_step(&self) -> Option<&Step> {
        self.steps.get(self.done).filter(|_| self.status == PlanStatus::Confirmed)
    }

    /// Whether the plan is done, halted or expired.
    pub fn is_over(&self) -> bool {
        !matches!(self.status, PlanStatus::Stated | PlanStatus::Confirmed)
    }
}

impl Step {
    /// A short description for operators.
    pub fn description(&self) -> String {
        match self {
            Step::Patch(patch) => format!("change the desired state by {patch}"),
            Step::WaitWeights { model, weights } => {
                format!("wait until all engines of {model} run on weights {weights}")
            }
            Step::Drain { engine } => format!("send nothing new to {engine}"),
            Step::Undrain { engine } => format!("use {engine} again"),
            Step::WaitIdle { engine } => format!("wait until nothing runs on {engine}"),
        }
    }
}

/// Reads an intent from its JSON form, and returns it or the list of all errors.
pub fn read_intent(value: &JsonValue) -> Result<Intent, Vec<ValidationError>> {
    let mut errors = Vec::new();
    let mut intent = None;
    if let Some(mut fields) = ObjectReader::open("", value, &mut errors) {
        intent = read_fields(&mut fields);
        fields.finish();
    }
    match intent {
        Some(intent) if errors.is_empty() => Ok(intent),
        _ => Err(errors),
    }
}

fn read_fields(fields: &mut ObjectReader<'_>) -> Option<Intent> {
    let name = fields.text("intent");
    let mut required = |key: &str| {
        let found = fields.text(key);
        if found.is_none() {
            fields.report(key, "missing");
        }
        found
    };
    let intent = match name.as_deref() {
        Some("adopt") => Intent::Adopt { policy: required("policy")? },
        Some("wall") => Intent::Wall { tenant: TenantName(required("tenant")?) },
        Some("unwall") => Intent::Unwall { tenant: TenantName(required("tenant")?) },
        Some("drain") => Intent::Drain { engine: EngineName(required("engine")?) },
        Some("undrain") => Intent::Undrain { engine: EngineName(required("engine")?) },
        Some("trial") => Intent::Trial { policy: required("policy")?, tenants: read_tenants(fields)? },
        Some("end_trial") => Intent::EndTrial { tenants: read_tenants(fields)? },
        Some("move_weights") => {
            let model = ModelName(required("model")?);
            let Some(weights) = fields.integer("weights", 1, 1 << 53) else {
                fields.report("weights", "missing or unusable");
                return None;
            };
            Intent::MoveWeights { model, weights: WeightsEdition(weights) }
        }
        _ => {
            let known = "trial, end_trial, adopt, move_weights, wall, unwall, drain or undrain";
            fields.report("intent", format!("expected {known}"));
            return None;
        }
    };
    Some(intent)
}

fn read_tenants(fields: &mut ObjectReader<'_>) -> Option<Vec<TenantName>> {
    let tenants = fields.texts("tenants").unwrap_or_default();
    if tenants.is_empty() {
        fields.report("tenants", "at least one tenant is required");
        return None;
    }
    Some(tenants.into_iter().map(TenantName).collect())
}

fn patch_step(members: Vec<(&str, JsonValue)>) -> Step {
    let members = members.into_iter().map(|(key, member)| (key.to_owned(), member)).collect();
    Step::Patch(write_sorted(&JsonValue::Object(members)))
}

fn object(key: &str, member: JsonValue) -> JsonValue {
    JsonValue::Object(std::collections::HashMap::from([(key.to_owned(), member)]))
}

fn trials_patch<'a>(
    tenants: impl Iterator<Item = &'a TenantName>,
    policy: Option<&str>,
) -> (&'static str, JsonValue) {
    let trial = policy.map_or(JsonValue::Null, |name| JsonValue::String(name.to_owned()));
    let members = tenants.map(|tenant| (tenant.0.clone(), trial.clone())).collect();
    ("trials", JsonValue::Object(members))
}

impl FleetState {
    /// The steps that realise an intent from this state, or the reasons it is invalid.
    pub fn plan_steps(&self, intent: &Intent) -> Result<Vec<Step>, Vec<ValidationError>> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, path: &str, reason: String| {
            if !is_valid {
                errors.push(ValidationError::at(path, reason));
            }
        };
        let desired = &self.desired;
        let steps = match intent {
            Intent::Trial { policy, tenants } => {
                check(desired.policies.contains_key(policy), "policy", format!("unknown policy {policy}"));
                for tenant in tenants {
                    check(desired.tenants.contains_key(tenant), "tenants", format!("unknown tenant {tenant}"));
                }
                vec![patch_step(vec![trials_patch(tenants.iter(), Some(policy))])]
            }
            Intent::EndTrial { tenants } => {
                for tenant in tenants {
                    check(desired.trials.contains_key(tenant), "tenants", format!("{tenant} has no trial"));
                }
                vec![patch_step(vec![trials_patch(tenants.iter(), None)])]
            }
            Intent::Adopt { policy } => {
                check(desired.policies.contains_key(policy), "policy", format!("unknown policy {policy}"));
                check(policy != "default", "policy", "it is already the default policy".into());
                self.adopt_steps(policy)
            }
            Intent::MoveWeights { model, weights } => {
                let current = desired.models.get(model).map(|spec| spec.weights);
                check(current.is_some(), "model", format!("unknown model {model}"));
                let is_newer = current.is_none_or(|current| *weights > current);
                check(
                    is_newer,
                    "weights",
                    format!("weights editions only grow; now {}", current.unwrap_or_default()),
                );
                let patch = object(&model.0, object("weights", JsonValue::Number(weights.0 as f64)));
                let wait = Step::WaitWeights { model: model.clone(), weights: *weights };
                vec![patch_step(vec![("models", patch)]), wait]
            }
            Intent::Wall { tenant } | Intent::Unwall { tenant } => {
                let is_walled = matches!(intent, Intent::Wall { .. });
                let spec = desired.tenants.get(tenant);
                check(spec.is_some(), "tenant", format!("unknown tenant {tenant}"));
                let is_change = spec.is_none_or(|spec| spec.walled != is_walled);
                check(
                    is_change,
                    "tenant",
                    format!("{tenant} is already {}", if is_walled { "walled" } else { "not walled" }),
                );
                let patch = object(&tenant.0, object("walled", JsonValue::Boolean(is_walled)));
                vec![patch_step(vec![("tenants", patch)])]
            }
            Intent::Drain { engine } => {
                check(self.listing.engines.contains_key(engine), "engine", format!("unknown engine {engine}"));
                check(!self.drained.contains(engine), "engine", format!("{engine} is already drained"));
                vec![Step::Drain { engine: engine.clone() }, Step::WaitIdle { engine: engine.clone() }]
            }
            Intent::Undrain { engine } => {
                check(self.drained.contains(engine), "engine", format!("{engine} is not drained"));
                vec![Step::Undrain { engine: engine.clone() }]
            }
        };
        if errors.is_empty() { Ok(steps) } else { Err(errors) }
    }

    /// The steps that make a policy of the document the default.
    fn adopt_steps(&self, policy: &str) -> Vec<Step> {
        let document = parse_bounded(&self.desired_text, DOCUMENT_BOUNDS).unwrap_or(JsonValue::Null);
        let JsonValue::Object(members) = document else { return Vec::new() };
        let Some(JsonValue::Object(policies)) = members.get("policies") else { return Vec::new() };
        let Some(adopted) = policies.get(policy) else { return Vec::new() };
        let on_trial: Vec<TenantName> = self
            .desired
            .trials
            .iter()
            .filter(|(_, name)| *name == policy)
            .map(|(tenant, _)| tenant.clone())
            .collect();
        // The old default is removed first, since a merge would keep those of its members that the new one lacks.
        let remove_old = patch_step(vec![("policies", object("default", JsonValue::Null))]);
        let add_new =
            patch_step(vec![("policies", object("default", adopted.clone())), trials_patch(on_trial.iter(), None)]);
        if policies.contains_key("default") { vec![remove_old, add_new] } else { vec![add_new] }
    }
}
