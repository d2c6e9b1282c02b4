//! The subcommands, one per module.

mod apply;
mod check;
mod diff;
mod digest;
mod explain;
mod history;
mod show;
mod status;

use std::process::ExitCode;

use argh::FromArgs;
use derive_more::From;

use crate::{output::Printer, platform::Platform};

/// Exit codes, documented in docs/OPERATIONS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without a code of its own, or for some of
    /// the nodes.
    Failed = 1,
    /// The input is invalid.
    BadInput = 2,
    /// The configuration has changed since the generation that was edited.
    Conflict = 3,
    /// The platform can't be reached.
    PlatformUnreachable = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// A subcommand with its arguments.
#[derive(Debug, From, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Changes the configuration.
    Apply(apply::Apply),
    /// Checks a file.
    Check(check::Check),
    /// Compares a file with the configuration in force.
    Diff(diff::Diff),
    /// Prints the digest of a caller's key.
    Digest(digest::Digest),
    /// Explains how a request would be treated.
    Explain(explain::Explain),
    /// Prints the audit trail.
    History(history::History),
    /// Prints the configuration in force.
    Show(show::Show),
    /// Prints the state of the nodes.
    Status(status::Status),
}

/// Runs a command.
///
/// # Errors
///
/// Fails with the command's error, which [`crate::hint`] prints.
pub async fn run(command: Command, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
    match command {
        Command::Apply(apply) => apply.run(platform, printer).await,
        Command::Check(check) => check.run(printer),
        Command::Diff(diff) => diff.run(platform, printer).await,
        Command::Digest(_) => digest::Digest::run(printer),
        Command::Explain(explain) => explain.run(platform, printer).await,
        Command::History(history) => history.run(platform, printer).await,
        Command::Show(show) => show.run(platform, printer).await,
        Command::Status(status) => status.run(platform, printer).await,
    }
}
