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
        for service in list(status, "services") {
            writeln!(text, "  service {}", service_line(service))?;
        }
        if !self.endpoints {
            return Ok(());
        }
        for endpoint in list(status, "endpoints") {
            writeln!(text, "  endpoint {}", endpoint_line(endpoint))?;
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

fn list<'a>(status: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    status[name].as_array().into_iter().flatten()
}

fn word(value: &Value, name: &str) -> String {
    let value = &value[name];
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn service_line(service: &Value) -> String {
    let (name, open) = (word(service, "name"), word(service, "open"));
    let missing: Vec<&str> = list(service, "missing").filter_map(Value::as_str).collect();
    if missing.is_empty() {
        return format!("{name}: {open} endpoints open");
    }
    let missing = missing.join(", ");
    format!("{name}: {open} endpoints open, but {missing} has none, which it depends on")
}

fn endpoint_line(endpoint: &Value) -> String {
    let name = word(endpoint, "name");
    let place = word(endpoint, "data_centre");
    let state = word(endpoint, "state");
    let requests = word(endpoint, "requests");
    let in_flight = word(endpoint, "in_flight");
    let window = word(endpoint, "window");
    format!("{name} {place} {state}: {requests} requests, {in_flight} of {window} tokens in flight")
}
