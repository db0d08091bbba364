//! Fine-tuned adapters in the operators' document: their owners, model and revision, and the number of copies that
//! are kept warm.

use crate::prelude::*;

/// The upper bound of `ModelSpec::adapter_places`.
pub const MAX_ADAPTER_PLACES: u64 = 1024;
const MAX_COPIES: u64 = 1000;
const MAX_MILLIS: u64 = 86_400_000;

/// An adapter of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterSpec {
    pub model: ModelName,
    pub revision: AdapterRevision,
    /// The tenants whose requests may run on it.
    pub owners: BTreeSet<TenantName>,
    /// It may have more than one owner.
    pub shared: bool,
    /// The number of copies kept warm in total, whether there are requests or not.
    pub warm: u64,
    /// The number of copies kept warm in each region where its requests arrive.
    pub warm_in_region: u64,
    /// The requests per minute that one copy is to serve; 0 if the number of copies does not follow the load.
    pub copy_requests: u64,
}

/// How adapters are loaded onto engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmingSettings {
    /// The greatest number of adapter copies that load at once in the fleet.
    pub loads_at_once: u64,
    /// The time constant of the request rate's moving average.
    #[serde(rename = "demand_span")]
    pub demand_window: Span,
    /// How long copies are kept in a region after its last request, and how long a copy that is no longer needed
    /// is protected from eviction.
    #[serde(rename = "hold_span")]
    pub hold_time: Span,
}

impl Default for WarmingSettings {
    fn default() -> WarmingSettings {
        WarmingSettings { loads_at_once: 4, demand_window: Span::seconds(10), hold_time: Span::seconds(30) }
    }
}

/// Reads the adapters, zones and warming settings of the document.
pub(crate) fn read_adapters(document: &mut ObjectReader<'_>, desired_state: &mut DesiredState) {
    document.for_each_entry("adapters", |name, mut adapter| {
        let spec = AdapterSpec {
            model: ModelName(adapter.text("model").unwrap_or_default()),
            revision: AdapterRevision(adapter.integer("revision", 1, 1 << 53).unwrap_or(1)),
            owners: adapter.texts("owners").unwrap_or_default().into_iter().map(TenantName).collect(),
            shared: adapter.flag("shared").unwrap_or(false),
            warm: adapter.integer("warm", 1, MAX_COPIES).unwrap_or(1),
            warm_in_region: adapter.integer("warm_in_region", 1, MAX_COPIES).unwrap_or(2),
            copy_requests: adapter.integer("copy_requests", 0, 1 << 32).unwrap_or(0),
        };
        desired_state.adapters.insert(name.into(), spec);
        adapter.finish();
    });
    for (zone, region) in document.string_map("zones") {
        if !is_valid_name(&region) {
            document.report(&format!("zones.{zone}"), "the region is not a valid name");
        }
        desired_state.zones.insert(Zone(zone), Region(region));
    }
    read_warming(document, &mut desired_state.warming);
}

fn read_warming(document: &mut ObjectReader<'_>, warming: &mut WarmingSettings) {
    let Some(mut fields) = document.member("warming") else { return };
    warming.loads_at_once = fields.integer("loads_at_once", 1, MAX_COPIES).unwrap_or(warming.loads_at_once);
    let mut millis = |key: &str, default: Span| fields.integer(key, 100, MAX_MILLIS).map_or(default, Span::millis);
    warming.demand_window = millis("demand_ms", warming.demand_window);
    warming.hold_time = millis("hold_ms", warming.hold_time);
    fields.finish();
}

/// Checks that adapters belong to known models whose engines hold adapters, and that tenants are bound only to
/// adapters they own.
pub(crate) fn check_adapters(desired_state: &DesiredState, errors: &mut Vec<ValidationError>) {
    for (name, adapter) in &desired_state.adapters {
        let mut report =
            |key: &str, reason: String| errors.push(ValidationError::at(&format!("adapters.{name}.{key}"), reason));
        match desired_state.models.get(&adapter.model) {
            None => report("model", format!("unknown model {}", adapter.model)),
            Some(model) if model.adapter_places == 0 => {
                report("model", format!("engines of {} hold no adapters: adapter_places is 0", adapter.model));
            }
            Some(_) => {}
        }
        if adapter.owners.is_empty() {
            report("owners", "at least one owner is required".into());
        }
        if adapter.owners.len() > 1 && !adapter.shared {
            report("owners", "more than one owner, but not shared".into());
        }
        for owner in adapter.owners.iter().filter(|owner| !desired_state.tenants.contains_key(*owner)) {
            report("owners", format!("unknown tenant {owner}"));
        }
    }
    for (tenant, spec) in &desired_state.tenants {
        check_bindings(desired_state, tenant, spec, errors);
    }
}

