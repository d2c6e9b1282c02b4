//! `history`: prints the audit trail.

use argh::FromArgs;
use dottereltally_lib::id;
use dottereltally_store::{layout::Audit, proposal};

use crate::{command::Code, output::Printer, platform::Platform};

/// Print the accepted changes and their authors, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// maximum number of generations to print
    #[argh(option, default = "20")]
    limit: usize,
}

impl History {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let store = platform.store()?;
        let mut audits = proposal::audits_since(&store, id::Generation::default()).await?;
        audits.reverse();
        audits.truncate(self.limit);
        printer.print(&describe(&audits), &audits)?;
        Ok(Code::Done)
    }
}

fn describe(audits: &[Audit]) -> String {
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
