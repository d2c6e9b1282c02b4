//! Counters of the traffic between nodes.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counters of the traffic between nodes.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Calls to peers.
    pub calls: Counter,
    /// Calls to peers that failed, idempotent ones on a new connection as well.
    /// A call that must not be repeated is not counted if its connection could
    /// not be opened.
    pub failures: Counter,
    /// Connections opened to peers.
    pub opened: Counter,
    /// Connections discarded because a call on them failed or timed out.
    pub replaced: Counter,
    /// Connections that peers opened.
    pub accepted: Counter,
    /// Connections of peers refused because there were too many.
    pub refused: Counter,
    /// Connections to and from peers that are open.
    pub open: Gauge,
    /// Malformed messages from peers.
    pub malformed: Counter,
    /// Admission messages dropped because the queue for the peer was full.
    pub dropped: Counter,
    /// Admission messages whose delivery failed.
    pub lost: Counter,
    /// Bytes received from peers.
    pub received: Counter,
    /// Bytes sent to peers.
    pub sent: Counter,
}

impl Metrics {
    /// Registers the counters under `peer_`.
    pub fn register(&self, registry: &mut Registry) {
        let peer = registry.sub_registry_with_prefix("peer");
        peer.register("calls", "Calls to peers", self.calls.clone());
        peer.register("failures", "Failed calls to peers", self.failures.clone());
        peer.register(
            "connections_opened",
            "Connections opened to peers",
            self.opened.clone(),
        );
        peer.register(
            "connections_replaced",
            "Connections given up because a call on them failed",
            self.replaced.clone(),
        );
        peer.register(
            "connections_accepted",
            "Connections that peers opened",
            self.accepted.clone(),
        );
        peer.register(
            "connections_refused",
            "Connections of peers refused because there were too many",
            self.refused.clone(),
        );
        peer.register(
            "connections_open",
            "Connections to and from peers that are open",
            self.open.clone(),
        );
        peer.register(
            "malformed",
            "Messages of peers that could not be understood",
            self.malformed.clone(),
        );
        peer.register(
            "admission_dropped",
            "Admission messages dropped because the peer did not keep up",
            self.dropped.clone(),
        );
        peer.register(
            "admission_lost",
            "Admission messages whose delivery failed",
            self.lost.clone(),
        );
        peer.register(
            "received_bytes",
            "Bytes received from peers",
            self.received.clone(),
        );
        peer.register("sent_bytes", "Bytes sent to peers", self.sent.clone());
    }
}
