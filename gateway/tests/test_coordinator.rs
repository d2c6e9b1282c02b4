//! Decisions that a coordinator makes for another node.

mod common;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    future::pending,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use common::plan;
use dottereltally::{clock::Clock, shutdown::Phase};
use dottereltally_gateway::{
    admission::Handle,
    coordinator::{self, Link},
    directory::{Node, Snapshot},
    rpc::{self, Server},
    tunnel,
};
use dottereltally_lib::{
    dispatcher::{Dispatcher, Load, Outcome, Request, Settings, Timing},
    endpoint::{Record, Standing},
    id,
    refusal::Reason,
    rollout::Filter,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    select,
    sync::watch,
    task::{JoinHandle, LocalSet, spawn_local},
    time::sleep,
};

const CAPACITY: u32 = 2;

/// An endpoint of a directory and its software version.
type Listed = (&'static str, Option<&'static str>);

fn node(name: &str, millicores: u32, rpc_address: &str) -> Node {
    Node {
        name: id::Node::from(name),
        address: "127.0.0.1:1".to_owned(),
        data_centre: id::DataCentre::from("dc"),
        rpc_address: rpc_address.to_owned(),
        millicores,
    }
}

fn record(name: &str, version: Option<&str>) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: "127.0.0.1:9".to_owned(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Live,
        capacity: Some(CAPACITY),
        version: version.map(id::Version::from),
    }
}

fn handle(clock: Clock) -> Handle {
    handle_with(clock, &[("e", None)])
}

/// Returns a handle whose directory has these endpoints and versions.
fn handle_with(clock: Clock, endpoints: &[Listed]) -> Handle {
    let mut dispatcher = Dispatcher::new(Settings::default());
    let mut records = Vec::new();
    for (name, version) in endpoints {
        records.push(record(name, *version));
    }
    dispatcher.set_endpoints(clock.now(), records);
    Handle::new(dispatcher, clock)
}

/// Returns a request that only an endpoint of this version may serve.
fn request_for(clock: Clock, version: &str) -> Request {
    Request {
        version: Some(id::Version::from(version)),
        ..request(clock)
    }
}

fn request(clock: Clock) -> Request {
    let now = clock.now();
    let minute = Duration::from_mins(1);
    Request {
        service: id::Service::from("s"),
        route: id::Route::from("r"),
        tier: id::Tier(1),
        class: id::Tier(2),
        prompt: 100,
        expected_output: 20,
        max_pause: Some(Duration::from_millis(300)),
        first_byte_due: now + minute,
        caller_leaves_at: now + minute,
        deadline: now + minute,
        excluded: Vec::new(),
        version: None,
        resumable: false,
        workspace: None,
        fingerprint: None,
        version_filter: Filter::Any,
    }
}

/// Links a node to the first of `nodes`; the link ends when the sender is
/// dropped.
fn link(name: &str, handle: &Handle, clock: Clock, nodes: Vec<Node>) -> watch::Sender<Vec<Node>> {
    let ranked_nodes = watch::Sender::new(nodes);
    let name = id::Node::from(name);
    spawn_local(Link::new(name, handle.clone(), clock, ranked_nodes.subscribe()).run());
    ranked_nodes
}

/// Forwards bytes between a node and its coordinator, one connection after
/// another.
struct Proxy {
    address: String,
    stalled: watch::Sender<bool>,
    accepted: Rc<Cell<u32>>,
    task: JoinHandle<()>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let stalled = watch::Sender::new(false);
        let mut stalled_receiver = stalled.subscribe();
        let accepted = Rc::<Cell<u32>>::default();
        let counted = Rc::clone(&accepted);
        let task = spawn_local(async move {
            while let Ok((mut inbound, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                let mut outbound = TcpStream::connect(target).await.unwrap();
                select! {
                    _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
                    _ = stalled_receiver.wait_for(|stalled| *stalled) => pending().await,
                }
            }
        });
        Self {
            address,
            stalled,
            accepted,
            task,
        }
    }
}

/// A node and its coordinator.
struct Pair {
    clock: Clock,
    node: Handle,
    coordinator: Handle,
    phase: Phase,
    /// The coordinator itself.
    address: SocketAddr,
    proxy: Proxy,
    _ranked_nodes: watch::Sender<Vec<Node>>,
}

