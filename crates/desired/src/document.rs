//! The operators' document: its types, reader and validation.

use crate::prelude::*;

/// The validated content of the operators' document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    pub models: BTreeMap<ModelName, ModelSpec>,
    pub tenants: BTreeMap<TenantName, TenantSpec>,
    /// Requests need the key of a tenant even while there is no tenant. Implied by any tenant.
    #[serde(default, skip_serializing_if = "is_false")]
    pub keys_required: bool,
    /// The request kinds that policy rules may refer to.
    pub kinds: Vec<String>,
    pub policies: BTreeMap<String, Policy>,
    /// The policy on trial for each tenant that has one.
    pub trials: BTreeMap<TenantName, String>,
    pub routing: RoutingSettings,
    /// The address of the prompt store, if there is one.
    pub store: Option<String>,
    /// Key name -> SHA-256 of the operator's key, in hex.
    pub operators: BTreeMap<String, String>,
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteSpec>,
    #[serde(default)]
    pub limits: CallerLimits,
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, AdapterSpec>,
    #[serde(default)]
    pub warming: WarmingSettings,
    /// The region of each zone; a zone that is not listed is in the region with the empty name.
    #[serde(default)]
    pub zones: BTreeMap<Zone, Region>,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl DesiredState {
    /// Whether a request of a route that is not public must carry the key of a tenant. Without any tenant it does
    /// only if the document says so: a list of tenants that has become empty still refuses every key.
    pub fn requires_keys(&self) -> bool {
        self.keys_required || !self.tenants.is_empty()
    }
}

/// The weights of a model for which a document names none.
pub const FIRST_WEIGHTS: WeightsEdition = WeightsEdition(1);

/// A model and the weights that its engines are to run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    pub weights: WeightsEdition,
    /// The greatest number of adapters that an engine of this model holds at once.
    #[serde(default)]
    pub adapter_places: u64,
}

/// A tenant, its keys and the treatment of its requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantSpec {
    /// Its cache blocks are isolated from those of all other tenants.
    pub walled: bool,
    /// The number of requests that one router runs at once for this tenant.
    pub share: u64,
    /// Overrides the priority of the route; 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u64>,
    /// The adapters its requests run on: a request for a model uses the adapter listed here for that model, if
    /// there is one.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Key name -> SHA-256 of the key, in hex.
    pub keys: BTreeMap<KeyName, String>,
}

/// The source of a router's knowledge of the engines' caches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheStateSource {
    /// The engines' cache events.
    #[default]
    Events,
    /// The requests that the router sent before.
    History,
    /// No knowledge of cached blocks; engines are compared by their load alone.
    OccupancyOnly,
}

/// The settings of engine selection, retries and trials.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingSettings {
    #[serde(rename = "sight")]
    pub cache_state_source: CacheStateSource,
    /// The longest time a request is held.
    pub limit: Span,
    /// Retries allowed per hundred requests.
    pub retry_percent: u64,
    /// The percentage of a trial tenant's requests, drawn at random, that use the policy on trial. The others use the
    /// default policy at the same time, for comparison.
    #[serde(default = "default_trial_percent")]
    pub trial_percent: u64,
    /// How long an engine may be silent, or an expected cache event may be missing, before its events count as late
    /// and are not relied on.
    pub events_late: Span,
    /// The time an engine takes to prefill a block; a fetch is compared with it.
    pub prefill_block: Span,
    pub fetch: FetchSettings,
    /// The extra cost, in blocks, of an engine in another region than the router.
    #[serde(default = "default_other_region_blocks")]
    pub other_region_blocks: u64,
}

fn default_other_region_blocks() -> u64 {
    64
}

fn default_trial_percent() -> u64 {
    100
}

/// The cost of fetching cached blocks, by link: the time of the setup and the time of each block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchSettings {
    pub enabled: bool,
    pub setup: Span,
    pub same_zone_block: Span,
    pub other_zone_block: Span,
    pub store_block: Span,
}

impl Default for FetchSettings {
    fn default() -> Self {
        FetchSettings {
            enabled: true,
            setup: Span::micros(2000),
            same_zone_block: Span::micros(100),
            other_zone_block: Span::micros(300),
            store_block: Span::micros(400),
        }
    }
}

