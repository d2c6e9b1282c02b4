//! `history`: prints the audit trail.

use argh::FromArgs;
use dottereltally_lib::id;
use dottereltally_store::{layout::Audit, proposal};

use crate::{command::Code, connection::Connection, output::Printer};

/// Print who changed what, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// number of generations at the most
    #[argh(option, default = "20")]
    limit: usize,
}

impl History {
    /// Runs the command.
    pub async fn run(&self, connection: &Connection, printer: Printer) -> eyre::Result<Code> {
        let store = connection.store()?;
        let mut audits = proposal::since(&store, id::Generation::default()).await?;
        audits.reverse();
        audits.truncate(self.limit);
        printer.print(&table(&audits), &audits)?;
        Ok(Code::Done)
    }
}

fn table(audits: &[Audit]) -> String {
    if audits.is_empty() {
        return "the audit trail is empty".to_owned();
    }
    let mut lines = Vec::new();
    for audit in audits {
        lines.push(format!(
            "generation {} at {} by {} ({})",
            audit.generation, audit.time, audit.author, audit.token
        ));
        for change in &audit.changes {
            lines.push(format!("  {change}"));
        }
    }
    lines.join("\n")
}
