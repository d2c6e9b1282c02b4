//! `diff`: compares a file with the configuration in force.

use argh::FromArgs;
use dottereltally_lib::{configuration::Configuration, diff};
use dottereltally_store::proposal;
use serde_json::json;

use crate::{command::Code, document, output::Printer, platform::Platform};

/// Show what applying a file would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// file to compare
    #[argh(positional)]
    file: String,
}

impl Diff {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let document = document::Document::read(&self.file)?;
        document.content.parse::<Configuration>()?;
        let current = proposal::current(&platform.store()?).await?;
        let Some(current) = current else {
            let text = "no configuration is in force yet; `apply` makes this the first";
            printer.print(text, &json!({"generation": null, "changes": []}))?;
            return Ok(Code::Done);
        };
        let changes = diff::lines(&current.text, &document.content)?;
        let text = if changes.is_empty() {
            format!("no difference from generation {}", current.generation)
        } else {
            changes.join("\n")
        };
        let value = json!({"generation": current.generation, "changes": changes});
        printer.print(&text, &value)?;
        Ok(Code::Done)
    }
}