impl Pair {
    async fn start(node_endpoints: &[Listed], coordinator_endpoints: &[Listed]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy::start(address).await;
        let clock = Clock::start();
        let node_handle = handle_with(clock, node_endpoints);
        let coordinator = handle_with(clock, coordinator_endpoints);
        let snapshot = Snapshot {
            plan: Some(plan()),
            ..Snapshot::default()
        };
        let phase = Phase::default();
        let server = Server {
            tunnels: tunnel::Server::closed(coordinator.clone()),
            snapshot: watch::Sender::new(Arc::new(snapshot)).subscribe(),
            admission: coordinator.clone(),
            clock,
            phase: phase.clone(),
        };
        spawn_local(rpc::serve(listener, server));
        let ranked_nodes = link(
            "node",
            &node_handle,
            clock,
            vec![node("coordinator", 1, &proxy.address)],
        );
        Self {
            clock,
            node: node_handle,
            coordinator,
            phase,
            address,
            proxy,
            _ranked_nodes: ranked_nodes,
        }
    }

    async fn linked() -> Self {
        Self::linked_with(&[("e", None)], &[("e", None)]).await
    }

    /// Returns a node and its coordinator, whose directories differ.
    async fn linked_with(node_endpoints: &[Listed], coordinator_endpoints: &[Listed]) -> Self {
        let pair = Self::start(node_endpoints, coordinator_endpoints).await;
        wait_until(|| pair.node.has_coordinator()).await;
        pair
    }
}

/// Waits for a change that the other side causes.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Returns the number of requests that a node itself counts at the endpoint.
fn in_flight(handle: &Handle) -> u32 {
    let loads: HashMap<id::Endpoint, Load> = handle.take_load().into_iter().collect();
    loads.values().map(|load| load.requests).sum()
}

#[test]
fn the_largest_host_is_the_coordinator_and_all_nodes_agree() {
    let mut nodes = vec![
        node("a", 120, "x"),
        node("b", 500, "x"),
        node("c", 500, "x"),
    ];
    nodes.push(node("no-rpc-address", 900, ""));
    let data_centre = id::DataCentre::from("dc");
    let ranked = coordinator::rank(&data_centre, &nodes);
    assert_eq!(ranked.len(), 3);
    assert_eq!(ranked[2].name.as_str(), "a");
    nodes.reverse();
    assert_eq!(coordinator::rank(&data_centre, &nodes), ranked);
    assert!(coordinator::rank(&id::DataCentre::from("other"), &nodes).is_empty());
}

