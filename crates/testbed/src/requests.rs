//! Requests to the processes of a fleet: without credentials, as the operator, or as a tenant.

use crate::prelude::*;

pub(crate) const REQUEST_TIMEOUT: Span = Span::seconds(12);

impl Fleet {
    /// Sends a request with an optional JSON body and returns the status and the JSON response.
    pub fn request(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), String> {
        let request = match body {
            Some(value) => OutgoingRequest::with_json(method, path, value),
            None => OutgoingRequest { method, ..OutgoingRequest::get(path) },
        };
        self.send_request(address, request)
    }

    /// Sends a prepared request and returns the status and the JSON response.
    pub fn send_request(&self, address: &str, request: OutgoingRequest) -> Result<(u16, Value), String> {
        let (status, value) = self.runtime.block_on(fetch_json(address, request, REQUEST_TIMEOUT))?;
        Ok((status.as_u16(), value))
    }

    /// Sends a request as the operator to the first keeper that answers; a keeper that is not part of the core at the
    /// moment (503) is skipped.
    pub fn operator_request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut last_outcome = Err(String::from("no keeper is running"));
        for keeper in self.keepers.iter().filter(|keeper| keeper.process.is_some()) {
            match self.operator_request_at(&keeper.operator_address, method.clone(), path, body, if_match) {
                Ok((503, answer)) => last_outcome = Ok((503, answer)),
                Ok(answer) => return Ok(answer),
                Err(reason) if last_outcome.is_err() => last_outcome = Err(reason),
                Err(_) => {}
            }
        }
        last_outcome
    }

    /// Sends a request as the operator to one keeper.
    pub fn operator_request_at(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut request = match body {
            Some(value) => OutgoingRequest::with_json(method, path, value),
            None => OutgoingRequest { method, ..OutgoingRequest::get(path) },
        };
        request = request.header("authorization", format!("Bearer {}", self.operator_key));
        if let Some(edition) = if_match {
            request = request.header("if-match", format!("\"{edition}\""));
        }
        self.send_request(address, request)
    }

    /// Sends a tenant's completion request to a router and returns the status and the response.
    pub fn complete(&self, router: usize, tenant: usize, prompt: &str) -> Result<(u16, Value), String> {
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": 4});
        let request = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", self.tenants[tenant].1));
        self.send_request(&self.router_address(router), request)
    }
}
