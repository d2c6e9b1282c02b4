//! Filter: matches a request to a configured call and builds its profile.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{configuration, id, prefix, request::Profile, size::Tokens, time};
use http::{HeaderMap, Method, StatusCode, Uri, request::Parts};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    problem::{Problem, Reason},
    prompt::Prompt,
    rules::Rules,
};

/// Request header that asks for a lower tier.
pub const TIER_HEADER: &str = "dottereltally-tier";
/// Request header that shortens the deadline.
pub const DEADLINE_HEADER: &str = "dottereltally-deadline";

/// Prompt bytes that are estimated to make up one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Time that an engine may take per token of a response that is not streamed.
const TIME_PER_TOKEN: Duration = Duration::from_millis(100);
/// Upper limit of `max_tokens` in a request.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;
/// Output tokens assumed for a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 512;

/// Calls that match a request's method and path, regardless of its model.
#[derive(Debug)]
pub struct Candidates<'a> {
    calls: Vec<&'a configuration::Call>,
}

/// The classification of a request.
#[derive(Debug)]
pub struct Class {
    /// Properties of the request that the decision core uses.
    pub profile: Arc<Profile>,
    /// Kind of the service that serves the call.
    pub kind: configuration::Kind,
    /// Whether a non-idempotent call is accepted without an idempotency key.
    pub unkeyed: bool,
    /// Extra time to wait for the first byte of a response that is not
    /// streamed, as the engine sends nothing until it is complete.
    pub allowance: Duration,
}

/// Finds the calls that match a method and path.
///
/// # Errors
///
/// Fails with 404 if no call has the path, with 405 if no call with the path
/// has the method, and with 400 if the path has a dot segment.
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
    for call in rules.configuration.calls.values() {
        // The call's own model always matches, as the body is not read yet.
        let own_model = call.model.as_ref();
        path_known |= call.matches(&call.method, uri.path(), own_model);
        if call.matches(method.as_str(), uri.path(), own_model) {
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
    Err(Problem::before_dispatch(status, Reason::NoCall, detail))
}

impl Candidates<'_> {
    /// Returns whether all candidates are idempotent.
    #[must_use]
    pub fn all_idempotent(&self) -> bool {
        self.calls.iter().all(|call| call.idempotent)
    }

    /// Selects the call by the model in the body and builds the profile.
    ///
    /// # Errors
    ///
    /// Fails with 400 if the body or a header is invalid, with 404 if no call
    /// serves the model.
    pub fn classify(
        &self,
        rules: &Rules,
        workspace: id::Workspace,
        parts: &Parts,
        body: &Bytes,
        received: time::Instant,
    ) -> Result<Class, Problem> {
        let prompt = self.parse_prompt(rules, body)?;
        let model = prompt.as_ref().and_then(|prompt| prompt.model.as_deref());
        let model_id = model.map(id::Model::from);
        let (name, call) = rules
            .configuration
            .match_call(parts.method.as_str(), parts.uri.path(), model_id.as_ref())
            .ok_or_else(|| unknown_model(model))?;
        let service = &rules.configuration.services[&call.service];
        check_model(service, model_id.as_ref())?;
        let tier = tier(&rules.configuration, call.tier, &parts.headers)?;
        let deadline = deadline(call.deadline, &parts.headers)?;
        let (tokens, output, prefixes) = match (service.kind, &prompt) {
            (configuration::Kind::Model, Some(prompt)) => estimate(prompt),
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

    /// Parses the body as a prompt if any candidate names a model or is served
    /// by model engines.
    fn parse_prompt(&self, rules: &Rules, body: &Bytes) -> Result<Option<Prompt>, Problem> {
        let is_model = |call: &configuration::Call| {
            let service = rules.configuration.services.get(&call.service);
            service.is_some_and(|service| service.kind == configuration::Kind::Model)
        };
        let needs_prompt = self
            .calls
            .iter()
            .any(|call| call.model.is_some() || is_model(call));
        if !needs_prompt {
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

/// Returns whether the path has a `.` or `..` segment, plain or
/// percent-encoded.
///
/// A plain service could normalize such a path to one that belongs to another
/// call than the one that matched.
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

fn check_model(service: &configuration::Service, model: Option<&id::Model>) -> Result<(), Problem> {
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
    Problem::before_dispatch(StatusCode::NOT_FOUND, Reason::NoCall, detail)
}

fn malformed(detail: String) -> Problem {
    Problem::before_dispatch(StatusCode::BAD_REQUEST, Reason::Malformed, detail)
}

/// Returns the configured tier of the call, or the lower tier that the caller
/// requests.
fn tier(
    configuration: &configuration::Configuration,
    configured: id::Tier,
    headers: &HeaderMap,
) -> Result<id::Tier, Problem> {
    let Some(value) = headers.get(TIER_HEADER) else {
        return Ok(configured);
    };
    let requested = value
        .to_str()
        .ok()
        .and_then(|name| configuration.tier(name));
    match requested {
        Some(requested) if requested >= configured => Ok(requested),
        Some(_) => Err(malformed(format!(
            "`{TIER_HEADER}` asks for a higher tier than the call has; ask for a lower one or leave it out"
        ))),
        None => Err(malformed(format!(
            "`{TIER_HEADER}` names no tier; use one of: {}",
            configuration.tiers.join(", ")
        ))),
    }
}

/// Returns the configured deadline of the call, or the shorter one that the
/// caller requests.
fn deadline(configured: Duration, headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(configured);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|value| humantime::parse_duration(value).ok());
    match parsed {
        Some(requested) if !requested.is_zero() && requested <= configured => Ok(requested),
        Some(_) => Err(malformed(format!(
            "`{DEADLINE_HEADER}` must be above zero and at most {}; shorten it or leave it out",
            humantime::format_duration(configured)
        ))),
        None => Err(malformed(format!(
            "`{DEADLINE_HEADER}` is no duration; write it such as `5s`"
        ))),
    }
}

/// Estimates the prompt and output tokens and hashes the leading blocks of the
/// prompt.
fn estimate(prompt: &Prompt) -> (Tokens, Tokens, Vec<id::Prefix>) {
    let bytes = prompt.text.len() as u64;
    let tokens = bytes.div_ceil(BYTES_PER_TOKEN).max(1);
    let output = prompt.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let model = prompt.model.as_deref().unwrap_or_default();
    let prefixes = prefix::hashes(model, &prompt.text);
    (Tokens(tokens), Tokens(output), prefixes)
}

/// Returns the extra time to wait for the first byte of a response, zero if it
/// is streamed.
fn allowance(streamed: bool, output: Tokens) -> Duration {
    if streamed {
        return Duration::ZERO;
    }
    TIME_PER_TOKEN.saturating_mul(u32::try_from(output.0).unwrap_or(u32::MAX))
}

/// Returns the fingerprint of a request, a hash of its workspace, call, target
/// and body; requests with the same fingerprint count as the same request.
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
