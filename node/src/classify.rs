//! Filter: finds the call that a request matches and builds its profile.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{id, prefix, request::Profile, size::Tokens, text, time};
use http::{HeaderMap, Method, StatusCode, Uri, request::Parts};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    problem::{Problem, Reason},
    prompt::Prompt,
    rules::Rules,
};

/// Header that asks for a lower tier.
pub const TIER: &str = "dottereltally-tier";
/// Header that shortens the deadline.
pub const DEADLINE: &str = "dottereltally-deadline";

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Time that an engine may take for a token of an answer in one piece.
const TOKEN_TIME: Duration = Duration::from_millis(100);
/// Most tokens that a request may ask for.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;
/// Tokens of an answer whose request names no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 512;

/// Calls that a request's method and path match, whatever model it names.
#[derive(Debug)]
pub struct Candidates<'a> {
    calls: Vec<&'a text::Call>,
}

/// A classified request.
#[derive(Debug)]
pub struct Class {
    /// What the decision core needs to know.
    pub profile: Arc<Profile>,
    /// What stands behind the service.
    pub kind: text::Kind,
    /// Whether a non-idempotent call is served without a key.
    pub unkeyed: bool,
    /// Time that the answer may take before its first byte, because it comes
    /// in one piece.
    pub allowance: Duration,
}

/// Finds the calls that match a method and path.
///
/// # Errors
///
/// Fails with 404 if no call has the path, with 405 if none has the method,
/// with 400 if the path could be taken for another one.
pub fn candidates<'a>(
    rules: &'a Rules,
    method: &Method,
    uri: &Uri,
) -> Result<Candidates<'a>, Problem> {
    if has_dot_segment(uri.path()) {
        return Err(malformed(
            "the path has a `.` or `..` segment; send it without".to_owned(),
        ));
    }
    let mut calls = Vec::new();
    let mut path_known = false;
    for call in rules.text.calls.values() {
        let any_model = call.model.as_ref();
        path_known |= call.matches(&call.method, uri.path(), any_model);
        if call.matches(method.as_str(), uri.path(), any_model) {
            calls.push(call);
        }
    }
    if !calls.is_empty() {
        return Ok(Candidates { calls });
    }
    let status = if path_known {
        StatusCode::METHOD_NOT_ALLOWED
    } else {
        StatusCode::NOT_FOUND
    };
    let detail = format!(
        "no call of the operators' text matches {method} {}; check the method and path",
        uri.path()
    );
    Err(Problem::unread(status, Reason::NoCall, detail))
}

impl Candidates<'_> {
    /// Returns whether every call that the request can still match is idempotent.
    #[must_use]
    pub fn all_idempotent(&self) -> bool {
        self.calls.iter().all(|call| call.idempotent)
    }

    /// Chooses the call and builds the profile.
    ///
    /// # Errors
    ///
    /// Fails with 400 or 404 and what to change in the request.
    pub fn classify(
        &self,
        rules: &Rules,
        workspace: id::Workspace,
        parts: &Parts,
        body: &Bytes,
        received: time::Instant,
    ) -> Result<Class, Problem> {
        let prompt = self.prompt(rules, body)?;
        let model = prompt.as_ref().and_then(|prompt| prompt.model.as_deref());
        let model_id = model.map(id::Model::from);
        let (name, call) = rules
            .text
            .call(parts.method.as_str(), parts.uri.path(), model_id.as_ref())
            .ok_or_else(|| unknown_model(model))?;
        let service = &rules.text.services[&call.service];
        check_model(service, model_id.as_ref())?;
        let tier = tier(&rules.text, call.tier, &parts.headers)?;
        let deadline = deadline(call.deadline, &parts.headers)?;
        let (tokens, output, prefixes) = match (service.kind, &prompt) {
            (text::Kind::Model, Some(prompt)) => measure(prompt),
            _ => (Tokens(1), Tokens(0), Vec::new()),
        };
        let streamed = prompt.as_ref().is_some_and(|prompt| prompt.stream);
        let allowance = allowance(streamed, output);
        let profile = Profile {
            call: name.clone(),
            service: call.service.clone(),
            model: model_id,
            fingerprint: fingerprint(&workspace, name, &parts.uri, body),
            workspace,
            tier,
            received,
            deadline: received + deadline,
            prompt: tokens,
            output,
            prefixes,
            idempotent: call.idempotent,
        };
        Ok(Class {
            profile: Arc::new(profile),
            kind: service.kind,
            unkeyed: call.unkeyed,
            allowance,
        })
    }

    /// Reads the prompt if any candidate is served by model engines.
    fn prompt(&self, rules: &Rules, body: &Bytes) -> Result<Option<Prompt>, Problem> {
        let is_model = |call: &text::Call| {
            let service = rules.text.services.get(&call.service);
            service.is_some_and(|service| service.kind == text::Kind::Model)
        };
        let wanted = self
            .calls
            .iter()
            .any(|call| call.model.is_some() || is_model(call));
        if !wanted {
            return Ok(None);
        }
        match Prompt::parse(body) {
            Ok(prompt) if prompt.max_tokens > Some(MAX_OUTPUT_TOKENS) => Err(malformed(format!(
                "the request asks for more than {MAX_OUTPUT_TOKENS} tokens; lower `max_tokens`"
            ))),
            Ok(prompt) => Ok(Some(prompt)),
            Err(error) => Err(malformed(format!(
                "the body is no OpenAI-style JSON: {error}; correct it"
            ))),
        }
    }
}

