//! Measures the network, processor and memory cost of membership per node, with
//! real connections on loopback and all nodes in this process:
//! `cargo run --release -p dottereltally --example control_cost -- --nodes 50 --seconds 20`.
//!
//! Also prints the encoded size of gossip messages (heartbeats) with few member
//! updates and with the whole member table.

#![allow(
    clippy::cast_precision_loss,
    reason = "the figures are rounded for output"
)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{env, fs, time::Duration};

use common::Cluster;
use dottereltally::peer::wire;
use dottereltally_lib::{
    id,
    membership::{
        Settings,
        heartbeat::{Heartbeat, Member, State},
    },
};
use dottereltally_proto::peer_capnp;
use tokio::time::{Instant, sleep};

/// Clock ticks per second of `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time for the nodes to join before the measurement.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Returns the value of a command-line option.
fn option(name: &str, default: u64) -> u64 {
    let mut arguments = env::args().skip_while(|argument| argument != name);
    let value = arguments.nth(1);
    value.map_or(default, |value| {
        value.parse().expect("the option's value is a whole number")
    })
}

/// Returns the processor time of this process in seconds.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("/proc is readable");
    let (_, rest) = stat.rsplit_once(')').expect("the line has a command name");
    let mut fields = rest.split_whitespace().skip(11);
    let mut ticks = 0.0;
    for _ in 0..2 {
        let field = fields.next().expect("the line has the processor times");
        ticks += field.parse::<f64>().expect("the value is a number");
    }
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc is readable");
    for line in status.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let value = rest.trim().trim_end_matches(" kB");
        return value.parse().expect("the value is a number");
    }
    panic!("/proc/self/status has no VmRSS line");
}

/// Returns the member entry of a node.
fn member(index: u64) -> Member {
    Member {
        node: format!("entry-{index:03}").as_str().into(),
        data_centre: "stara-zagora".into(),
        address: "10.20.30.40:7000".to_owned(),
        incarnation: 1_790_000_000_000,
        version: 1,
        state: State::Alive,
    }
}

/// Returns the encoded size of a heartbeat with this number of members, in
/// bytes.
fn heartbeat_bytes(members: u64) -> usize {
    let heartbeat = Heartbeat {
        sender: member(0),
        generation: id::Generation(7),
        digest: 1,
        full_state: false,
        members: (1..=members).map(member).collect(),
        fingerprints: Vec::new(),
    };
    let mut message = capnp::message::Builder::new_default();
    wire::write_heartbeat(
        &heartbeat,
        message.init_root::<peer_capnp::beat::Builder<'_>>(),
    );
    capnp::serialize::compute_serialized_size_in_words(&message) * 8
}

#[tokio::main]
async fn main() {
    let nodes = option("--nodes", 50);
    let span = Duration::from_secs(option("--seconds", 20));
    for members in [0, 1, 7, 49, 349] {
        println!(
            "beat with {members} members: {} bytes",
            heartbeat_bytes(members)
        );
    }
    let resident_before = resident_kib();
    let names: Vec<String> = (0..nodes)
        .map(|index| format!("entry-{index:03}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let cluster = Cluster::start_with(&names, Settings::default()).await;
    sleep(JOIN_TIME).await;
    let mut complete = 0;
    for node in cluster.nodes() {
        complete += usize::from(node.membership.members().await.len() == names.len());
    }
    println!("{complete} of {nodes} nodes see all {nodes}");
    let (bytes, calls, failures, opened) = totals(&cluster);
    let (started, processor_before) = (Instant::now(), processor_seconds());
    sleep(span).await;
    let seconds = started.elapsed().as_secs_f64();
    let processor = processor_seconds() - processor_before;
    let after = totals(&cluster);
    let per_node_second = |value: u64| value as f64 / seconds / nodes as f64;
    println!(
        "per node: {:.0} bytes/s in and out, {:.2} calls/s, {:.3} failures/s, {:.2} connections/s, {:.4} % of a core, {:.0} KiB",
        per_node_second(after.0 - bytes),
        per_node_second(after.1 - calls),
        per_node_second(after.2 - failures),
        per_node_second(after.3 - opened),
        100.0 * processor / seconds / nodes as f64,
        (resident_kib() - resident_before) / nodes as f64,
    );
}

/// Returns the sums of bytes, calls, failures and opened connections over all
/// nodes.
fn totals(cluster: &Cluster) -> (u64, u64, u64, u64) {
    let mut totals = (0, 0, 0, 0);
    for node in cluster.nodes() {
        let metrics = &node.metrics;
        totals.0 += metrics.received.get() + metrics.sent.get();
        totals.1 += metrics.calls.get();
        totals.2 += metrics.failures.get();
        totals.3 += metrics.opened.get();
    }
    totals
}
