//! Types and the decision core of dottereltally.
//!
//! Nothing in this crate performs I/O, reads a clock or seeds its own random
//! numbers: callers pass in the time and events and get effects back. The
//! daemon, the randomised tests and the experiments run the same code.

mod admission;
pub mod affinity;
pub mod answered;
pub mod backlog;
pub mod balance;
pub mod budget;
pub mod configuration;
pub mod crash;
pub mod diff;
pub mod dispatcher;
pub mod effect;
pub mod endpoint;
pub mod era;
pub mod estimate;
pub mod event;
pub mod exchange;
pub mod fair;
pub mod fault;
pub mod fields;
pub mod fleet;
pub mod flight;
mod health;
pub mod history;
pub mod id;
pub mod isolation;
pub mod key;
pub mod membership;
pub mod notice;
pub mod origin;
mod placement;
pub mod plan;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod refusal;
pub mod rendezvous;
pub mod report;
pub mod request;
pub mod rollout;
pub mod route;
pub mod scheduler;
pub mod share;
pub mod size;
mod suspects;
pub mod suspicion;
pub mod time;
pub mod tree;
pub mod window;
