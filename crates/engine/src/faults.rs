//! Fault injection for tests.

use crate::prelude::*;

/// The faults that a test has injected.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Cut streams of requests that arrive from now on after this many pieces.
    pub cut_after: Option<u64>,
    /// Answer with the id of another attempt.
    pub wrong_attempt: bool,
    /// Withhold cache events: polls return none.
    pub hide_events: bool,
    /// Answer every completion request with 500.
    pub refuse: bool,
    /// The time to fetch a block, in microseconds, in place of the configured one.
    pub link_us: Option<u64>,
    /// The time to decode a token, in microseconds, in place of the configured one; also for running requests.
    pub decode_us: Option<u64>,
    /// Answer as if this adapter had been used.
    pub wrong_adapter: Option<String>,
}

impl EngineServer {
    /// Replaces the injected faults by those in a JSON body; any that it leaves out are switched off.
    pub(crate) fn set_faults(&self, body: &[u8]) -> WebResponse {
        let Ok(requested) = serde_json::from_slice::<Value>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not JSON");
        };
        let mut faults = locked(&self.faults);
        faults.cut_after = requested["cut_after"].as_u64();
        faults.wrong_attempt = requested["wrong_shot"] == true;
        faults.hide_events = requested["hide_events"] == true;
        faults.refuse = requested["refuse"] == true;
        faults.link_us = requested["link_us"].as_u64();
        faults.decode_us = requested["decode_us"].as_u64();
        faults.wrong_adapter = requested["answers_as"].as_str().map(str::to_owned);
        json_response(StatusCode::OK, &json!({}))
    }
}
