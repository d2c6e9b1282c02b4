//! The daemon of dottereltally, which schedules callers' HTTP requests onto the
//! endpoints of the configured services.
//!
//! A chain of filters ([`filter`]) serves each request. The decision core
//! (`dottereltally_lib::scheduler`), driven by the [`dispatcher`], assigns the
//! endpoints. Controllers ([`controllers`]) keep the node's state.

pub mod address;
pub mod answer;
pub mod authenticate;
pub mod body;
pub mod claim;
pub mod classify;
pub mod clock;
pub mod configuration;
pub mod connections;
pub mod controllers;
pub mod dispatch;
pub mod dispatcher;
pub mod effects;
pub mod filter;
pub mod hosts;
pub mod idempotency;
pub mod limit;
pub mod linger;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod observer;
pub mod operations;
pub mod peer;
pub mod pool;
pub mod problem;
pub mod process;
pub mod prompt;
pub mod replay;
pub mod rules;
pub mod server;
pub mod service;
pub mod settings;
pub mod shutdown;
pub mod sse;
pub mod state;
pub mod stream;
pub mod tracker;
pub mod upstream;
pub mod write_timeout;
