//! Splits an engine's stream into events, and formats pieces and whole answers for the caller. The attempt state
//! machine decides whether they are sent on.

use crate::prelude::*;

/// Reads the data of a stream's events.
#[derive(Default)]
pub struct EventReader {
    blocks: EventBlocks,
}

impl EventReader {
    /// Appends bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.blocks.feed(bytes);
    }

    /// Takes the data of the next complete event; an error ends the stream.
    pub fn next_data(&mut self) -> Option<Result<String, String>> {
        loop {
            match self.blocks.next_block()? {
                Ok(EventBlock::Filler(_)) => {}
                Ok(EventBlock::Event(event)) => {
                    return Some(String::from_utf8(event.data).map_err(|error| error.to_string()));
                }
                Err(fault) => return Some(Err(format!("the engine's stream is unsound: {fault:?}"))),
            }
        }
    }

    /// Whether no bytes of an incomplete event are left.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_at_boundary()
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
            reader.feed(&[*byte]);
            found.extend(reader.next_data());
        }
        assert_eq!(found, [Ok("{\"a\":1}".to_owned()), Ok("x\ny".to_owned())]);
        assert!(!reader.is_empty());
        reader.feed(&vec![b'x'; MAX_EVENT_BYTES]);
        assert!(matches!(reader.next_data(), Some(Err(_))));
    }
}
