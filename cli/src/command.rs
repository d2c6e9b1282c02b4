//! The commands, one module each.

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

use crate::{connection::Connection, output::Printer};

/// Exit codes, documented in docs/OPERATIONS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done = 0,
    /// Failed for another reason.
    Failed = 1,
    /// The input has faults.
    BadInput = 2,
    /// Somebody else changed the configuration.
    Conflict = 3,
    /// The platform can't be reached.
    PlatformAway = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// A command with its arguments.
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
    /// Explains what a node would do with a call.
    Explain(explain::Explain),
    /// Prints the audit trail.
    History(history::History),
    /// Prints the text in force.
    Show(show::Show),
    /// Prints the state of the nodes.
    Status(status::Status),
}

/// Runs a command.
///
/// # Errors
///
/// Fails with the command's own error, for [`crate::hint`] to explain.
pub async fn run(
    command: Command,
    connection: &Connection,
    printer: Printer,
) -> eyre::Result<Code> {
    match command {
        Command::Apply(apply) => apply.run(connection, printer).await,
        Command::Check(check) => check.run(printer),
        Command::Diff(diff) => diff.run(connection, printer).await,
        Command::Digest(_) => digest::Digest::run(printer),
        Command::Explain(explain) => explain.run(connection, printer).await,
        Command::History(history) => history.run(connection, printer).await,
        Command::Show(show) => show.run(connection, printer).await,
        Command::Status(status) => status.run(connection, printer).await,
    }
}
