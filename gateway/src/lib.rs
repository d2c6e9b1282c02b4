//! The gateway: takes requests of callers along the routes of one plan to
//! endpoints, with quotas and budgets that all nodes share.
//!
//! It decides, keeps state and recovers; how heads are written and where the
//! directory is kept comes from implementations of [`dialect::Dialect`] and
//! [`directory::Source`].

pub mod admission;
pub mod attempt;
pub mod beat;
pub mod chain;
pub mod controller;
pub mod dialect;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod home;
pub mod journal;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod refusal;
pub mod relay;
pub mod settings;
