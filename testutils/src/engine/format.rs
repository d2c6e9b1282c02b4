//! Requests and answers in the `OpenAI` format.

use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Number of tokens of an answer if the request does not say.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Which of the two paths a request took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Its text.
    #[serde(default)]
    pub content: String,
}

/// A request.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Model or adapter.
    #[serde(default)]
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a plain completion.
    #[serde(default)]
    prompt: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

impl Completion {
    /// Returns the text that is computed.
    #[must_use]
    pub fn prompt(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let mut texts = Vec::new();
        for message in &self.messages {
            texts.push(message.content.as_str());
        }
        texts.join("\n")
    }

    /// Returns the number of tokens of the answer.
    #[must_use]
    pub fn output(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// What a request took.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Those of them that were cached.
    pub cached: u64,
    /// Tokens of the answer.
    pub output: u64,
}

impl Usage {
    fn value(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// Returns a short name of a prompt, by which its answer can be told.
#[must_use]
pub fn digest(prompt: &str) -> String {
    format!("{:016x}", xxh3::xxh3_64(prompt.as_bytes()))
}

/// Returns one token of the answer to a prompt.
#[must_use]
pub fn token(digest: &str, number: u64) -> String {
    format!("{digest}.{number} ")
}

/// Returns the whole text of the answer to a prompt.
#[must_use]
pub fn text(prompt: &str, tokens: u64) -> String {
    let digest = digest(prompt);
    let mut text = String::new();
    for number in 0..tokens {
        text.push_str(&token(&digest, number));
    }
    text
}

fn event(shape: Shape, completion: &Completion, text: &str, finish: Value) -> Value {
    let (object, mut choice) = match shape {
        Shape::Chat => ("chat.completion.chunk", json!({"delta": {"content": text}})),
        Shape::Text => ("text_completion", json!({"text": text})),
    };
    choice["index"] = json!(0);
    choice["finish_reason"] = finish;
    json!({"object": object, "model": completion.model, "choices": [choice]})
}

/// Encodes one token as a server-sent event.
#[must_use]
pub fn chunk(shape: Shape, completion: &Completion, text: &str) -> String {
    format!("data: {}\n\n", event(shape, completion, text, Value::Null))
}

/// Encodes the events that end a stream.
#[must_use]
pub fn last_chunk(shape: Shape, completion: &Completion, usage: &Usage) -> String {
    let mut last = event(shape, completion, "", json!("length"));
    last["usage"] = usage.value();
    format!("data: {last}\n\ndata: [DONE]\n\n")
}

/// Builds an answer that is not streamed.
#[must_use]
pub fn whole(shape: Shape, completion: &Completion, text: &str, usage: &Usage) -> Value {
    let (object, mut choice) = match shape {
        Shape::Chat => (
            "chat.completion",
            json!({"message": {"role": "assistant", "content": text}}),
        ),
        Shape::Text => ("text_completion", json!({"text": text})),
    };
    choice["index"] = json!(0);
    choice["finish_reason"] = json!("length");
    json!({
        "object": object,
        "model": completion.model,
        "choices": [choice],
        "usage": usage.value(),
    })
}
