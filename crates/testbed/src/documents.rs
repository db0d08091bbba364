//! The desired state of a fleet: its initial document and changes to it.

use crate::prelude::*;

impl Fleet {
    /// The edition of the document in force.
    pub fn desired_edition(&self) -> Result<u64, String> {
        for keeper in self.keepers.iter().filter(|keeper| keeper.process.is_some()) {
            let request = OutgoingRequest::get("/v1/desired-state")
                .header("authorization", format!("Bearer {}", self.operator_key));
            let Ok((status, headers, _)) =
                self.runtime.block_on(fetch_response(&keeper.operator_address, request, REQUEST_TIMEOUT, 4 << 20))
            else {
                continue;
            };
            let tag = headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("");
            if status == StatusCode::OK
                && let Ok(edition) = tag.trim_matches('"').parse()
            {
                return Ok(edition);
            }
        }
        Err("no keeper returned the edition of the desired state".into())
    }

    /// Replaces the document and returns the new edition.
    pub fn put_document(&self, document: &Value) -> Result<u64, String> {
        self.change(Method::PUT, document)
    }

    /// Merges a patch into the document and returns the new edition.
    pub fn patch_document(&self, patch: &Value) -> Result<u64, String> {
        self.change(Method::PATCH, patch)
    }

    fn change(&self, method: Method, body: &Value) -> Result<u64, String> {
        let base = self.desired_edition()?;
        let (status, answer) = self.operator_request(method, "/v1/desired-state", Some(body), Some(base))?;
        if status != 200 {
            return Err(format!("the change was refused with status {status}: {answer}"));
        }
        let edition = answer["edition"].as_u64().ok_or("the response has no edition")?;
        self.record_event(EventLine::Acked { at: boot_millis(), edition });
        Ok(edition)
    }

    /// The initial document of a fleet: eight tenants, two of them walled.
    pub fn initial_document(&self) -> Value {
        let tenants: BTreeMap<String, Value> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(number, (tenant, key))| {
                let walled = number == 1 || number == 5;
                if walled {
                    self.record_event(EventLine::Walled { at: boot_millis(), tenant: tenant.clone() });
                }
                (tenant.clone(), json!({"walled": walled, "share": 200, "keys": {"main": sha256_hex(key)}}))
            })
            .collect();
        let kinds = if self.plan.office == "sms" {
            json!(["reminders", "payment", "classify"])
        } else {
            json!(["layout", "part", "check"])
        };
        json!({
            "models": {"model": {"weights": 1}}, "tenants": tenants, "kinds": kinds,
            "policies": {"default": {"weight": self.plan.weight}},
            "routing": {"sight": self.plan.overlap_source, "fetch": self.fetch_costs()}, "store": self.store_address,
            "operators": {"founder": sha256_hex(&self.operator_key)},
        })
    }

    /// The link costs in the desired state; the links of the `sms` office are clearly slower.
    fn fetch_costs(&self) -> Value {
        match self.plan.office.as_str() {
            "sms" => json!({"same_zone_block_us": SLOW_LINK_US, "other_zone_block_us": SLOW_LINK_US,
                            "store_block_us": SLOW_LINK_US}),
            _ => json!({"same_zone_block_us": QUICK_LINK_US, "other_zone_block_us": QUICK_LINK_US,
                        "store_block_us": QUICK_LINK_US}),
        }
    }
}
