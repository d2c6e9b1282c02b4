//! Replicas as processes of their own.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread,
    time::Duration,
};

use crate::{
    record::{self, Record},
    replica,
    store::Store,
};

/// A replica process, killed on drop.
pub struct Replica {
    child: Child,
    pub id: String,
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Replica {
    /// Starts a replica, and writes its entry into the store.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start(
        service: &str,
        number: usize,
        zone: &str,
        slots: usize,
        store: &Store,
        log: &Record,
    ) -> std::io::Result<Self> {
        let id = format!("i-{service}-{number}");
        let program = std::env::current_exe()?.with_file_name("replica");
        let mut child = Command::new(program)
            .args([id.as_str(), &slots.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        record::note_process(child.id());
        let out = child.stdout.take().ok_or(std::io::ErrorKind::BrokenPipe)?;
        let (sender, receiver) = mpsc::channel();
        let (log, name) = (log.clone(), id.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                match line.strip_prefix("address ") {
                    Some(address) => drop(sender.send(address.to_owned())),
                    None => log.line(&format!("replica {name} {line}")),
                }
            }
        });
        let address = receiver.recv_timeout(Duration::from_secs(5));
        let address = address.map_err(|_| std::io::ErrorKind::TimedOut)?;
        let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let born = std::time::UNIX_EPOCH
            .elapsed()
            .map_or(1, |age| age.as_millis());
        let entry = replica::entry(service, address, zone, slots, born);
        store.set(&format!("servers/{id}"), &entry);
        Ok(Self { child, id })
    }

    /// Kills the process without waiting for its end, so that several end at once.
    pub fn crash(&mut self) {
        let _ended = self.child.kill();
    }
}
