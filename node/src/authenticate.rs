//! Filter: authenticates the caller by the bearer key of its workspace.

use dottereltally_lib::id;
use http::{HeaderMap, StatusCode, header::AUTHORIZATION};

use crate::{
    problem::{Problem, Reason},
    rules::Rules,
};

/// Authentication scheme, with the space before the key.
const SCHEME: &str = "Bearer ";

/// Returns the workspace to which the bearer key of a request belongs.
///
/// # Errors
///
/// Fails with 401 if the key is missing or does not belong to any workspace.
pub fn workspace(rules: &Rules, headers: &HeaderMap) -> Result<id::Workspace, Problem> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(SCHEME)) else {
        return Err(unauthenticated(
            "send `authorization: Bearer KEY` with a workspace's key",
        ));
    };
    match rules.workspace(key.trim().as_bytes()) {
        Some(workspace) => Ok(workspace.clone()),
        None => Err(unauthenticated(
            "the key belongs to no workspace; check it or have its digest added to the operators' text",
        )),
    }
}

fn unauthenticated(detail: &str) -> Problem {
    Problem::before_dispatch(StatusCode::UNAUTHORIZED, Reason::Unauthenticated, detail)
}
