//! `show`: prints the text in force, ready to be edited and applied.

use argh::FromArgs;
use dottereltally_store::proposal;

use crate::{command::Code, document, output::Printer, platform::Platform};

/// Print the text in force, with its generation on the first line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

impl Show {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let current = proposal::current(&platform.store()?).await?;
        let Some(current) = current else {
            eprintln!("no configuration is in force yet; `apply` a first one");
            return Ok(Code::Failed);
        };
        let text = document::with_generation(&current.text, current.generation);
        printer.print(&text, &current)?;
        Ok(Code::Done)
    }
}