impl Default for RoutingSettings {
    fn default() -> Self {
        RoutingSettings {
            cache_state_source: CacheStateSource::Events,
            limit: Span::seconds(8),
            retry_percent: 10,
            trial_percent: default_trial_percent(),
            events_late: Span::seconds(2),
            prefill_block: Span::micros(1500),
            fetch: FetchSettings::default(),
            other_region_blocks: default_other_region_blocks(),
        }
    }
}

/// Reads and validates a document, and returns it or the list of all errors.
pub fn read_document(value: &JsonValue) -> Result<DesiredState, Vec<ValidationError>> {
    let mut errors = Vec::new();
    let mut desired_state = DesiredState::default();
    if let Some(mut document) = ObjectReader::open("", value, &mut errors) {
        read_fields(&mut document, &mut desired_state);
        document.finish();
    }
    check_references(&desired_state, &mut errors);
    if errors.is_empty() { Ok(desired_state) } else { Err(errors) }
}

fn read_fields(document: &mut ObjectReader<'_>, desired_state: &mut DesiredState) {
    document.for_each_entry("models", |name, mut model| {
        let weights = model.integer("weights", 1, 1 << 53).map_or(FIRST_WEIGHTS, WeightsEdition);
        let adapter_places = model.integer("adapter_places", 0, MAX_ADAPTER_PLACES).unwrap_or(0);
        desired_state.models.insert(name.into(), ModelSpec { weights, adapter_places });
        model.finish();
    });
    document.for_each_entry("tenants", |name, mut tenant| {
        let mut spec = TenantSpec {
            walled: tenant.flag("walled").unwrap_or(false),
            share: tenant.integer("share", 1, 100_000).unwrap_or(64),
            priority: tenant.integer("priority", 0, 1000),
            adapters: tenant.texts("adapters").unwrap_or_default().into_iter().map(AdapterName).collect(),
            keys: BTreeMap::new(),
        };
        for (key_name, key_hash) in tenant.string_map("keys") {
            check_key_hash(&mut tenant, &format!("keys.{key_name}"), &key_hash);
            spec.keys.insert(KeyName(key_name), key_hash);
        }
        desired_state.tenants.insert(name.into(), spec);
        tenant.finish();
    });
    desired_state.keys_required = document.flag("keys_required").unwrap_or(false);
    desired_state.kinds = document.texts("kinds").unwrap_or_default();
    document.for_each_entry("policies", |name, mut policy| {
        let mut parsed_policy =
            Policy { weight: policy.number("weight", 0.0, 1e6).unwrap_or(1.0), rules: Vec::new() };
        policy.for_each_item("rules", |mut rule| {
            let band = rule.text("band").and_then(|text| {
                let band = LoadBand::parse(&text);
                if band.is_none() {
                    rule.report("band", "expected calm, steady or busy");
                }
                band
            });
            let tenant = rule.text("tenant").map(TenantName);
            let kind = rule.text("kind");
            if let Some(weight) = rule.number("weight", 0.0, 1e6) {
                parsed_policy.rules.push(Rule { tenant, kind, band, weight });
            } else {
                rule.report("weight", "missing or unusable");
            }
            rule.finish();
        });
        desired_state.policies.insert(name.to_owned(), parsed_policy);
        policy.finish();
    });
    desired_state.trials =
        document.string_map("trials").into_iter().map(|(tenant, policy)| (TenantName(tenant), policy)).collect();
    if let Some(store) = document.text("store") {
        if store.parse::<std::net::SocketAddr>().is_err() {
            document.report("store", "expected an IP address and port");
        }
        desired_state.store = Some(store);
    }
    desired_state.operators = document.string_map("operators");
    for (name, key_hash) in desired_state.operators.clone() {
        check_key_hash(document, &format!("operators.{name}"), &key_hash);
    }
    read_traffic(document, desired_state);
    read_adapters(document, desired_state);
    let Some(routing_value) = document.take("routing") else { return };
    read_routing(document, routing_value, &mut desired_state.routing);
}

