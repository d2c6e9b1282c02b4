//! Gateways as processes, started with the command of the deploy file.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use crate::http::ask;

/// The program that the deploy file's build makes.
const PROGRAM: &str = "target/release/dottereltally-gateway";

/// Last byte of the next gateway's address.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Gateway {
    /// Writes the settings of a gateway, as the platform does from `deploy/settings.yaml`;
    /// does not start it.
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        // Clients connect from 127.0.0.1, so that they never take these ports.
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, 16 + high % 200, low, NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed));
        let listeners: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
            .collect();
        let address: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        let template = std::fs::read_to_string("deploy/settings.yaml").expect("deploy/settings.yaml");
        let values = [
            ("{{node}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{limits.memoryMb}}", "256".to_owned()),
            ("{{limits.maxFds}}", "4096".to_owned()),
            ("{{listen.front}}", address[0].to_string()),
            ("{{listen.ready}}", address[1].to_string()),
            ("{{listen.control}}", address[2].to_string()),
            ("{{ip}}:{{portRange.0}}", address[3].to_string()),
            ("{{ip}}:9464", address[4].to_string()),
            ("{{provider.address}}", store.to_string()),
            ("{{seeds|json}}", "[]".to_owned()),
            ("{{bounds.drainMs}}", "2000".to_owned()),
            ("{{bounds.configApplyMs}}", "2000".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.budgetSlack}}", "56".to_owned()),
            ("{{bounds.retryWindowS}}", "10".to_owned()),
            ("{{bounds.quotaOverage}}", "0.1".to_owned()),
            ("{{bounds.quotaSlack}}", "140000".to_owned()),
            ("{{bounds.quotaWindowS}}", "8".to_owned()),
        ];
        let mut text = template;
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        assert!(!text.contains("{{"), "a placeholder without a value: {text}");
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the settings");
        Self {
            name: name.to_owned(),
            callers: address[0],
            health: address[1],
            settings,
            pids: folder.join("pids"),
            child: None,
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&self.settings);
        let errors = log.try_clone()?;
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn()?;
        let mut pids = File::options().create(true).append(true).open(&self.pids)?;
        std::io::Write::write_all(&mut pids, format!("{}\n", child.id()).as_bytes())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let answer = ask(self.health, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}
