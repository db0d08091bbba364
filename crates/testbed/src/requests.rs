//! Requests to the parts of a fleet: as anybody, as the operator, as a tenant.

use crate::prelude::*;

pub(crate) const REQUEST_TIMEOUT: Span = Span::seconds(12);

impl Fleet {
    /// Asks a process for a page; the status and the answer.
    pub fn request(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), String> {
        let question = match body {
            Some(value) => OutgoingRequest::with_json(method, path, value),
            None => OutgoingRequest { method, ..OutgoingRequest::get(path) },
        };
        self.send_request(address, question)
    }

    /// Asks a process; the status and the answer.
    pub fn send_request(&self, address: &str, question: OutgoingRequest) -> Result<(u16, Value), String> {
        let (status, value) = self.runtime.block_on(fetch_json(address, question, REQUEST_TIMEOUT))?;
        Ok((status.as_u16(), value))
    }

    /// Asks as the operator, through the first keeper that answers; one that says it has no part in the core
    /// now is passed over for another.
    pub fn operator_request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut last_outcome = Err(String::from("no keeper runs"));
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

    /// Asks one keeper as the operator.
    pub fn operator_request_at(
        &self,
        door: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut question = match body {
            Some(value) => OutgoingRequest::with_json(method, path, value),
            None => OutgoingRequest { method, ..OutgoingRequest::get(path) },
        };
        question = question.header("authorization", format!("Bearer {}", self.operator_key));
        if let Some(edition) = if_match {
            question = question.header("if-match", format!("\"{edition}\""));
        }
        self.send_request(door, question)
    }

    /// One request to a router; the status and the answer.
    pub fn complete(&self, router: usize, tenant: usize, prompt: &str) -> Result<(u16, Value), String> {
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": 4});
        let question = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", self.tenants[tenant].1));
        self.send_request(&self.router_address(router), question)
    }
}