fn read_routing(document: &mut ObjectReader<'_>, value: &JsonValue, routing: &mut RoutingSettings) {
    let mut errors = Vec::new();
    if let Some(mut fields) = ObjectReader::open("routing", value, &mut errors) {
        if let Some(text) = fields.text("sight") {
            match text.as_str() {
                "events" => routing.cache_state_source = CacheStateSource::Events,
                "history" => routing.cache_state_source = CacheStateSource::History,
                "occupancy" => routing.cache_state_source = CacheStateSource::OccupancyOnly,
                _ => fields.report("sight", "expected events, history or occupancy"),
            }
        }
        if let Some(millis) = fields.integer("limit_ms", 100, 10_000) {
            routing.limit = Span::millis(millis);
        }
        if let Some(percent) = fields.integer("trial_percent", 1, 100) {
            routing.trial_percent = percent;
        }
        if let Some(percent) = fields.integer("retry_percent", 0, 20) {
            routing.retry_percent = percent;
        }
        if let Some(millis) = fields.integer("events_late_ms", 100, 60_000) {
            routing.events_late = Span::millis(millis);
        }
        if let Some(micros) = fields.integer("prefill_block_us", 0, 1_000_000) {
            routing.prefill_block = Span::micros(micros);
        }
        if let Some(blocks) = fields.integer("other_region_blocks", 0, 1_000_000) {
            routing.other_region_blocks = blocks;
        }
        if let Some(fetch_value) = fields.take("fetch") {
            read_fetch(&mut fields, fetch_value, &mut routing.fetch);
        }
        fields.finish();
    }
    for error in errors {
        document.report(&error.path, error.reason);
    }
}

fn read_fetch(routing: &mut ObjectReader<'_>, value: &JsonValue, fetch: &mut FetchSettings) {
    let mut errors = Vec::new();
    if let Some(mut fields) = ObjectReader::open("fetch", value, &mut errors) {
        fetch.enabled = fields.flag("enabled").unwrap_or(fetch.enabled);
        let spans = [
            ("setup_us", &mut fetch.setup),
            ("same_zone_block_us", &mut fetch.same_zone_block),
            ("other_zone_block_us", &mut fetch.other_zone_block),
            ("store_block_us", &mut fetch.store_block),
        ];
        for (key, span) in spans {
            if let Some(micros) = fields.integer(key, 0, 10_000_000) {
                *span = Span::micros(micros);
            }
        }
        fields.finish();
    }
    for error in errors {
        routing.report(&error.path, error.reason);
    }
}

fn check_key_hash(reader: &mut ObjectReader<'_>, key: &str, key_hash: &str) {
    let is_hex = key_hash.len() == 64 && key_hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_hex {
        reader.report(key, "expected a SHA-256 in 64 lowercase hex digits");
    }
}

fn check_references(desired_state: &DesiredState, errors: &mut Vec<ValidationError>) {
    check_traffic(desired_state, errors);
    check_adapters(desired_state, errors);
    let mut seen_hashes = BTreeMap::new();
    for (tenant, spec) in &desired_state.tenants {
        for (key_name, key_hash) in &spec.keys {
            let path = format!("tenants.{tenant}.keys.{key_name}");
            if let Some(other_path) = seen_hashes.insert(key_hash, path.clone()) {
                errors.push(ValidationError::at(&path, format!("same key as {other_path}")));
            }
        }
    }
    for (tenant, policy) in &desired_state.trials {
        let path = format!("trials.{tenant}");
        if !desired_state.tenants.contains_key(tenant) {
            errors.push(ValidationError::at(&path, "unknown tenant"));
        }
        if !desired_state.policies.contains_key(policy) {
            errors.push(ValidationError::at(&path, format!("unknown policy {policy}")));
        }
    }
    for (name, policy) in &desired_state.policies {
        for (index, rule) in policy.rules.iter().enumerate() {
            let path = format!("policies.{name}.rules[{index}]");
            if rule.tenant.as_ref().is_some_and(|tenant| !desired_state.tenants.contains_key(tenant)) {
                errors.push(ValidationError::at(&format!("{path}.tenant"), "unknown tenant"));
            }
            if rule.kind.as_ref().is_some_and(|kind| !desired_state.kinds.contains(kind)) {
                errors.push(ValidationError::at(&format!("{path}.kind"), "unknown kind"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn every_error_is_listed_with_its_path() {
        let text = r#"{"models":{"m":{"weights":1.5}},"tenants":{"a":{"walled":1,"sh":2,"keys":{"k":"x"}},"b b":{}},
            "policies":{"p":{"weight":-1,"rules":[{"tenant":"z","weight":1}]}},"trials":{"a":"q"},"routing":{"limit_ms":99}}"#;
        let errors = read_document(&parse_bounded(text, DOCUMENT_BOUNDS).unwrap()).unwrap_err();
        let paths: BTreeSet<&str> = errors.iter().map(|error| error.path.as_str()).collect();
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
        assert_eq!(paths, BTreeSet::from(expected_paths), "{errors:?}");
    }
}
