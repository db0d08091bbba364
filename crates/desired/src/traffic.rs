//! Routes, services and limits: which requests are accepted, which service's engines serve them, how often and for
//! how long they may be attempted, and what callers may send.

use crate::prelude::*;

/// Whether requests of a route may be repeated, and whether their answers are streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once, since it has no side effects.
    Pure,
    /// Runs at most once.
    #[default]
    Effectful,
    /// Answers with a stream of numbered events; runs at most once unless the route is resumable.
    Streaming,
}

/// A weighted target of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Branch {
    pub service: ServiceName,
    pub share: u64,
}

/// A route: the requests it matches, and how they are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    pub variant: RouteKind,
    /// A broken stream may be resumed after its last event.
    pub resumable: bool,
    /// The greatest number of engines one request may be sent to.
    pub attempts: u64,
    /// The longest time a request is held.
    pub limit: Span,
    /// The target time to the answer, or to a stream's first event; an answer within it has full value.
    pub target: Span,
    /// The longest gap between two events of a stream that counts as on time.
    pub gap_target: Span,
    /// 0 is the most urgent.
    pub priority: u64,
    /// Requests need no key.
    pub public: bool,
    pub branches: Vec<Branch>,
}

impl RouteSpec {
    /// Whether a request that may already have run may be sent to an engine again from the start.
    pub fn is_repeatable(&self) -> bool {
        match self.variant {
            RouteKind::Pure => true,
            RouteKind::Effectful => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A store of cached prompt blocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSpec {
    pub address: String,
    pub zone: Zone,
}

/// A service: the models and the capacity of its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    pub models: Vec<ModelName>,
    /// The number of requests that an engine runs at once.
    pub slots: u64,
    /// The number of connections that an engine accepts from all clients together.
    pub connections: u64,
    /// The tokens that an engine's cache holds, for running requests and cached blocks together.
    pub cache_tokens: u64,
    /// The bytes that one cached token takes on a link.
    pub token_bytes: u64,
    /// The bandwidth between engines, in megabits per second.
    pub link_mbps: f64,
    /// The number of long-polling event calls that an engine serves at once.
    pub event_calls: u64,
    pub health_path: String,
    /// Set if the service is a store, which serves no requests.
    pub store: Option<StoreSpec>,
}

impl ServiceSpec {
    /// Whether its engines hold no models, and so have neither weights nor cached blocks.
    pub fn is_without_models(&self) -> bool {
        self.models.is_empty() && self.store.is_none()
    }
}

impl Default for ServiceSpec {
    fn default() -> Self {
        ServiceSpec {
            models: Vec::new(),
            slots: 8,
            connections: 64,
            cache_tokens: 0,
            token_bytes: 0,
            link_mbps: 1000.0,
            event_calls: 8,
            health_path: "/health".into(),
            store: None,
        }
    }
}

/// Limits on the size and the duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub header_bytes: u64,
    pub body_bytes: u64,
    pub header_time: Span,
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Span::seconds(3),
            idle_time: Span::seconds(15),
        }
    }
}

const MAX_BYTES: u64 = 1 << 40;
const MAX_MILLIS: u64 = 1 << 40;

/// Reads the services, routes and limits of the document.
pub(crate) fn read_traffic(document: &mut ObjectReader<'_>, desired_state: &mut DesiredState) {
    document.for_each_entry("services", |name, mut service| {
        let spec = read_service(&mut service);
        desired_state.services.insert(name.into(), spec);
        service.finish();
    });
    document.for_each_entry("routes", |name, mut route| {
        let spec = read_route(&mut route);
        desired_state.routes.insert(name.into(), spec);
        route.finish();
    });
    read_limits(document, &mut desired_state.limits);
}

fn read_service(service: &mut ObjectReader<'_>) -> ServiceSpec {
    let defaults = ServiceSpec::default();
    let store = service.text("store_address").map(|address| {
        if address.parse::<std::net::SocketAddr>().is_err() {
            service.report("store_address", "expected an IP address and port");
        }
        StoreSpec { address, zone: Zone(service.text("store_zone").unwrap_or_default()) }
    });
    ServiceSpec {
        models: service.texts("models").unwrap_or_default().into_iter().map(ModelName).collect(),
        slots: service.integer("slots", 1, 1 << 20).unwrap_or(defaults.slots),
        connections: service.integer("connections", 1, 1 << 24).unwrap_or(defaults.connections),
        cache_tokens: service.integer("cache_tokens", 0, MAX_BYTES).unwrap_or(defaults.cache_tokens),
        token_bytes: service.integer("token_bytes", 0, MAX_BYTES).unwrap_or(defaults.token_bytes),
        link_mbps: service.number("link_mbps", 0.0, 1e12).unwrap_or(defaults.link_mbps),
        event_calls: service.integer("event_calls", 1, 1 << 20).unwrap_or(defaults.event_calls),
        health_path: service.text("health_path").unwrap_or(defaults.health_path),
        store,
    }
}

