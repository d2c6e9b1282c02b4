//! Processes of the system, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

/// Memory and descriptors of a machine, as on the sheet of `bms-aftercare`.
pub const MEMORY_MB: u32 = 110;
const DESCRIPTORS: u32 = 4100;

/// One machine with its process.
pub struct Gateway {
    pub callers: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a machine in a zone and starts its process.
    pub fn start(zone: &str, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let held: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let ports: Vec<SocketAddr> = held
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        drop(held);
        let name = format!("front-{zone}-1");
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(
            &settings,
            format!(
                "node: \"{name}\"\ndata_centre: \"{zone}\"\nprocessor_share: 0.25\nmemory_mb: {MEMORY_MB}\n\
                 max_descriptors: {DESCRIPTORS}\nlisten:\n  callers: \"{}\"\n  health: \"{}\"\n  peers: \"{}\"\n  \
                 beats: \"{}\"\n  operations: \"{}\"\nstore: \"{store}\"\nseeds: []\nbounds:\n  drain_ms: 2000\n  \
                 apply_ms: 2000\n  grace_s: 8\nretries:\n  ratio: 0.2\n  allowance: 56\n  window_s: 10\nquotas:\n  \
                 tolerated_part: 0.1\n  tolerated_tokens: 140000\n  window_s: 8\n",
                ports[0], ports[1], ports[2], ports[3], ports[4]
            ),
        )?;
        let mut gateway = Self {
            callers: ports[0],
            health: ports[1],
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process, after the one before has ended.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/dottereltally-gateway")
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            child.kill().ok();
            child.wait().ok();
        }
    }

    fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process has not ended.
    pub fn lives(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = http::call(self.health, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the machine says that it is ready; returns whether it did in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the resident memory of the process in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let figure = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        figure.unwrap_or_default()
    }

    /// Returns the number of log lines that contain a text.
    pub fn count_log(&self, text: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
