//! `apply`: puts the configuration in a file in force.

use std::{
    env,
    time::{Duration, SystemTime},
};

use argh::FromArgs;
use dottereltally_lib::{configuration::Configuration, id};
use dottereltally_store::proposal::{Accepted, Proposal};
use serde_json::json;
use tokio::time;
use uuid::Uuid;

use crate::{command::Code, document, output::Printer, platform::Platform};

/// Time between two checks of whether every node has the new generation.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Put a file in force, unless the configuration has changed since the
/// generation that the file names.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file to apply
    #[argh(positional)]
    file: String,

    /// generation that the file was edited from; default: the one that the file
    /// names
    #[argh(option)]
    base: Option<u64>,

    /// author for the audit trail; default: `USER`
    #[argh(option)]
    author: Option<String>,

    /// wait until every node of the host list has it in force, and list those
    /// that do not
    #[argh(switch)]
    wait: bool,

    /// time limit, such as `10s`, for finding out about a lost answer, and again
    /// for `--wait`
    #[argh(option, default = "Duration::from_secs(10)", from_str_fn(duration))]
    timeout: Duration,
}

fn duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{error}; write for example `10s`"))
}

impl Apply {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let document = document::Document::read(&self.file)?;
        document.content.parse::<Configuration>()?;
        let proposal = self.proposal(&document, platform).await?;
        let accepted = proposal.submit(&platform.store()?, self.timeout).await?;
        let (generation, changes) = match accepted {
            Accepted::Changed(generation, changes) => (generation, changes),
            Accepted::Unchanged(generation) => (generation, Vec::new()),
        };
        let file_updated = document.update_generation(generation)?;
        let missing = if self.wait {
            self.await_generation(platform, generation).await?
        } else {
            Vec::new()
        };
        let text = describe(generation, &changes, file_updated, &missing);
        let value = json!({"generation": generation, "changes": changes, "missing": missing});
        printer.print(&text, &value)?;
        Ok(if missing.is_empty() {
            Code::Done
        } else {
            Code::Failed
        })
    }

    async fn proposal(
        &self,
        document: &document::Document,
        platform: &Platform,
    ) -> eyre::Result<Proposal> {
        let base = match self.base {
            Some(base) => id::Generation(base),
            None => document.base()?,
        };
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        Ok(Proposal {
            base,
            floor: platform.highest_generation().await,
            text: document.content.clone(),
            author: author.unwrap_or_else(|| "unknown".to_owned()),
            time: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
            token: Uuid::new_v4().to_string(),
        })
    }

    /// Waits until every node has the generation in force, and returns the
    /// nodes that do not have it when the time limit has passed.
    async fn await_generation(
        &self,
        platform: &Platform,
        generation: id::Generation,
    ) -> eyre::Result<Vec<id::Node>> {
        let deadline = time::Instant::now() + self.timeout;
        loop {
            let mut missing = Vec::new();
            for report in platform.reports().await? {
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
    file_updated: bool,
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
    if file_updated {
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
