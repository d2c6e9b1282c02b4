//! Callers' API keys; the operators' configuration contains only their digests.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a key in lower-case hexadecimal.
///
/// # Panics
///
/// Never: writing to a `String` does not fail.
#[must_use]
pub fn digest(key: &str) -> String {
    let mut digits = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(digits, "{byte:02x}").expect("writing to a String does not fail");
    }
    digits
}
