//! The fields that the scheduler reads from the body of a model request.

use std::borrow::Cow;

use serde::Deserialize;

/// The relevant fields of an OpenAI-style request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: Option<String>,
    /// Contents of the messages and the prompt, joined by line feeds.
    pub text: String,
    /// Maximum number of output tokens.
    pub max_tokens: Option<u64>,
    /// Whether the response is streamed token by token.
    pub stream: bool,
}

#[derive(Deserialize)]
struct WireRequest<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Vec<WireMessage<'a>>,
    #[serde(borrow)]
    prompt: Option<WireText<'a>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
}

#[derive(Deserialize)]
struct WireMessage<'a> {
    #[serde(borrow)]
    content: Option<WireText<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireText<'a> {
    One(#[serde(borrow)] Cow<'a, str>),
    Many(#[serde(borrow)] Vec<WirePart<'a>>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WirePart<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Part {
        #[serde(borrow)]
        text: Option<Cow<'a, str>>,
    },
}

impl Prompt {
    /// Parses the body of a model request.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of the expected structure.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let wire: WireRequest<'_> = serde_json::from_slice(body)?;
        let mut text = String::new();
        for message in &wire.messages {
            let Some(content) = &message.content else {
                continue;
            };
            append(&mut text, content);
        }
        if let Some(prompt) = &wire.prompt {
            append(&mut text, prompt);
        }
        Ok(Self {
            model: wire.model.map(Cow::into_owned),
            text,
            stream: wire.stream.unwrap_or_default(),
            max_tokens: wire.max_completion_tokens.or(wire.max_tokens),
        })
    }
}

fn append(text: &mut String, content: &WireText<'_>) {
    match content {
        WireText::One(one) => append_line(text, one),
        WireText::Many(parts) => {
            for part in parts {
                match part {
                    WirePart::Text(one) | WirePart::Part { text: Some(one) } => {
                        append_line(text, one);
                    }
                    WirePart::Part { text: None } => {}
                }
            }
        }
    }
}

fn append_line(text: &mut String, line: &str) {
    if !text.is_empty() {
        text.push('\n');
    }
    text.push_str(line);
}
