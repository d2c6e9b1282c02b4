//! Filter: finds the caller's workspace.

use dottereltally_lib::id;
use http::{HeaderMap, StatusCode, header::AUTHORIZATION};

use crate::{
    problem::{Problem, Reason},
    rules::Rules,
};

const SCHEME: &str = "Bearer ";

/// Returns the workspace that the bearer key belongs to.
///
/// # Errors
///
/// Fails with 401 if there is no key or it belongs to no workspace.
pub fn workspace(rules: &Rules, headers: &HeaderMap) -> Result<id::Workspace, Problem> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(SCHEME)) else {
        return Err(refusal(
            "send `authorization: Bearer KEY` with a workspace's key",
        ));
    };
    match rules.workspace(key.trim().as_bytes()) {
        Some(workspace) => Ok(workspace.clone()),
        None => Err(refusal(
            "the key belongs to no workspace; check it or have its digest added to the operators' text",
        )),
    }
}

fn refusal(detail: &str) -> Problem {
    Problem::unread(StatusCode::UNAUTHORIZED, Reason::Unauthenticated, detail)
}
