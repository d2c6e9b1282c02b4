//! Types and the decision core of dottereltally.
//!
//! Nothing in this crate performs I/O, reads a clock or draws its own random
//! numbers: every call takes the time and an event and returns effects. The
//! daemon, the randomised runs and the experiments drive the same code.

pub mod difference;
pub mod effect;
pub mod endpoint;
pub mod event;
pub mod fault;
pub mod fields;
pub mod id;
pub mod prefix;
pub mod refusal;
pub mod request;
pub mod scheduler;
pub mod size;
pub mod text;
pub mod time;
pub mod tree;
