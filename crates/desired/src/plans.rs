//! Intents and the plans they become. An intent is turned into numbered steps by the state it is stated
//! on; a step is done by one command that both takes effect and marks it done, so no step can be done
//! twice, whoever goes on with the plan.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Intent {
    Trial { policy: String, tenants: Vec<TenantName> },
    EndTrial { tenants: Vec<TenantName> },
    Adopt { policy: String },
    MoveWeights { model: ModelName, weights: WeightsEdition },
    Wall { tenant: TenantName },
    Unwall { tenant: TenantName },
    Drain { engine: EngineName },
    Undrain { engine: EngineName },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// A merge patch of the operators' document.
    Patch(String),
    /// Every open engine of the model runs on these weights.
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
    /// Nothing runs on the engine any more.
    WaitIdle {
        engine: EngineName,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanStatus {
    Stated,
    Confirmed,
    Done,
    Halted(String),
    Expired,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub intent: Intent,
    /// The edition of the document the plan was made on.
    pub base: Edition,
    pub steps: Vec<Step>,
    /// How many steps are done.
    pub done: usize,
    pub status: PlanStatus,
    /// The edition in which it was confirmed.
    pub confirmed: Option<Edition>,
}

pub const MAX_PLANS: usize = 64;

impl Plan {
    pub fn next_step(&self) -> Option<&Step> {
        self.steps.get(self.done).filter(|_| self.status == PlanStatus::Confirmed)
    }

    pub fn is_over(&self) -> bool {
        !matches!(self.status, PlanStatus::Stated | PlanStatus::Confirmed)
    }
}

impl Step {
    /// The step in a few words, for operators.
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

/// Reads an intent from its JSON form; every error is listed.
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
    let mut needed = |key: &str| {
        let found = fields.text(key);
        if found.is_none() {
            fields.report(key, "missing");
        }
        found
    };
    let intent = match name.as_deref() {
        Some("adopt") => Intent::Adopt { policy: needed("policy")? },
        Some("wall") => Intent::Wall { tenant: TenantName(needed("tenant")?) },
        Some("unwall") => Intent::Unwall { tenant: TenantName(needed("tenant")?) },
        Some("drain") => Intent::Drain { engine: EngineName(needed("engine")?) },
        Some("undrain") => Intent::Undrain { engine: EngineName(needed("engine")?) },
        Some("trial") => Intent::Trial { policy: needed("policy")?, tenants: read_tenants(fields)? },
        Some("end_trial") => Intent::EndTrial { tenants: read_tenants(fields)? },
        Some("move_weights") => {
            let model = ModelName(needed("model")?);
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
        fields.report("tenants", "at least one tenant is needed");
        return None;
    }
    Some(tenants.into_iter().map(TenantName).collect())
}

fn patch_of(members: Vec<(&str, JsonValue)>) -> Step {
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
    /// The steps an intent takes from this state, or what is wrong with it.
    pub fn plan_steps(&self, intent: &Intent) -> Result<Vec<Step>, Vec<ValidationError>> {
        let mut errors = Vec::new();
        let mut check = |is_known: bool, path: &str, reason: String| {
            if !is_known {
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
                vec![patch_of(vec![trials_patch(tenants.iter(), Some(policy))])]
            }
            Intent::EndTrial { tenants } => {
                for tenant in tenants {
                    check(desired.trials.contains_key(tenant), "tenants", format!("{tenant} has no trial"));
                }
                vec![patch_of(vec![trials_patch(tenants.iter(), None)])]
            }
            Intent::Adopt { policy } => {
                check(desired.policies.contains_key(policy), "policy", format!("unknown policy {policy}"));
                check(policy != "default", "policy", "it is the default already".into());
                self.adopt_steps(policy)
            }
            Intent::MoveWeights { model, weights } => {
                let current = desired.models.get(model).map(|spec| spec.weights);
                check(current.is_some(), "model", format!("unknown model {model}"));
                let grows = current.is_none_or(|current| *weights > current);
                check(grows, "weights", format!("weights editions only grow; now {}", current.unwrap_or_default()));
                let spec = object(&model.0, object("weights", JsonValue::Number(weights.0 as f64)));
                let wait = Step::WaitWeights { model: model.clone(), weights: *weights };
                vec![patch_of(vec![("models", spec)]), wait]
            }
            Intent::Wall { tenant } | Intent::Unwall { tenant } => {
                let walls = matches!(intent, Intent::Wall { .. });
                let spec = desired.tenants.get(tenant);
                check(spec.is_some(), "tenant", format!("unknown tenant {tenant}"));
                let changes = spec.is_none_or(|spec| spec.walled != walls);
                check(changes, "tenant", format!("{tenant} already stands so"));
                let spec = object(&tenant.0, object("walled", JsonValue::Boolean(walls)));
                vec![patch_of(vec![("tenants", spec)])]
            }
            Intent::Drain { engine } => {
                check(self.listing.engines.contains_key(engine), "engine", format!("unknown engine {engine}"));
                check(!self.drained.contains(engine), "engine", format!("{engine} is drained already"));
                vec![Step::Drain { engine: engine.clone() }, Step::WaitIdle { engine: engine.clone() }]
            }
            Intent::Undrain { engine } => {
                check(self.drained.contains(engine), "engine", format!("{engine} is not drained"));
                vec![Step::Undrain { engine: engine.clone() }]
            }
        };
        if errors.is_empty() { Ok(steps) } else { Err(errors) }
    }

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
        // The old default is dropped first, since a merge would keep what the new one does not name.
        let drop_old = patch_of(vec![("policies", object("default", JsonValue::Null))]);
        let take_new =
            patch_of(vec![("policies", object("default", adopted.clone())), trials_patch(on_trial.iter(), None)]);
        if policies.contains_key("default") { vec![drop_old, take_new] } else { vec![take_new] }
    }
}
