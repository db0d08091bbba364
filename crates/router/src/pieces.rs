//! Splits an engine's stream into events, and formats pieces and whole answers for the caller. The attempt state
//! machine decides whether they are sent on.

use crate::prelude::*;

/// Maximum size of the buffered bytes of an event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into the data of its server-sent events.
#[derive(Default)]
pub struct EventReader {
    pending: Vec<u8>,
}

impl EventReader {
    /// Appends bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), String> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err("an event exceeds the size limit".into());
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the data of the next complete event.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.pending.windows(2).position(|pair| pair == b"\n\n")?;
            let event_bytes: Vec<u8> = self.pending.drain(..end + 2).collect();
            let event_text = String::from_utf8_lossy(&event_bytes).into_owned();
            let data: Vec<&str> =
                event_text.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim_start).collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }

    /// Whether no bytes of an incomplete event are left.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// A piece of an answer in the format of the caller's request.
pub fn format_piece(completion: Completion, run: &str, format: ApiFormat) -> Value {
    let choices: Vec<Value> = completion
        .choices
        .into_iter()
        .map(|choice| match format {
            ApiFormat::Completion => {
                json!({"index": choice.index, "text": choice.text, "finish_reason": choice.finish_reason})
            }
            ApiFormat::Chat => json!({"index": choice.index, "delta": {"content": choice.text},
                                 "finish_reason": choice.finish_reason}),
        })
        .collect();
    let object = if format == ApiFormat::Chat { "chat.completion.chunk" } else { "text_completion" };
    let mut formatted =
        json!({"id": run, "shot": completion.id, "object": object, "model": completion.model, "choices": choices});
    if let Some(adapter) = completion.adapter {
        formatted["adapter"] = json!(adapter);
    }
    if let Some(usage) = completion.usage {
        formatted["usage"] = json!(usage);
    }
    formatted
}

/// A whole answer in the format of the caller's request.
pub fn format_answer(completion: Completion, run: &str, format: ApiFormat) -> Value {
    let mut formatted = format_piece(completion, run, format);
    if format == ApiFormat::Chat {
        formatted["object"] = json!("chat.completion");
        if let Some(choices) = formatted["choices"].as_array_mut() {
            for choice in choices {
                let content = choice["delta"]["content"].take();
                choice["message"] = json!({"role": "assistant", "content": content});
                if let Some(fields) = choice.as_object_mut() {
                    fields.remove("delta");
                }
            }
        }
    }
    formatted
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn events_are_read_whole_however_the_bytes_are_split() {
        let mut reader = EventReader::default();
        let mut found = Vec::new();
        for byte in b"data: {\"a\":1}\n\n: note\n\ndata: x\ndata: y\n\ndata: part" {
            reader.feed(&[*byte]).unwrap();
            found.extend(reader.next_data());
        }
        assert_eq!(found, ["{\"a\":1}", "x\ny"]);
        assert!(!reader.is_empty());
        assert!(reader.feed(&vec![b'x'; MAX_EVENT_BYTES]).is_err());
    }
}
