//! The daemon of dottereltally.
//!
//! A filter chain serves requests; controllers, each an actor, keep state.

pub mod claim;
pub mod clock;
pub mod configuration;
pub mod dispatcher;
pub mod peer;
pub mod replay;
pub mod settings;
