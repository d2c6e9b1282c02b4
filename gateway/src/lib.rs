//! The gateway: forwards requests of callers to endpoints along the routes of
//! one plan, with quotas and retry budgets that all nodes share.
//!
//! This crate makes the decisions, keeps the state and handles failures. The
//! header format and the store of the directory are pluggable, through
//! implementations of [`dialect::Dialect`] and [`directory::Source`].

pub mod acceptance;
pub mod admission;
pub mod attempt;
pub mod chain;
pub mod controller;
pub mod coordinator;
pub mod crashes;
pub mod dialect;
pub mod directory;
pub mod era;
pub mod events;
pub mod examiner;
pub mod heartbeat;
pub mod job;
pub mod listing;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod origins;
pub mod paths;
pub mod peers;
pub mod probe;
pub mod process;
pub mod refusal;
pub mod relay;
pub mod rollout;
pub mod rpc;
pub mod search;
pub mod settings;
mod sync;
pub mod tunnel;
pub mod view;
mod witness;
