//! Runs the programs of the repository.

use std::{
    env,
    fs::File,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
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

use crate::wait::BOUND;

/// Finds a program or an example of the repository beside this one.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn find(name: &str) -> Result<PathBuf> {
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

/// A running program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    /// What it printed once it listened.
    pub line: Value,
}

impl Process {
    /// Starts a program and waits for its line; its log goes to a file.
    ///
    /// # Errors
    ///
    /// Fails if it is not built or ends before it prints the line.
    pub async fn start(name: &str, arguments: &[&str], log: &Path) -> Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(find(name)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("can't start {name}"))?;
        let id = child.id().ok_or_else(|| eyre!("{name} has ended"))?;
        let pid = Pid::from_raw(i32::try_from(id)?);
        let stdout = child.stdout.take().ok_or_else(|| eyre!("no output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(BOUND, lines.next_line())
            .await
            .wrap_err_with(|| format!("{name} printed nothing"))??
            .ok_or_else(|| eyre!("{name} ended at once; see {}", log.display()))?;
        // Reads on, so that the program never blocks on its output.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        let line = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed {line} in place of JSON"))?;
        Ok(Self { child, pid, line })
    }

    /// Returns a member of the line that it printed.
    #[must_use]
    pub fn address(&self, member: &str) -> String {
        self.line[member].as_str().unwrap_or_default().to_owned()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(self.pid, signal).wrap_err_with(|| format!("can't send {signal}"))
    }

    /// Returns whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it does not end.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        Ok(timeout(BOUND, self.child.wait())
            .await
            .wrap_err("the process goes on running")??)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }
}

/// Runs a program to its end and returns what it printed on both outputs.
///
/// # Errors
///
/// Fails if it can't be started or does not end.
pub async fn run(name: &str, arguments: &[&str]) -> Result<(ExitStatus, String)> {
    let mut command = Command::new(find(name)?);
    command
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true);
    let output = timeout(BOUND, command.output())
        .await
        .wrap_err_with(|| format!("{name} goes on running"))??;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok((output.status, text))
}