fn read_route(route: &mut ObjectReader<'_>) -> RouteSpec {
    let variant = match route.text("variant").as_deref() {
        Some("pure") => RouteKind::Pure,
        Some("streaming") => RouteKind::Streaming,
        Some("effectful") | None => RouteKind::Effectful,
        Some(_) => {
            route.report("variant", "expected pure, effectful or streaming");
            RouteKind::Effectful
        }
    };
    let mut millis = |key: &str, lowest: u64, default: u64| {
        Span::millis(route.integer(key, lowest, MAX_MILLIS).unwrap_or(default))
    };
    let (limit, target, gap_target) =
        (millis("limit_ms", 1, 10_000), millis("target_ms", 0, 1000), millis("gap_target_ms", 0, 1000));
    let mut spec = RouteSpec {
        host: route.text("host").unwrap_or_default(),
        prefix: route.text("prefix").unwrap_or_else(|| "/".into()),
        variant,
        resumable: route.flag("resumable").unwrap_or(false),
        attempts: route.integer("attempts", 1, 100).unwrap_or(1),
        limit,
        target,
        gap_target,
        priority: route.integer("priority", 0, 1000).unwrap_or(5),
        public: route.flag("public").unwrap_or(false),
        branches: Vec::new(),
    };
    route.for_each_item("branches", |mut branch| {
        let service = branch.text("service").unwrap_or_default();
        let share = branch.integer("share", 0, 1 << 32).unwrap_or(1);
        spec.branches.push(Branch { service: ServiceName(service), share });
        branch.finish();
    });
    if !(spec.prefix.starts_with('/') && spec.prefix.ends_with('/')) {
        route.report("prefix", "must begin and end with a slash");
    }
    if spec.branches.iter().all(|branch| branch.share == 0) {
        route.report("branches", "the shares add up to nothing");
    }
    spec
}

fn read_limits(document: &mut ObjectReader<'_>, limits: &mut CallerLimits) {
    let Some(mut fields) = document.member("limits") else { return };
    limits.header_bytes = fields.integer("header_bytes", 256, MAX_BYTES).unwrap_or(limits.header_bytes);
    limits.body_bytes = fields.integer("body_bytes", 0, MAX_BYTES).unwrap_or(limits.body_bytes);
    let mut millis = |key: &str, default: Span| fields.integer(key, 1, MAX_MILLIS).map_or(default, Span::millis);
    limits.header_time = millis("header_ms", limits.header_time);
    limits.idle_time = millis("idle_ms", limits.idle_time);
    fields.finish();
}

/// The one spelling of a host's name, which does not depend on the case of its letters.
pub fn normalized_host(host: &str) -> String {
    host.to_ascii_lowercase()
}

/// Checks that routes refer to known services and that no two routes match the same requests.
pub(crate) fn check_traffic(desired_state: &DesiredState, errors: &mut Vec<ValidationError>) {
    let mut matched: BTreeMap<(String, &str), &RouteName> = BTreeMap::new();
    for (name, route) in &desired_state.routes {
        for branch in &route.branches {
            let is_routable =
                desired_state.services.get(&branch.service).is_some_and(|service| service.store.is_none());
            if !is_routable {
                let reason = format!("unknown service {}", branch.service);
                errors.push(ValidationError::at(&format!("routes.{name}.branches"), reason));
            }
        }
        if let Some(other) = matched.insert((normalized_host(&route.host), &route.prefix), name) {
            errors.push(ValidationError::at(&format!("routes.{name}"), format!("same host and prefix as {other}")));
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn errors_of(text: &str) -> Vec<String> {
        let document = parse_bounded(text, DOCUMENT_BOUNDS).unwrap();
        let errors = read_document(&document).err().unwrap_or_default();
        errors.into_iter().map(|error| error.path).collect()
    }

    #[test]
    fn invalid_routes_are_reported_with_their_path() {
        let service = r#""services":{"s":{"models":["m"],"slots":4},"k":{"store_address":"127.0.0.1:1"}}"#;
        let route = |fields: &str| format!(r#"{{{service},"routes":{{"r":{{"host":"h",{fields}}}}}}}"#);
        let valid = route(r#""prefix":"/a/","branches":[{"service":"s","share":1}]"#);
        assert!(errors_of(&valid).is_empty());
        for (fields, path) in [
            (r#""branches":[{"service":"x","share":1}]"#, "routes.r.branches"),
            (r#""branches":[{"service":"k","share":1}]"#, "routes.r.branches"),
            (r#""branches":[{"service":"s","share":0}]"#, "routes.r.branches"),
            (r#""prefix":"a/","branches":[{"service":"s"}]"#, "routes.r.prefix"),
            (r#""limit_ms":0,"branches":[{"service":"s"}]"#, "routes.r.limit_ms"),
        ] {
            assert_eq!(errors_of(&route(fields)), [path], "{fields}");
        }
        let duplicate = format!(
            r#"{{{service},"routes":{{"r":{{"host":"h","branches":[{{"service":"s"}}]}},"q":{{"host":"h","branches":[{{"service":"s"}}]}}}}}}"#
        );
        assert_eq!(errors_of(&duplicate), ["routes.r"]);
    }
}
