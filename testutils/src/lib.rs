//! Test support: stand-ins for the external systems (model engines, plain
//! services, the key-value service and the host list), and a harness that runs
//! the real programs against them.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod fixture;
pub mod host_list;
pub mod kv;
pub mod ledger;
pub mod process;
pub mod server;
pub mod wait;
