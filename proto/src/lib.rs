//! Wire format between the nodes of dottereltally.
//!
//! `peer_capnp.rs` is generated from `schema/peer.capnp`; see CONTRIBUTING.md.

#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic
)]
#[rustfmt::skip]
pub mod peer_capnp;