/// Returns whether a plain service could take the path for another one than
/// the call that it matches.
fn has_dot_segment(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "\\");
    for segment in decoded.split(['/', '\\']) {
        if segment == "." || segment == ".." {
            return true;
        }
    }
    false
}

fn check_model(service: &text::Service, model: Option<&id::Model>) -> Result<(), Problem> {
    let Some(model) = model else {
        return Ok(());
    };
    if service.models.is_empty() && service.adapters.is_empty() {
        return Ok(());
    }
    if service.models.contains(model) || service.adapters.contains(model) {
        return Ok(());
    }
    Err(unknown_model(Some(model.as_str())))
}

fn unknown_model(model: Option<&str>) -> Problem {
    let detail = match model {
        Some(model) => {
            format!("no call serves the model `{model}`; name a model of the operators' text")
        }
        None => "the request names no model; set `model` in the body".to_owned(),
    };
    Problem::unread(StatusCode::NOT_FOUND, Reason::NoCall, detail)
}

fn malformed(detail: String) -> Problem {
    Problem::unread(StatusCode::BAD_REQUEST, Reason::Malformed, detail)
}

/// Returns the tier of the call or the lower one that the caller asks for.
fn tier(text: &text::Text, own: id::Tier, headers: &HeaderMap) -> Result<id::Tier, Problem> {
    let Some(value) = headers.get(TIER) else {
        return Ok(own);
    };
    let asked = value.to_str().ok().and_then(|name| text.tier(name));
    match asked {
        Some(asked) if asked >= own => Ok(asked),
        Some(_) => Err(malformed(format!(
            "`{TIER}` asks for a higher tier than the call has; ask for a lower one or leave it out"
        ))),
        None => Err(malformed(format!(
            "`{TIER}` names no tier; use one of: {}",
            text.tiers.join(", ")
        ))),
    }
}

/// Returns the deadline of the call or the shorter one that the caller asks for.
fn deadline(own: Duration, headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(own);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|value| humantime::parse_duration(value).ok());
    match parsed {
        Some(asked) if !asked.is_zero() && asked <= own => Ok(asked),
        Some(_) => Err(malformed(format!(
            "`{DEADLINE}` must be above zero and at most {}; shorten it or leave it out",
            humantime::format_duration(own)
        ))),
        None => Err(malformed(format!(
            "`{DEADLINE}` is no duration; write it such as `5s`"
        ))),
    }
}

fn measure(prompt: &Prompt) -> (Tokens, Tokens, Vec<id::Prefix>) {
    let bytes = prompt.text.len() as u64;
    let tokens = bytes.div_ceil(BYTES_PER_TOKEN).max(1);
    let output = prompt.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let model = prompt.model.as_deref().unwrap_or_default();
    let prefixes = prefix::hashes(model, &prompt.text);
    (Tokens(tokens), Tokens(output), prefixes)
}

/// Returns the time that an answer may take before its first byte.
fn allowance(streamed: bool, output: Tokens) -> Duration {
    if streamed {
        return Duration::ZERO;
    }
    TOKEN_TIME.saturating_mul(u32::try_from(output.0).unwrap_or(u32::MAX))
}

fn fingerprint(
    workspace: &id::Workspace,
    call: &id::Call,
    uri: &Uri,
    body: &[u8],
) -> id::Fingerprint {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let mut hasher = Xxh3::new();
    for field in [workspace.as_str(), call.as_str(), target] {
        hasher.update(field.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    id::Fingerprint(hasher.digest())
}
