//! `status`: prints the status that every node reports.

use std::fmt::Write;

use argh::FromArgs;
use serde_json::{Value, json};

use crate::{
    command::Code,
    output::Printer,
    platform::{Platform, Report},
};

/// Print the state of every node, of its services and, if asked, of its
/// endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// also print the endpoints
    #[argh(switch)]
    endpoints: bool,
}

impl Status {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let reports = platform.reports().await?;
        let mut text = String::new();
        for report in &reports {
            self.describe(report, &mut text)?;
        }
        let values: Vec<Value> = reports.iter().map(to_json).collect();
        printer.print(&text, &values)?;
        let all_answered = reports.iter().all(|report| report.status.is_ok());
        Ok(if all_answered {
            Code::Done
        } else {
            Code::Failed
        })
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
        for service in items(status, "services") {
            writeln!(text, "  service {}", service_line(service))?;
        }
        if !self.endpoints {
            return Ok(());
        }
        for endpoint in items(status, "endpoints") {
            writeln!(text, "  endpoint {}", endpoint_line(endpoint))?;
        }
        Ok(())
    }
}

fn to_json(report: &Report) -> Value {
    match &report.status {
        Ok(status) => {
            json!({"node": report.entry.node, "data_centre": report.entry.data_centre, "status": status})
        }
        Err(error) => {
            json!({"node": report.entry.node, "data_centre": report.entry.data_centre, "error": error.to_string()})
        }
    }
}

fn items<'a>(status: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    status[name].as_array().into_iter().flatten()
}

fn field_text(value: &Value, name: &str) -> String {
    let value = &value[name];
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn service_line(service: &Value) -> String {
    let (name, open) = (field_text(service, "name"), field_text(service, "open"));
    let missing: Vec<&str> = items(service, "missing")
        .filter_map(Value::as_str)
        .collect();
    if missing.is_empty() {
        return format!("{name}: {open} endpoints open");
    }
    let missing = missing.join(", ");
    format!("{name}: {open} endpoints open, but none open for its dependencies: {missing}")
}

fn endpoint_line(endpoint: &Value) -> String {
    let name = field_text(endpoint, "name");
    let data_centre = field_text(endpoint, "data_centre");
    let state = field_text(endpoint, "state");
    let requests = field_text(endpoint, "requests");
    let in_flight = field_text(endpoint, "in_flight");
    let window = field_text(endpoint, "window");
    format!(
        "{name} {data_centre} {state}: {requests} requests, {in_flight} of {window} tokens in flight"
    )
}
