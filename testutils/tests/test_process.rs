//! Ports that processes are to take over.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use dottereltally_testutils::process::{reserve_ports, start_child};

/// Guards against a port that is still in use when its process starts: a child that is being
/// started has a copy of the socket.
#[test]
fn reserved_ports_are_free_while_other_processes_start() {
    let is_ended = Arc::new(AtomicBool::new(false));
    let mut starting = Vec::new();
    for _ in 0..3 {
        let is_ended = Arc::clone(&is_ended);
        starting.push(thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                let mut child = start_child(|| Command::new("true").spawn()).unwrap();
                child.wait().unwrap();
            }
        }));
    }
    // Clients connect from another address.
    let ip = IpAddr::from(Ipv4Addr::new(127, 9, 9, 9));
    let mut used = 0;
    for _ in 0..500 {
        let addresses: [SocketAddr; 5] = reserve_ports(ip).unwrap();
        for address in addresses {
            used += usize::from(TcpListener::bind(address).is_err());
        }
    }
    is_ended.store(true, Ordering::Relaxed);
    for thread in starting {
        thread.join().unwrap();
    }
    assert_eq!(used, 0, "ports in use");
}
