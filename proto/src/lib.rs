//! Wire format between the nodes of dottereltally.
//!
//! `peer_capnp.rs` and `gateway_capnp.rs` are generated from `schema/`; see
//! CONTRIBUTING.md.

#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic
)]
#[rustfmt::skip]
pub mod peer_capnp;

#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic
)]
#[rustfmt::skip]
pub mod gateway_capnp;
