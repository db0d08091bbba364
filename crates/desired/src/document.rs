//! The operators' document and its checks.

use crate::prelude::*;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    pub models: BTreeMap<ModelName, ModelWish>,
    pub tenants: BTreeMap<TenantName, TenantWish>,
    pub kinds: Vec<String>,
    pub policies: BTreeMap<String, Policy>,
    pub trials: BTreeMap<TenantName, String>,
    pub routing: RoutingWish,
    /// Where the prompt store answers, if there is one.
    pub store: Option<String>,
    pub operators: BTreeMap<String, String>,
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceWish>,
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteWish>,
    #[serde(default)]
    pub limits: CallerLimits,
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, AdapterWish>,
    #[serde(default)]
    pub warming: WarmingWish,
    /// The region of each zone; a zone that is not named is in the region without a name.
    #[serde(default)]
    pub zones: BTreeMap<Zone, Region>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelWish {
    pub weights: WeightsEdition,
    /// Adapters that an engine of this model holds at once, at most.
    #[serde(default)]
    pub adapter_places: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantWish {
    pub walled: bool,
    /// How many requests one router runs at once for this tenant.
    pub share: u64,
    /// Goes before the priority of a route; 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u64>,
    /// The adapters its requests run on: a request for a model runs on the adapter of that model, if there
    /// is one here.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Key name -> SHA-256 of the key, in hex.
    pub keys: BTreeMap<KeyName, String>,
}

/// Where the tree's knowledge comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sight {
    #[default]
    Events,
    History,
    OccupancyOnly,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingWish {
    pub sight: Sight,
    pub limit: Span,
    pub retry_percent: u64,
    /// How many in a hundred of a trial tenant's requests go by the policy on trial; the rest, drawn by
    /// lot at the same time, by the default.
    #[serde(default = "all_of_them")]
    pub trial_percent: u64,
    pub events_late: Span,
    /// What prefilling a block costs an engine, for weighing a fetch against it.
    pub prefill_block: Span,
    pub fetch: FetchWish,
    /// What an engine in another region than the router costs more, in blocks.
    #[serde(default = "usual_distance")]
    pub other_region_blocks: u64,
}

fn usual_distance() -> u64 {
    64
}

fn all_of_them() -> u64 {
    100
}

/// What fetching kept blocks costs, by link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchWish {
    pub enabled: bool,
    pub setup: Span,
    pub same_zone_block: Span,
    pub other_zone_block: Span,
    pub store_block: Span,
}

impl Default for FetchWish {
    fn default() -> Self {
        FetchWish {
            enabled: true,
            setup: Span::micros(2000),
            same_zone_block: Span::micros(100),
            other_zone_block: Span::micros(300),
            store_block: Span::micros(400),
        }
    }
}

impl Default for RoutingWish {
    fn default() -> Self {
        RoutingWish {
            sight: Sight::Events,
            limit: Span::seconds(8),
            retry_percent: 10,
            trial_percent: all_of_them(),
            events_late: Span::seconds(2),
            prefill_block: Span::micros(1500),
            fetch: FetchWish::default(),
            other_region_blocks: usual_distance(),
        }
    }
}

/// Reads and checks a document; either it is whole and right, or every complaint is listed.
pub fn read_document(value: &JsonValue) -> Result<DesiredState, Vec<Complaint>> {
    let mut complaints = Vec::new();
    let mut desired_state = DesiredState::default();
    if let Some(mut document) = Reader::open("", value, &mut complaints) {
        read_fields(&mut document, &mut desired_state);
        document.close();
    }
    check_references(&desired_state, &mut complaints);
    if complaints.is_empty() { Ok(desired_state) } else { Err(complaints) }
}

