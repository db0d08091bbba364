//! Tuned adapters as operators wish them: whose they are, for which model, in which revision, and how
//! many copies stay warm.

use crate::prelude::*;

/// The greatest number of adapters an engine may be said to hold.
pub const MOST_ADAPTER_PLACES: u64 = 1024;
const MOST_COPIES: u64 = 1000;
const MOST_MILLIS: u64 = 86_400_000;

/// An adapter of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterWish {
    pub model: ModelName,
    pub revision: AdapterRevision,
    /// The tenants that may be bound to it.
    pub owners: BTreeSet<TenantName>,
    /// It may have more than one owner.
    pub shared: bool,
    /// Copies kept warm in all, whether there are requests or not.
    pub warm: u64,
    /// Copies kept warm in each region where its requests arrive.
    pub warm_in_region: u64,
    /// Requests a minute that one copy is to bear; 0 if the count of copies does not follow the load.
    pub copy_requests: u64,
}

/// How adapters are brought to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmingWish {
    /// Engines that load an adapter at once, at most.
    pub loads_at_once: u64,
    /// The time constant over which requests are averaged.
    pub demand_span: Span,
    /// How long copies in a region are kept after its last requests, and a copy that is not wanted is safe
    /// from being displaced.
    pub hold_span: Span,
}

impl Default for WarmingWish {
    fn default() -> WarmingWish {
        WarmingWish { loads_at_once: 4, demand_span: Span::seconds(10), hold_span: Span::seconds(30) }
    }
}

pub(crate) fn read_adapters(document: &mut Reader<'_>, desired_state: &mut DesiredState) {
    document.each("adapters", |name, mut adapter| {
        let wish = AdapterWish {
            model: ModelName(adapter.text("model").unwrap_or_default()),
            revision: AdapterRevision(adapter.whole("revision", 1, 1 << 53).unwrap_or(1)),
            owners: adapter.texts("owners").unwrap_or_default().into_iter().map(TenantName).collect(),
            shared: adapter.flag("shared").unwrap_or(false),
            warm: adapter.whole("warm", 1, MOST_COPIES).unwrap_or(1),
            warm_in_region: adapter.whole("warm_in_region", 1, MOST_COPIES).unwrap_or(2),
            copy_requests: adapter.whole("copy_requests", 0, 1 << 32).unwrap_or(0),
        };
        desired_state.adapters.insert(name.into(), wish);
        adapter.close();
    });
    for (zone, region) in document.named_texts("zones") {
        if !is_valid_name(&region) {
            document.complain(&format!("zones.{zone}"), "the region is not a name");
        }
        desired_state.zones.insert(Zone(zone), Region(region));
    }
    read_warming(document, &mut desired_state.warming);
}

fn read_warming(document: &mut Reader<'_>, warming: &mut WarmingWish) {
    let Some(mut fields) = document.member("warming") else { return };
    warming.loads_at_once = fields.whole("loads_at_once", 1, MOST_COPIES).unwrap_or(warming.loads_at_once);
    let mut millis = |key: &str, usual: Span| fields.whole(key, 100, MOST_MILLIS).map_or(usual, Span::millis);
    warming.demand_span = millis("demand_ms", warming.demand_span);
    warming.hold_span = millis("hold_ms", warming.hold_span);
    fields.close();
}

/// Adapters are of known models that have places, and tenants are bound to their own alone.
pub(crate) fn check_adapters(desired_state: &DesiredState, complaints: &mut Vec<Complaint>) {
    for (name, adapter) in &desired_state.adapters {
        let mut complain =
            |key: &str, reason: String| complaints.push(Complaint::at(&format!("adapters.{name}.{key}"), reason));
        match desired_state.models.get(&adapter.model) {
            None => complain("model", format!("unknown model {}", adapter.model)),
            Some(model) if model.adapter_places == 0 => {
                complain("model", format!("engines of {} have no places: adapter_places is 0", adapter.model));
            }
            Some(_) => {}
        }
        if adapter.owners.is_empty() {
            complain("owners", "an adapter has an owner".into());
        }
        if adapter.owners.len() > 1 && !adapter.shared {
            complain("owners", "more than one owner, and it is not shared".into());
        }
        for owner in adapter.owners.iter().filter(|owner| !desired_state.tenants.contains_key(*owner)) {
            complain("owners", format!("unknown tenant {owner}"));
        }
    }
    for (tenant, wish) in &desired_state.tenants {
        check_bindings(desired_state, tenant, wish, complaints);
    }
}

fn check_bindings(
    desired_state: &DesiredState,
    tenant: &TenantName,
    wish: &TenantWish,
    complaints: &mut Vec<Complaint>,
) {
    let mut models: BTreeMap<&ModelName, &AdapterName> = BTreeMap::new();
    for name in &wish.adapters {
        let path = format!("tenants.{tenant}.adapters");
        let Some(adapter) = desired_state.adapters.get(name) else {
            complaints.push(Complaint::at(&path, format!("unknown adapter {name}")));
            continue;
        };
        if !adapter.owners.contains(tenant) {
            complaints.push(Complaint::at(&path, format!("{name} belongs to another tenant")));
        }
        if let Some(other) = models.insert(&adapter.model, name) {
            let reason = format!("{other} and {name} are both of model {}", adapter.model);
            complaints.push(Complaint::at(&path, reason));
        }
    }
}