fn check_bindings(
    desired_state: &DesiredState,
    tenant: &TenantName,
    spec: &TenantSpec,
    errors: &mut Vec<ValidationError>,
) {
    let mut models: BTreeMap<&ModelName, &AdapterName> = BTreeMap::new();
    for name in &spec.adapters {
        let path = format!("tenants.{tenant}.adapters");
        let Some(adapter) = desired_state.adapters.get(name) else {
            errors.push(ValidationError::at(&path, format!("unknown adapter {name}")));
            continue;
        };
        if !adapter.owners.contains(tenant) {
            errors.push(ValidationError::at(&path, format!("{name} belongs to another tenant")));
        }
        if let Some(other) = models.insert(&adapter.model, name) {
            let reason = format!("{other} and {name} are both of model {}", adapter.model);
            errors.push(ValidationError::at(&path, reason));
        }
    }
}

impl DesiredState {
    /// The adapter that a tenant's requests for a model run on, if there is one.
    pub fn adapter_of(&self, tenant: &TenantName, model: &ModelName) -> Option<&AdapterName> {
        let bound = &self.tenants.get(tenant)?.adapters;
        bound.iter().find(|name| self.adapters.get(*name).is_some_and(|adapter| adapter.model == *model))
    }

    /// The region of a zone; the one with the empty name if the document does not list the zone.
    pub fn region_of(&self, zone: &Zone) -> Region {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Rejects changes that reuse a revision: a revision must not decrease, must change with the model, and must
    /// exceed the last one of a removed adapter of the same name, since engines may still hold that one.
    pub(crate) fn check_adapter_changes(
        &self,
        next: &DesiredState,
        retired_revisions: &BTreeMap<AdapterName, AdapterRevision>,
    ) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for (name, spec) in &next.adapters {
            let path = format!("adapters.{name}.revision");
            let current = self.adapters.get(name);
            if let Some(current) = current.filter(|current| spec.revision < current.revision) {
                let reason = format!("revisions only grow: {} is below {}", spec.revision, current.revision);
                errors.push(ValidationError::at(&path, reason));
            }
            if current.is_some_and(|current| current.model != spec.model && current.revision == spec.revision) {
                errors.push(ValidationError::at(&path, "a change of the model requires a new revision"));
            }
            let retired =
                retired_revisions.get(name).filter(|retired| current.is_none() && spec.revision <= **retired);
            if let Some(retired) = retired {
                let reason = format!("the name was used up to revision {retired}; the revision must be above it");
                errors.push(ValidationError::at(&path, reason));
            }
        }
        errors
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn errors_of(text: &str) -> Vec<String> {
        let document = parse_bounded(text, DOCUMENT_BOUNDS).unwrap();
        read_document(&document).unwrap_err().iter().map(ValidationError::to_string).collect()
    }

    #[test]
    fn every_invalid_adapter_is_reported_with_its_reason() {
        let text = r#"{"models":{"m":{"adapter_places":2},"n":{}},"tenants":{"a":{"adapters":["x","y","gone"]},"b":{}},
            "adapters":{"x":{"model":"m","owners":["a"]},"y":{"model":"m","owners":["a","b"]},
            "z":{"model":"n","owners":["b"]},"u":{"model":"none","owners":[]},"v":{"model":"m","owners":["c"]},
            "w":{"model":"m","owners":["b"],"revision":0}},"zones":{"z1":"not a name"},"warming":{"loads_at_once":0}}"#;
        let errors = errors_of(text);
        for expected in [
            "adapters.u.model: unknown model none",
            "adapters.u.owners: at least one owner is required",
            "adapters.v.owners: unknown tenant c",
            "adapters.w.revision: out of range: 0, allowed 1 to 9007199254740992",
            "adapters.y.owners: more than one owner, but not shared",
            "adapters.z.model: engines of n hold no adapters: adapter_places is 0",
            "tenants.a.adapters: unknown adapter gone",
            "tenants.a.adapters: x and y are both of model m",
            "warming.loads_at_once: out of range: 0, allowed 1 to 1000",
            "zones.z1: the region is not a valid name",
        ] {
            assert!(errors.iter().any(|error| error == expected), "{expected} is not among {errors:#?}");
        }
        assert_eq!(errors.len(), 10, "{errors:#?}");
        let foreign = r#"{"models":{"m":{"adapter_places":2}},"tenants":{"a":{},"b":{"adapters":["x"]}},
            "adapters":{"x":{"model":"m","owners":["a"]}}}"#;
        assert_eq!(errors_of(foreign), ["tenants.b.adapters: x belongs to another tenant"]);
    }

    #[test]
    fn a_shared_adapter_has_several_owners() {
        let text = r#"{"models":{"m":{"adapter_places":2}},"tenants":{"a":{"adapters":["x"]},"b":{"adapters":["x"]}},
            "adapters":{"x":{"model":"m","owners":["a","b"],"shared":true}},"zones":{"z1":"north"}}"#;
        let desired = read_document(&parse_bounded(text, DOCUMENT_BOUNDS).unwrap()).unwrap();
        assert_eq!(desired.adapter_of(&"b".into(), &"m".into()), Some(&"x".into()));
        assert_eq!(desired.adapter_of(&"b".into(), &"n".into()), None, "it is bound to no adapter of this model");
        assert_eq!(desired.region_of(&"z1".into()), "north".into());
        assert_eq!(desired.region_of(&"z9".into()), Region::default());
    }
}
