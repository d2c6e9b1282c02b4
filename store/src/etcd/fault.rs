//! What the failures of a call stand for.
//!
//! A call counts as one without effect only if the answer says so.

use http::StatusCode;

use crate::{
    etcd::wire,
    kv::{Error, Lease},
};

/// Message of etcd about a lease that has lapsed.
const LEASE_NOT_FOUND: &str = "requested lease not found";

/// Codes of gRPC after which a call can't have taken effect: invalid argument,
/// not found, already exists, permission denied, resource exhausted, failed
/// precondition, out of range, unimplemented, unauthenticated.
const REFUSALS: [i64; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

pub(super) fn unreachable(address: &str, cause: &str) -> Error {
    Error::Unreachable {
        address: address.to_owned(),
        cause: cause.to_owned(),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
pub(super) fn unreadable(fault: wire::Fault) -> Error {
    Error::Unreadable(fault.to_string())
}

/// Returns the error that an answer other than 200 stands for.
pub(super) fn classify(status: StatusCode, body: &[u8]) -> Error {
    if let Ok(error) = serde_json::from_slice::<wire::ErrorBody>(body)
        && error.code != 0
    {
        return refusal(&error);
    }
    let text = String::from_utf8_lossy(body);
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Error::Refused(format!("{status}: {text}"));
    }
    Error::Lost(format!("{status}: {text}"))
}

/// Returns the error that an error body stands for.
pub(super) fn refusal(error: &wire::ErrorBody) -> Error {
    if REFUSALS.contains(&error.code) {
        return Error::Refused(error.text().to_owned());
    }
    Error::Lost(error.text().to_owned())
}

/// Turns the refusal of a lapsed lease into its own error.
pub(super) fn name_lease(error: Error, lease: Option<Lease>) -> Error {
    let Some(lease) = lease else {
        return error;
    };
    match error {
        Error::Refused(text) if text.contains(LEASE_NOT_FOUND) => Error::UnknownLease(lease),
        other => other,
    }
}