impl DesiredState {
    /// The adapter that a tenant's requests for a model run on, if they run on one.
    pub fn adapter_of(&self, tenant: &TenantName, model: &ModelName) -> Option<&AdapterName> {
        let bound = &self.tenants.get(tenant)?.adapters;
        bound.iter().find(|name| self.adapters.get(*name).is_some_and(|adapter| adapter.model == *model))
    }

    /// The region a zone is in; the one without a name if the document does not say.
    pub fn region_of(&self, zone: &Zone) -> Region {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// What no document may do to the adapters of the one before it, of which `given_up` are gone.
    pub(crate) fn check_adapter_move(
        &self,
        next: &DesiredState,
        given_up: &BTreeMap<AdapterName, AdapterRevision>,
    ) -> Vec<Complaint> {
        let mut complaints = Vec::new();
        for (name, wish) in &next.adapters {
            let path = format!("adapters.{name}.revision");
            let before = self.adapters.get(name);
            if let Some(before) = before.filter(|before| wish.revision < before.revision) {
                let reason = format!("revisions only grow: {} is below {}", wish.revision, before.revision);
                complaints.push(Complaint::at(&path, reason));
            }
            if before.is_some_and(|before| before.model != wish.model && before.revision == wish.revision) {
                complaints.push(Complaint::at(&path, "another model needs another revision"));
            }
            let used = given_up.get(name).filter(|used| before.is_none() && wish.revision <= **used);
            if let Some(used) = used {
                let reason = format!("the name was in use up to revision {used}; begin above it");
                complaints.push(Complaint::at(&path, reason));
            }
        }
        complaints
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn complaints_of(text: &str) -> Vec<String> {
        let document = parse_bounded(text, DOCUMENT_BOUNDS).unwrap();
        read_document(&document).unwrap_err().iter().map(Complaint::to_string).collect()
    }

    #[test]
    fn what_cannot_be_is_refused_with_its_reason() {
        let text = r#"{"models":{"m":{"adapter_places":2},"n":{}},"tenants":{"a":{"adapters":["x","y","gone"]},"b":{}},
            "adapters":{"x":{"model":"m","owners":["a"]},"y":{"model":"m","owners":["a","b"]},
            "z":{"model":"n","owners":["b"]},"u":{"model":"none","owners":[]},"v":{"model":"m","owners":["c"]},
            "w":{"model":"m","owners":["b"],"revision":0}},"zones":{"z1":"not a name"},"warming":{"loads_at_once":0}}"#;
        let complaints = complaints_of(text);
        for expected in [
            "adapters.u.model: unknown model none",
            "adapters.u.owners: an adapter has an owner",
            "adapters.v.owners: unknown tenant c",
            "adapters.w.revision: out of range: 0, allowed 1 to 9007199254740992",
            "adapters.y.owners: more than one owner, and it is not shared",
            "adapters.z.model: engines of n have no places: adapter_places is 0",
            "tenants.a.adapters: unknown adapter gone",
            "tenants.a.adapters: x and y are both of model m",
            "warming.loads_at_once: out of range: 0, allowed 1 to 1000",
            "zones.z1: the region is not a name",
        ] {
            assert!(complaints.iter().any(|told| told == expected), "{expected} is not among {complaints:#?}");
        }
        assert_eq!(complaints.len(), 10, "{complaints:#?}");
        let foreign = r#"{"models":{"m":{"adapter_places":2}},"tenants":{"a":{},"b":{"adapters":["x"]}},
            "adapters":{"x":{"model":"m","owners":["a"]}}}"#;
        assert_eq!(complaints_of(foreign), ["tenants.b.adapters: x belongs to another tenant"]);
    }

    #[test]
    fn a_shared_adapter_has_several_owners() {
        let text = r#"{"models":{"m":{"adapter_places":2}},"tenants":{"a":{"adapters":["x"]},"b":{"adapters":["x"]}},
            "adapters":{"x":{"model":"m","owners":["a","b"],"shared":true}},"zones":{"z1":"north"}}"#;
        let desired = read_document(&parse_bounded(text, DOCUMENT_BOUNDS).unwrap()).unwrap();
        assert_eq!(desired.adapter_of(&"b".into(), &"m".into()), Some(&"x".into()));
        assert_eq!(desired.adapter_of(&"b".into(), &"n".into()), None, "of that model it has none");
        assert_eq!(desired.region_of(&"z1".into()), "north".into());
        assert_eq!(desired.region_of(&"z9".into()), Region::default());
    }
}
