//! Requests and responses in the `OpenAI` format.

use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Number of tokens of a completion if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// API of a request, which determines the format of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

/// A completion request of either API.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Name of the model or adapter.
    #[serde(default)]
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a text completion.
    #[serde(default)]
    prompt: String,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

impl Completion {
    /// Returns the prompt: that of a text completion, or the chat's messages,
    /// joined by newlines.
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

    /// Returns the number of tokens to generate, at least one.
    #[must_use]
    pub fn output_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// Token usage of a request.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached: u64,
    /// Number of tokens of the completion.
    pub output: u64,
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// Returns a hash of a prompt; the tokens of the completion contain it, so that
/// tests can tell which prompt was completed.
#[must_use]
pub fn digest(prompt: &str) -> String {
    format!("{:016x}", xxh3::xxh3_64(prompt.as_bytes()))
}

/// Returns one token of the completion of the prompt with this digest.
#[must_use]
pub fn token(digest: &str, number: u64) -> String {
    format!("{digest}.{number} ")
}

/// Returns the text with which a prompt is completed.
#[must_use]
pub fn completion_text(prompt: &str, tokens: u64) -> String {
    let digest = digest(prompt);
    let mut text = String::new();
    for number in 0..tokens {
        text.push_str(&token(&digest, number));
    }
    text
}

fn chunk_json(api: Api, completion: &Completion, text: &str, finish_reason: Value) -> Value {
    let (object, mut choice) = match api {
        Api::Chat => ("chat.completion.chunk", json!({"delta": {"content": text}})),
        Api::Text => ("text_completion", json!({"text": text})),
    };
    choice["index"] = json!(0);
    choice["finish_reason"] = finish_reason;
    json!({"object": object, "model": completion.model, "choices": [choice]})
}

/// Encodes one token as a server-sent event.
#[must_use]
pub fn chunk(api: Api, completion: &Completion, text: &str) -> String {
    format!(
        "data: {}\n\n",
        chunk_json(api, completion, text, Value::Null)
    )
}

/// Encodes the server-sent events that end a stream.
#[must_use]
pub fn last_chunk(api: Api, completion: &Completion, usage: &Usage) -> String {
    let mut last = chunk_json(api, completion, "", json!("length"));
    last["usage"] = usage.to_json();
    format!("data: {last}\n\ndata: [DONE]\n\n")
}

/// Builds the body of a response that is not streamed.
#[must_use]
pub fn response(api: Api, completion: &Completion, text: &str, usage: &Usage) -> Value {
    let (object, mut choice) = match api {
        Api::Chat => (
            "chat.completion",
            json!({"message": {"role": "assistant", "content": text}}),
        ),
        Api::Text => ("text_completion", json!({"text": text})),
    };
    choice["index"] = json!(0);
    choice["finish_reason"] = json!("length");
    json!({
        "object": object,
        "model": completion.model,
        "choices": [choice],
        "usage": usage.to_json(),
    })
}