fn read_fields(document: &mut Reader<'_>, desired_state: &mut DesiredState) {
    document.each("models", |name, mut model| {
        let weights = WeightsEdition(model.whole("weights", 1, 1 << 53).unwrap_or(1));
        let adapter_places = model.whole("adapter_places", 0, MOST_ADAPTER_PLACES).unwrap_or(0);
        desired_state.models.insert(name.into(), ModelWish { weights, adapter_places });
        model.close();
    });
    document.each("tenants", |name, mut tenant| {
        let mut wish = TenantWish {
            walled: tenant.flag("walled").unwrap_or(false),
            share: tenant.whole("share", 1, 100_000).unwrap_or(64),
            priority: tenant.whole("priority", 0, 1000),
            adapters: tenant.texts("adapters").unwrap_or_default().into_iter().map(AdapterName).collect(),
            keys: BTreeMap::new(),
        };
        for (key_name, key_hash) in tenant.named_texts("keys") {
            check_key_hash(&mut tenant, &format!("keys.{key_name}"), &key_hash);
            wish.keys.insert(KeyName(key_name), key_hash);
        }
        desired_state.tenants.insert(name.into(), wish);
        tenant.close();
    });
    desired_state.kinds = document.texts("kinds").unwrap_or_default();
    document.each("policies", |name, mut policy| {
        let mut read_policy = Policy { weight: policy.number("weight", 0.0, 1e6).unwrap_or(1.0), rules: Vec::new() };
        policy.items("rules", |mut rule| {
            let band = rule.text("band").and_then(|text| {
                let band = LoadBand::parse(&text);
                if band.is_none() {
                    rule.complain("band", "expected calm, steady or busy");
                }
                band
            });
            let tenant = rule.text("tenant").map(TenantName);
            let kind = rule.text("kind");
            if let Some(weight) = rule.number("weight", 0.0, 1e6) {
                read_policy.rules.push(Rule { tenant, kind, band, weight });
            } else {
                rule.complain("weight", "missing or unusable");
            }
            rule.close();
        });
        desired_state.policies.insert(name.to_owned(), read_policy);
        policy.close();
    });
    desired_state.trials =
        document.named_texts("trials").into_iter().map(|(tenant, policy)| (TenantName(tenant), policy)).collect();
    if let Some(store) = document.text("store") {
        if store.parse::<std::net::SocketAddr>().is_err() {
            document.complain("store", "expected an IP address and port");
        }
        desired_state.store = Some(store);
    }
    desired_state.operators = document.named_texts("operators");
    for (name, key_hash) in desired_state.operators.clone() {
        check_key_hash(document, &format!("operators.{name}"), &key_hash);
    }
    read_traffic(document, desired_state);
    read_adapters(document, desired_state);
    let Some(routing_value) = document.take("routing") else { return };
    read_routing(document, routing_value, &mut desired_state.routing);
}

fn read_routing(document: &mut Reader<'_>, value: &JsonValue, routing: &mut RoutingWish) {
    let mut complaints = Vec::new();
    if let Some(mut fields) = Reader::open("routing", value, &mut complaints) {
        if let Some(text) = fields.text("sight") {
            match text.as_str() {
                "events" => routing.sight = Sight::Events,
                "history" => routing.sight = Sight::History,
                "occupancy" => routing.sight = Sight::OccupancyOnly,
                _ => fields.complain("sight", "expected events, history or occupancy"),
            }
        }
        if let Some(millis) = fields.whole("limit_ms", 100, 10_000) {
            routing.limit = Span::millis(millis);
        }
        if let Some(percent) = fields.whole("trial_percent", 1, 100) {
            routing.trial_percent = percent;
        }
        if let Some(percent) = fields.whole("retry_percent", 0, 20) {
            routing.retry_percent = percent;
        }
        if let Some(millis) = fields.whole("events_late_ms", 100, 60_000) {
            routing.events_late = Span::millis(millis);
        }
        if let Some(micros) = fields.whole("prefill_block_us", 0, 1_000_000) {
            routing.prefill_block = Span::micros(micros);
        }
        if let Some(blocks) = fields.whole("other_region_blocks", 0, 1_000_000) {
            routing.other_region_blocks = blocks;
        }
        if let Some(fetch_value) = fields.take("fetch") {
            read_fetch(&mut fields, fetch_value, &mut routing.fetch);
        }
        fields.close();
    }
    for complaint in complaints {
        document.complain(&complaint.path, complaint.reason);
    }
}

