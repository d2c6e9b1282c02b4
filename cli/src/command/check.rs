//! `check`: lists every fault of a file, without contacting the platform.

use argh::FromArgs;
use dottereltally_lib::configuration::Configuration;
use serde_json::json;

use crate::{command::Code, document, output::Printer};

/// Check a file offline and list all its faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file to check
    #[argh(positional)]
    file: String,
}

impl Check {
    /// Runs the command.
    pub fn run(&self, printer: Printer) -> eyre::Result<Code> {
        let document = document::Document::read(&self.file)?;
        let configuration: Configuration = document.content.parse()?;
        let summary = format!(
            "{}: {} services, {} calls, {} workspaces, no faults",
            self.file,
            configuration.services.len(),
            configuration.calls.len(),
            configuration.workspaces.len()
        );
        let value = json!({
            "file": self.file,
            "services": configuration.services.len(),
            "calls": configuration.calls.len(),
            "workspaces": configuration.workspaces.len(),
        });
        printer.print(&summary, &value)?;
        Ok(Code::Done)
    }
}
