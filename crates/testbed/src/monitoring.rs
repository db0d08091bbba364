//! Reads the state of a fleet and waits for conditions on it.

use crate::prelude::*;

impl Fleet {
    /// The operators' overview of the fleet (`/v1/fleet`).
    pub fn fleet_page(&self) -> Result<Value, String> {
        let (status, page) = self.operator_request(Method::GET, "/v1/fleet", None, None)?;
        if status == 200 { Ok(page) } else { Err(format!("/v1/fleet returned status {status}")) }
    }

    /// Waits until the chain has the given number of keepers.
    pub fn wait_for_chain(&self, chain_length: usize) -> Result<(), String> {
        let formed = wait_until(Duration::from_secs(40), || {
            self.fleet_page().is_ok_and(|page| page["view"]["chain"].as_array().map(Vec::len) == Some(chain_length))
        });
        if formed {
            Ok(())
        } else {
            Err(format!("the chain did not reach {chain_length} keepers: {:?}", self.fleet_page()))
        }
    }

    /// Whether a process reports that it is ready.
    pub fn is_ready(&self, address: &str) -> Result<bool, String> {
        let response = fetch_response(address, OutgoingRequest::get("/ready"), Span::seconds(2), 1 << 10);
        self.runtime.block_on(response).map(|(status, _, _)| status == StatusCode::OK)
    }

    /// The metrics page of a process.
    pub fn metrics(&self, address: &str) -> Result<String, String> {
        let response = fetch_response(address, OutgoingRequest::get("/metrics"), Span::seconds(2), 16 << 20);
        let (_, _, body) = self.runtime.block_on(response)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// The value of one metric of a process.
    pub fn metric(&self, address: &str, name: &str) -> Option<u64> {
        let text = self.metrics(address).ok()?;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until every running router holds a lease and has this edition in force, and every engine is confirmed.
    pub fn wait_until_served(&self, edition: u64) -> Result<(), String> {
        let served = wait_until(Duration::from_secs(40), || {
            let routers_serve = self.nodes.iter().filter(|node| node.router.is_some()).all(|node| {
                self.metric(&node.router_address, "haremount_router_edition").is_some_and(|seen| seen >= edition)
                    && self
                        .metric(&node.router_address, "haremount_router_lease_left_ms")
                        .is_some_and(|left| left > 0)
            });
            routers_serve && self.engines_confirmed()
        });
        if served {
            Ok(())
        } else {
            Err(format!("the fleet does not serve edition {edition}: {:?}", self.fleet_page()))
        }
    }

    /// Whether every running engine is confirmed and open.
    pub fn engines_confirmed(&self) -> bool {
        let running_engines = self.engines.iter().filter(|engine| engine.process.is_some()).count();
        self.fleet_page().is_ok_and(|page| {
            let confirmed = page["engines"].as_array().map_or(0, |engines| {
                engines.iter().filter(|engine| engine["weights"].is_u64() && engine["closed"] == false).count()
            });
            confirmed >= running_engines
        })
    }

    /// Records a sample of every running router.
    pub fn sample_routers(&self) {
        for node in &self.nodes {
            let Some(router) = &node.router else { continue };
            let at = boot_millis();
            let edition = self.metric(&node.router_address, "haremount_router_edition");
            let left = self.metric(&node.router_address, "haremount_router_lease_left_ms");
            let attempts = self.metric(&node.router_address, "haremount_router_shots_total");
            let retries = self.metric(&node.router_address, "haremount_router_retries_total");
            if let (Some(edition), Some(left), Some(attempts), Some(retries)) = (edition, left, attempts, retries) {
                let router = router.ready.get("id").cloned().unwrap_or_default();
                self.record_event(EventLine::Sample { at, router, edition, leased: left > 0, attempts, retries });
            }
        }
    }
}
