//! Faults that a test may have the engine show.

use crate::prelude::*;

/// Faults that a test may ask for.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Cut the next streams after so many pieces.
    pub cut_after: Option<u64>,
    /// Answer with another attempt's id.
    pub wrong_shot: bool,
    /// Hold back events: polls answer nothing new.
    pub hide_events: bool,
    /// Answer every request with 500.
    pub refuse: bool,
    /// A slower link to fetch over, microseconds a block.
    pub link_us: Option<u64>,
    /// Another cost of a token than it was started with, microseconds; also for what runs already.
    pub decode_us: Option<u64>,
    /// Answer as if made on this adapter.
    pub answers_as: Option<String>,
}

impl EngineSite {
    /// Takes the faults that a body names; those it does not name end.
    pub(crate) fn set_faults(&self, body: &[u8]) -> WebResponse {
        let Ok(wished) = serde_json::from_slice::<Value>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "no JSON");
        };
        let mut faults = held(&self.faults);
        faults.cut_after = wished["cut_after"].as_u64();
        faults.wrong_shot = wished["wrong_shot"] == true;
        faults.hide_events = wished["hide_events"] == true;
        faults.refuse = wished["refuse"] == true;
        faults.link_us = wished["link_us"].as_u64();
        faults.decode_us = wished["decode_us"].as_u64();
        faults.answers_as = wished["answers_as"].as_str().map(str::to_owned);
        json_response(StatusCode::OK, &json!({}))
    }
}
