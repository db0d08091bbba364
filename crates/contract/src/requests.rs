//! Callers' requests: OpenAI's completion shapes with a few fields of our own, and bounds.

use crate::prelude::*;

pub const MAX_REQUEST_BYTES: usize = 4 << 20;
pub const RUN_HEADER: &str = "x-haremount-run";
pub const OUTCOME_HEADER: &str = "x-haremount-outcome";

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerRequest {
    pub model: String,
    /// Of the completion form.
    pub prompt: Option<String>,
    /// Of the chat form.
    pub messages: Option<Vec<ChatMessage>>,
    pub max_tokens: Option<u64>,
    pub stream: bool,
    /// What sort of request this is, one of the desired state's kinds.
    pub kind: Option<String>,
    pub repeatable: bool,
    pub limit_ms: Option<u64>,
    /// Taken and passed over: fields that common clients send.
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
    pub n: Option<u64>,
    pub user: Option<String>,
    pub stop: Option<serde_json::Value>,
    pub seed: Option<i64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

impl CallerRequest {
    /// The prompt as engines get it.
    pub fn prompt_text(&self) -> Result<String, String> {
        match (&self.prompt, &self.messages) {
            (Some(_), Some(_)) => Err("prompt and messages exclude each other".into()),
            (Some(prompt), None) => Ok(prompt.clone()),
            (None, Some(messages)) if !messages.is_empty() => {
                Ok(messages.iter().map(|message| format!("<{}>{}\n", message.role, message.content)).collect())
            }
            _ => Err("prompt is missing".into()),
        }
    }
}
