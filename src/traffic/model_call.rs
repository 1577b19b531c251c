//! Reads what the daemon needs from a chat or completions request.

use serde::Deserialize;
use serde_json::Value;

/// The parts of a request body that the daemon reads; the body itself is passed on unchanged.
#[derive(Debug, Deserialize)]
pub struct ModelCall {
    /// The model, which is the service's name.
    pub model: String,
    /// True for server-sent events.
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
    /// Reads a body; the error names line and column.
    pub fn read(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// Most output tokens, if the caller says.
    pub fn output_limit(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// The prompt's text, all parts in order.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        self.messages.iter().for_each(|message| append_text(&message.content, &mut text));
        self.prompt.iter().for_each(|prompt| append_text(prompt, &mut text));
        text
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
