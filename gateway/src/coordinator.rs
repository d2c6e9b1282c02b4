//! The coordinator of a data centre: one of its nodes, which chooses the
//! endpoints for the requests of all nodes there, so that the slots of
//! endpoints are counted exactly and urgent requests go first, whichever node
//! received them.
//!
//! Only decisions are delegated. The node that holds a caller's connection
//! sends the request to the endpoint itself, and decides alone while it has no
//! coordinator.

mod link;
mod session;
mod wire;

use std::cmp::Reverse;

use dottereltally_lib::{id, rendezvous};

pub use self::{
    link::{Failure, Link},
    session::Session,
};
use crate::directory::Node;

/// Ranks the nodes of a data centre that other nodes can call; the first one is
/// the coordinator. Larger hosts come first; a hash, the same at every node,
/// breaks ties.
#[must_use]
pub fn rank<'a>(
    data_centre: &id::DataCentre,
    nodes: impl IntoIterator<Item = &'a Node>,
) -> Vec<Node> {
    let mut ranked = Vec::new();
    for node in nodes {
        if node.data_centre == *data_centre && !node.rpc_address.is_empty() {
            ranked.push(node.clone());
        }
    }
    ranked.sort_by_key(|node| {
        let weight = rendezvous::weight(data_centre.as_str(), &node.name);
        Reverse((node.millicores, weight, node.name.clone()))
    });
    ranked
}
