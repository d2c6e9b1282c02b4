//! Clients of the platform: its key-value service and its host list.
//!
//! Both are traits, each with a network client and an in-memory implementation
//! for tests.

pub mod buffer;
pub mod etcd;
pub mod host;
pub mod host_list;
pub mod http;
pub mod inbound;
pub mod ingress;
pub mod kv;
pub mod layout;
pub mod memory;
pub mod proposal;
mod segment;
pub mod transfer;
