//! Parses the fields of a chat or completions request that the daemon needs.

use crate::quarantine::PromptPart;
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of messages that count as parts of a prompt.
const MAX_PROMPT_PARTS: usize = 64;

/// Fields of a request body that the daemon reads; the body itself is forwarded unchanged.
#[derive(Debug, Deserialize)]
pub struct ModelCall {
    /// Model name, which is also the service's name.
    pub model: String,
    /// True if the answer is to be sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: Value,
}

impl ModelCall {
    /// Parses a body; the error states line and column.
    pub fn read(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// Maximum number of output tokens, if the caller sets one.
    pub fn output_limit(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Text of the prompt: all its parts, concatenated in order.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        self.messages.iter().for_each(|message| append_text(&message.content, &mut text));
        self.prompt.iter().for_each(|prompt| append_text(prompt, &mut text));
        text
    }

    /// The messages of the prompt that other calls may share: all but the last.
    pub fn prompt_parts(&self) -> Box<[PromptPart]> {
        let shared = self.messages.split_last().map_or(&[][..], |(_, shared)| shared);
        let part = |message: &ChatMessage| {
            let mut text = String::new();
            append_text(&message.content, &mut text);
            PromptPart::of(text.as_bytes())
        };
        shared.iter().take(MAX_PROMPT_PARTS).map(part).collect()
    }
}

fn append_text(value: &Value, text: &mut String) {
    match value {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| append_text(part, text)),
        Value::Object(fields) => {
            fields.get("text").into_iter().for_each(|part| append_text(part, text))
        }
        _ => {}
    }
}
