//! Runs the repository's programs as child processes.

use std::{
    env,
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::{PoisonError, RwLock},
};

use eyre::{Result, WrapErr, bail, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time::timeout,
};

use crate::wait::TIMEOUT;

/// Held for reading while a process is started, and for writing while ports are bound that a
/// process is to take over: until it runs its program, a child has copies of all sockets of
/// this process, and a port that was closed here is still in use.
static STARTING: RwLock<()> = RwLock::new(());

/// Starts a process; no ports are reserved meanwhile.
pub fn start_child<T>(start: impl FnOnce() -> T) -> T {
    let _starting = STARTING.read().unwrap_or_else(PoisonError::into_inner);
    start()
}

/// Returns free TCP ports of an address, which a process that is started next can bind.
///
/// # Errors
///
/// Fails if they can't be bound.
pub fn reserve_ports<const COUNT: usize>(ip: IpAddr) -> io::Result<[SocketAddr; COUNT]> {
    let _binding = STARTING.write().unwrap_or_else(PoisonError::into_inner);
    let mut listeners = Vec::new();
    let mut addresses = [SocketAddr::new(ip, 0); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}

/// Finds a program or an example of the repository near the current executable,
/// in the same build directory.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn find_executable(name: &str) -> Result<PathBuf> {
    let current = env::current_exe()?;
    for directory in current.ancestors().skip(1) {
        for candidate in [directory.join(name), directory.join("examples").join(name)] {
            if candidate.is_file() {
                return Ok(candidate);
            }
        }
        if directory.join("deps").is_dir() {
            break;
        }
    }
    bail!("{name} is not built; run `cargo build --workspace --bins --examples` first")
}

/// A running program, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    /// The line of JSON that it printed when it was ready, with its addresses.
    pub ready_line: Value,
}

impl Process {
    /// Starts a program and waits for its first line on standard output; its
    /// standard error is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built or exits before it prints the line.
    pub async fn start(name: &str, arguments: &[&str], log: &Path) -> Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(find_executable(name)?);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true);
        let mut child =
            start_child(|| command.spawn()).wrap_err_with(|| format!("can't start {name}"))?;
        let id = child
            .id()
            .ok_or_else(|| eyre!("{name} has already exited"))?;
        let pid = Pid::from_raw(i32::try_from(id)?);
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("{name} has no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(TIMEOUT, lines.next_line())
            .await
            .wrap_err_with(|| format!("{name} printed nothing within {TIMEOUT:?}"))??
            .ok_or_else(|| eyre!("{name} exited before it was ready; see {}", log.display()))?;
        // Keeps reading, so that the program never blocks on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        let ready_line = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed {line:?} instead of JSON"))?;
        Ok(Self {
            child,
            pid,
            ready_line,
        })
    }

    /// Returns an address from the line that the program printed when it was
    /// ready; empty if there is none with this name.
    #[must_use]
    pub fn address(&self, name: &str) -> String {
        self.ready_line[name]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(self.pid, signal).wrap_err_with(|| format!("can't send {signal} to the process"))
    }

    /// Returns the memory of the process at its peak, bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn peak_memory(&self) -> Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.ok_or_else(|| eyre!("the process has ended"))?;
        let kilobytes: u64 = kilobytes.trim().trim_end_matches(" kB").parse()?;
        Ok(kilobytes * 1024)
    }

    /// Returns the number of descriptors that the process has open.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn descriptors(&self) -> Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.pid))?.count())
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if it does not exit within [`TIMEOUT`].
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        Ok(timeout(TIMEOUT, self.child.wait())
            .await
            .wrap_err("the process did not exit in time")??)
    }

    /// Kills the process and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }
}

/// Runs a program until it exits; returns its standard output followed by its
/// standard error.
///
/// # Errors
///
/// Fails if the program can't be started or does not exit within [`TIMEOUT`].
pub async fn run(name: &str, arguments: &[&str]) -> Result<(ExitStatus, String)> {
    let mut command = Command::new(find_executable(name)?);
    command
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    let child = start_child(|| command.spawn())?;
    let output = timeout(TIMEOUT, child.wait_with_output())
        .await
        .wrap_err_with(|| format!("{name} did not exit within {TIMEOUT:?}"))??;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok((output.status, text))
}
