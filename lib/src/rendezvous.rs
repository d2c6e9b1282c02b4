//! Rendezvous hashing: all nodes make the same choice without coordination.

use xxhash_rust::xxh3;

use crate::id;

/// Returns the weight of a node for a key.
#[must_use]
pub fn weight(key: &str, node: &id::Node) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Returns the weight of an endpoint for a request fingerprint.
#[must_use]
pub fn endpoint_weight(fingerprint: id::Fingerprint, endpoint: &id::Endpoint) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), fingerprint.0)
}

/// Returns the node with the highest weight for the key.
#[must_use]
pub fn choose<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a id::Node>,
) -> Option<&'a id::Node> {
    nodes
        .into_iter()
        .max_by_key(|node| (weight(key, node), *node))
}
