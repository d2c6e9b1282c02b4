//! `diff`: compares a file with the configuration in force.

use argh::FromArgs;
use dottereltally_lib::{difference, text::Text};
use dottereltally_store::proposal;
use serde_json::json;

use crate::{command::Code, connection::Connection, output::Printer, page};

/// Show what applying a file would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the file
    #[argh(positional)]
    file: String,
}

impl Diff {
    /// Runs the command.
    pub async fn run(&self, connection: &Connection, printer: Printer) -> eyre::Result<Code> {
        let page = page::Page::read(&self.file)?;
        page.content.parse::<Text>()?;
        let current = proposal::current(&connection.store()?).await?;
        let Some(current) = current else {
            let text = "no configuration is in force yet; `apply` makes this the first";
            printer.print(text, &json!({"generation": null, "changes": []}))?;
            return Ok(Code::Done);
        };
        let changes = difference::lines(&current.text, &page.content)?;
        let text = if changes.is_empty() {
            format!("no difference to generation {}", current.generation)
        } else {
            changes.join("\n")
        };
        let value = json!({"generation": current.generation, "changes": changes});
        printer.print(&text, &value)?;
        Ok(Code::Done)
    }
}
