//! `status`: prints what every node says of itself.

use std::fmt::Write;

use argh::FromArgs;
use serde_json::{Value, json};

use crate::{
    command::Code,
    connection::{Connection, Report},
    output::Printer,
};

/// Print the state of every node and of the endpoints it knows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// show the endpoints too
    #[argh(switch)]
    endpoints: bool,
}

impl Status {
    /// Runs the command.
    pub async fn run(&self, connection: &Connection, printer: Printer) -> eyre::Result<Code> {
        let reports = connection.reports().await?;
        let mut text = String::new();
        for report in &reports {
            self.describe(report, &mut text)?;
        }
        let values: Vec<Value> = reports.iter().map(value).collect();
        printer.print(&text, &values)?;
        let all = reports.iter().all(|report| report.status.is_ok());
        Ok(if all { Code::Done } else { Code::Failed })
    }

    fn describe(&self, report: &Report, text: &mut String) -> eyre::Result<()> {
        let node = &report.entry.node;
        let data_centre = &report.entry.data_centre;
        let status = match &report.status {
            Ok(status) => status,
            Err(error) => {
                writeln!(
                    text,
                    "{node} {data_centre} {}: no answer: {error}",
                    report.entry.standing
                )?;
                return Ok(());
            }
        };
        let generation = &status["generation"];
        let platform = &status["platform"];
        let draining = &status["draining"];
        let standing = report.entry.standing;
        writeln!(
            text,
            "{node} {data_centre} {standing}: generation {generation}, draining {draining}, platform {platform}"
        )?;
        if !self.endpoints {
            return Ok(());
        }
        for endpoint in status["endpoints"].as_array().into_iter().flatten() {
            writeln!(text, "  {endpoint}")?;
        }
        Ok(())
    }
}

fn value(report: &Report) -> Value {
    match &report.status {
        Ok(status) => {
            json!({"node": report.entry.node, "data_centre": report.entry.data_centre, "status": status})
        }
        Err(error) => {
            json!({"node": report.entry.node, "data_centre": report.entry.data_centre, "error": error.to_string()})
        }
    }
}
