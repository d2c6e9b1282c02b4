//! A replica as a process of its own, which a case ends with a signal. It prints its address,
//! and then a line for each request that it begins and that it answered.

use std::{io::Write, net::TcpListener, sync::Arc};

use review_stand_ins_3::replica::{self, Listener};

struct Print;

impl Print {
    fn line(text: &str) {
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{text}");
        let _ = out.flush();
    }
}

impl Listener for Print {
    fn begins(&self, id: &str, path: &str, _tenant: &str) {
        Self::line(&format!("begins {id} {path}"));
    }

    fn answered(&self, id: &str) {
        Self::line(&format!("answered {id}"));
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let id = arguments.next().expect("usage: replica ID SLOTS");
    let slots = arguments.next().and_then(|slots| slots.parse().ok());
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port for a replica");
    let address = listener.local_addr().expect("no address of a replica");
    Print::line(&format!("address {address}"));
    replica::serve(&listener, &id, slots.unwrap_or(6), &Arc::new(Print));
}