fn read_fetch(routing: &mut Reader<'_>, value: &JsonValue, fetch: &mut FetchWish) {
    let mut complaints = Vec::new();
    if let Some(mut fields) = Reader::open("fetch", value, &mut complaints) {
        fetch.enabled = fields.flag("enabled").unwrap_or(fetch.enabled);
        let spans = [
            ("setup_us", &mut fetch.setup),
            ("same_zone_block_us", &mut fetch.same_zone_block),
            ("other_zone_block_us", &mut fetch.other_zone_block),
            ("store_block_us", &mut fetch.store_block),
        ];
        for (key, span) in spans {
            if let Some(micros) = fields.whole(key, 0, 10_000_000) {
                *span = Span::micros(micros);
            }
        }
        fields.close();
    }
    for complaint in complaints {
        routing.complain(&complaint.path, complaint.reason);
    }
}

fn check_key_hash(reader: &mut Reader<'_>, key: &str, key_hash: &str) {
    let is_hex = key_hash.len() == 64 && key_hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_hex {
        reader.complain(key, "expected a SHA-256 in 64 lowercase hex digits");
    }
}

fn check_references(desired_state: &DesiredState, complaints: &mut Vec<Complaint>) {
    check_traffic(desired_state, complaints);
    check_adapters(desired_state, complaints);
    let mut seen_hashes = BTreeMap::new();
    for (tenant, wish) in &desired_state.tenants {
        for (key_name, key_hash) in &wish.keys {
            let path = format!("tenants.{tenant}.keys.{key_name}");
            if let Some(other_path) = seen_hashes.insert(key_hash, path.clone()) {
                complaints.push(Complaint::at(&path, format!("same key as {other_path}")));
            }
        }
    }
    for (tenant, policy) in &desired_state.trials {
        let path = format!("trials.{tenant}");
        if !desired_state.tenants.contains_key(tenant) {
            complaints.push(Complaint::at(&path, "unknown tenant"));
        }
        if !desired_state.policies.contains_key(policy) {
            complaints.push(Complaint::at(&path, format!("unknown policy {policy}")));
        }
    }
    for (name, policy) in &desired_state.policies {
        for (place, rule) in policy.rules.iter().enumerate() {
            let path = format!("policies.{name}.rules[{place}]");
            if rule.tenant.as_ref().is_some_and(|tenant| !desired_state.tenants.contains_key(tenant)) {
                complaints.push(Complaint::at(&format!("{path}.tenant"), "unknown tenant"));
            }
            if rule.kind.as_ref().is_some_and(|kind| !desired_state.kinds.contains(kind)) {
                complaints.push(Complaint::at(&format!("{path}.kind"), "unknown kind"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn every_complaint_is_listed_with_its_path() {
        let text = r#"{"models":{"m":{"weights":1.5}},"tenants":{"a":{"walled":1,"sh":2,"keys":{"k":"x"}},"b b":{}},
            "policies":{"p":{"weight":-1,"rules":[{"tenant":"z","weight":1}]}},"trials":{"a":"q"},"routing":{"limit_ms":99}}"#;
        let complaints = read_document(&parse_bounded(text, DOCUMENT_BOUNDS).unwrap()).unwrap_err();
        let paths: BTreeSet<&str> = complaints.iter().map(|complaint| complaint.path.as_str()).collect();
        let expected_paths = [
            "models.m.weights",
            "policies.p.rules[0].tenant",
            "policies.p.weight",
            "routing.limit_ms",
            "tenants.a.keys.k",
            "tenants.a.sh",
            "tenants.a.walled",
            "tenants.b b",
            "trials.a",
        ];
        assert_eq!(paths, BTreeSet::from(expected_paths), "{complaints:?}");
    }
}
