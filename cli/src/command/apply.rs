//! `apply`: puts a file in force.

use std::{
    env,
    time::{Duration, SystemTime},
};

use argh::FromArgs;
use dottereltally_lib::{id, text::Text};
use dottereltally_store::proposal::{Accepted, Proposal};
use serde_json::json;
use tokio::time;
use uuid::Uuid;

use crate::{command::Code, connection::Connection, output::Printer, page};

const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Put a file in force, unless somebody changed the configuration since the
/// generation that the file names.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the file
    #[argh(positional)]
    file: String,

    /// generation that the file was edited from, if the file does not say
    #[argh(option)]
    base: Option<u64>,

    /// name for the audit trail; else from `USER`
    #[argh(option)]
    author: Option<String>,

    /// return when every live node has it in force, or say which have not
    #[argh(switch)]
    wait: bool,

    /// time to settle a lost answer and to wait, such as `10s`
    #[argh(option, default = "Duration::from_secs(10)", from_str_fn(duration))]
    timeout: Duration,
}

fn duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{error}; write for example `10s`"))
}

impl Apply {
    /// Runs the command.
    pub async fn run(&self, connection: &Connection, printer: Printer) -> eyre::Result<Code> {
        let page = page::Page::read(&self.file)?;
        page.content.parse::<Text>()?;
        let proposal = self.proposal(&page, connection).await?;
        let accepted = proposal.submit(&connection.store()?, self.timeout).await?;
        let (generation, changes) = match accepted {
            Accepted::Changed(generation, changes) => (generation, changes),
            Accepted::Unchanged(generation) => (generation, Vec::new()),
        };
        let recorded = page.record(generation)?;
        let missing = if self.wait {
            self.missing(connection, generation).await?
        } else {
            Vec::new()
        };
        let text = describe(generation, &changes, recorded, &missing);
        let value = json!({"generation": generation, "changes": changes, "missing": missing});
        printer.print(&text, &value)?;
        Ok(if missing.is_empty() {
            Code::Done
        } else {
            Code::Failed
        })
    }

    async fn proposal(&self, page: &page::Page, connection: &Connection) -> eyre::Result<Proposal> {
        let base = match self.base {
            Some(base) => id::Generation(base),
            None => page.base()?,
        };
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        Ok(Proposal {
            base,
            floor: connection.highest_generation().await,
            text: page.content.clone(),
            author: author.unwrap_or_else(|| "unknown".to_owned()),
            time: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
            token: Uuid::new_v4().to_string(),
        })
    }

    /// Waits for the generation and returns the nodes that do not have it.
    async fn missing(
        &self,
        connection: &Connection,
        generation: id::Generation,
    ) -> eyre::Result<Vec<id::Node>> {
        let deadline = time::Instant::now() + self.timeout;
        loop {
            let mut missing = Vec::new();
            for report in connection.reports().await? {
                if report.generation() < generation {
                    missing.push(report.entry.node);
                }
            }
            if missing.is_empty() || time::Instant::now() >= deadline {
                return Ok(missing);
            }
            time::sleep(WAIT_INTERVAL).await;
        }
    }
}

fn describe(
    generation: id::Generation,
    changes: &[String],
    recorded: bool,
    missing: &[id::Node],
) -> String {
    let mut lines = changes.to_vec();
    if changes.is_empty() {
        lines.push(format!(
            "nothing to change, generation {generation} stays in force"
        ));
    } else {
        lines.push(format!("generation {generation} is accepted"));
    }
    if recorded {
        lines.push(format!(
            "the file now names generation {generation}; commit it"
        ));
    }
    for node in missing {
        lines.push(format!(
            "node {node} does not have it in force yet; see `status`"
        ));
    }
    lines.join("\n")
}
