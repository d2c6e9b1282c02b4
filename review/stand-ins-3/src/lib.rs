//! Stand-ins of the platform's store, of replicas and of clients for the cases of the third
//! review, and what starts the gateway as the deploy file does.
//!
//! Only the standard library is used, so that the package builds without a network.

pub mod base64;
pub mod client;
pub mod gateway;
pub mod http;
pub mod json;
pub mod process;
pub mod record;
pub mod replica;
pub mod store;

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption of the case is to be left out.
#[must_use]
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
