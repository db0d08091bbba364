//! The route table and its lookup.

use crate::prelude::*;

/// A route's name and specification.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRoute {
    pub name: RouteName,
    pub spec: RouteSpec,
}

impl NamedRoute {
    /// The service for a sample: each branch gets its share of all samples; `None` if no branch has a share.
    pub fn service(&self, sample: u64) -> Option<&ServiceName> {
        let total: u64 = self.spec.branches.iter().map(|branch| branch.share).sum();
        let mut offset = sample.checked_rem(total)?;
        for branch in &self.spec.branches {
            if offset < branch.share {
                return Some(&branch.service);
            }
            offset -= branch.share;
        }
        None
    }

    /// Whether the route sends any requests to the service.
    pub fn allows(&self, service: &ServiceName) -> bool {
        self.spec.branches.iter().any(|branch| branch.share > 0 && branch.service == *service)
    }
}

/// All routes, by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<NamedRoute>>>,
}

impl RouteTable {
    /// The routes of a desired state.
    pub fn of(desired: &DesiredState) -> RouteTable {
        let mut table = RouteTable::default();
        for (name, spec) in &desired.routes {
            let named_route = Arc::new(NamedRoute { name: name.clone(), spec: spec.clone() });
            let host = table.hosts.entry(normalized_host(&spec.host)).or_default();
            host.insert(spec.prefix.clone(), named_route);
        }
        table
    }

    /// The route of the host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let host_name = normalized_host(host_without_port(host));
        let prefixes = self.hosts.get(&host_name)?;
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(place, _)| place);
        let ends: Vec<usize> = slashes.collect();
        ends.into_iter().rev().find_map(|end| prefixes.get(&path[..=end]))
    }

    /// The number of routes.
    pub fn count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}

fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
