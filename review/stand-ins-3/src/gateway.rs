//! Starts the gateway with the command of the deploy file and settings of a small deployment.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{client, record, store::Store};

/// Counts the machines, so that each has a loopback address of its own.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// A machine with one gateway process, which is killed on drop.
pub struct Gateway {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    pub health: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings of a machine that differ between the cases.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub memory_mb: u32,
    pub descriptors: u32,
}

impl Gateway {
    /// Writes the settings of a machine and starts its process.
    ///
    /// # Errors
    ///
    /// Fails if there are no free ports, or the program can't be started.
    pub fn start(machine: &Machine<'_>, store: &Store, folder: &Path) -> std::io::Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = format!("127.{}.{low}.{number}", 64 + high % 128);
        let mut held = Vec::new();
        let mut ports = Vec::new();
        for _ in 0..4 {
            let listener = TcpListener::bind((ip.as_str(), 0))?;
            ports.push(listener.local_addr()?);
            held.push(listener);
        }
        let beats = UdpSocket::bind((ip.as_str(), 0))?;
        let beats_address = beats.local_addr()?;
        drop((held, beats));
        let Machine {
            name,
            zone,
            memory_mb,
            descriptors,
        } = machine;
        let settings = folder.join(format!("{name}.yaml"));
        let (callers, health, peers, operations) = (ports[0], ports[1], ports[2], ports[3]);
        let store = store.address;
        std::fs::write(
            &settings,
            format!(
                "node: \"{name}\"\ndata_centre: \"{zone}\"\nprocessor_share: 0.25\n\
                 memory_mb: {memory_mb}\nmax_descriptors: {descriptors}\nlisten:\n  \
                 callers: \"{callers}\"\n  health: \"{health}\"\n  peers: \"{peers}\"\n  \
                 beats: \"{beats_address}\"\n  operations: \"{operations}\"\nstore: \"{store}\"\n\
                 seeds: [\"{peers}\"]\nbounds:\n  drain_ms: 2000\n  apply_ms: 2000\n  grace_s: 8\n\
                 retries:\n  ratio: 0.2\n  allowance: 56\n  window_s: 10\nquotas:\n  \
                 tolerated_part: 0.1\n  tolerated_tokens: 140000\n  window_s: 8\nrollouts:\n  \
                 share: \n  allowance: \n  rollback_ms: \n"
            ),
        )?;
        let mut gateway = Self {
            child: None,
            log: folder.join(format!("{name}.log")),
            settings,
            callers,
            health,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    fn spawn(&mut self) -> std::io::Result<()> {
        let program = std::env::var("GATEWAY")
            .unwrap_or_else(|_| "target/release/dottereltally-gateway".to_owned());
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        record::note_process(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process again with the same settings, as the platform does with one that was
    /// killed.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.spawn()
    }

    /// Waits until the machine answers the balancer's health check with 200.
    #[must_use]
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let asked = client::ask(self.health, request.as_bytes(), Duration::from_secs(1));
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the resident memory of the process in bytes; `None` if it has ended.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns whether the process runs.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns the lines of the log that contain a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}