#[tokio::test]
async fn a_coordinator_decides_and_counts_the_request() {
    let test = async {
        let pair = Pair::linked().await;
        let (choice, permit) = pair.node.admit(request(pair.clock)).await.unwrap();
        assert_eq!(choice.endpoint.as_str(), "e");
        assert!(permit.is_delegated());
        assert_eq!(
            (in_flight(&pair.node), in_flight(&pair.coordinator)),
            (0, 1)
        );
        permit.record_first_byte();
        permit.end(Outcome::Answered(Timing::default()));
        wait_until(|| in_flight(&pair.coordinator) == 0).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_request_withdrawn_at_the_coordinator_uses_no_slot() {
    let test = async {
        let pair = Pair::linked().await;
        let mut permits = Vec::new();
        for _ in 0..CAPACITY {
            permits.push(pair.node.admit(request(pair.clock)).await.unwrap());
        }
        let waiting = spawn_local({
            let (handle, request) = (pair.node.clone(), request(pair.clock));
            async move { handle.admit(request).await.map(|_| ()) }
        });
        wait_until(|| pair.coordinator.read(Dispatcher::waiting) > 0).await;
        waiting.abort();
        wait_until(|| pair.coordinator.read(Dispatcher::waiting) == 0).await;
        drop(permits);
        wait_until(|| pair.coordinator.read(Dispatcher::running) == 0).await;
    };
    LocalSet::new().run_until(test).await;
}

/// If a coordinator closes the connection or stops answering, the node decides
/// on the requests that wait there, and counts its requests itself from then
/// on.
#[rstest]
#[case::ended(false)]
#[case::silent(true)]
#[tokio::test]
async fn a_node_decides_alone_when_its_coordinator_is_gone(#[case] silent: bool) {
    let test = async {
        let pair = Pair::linked().await;
        let mut permits = Vec::new();
        for _ in 0..CAPACITY {
            permits.push(pair.node.admit(request(pair.clock)).await.unwrap().1);
        }
        let waiting = spawn_local({
            let (handle, request) = (pair.node.clone(), request(pair.clock));
            async move {
                handle
                    .admit(request)
                    .await
                    .map(|(_, permit)| permit.is_delegated())
            }
        });
        wait_until(|| pair.coordinator.read(Dispatcher::waiting) > 0).await;
        if silent {
            pair.proxy.stalled.send_replace(true);
        } else {
            pair.proxy.task.abort();
        }
        wait_until(|| pair.node.read(Dispatcher::waiting) > 0).await;
        assert_eq!(in_flight(&pair.node), CAPACITY);
        permits.pop();
        assert!(!waiting.await.unwrap().unwrap());
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case::silent(true)]
#[case::closing(false)]
#[tokio::test]
async fn a_coordinator_that_does_not_answer_is_skipped(#[case] silent: bool) {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let connections = Rc::<Cell<u32>>::default();
        let counted = Rc::clone(&connections);
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                let mut bytes = [0; 1024];
                while silent && stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
            }
        });
        let clock = Clock::start();
        let node_handle = handle(clock);
        let _ranked_nodes = link(
            "node",
            &node_handle,
            clock,
            vec![node("coordinator", 1, &address)],
        );
        // The second connection comes after the first one has failed.
        wait_until(|| connections.get() >= 2).await;
        let (_, permit) = node_handle.admit(request(clock)).await.unwrap();
        assert!(!permit.is_delegated());
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_coordinator_that_shuts_down_takes_no_new_node() {
    let test = async {
        let pair = Pair::linked().await;
        pair.phase
            .announce(tokio::time::Instant::now() + Duration::from_mins(1));
        let other = handle(pair.clock);
        let proxy = Proxy::start(pair.address).await;
        let _ranked_nodes = link(
            "other",
            &other,
            pair.clock,
            vec![node("coordinator", 1, &proxy.address)],
        );
        // The second connection comes after the first one was refused.
        wait_until(|| proxy.accepted.get() >= 2).await;
        let (_, permit) = other.admit(request(pair.clock)).await.unwrap();
        assert!(!permit.is_delegated());
    };
    LocalSet::new().run_until(test).await;
}

/// All nodes of a data centre start at once and none is ready: a node must not
/// try every other one as its coordinator.
#[tokio::test]
async fn few_nodes_are_tried_while_none_is_ready() {
    let test = async {
        let mut nodes = Vec::new();
        let tried = Rc::<RefCell<BTreeSet<u32>>>::default();
        for number in 0..12 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap().to_string();
            nodes.push(node(&format!("n{number}"), 1, &address));
            let tried = Rc::clone(&tried);
            spawn_local(async move {
                while listener.accept().await.is_ok() {
                    tried.borrow_mut().insert(number);
                }
            });
        }
        let clock = Clock::start();
        let node_handle = handle(clock);
        let ranked_nodes = link("node", &node_handle, clock, nodes);
        wait_until(|| tried.borrow().len() >= 3).await;
        // Wakes the link, which skips the first ones by now.
        for _ in 0..20 {
            ranked_nodes.send_modify(|_| {});
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(tried.borrow().len(), 3);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against streams that go on at another version than the one that began
/// them because the coordinator does not know which one they need.
#[tokio::test]
async fn the_version_that_a_request_needs_goes_to_the_coordinator() {
    let test = async {
        let mut both = vec![("a", Some("v1"))];
        both.extend(["b", "c", "d", "e", "f"].map(|name| (name, Some("v2"))));
        let pair = Pair::linked_with(&both, &both).await;
        for _ in 0..CAPACITY * 5 {
            let request = request_for(pair.clock, "v1");
            let (choice, permit) = pair.node.admit(request).await.unwrap();
            assert_eq!(choice.endpoint.as_str(), "a");
            assert_eq!(choice.version, Some(id::Version::from("v1")));
            assert!(permit.is_delegated());
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against streams that go on at another version because the coordinator's
/// directory is older than that of the node that sends.
#[tokio::test]
async fn a_node_checks_the_version_of_the_coordinators_choice() {
    let test = async {
        let node = [("a", Some("v2")), ("b", Some("v1"))];
        let coordinator = [("a", Some("v1")), ("b", Some("v2"))];
        let pair = Pair::linked_with(&node, &coordinator).await;
        let request = request_for(pair.clock, "v2");
        let (choice, permit) = pair.node.admit(request).await.unwrap();
        assert_eq!(choice.endpoint.as_str(), "a");
        assert!(!permit.is_delegated());
        drop(permit);
        wait_until(|| pair.coordinator.read(Dispatcher::running) == 0).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream that is cut although the node itself knows an endpoint
/// to go on at.
#[tokio::test]
async fn a_node_chooses_itself_if_its_coordinator_knows_no_endpoint_of_the_version() {
    let test = async {
        let node = [("a", Some("v1")), ("b", Some("v2"))];
        let coordinator = [("a", Some("v1"))];
        let pair = Pair::linked_with(&node, &coordinator).await;
        let request = request_for(pair.clock, "v2");
        let (choice, permit) = pair.node.admit(request).await.unwrap();
        assert_eq!(choice.endpoint.as_str(), "b");
        assert!(!permit.is_delegated());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream that is held for an endpoint that only the coordinator
/// still lists; the node would not use it.
#[tokio::test]
async fn a_node_that_knows_no_endpoint_of_the_version_does_not_wait_for_its_coordinator() {
    let test = async {
        let node = [("a", Some("v1"))];
        let coordinator = [("a", Some("v1")), ("b", Some("v2"))];
        let pair = Pair::linked_with(&node, &coordinator).await;
        let mut permits = Vec::new();
        for _ in 0..CAPACITY {
            let request = request_for(pair.clock, "v2");
            permits.push(pair.coordinator.admit(request).await.unwrap());
        }
        let refused = pair.node.admit(request_for(pair.clock, "v2")).await;
        assert_eq!(
            refused.map(|_| ()).map_err(|refusal| refusal.reason),
            Err(Reason::NoEndpoint)
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream whose version is taken from the older one of two
/// directories.
#[rstest]
#[case::differ(Some("v1"), Some("v2"), None)]
#[case::same(Some("v1"), Some("v1"), Some("v1"))]
#[case::older_coordinator(Some("v1"), None, Some("v1"))]
#[case::older_node(None, Some("v1"), None)]
#[tokio::test]
async fn a_version_on_which_the_directories_differ_counts_as_unknown(
    #[case] node: Option<&'static str>,
    #[case] coordinator: Option<&'static str>,
    #[case] expected: Option<&'static str>,
) {
    let test = async {
        let pair = Pair::linked_with(&[("e", node)], &[("e", coordinator)]).await;
        let (choice, permit) = pair.node.admit(request(pair.clock)).await.unwrap();
        assert!(permit.is_delegated());
        assert_eq!(choice.version, expected.map(id::Version::from));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against streams that begin at a version that is nearly gone because the
/// coordinator does not know that they may be resumed.
#[tokio::test]
async fn a_coordinator_spares_a_version_that_is_nearly_gone() {
    let test = async {
        let both = [("a", Some("v1")), ("b", Some("v2")), ("c", Some("v2"))];
        let pair = Pair::linked_with(&both, &both).await;
        let mut permits = Vec::new();
        for _ in 0..2 * CAPACITY {
            let request = Request {
                resumable: true,
                ..request(pair.clock)
            };
            let (choice, permit) = pair.node.admit(request).await.unwrap();
            assert_eq!(choice.version, Some(id::Version::from("v2")));
            assert!(permit.is_delegated());
            permits.push(permit);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream that is held at the coordinator after the node has learnt
/// that the last endpoint of its version is gone.
#[tokio::test]
async fn a_request_does_not_wait_for_a_version_that_its_node_no_longer_lists() {
    let test = async {
        let both = [("a", Some("v1")), ("b", Some("v2"))];
        let pair = Pair::linked_with(&both, &both).await;
        let mut permits = Vec::new();
        for _ in 0..CAPACITY {
            let request = request_for(pair.clock, "v2");
            permits.push(pair.coordinator.admit(request).await.unwrap());
        }
        let waiting = spawn_local({
            let (handle, request) = (pair.node.clone(), request_for(pair.clock, "v2"));
            async move { handle.admit(request).await.map(|_| ()) }
        });
        wait_until(|| pair.coordinator.read(Dispatcher::waiting) > 0).await;
        let left = vec![record("a", Some("v1"))];
        pair.node
            .apply(|dispatcher, now| dispatcher.set_endpoints(now, left));
        let refused = waiting.await.unwrap();
        assert_eq!(
            refused.map_err(|refusal| refusal.reason),
            Err(Reason::NoEndpoint)
        );
        wait_until(|| pair.coordinator.read(Dispatcher::waiting) == 0).await;
    };
    LocalSet::new().run_until(test).await;
}
