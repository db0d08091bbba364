//! Callers' requests: OpenAI's completion and chat formats with a few additional fields.

use crate::prelude::*;

/// The maximum size of a request body.
pub const MAX_REQUEST_BYTES: usize = 4 << 20;
pub const RUN_HEADER: &str = "x-haremount-run";
pub const OUTCOME_HEADER: &str = "x-haremount-outcome";

/// The body of a completion or chat request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerRequest {
    pub model: String,
    /// Set in a completion request.
    pub prompt: Option<String>,
    /// Set in a chat request.
    pub messages: Option<Vec<ChatMessage>>,
    pub max_tokens: Option<u64>,
    pub stream: bool,
    /// The request kind, one of those declared in the desired state.
    pub kind: Option<String>,
    pub repeatable: bool,
    pub limit_ms: Option<u64>,
    // The fields from here on are accepted because common clients send them, and ignored.
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
    pub n: Option<u64>,
    pub user: Option<String>,
    pub stop: Option<serde_json::Value>,
    pub seed: Option<i64>,
}

/// A message of a chat request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

impl CallerRequest {
    /// The prompt text that is sent to engines. Chat messages are concatenated, each preceded by its role.
    pub fn prompt_text(&self) -> Result<String, String> {
        match (&self.prompt, &self.messages) {
            (Some(_), Some(_)) => Err("prompt and messages are mutually exclusive".into()),
            (Some(prompt), None) => Ok(prompt.clone()),
            (None, Some(messages)) if !messages.is_empty() => {
                Ok(messages.iter().map(|message| format!("<{}>{}\n", message.role, message.content)).collect())
            }
            _ => Err("prompt is missing".into()),
        }
    }
}
