//! Mapping of error answers to [`Error`].
//!
//! An answer that does not rule out that the call took effect is mapped to
//! [`Error::Lost`].

use http::StatusCode;

use crate::{
    etcd::wire,
    http as client,
    kv::{Error, Lease},
};

/// Part of etcd's message about a lease that does not exist or has expired.
const LEASE_NOT_FOUND: &str = "requested lease not found";

/// gRPC status codes of calls that had no effect: invalid argument,
/// not found, already exists, permission denied, resource exhausted, failed
/// precondition, out of range, unimplemented, unauthenticated.
const NO_EFFECT_CODES: [i64; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

pub(super) fn unreachable(address: &str, cause: &str) -> Error {
    Error::Unreachable {
        address: address.to_owned(),
        cause: cause.to_owned(),
    }
}

/// Converts the failure of a call to an address.
pub(super) fn failed(address: &str, failure: client::Error) -> Error {
    match failure {
        client::Error::Unsent(cause) => unreachable(address, &cause),
        client::Error::Lost(cause) => Error::Lost(format!("{address}: {cause}")),
        oversized @ client::Error::Oversized { .. } => {
            Error::Lost(format!("{address}: {oversized}"))
        }
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
pub(super) fn unreadable(error: wire::Error) -> Error {
    Error::Unreadable(error.to_string())
}

/// Converts an answer with a status other than 200.
pub(super) fn classify(status: StatusCode, body: &[u8]) -> Error {
    if let Ok(error) = serde_json::from_slice::<wire::ErrorBody>(body)
        && error.code != 0
    {
        return from_body(&error);
    }
    let text = String::from_utf8_lossy(body);
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Error::Refused(format!("{status}: {text}"));
    }
    Error::Lost(format!("{status}: {text}"))
}

/// Converts the body of an error.
pub(super) fn from_body(error: &wire::ErrorBody) -> Error {
    if NO_EFFECT_CODES.contains(&error.code) {
        return Error::Refused(error.text().to_owned());
    }
    Error::Lost(error.text().to_owned())
}

/// Converts a refusal because of an unknown lease to [`Error::UnknownLease`];
/// returns other errors unchanged.
pub(super) fn map_unknown_lease(error: Error, lease: Option<Lease>) -> Error {
    let Some(lease) = lease else {
        return error;
    };
    match error {
        Error::Refused(text) if text.contains(LEASE_NOT_FOUND) => Error::UnknownLease(lease),
        other => other,
    }
}
