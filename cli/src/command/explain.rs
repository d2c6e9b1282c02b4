//! `explain`: shows how the configuration in force would treat a request.

use argh::FromArgs;
use dottereltally_lib::{
    configuration::{Configuration, graph},
    id,
};
use dottereltally_store::proposal;
use eyre::eyre;
use serde_json::json;

use crate::{command::Code, output::Printer, platform::Platform};

/// Show the call that a request matches, with its tier, deadline and service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// method, such as POST
    #[argh(positional)]
    method: String,

    /// path, such as /v1/chat/completions
    #[argh(positional)]
    path: String,

    /// model that the request names
    #[argh(option)]
    model: Option<String>,

    /// workspace of the caller
    #[argh(option)]
    workspace: Option<String>,
}

impl Explain {
    /// Runs the command.
    pub async fn run(&self, platform: &Platform, printer: Printer) -> eyre::Result<Code> {
        let current = proposal::current(&platform.store()?).await?;
        let current = current.ok_or_else(|| eyre!("no configuration is in force; `apply` one"))?;
        let configuration: Configuration = current.text.parse()?;
        let model = self.model.as_deref().map(id::Model::from);
        let (name, call) = configuration
            .match_call(&self.method, &self.path, model.as_ref())
            .ok_or_else(|| {
                eyre!("no call matches, so the answer would be 404; add a call under `calls`")
            })?;
        let dependencies = graph::closure(&configuration.services, &call.service);
        let mut lines = vec![
            format!("call {name} of service {}", call.service),
            format!(
                "tier {} ({} of {})",
                configuration.tier_name(call.tier),
                call.tier.0 + 1,
                configuration.tiers.len()
            ),
            format!("deadline {}", humantime::format_duration(call.deadline)),
            format!("idempotent {}", call.idempotent),
        ];
        if !dependencies.is_empty() {
            let names: Vec<&str> = dependencies.iter().map(id::Service::as_str).collect();
            lines.push(format!("depends on {}", names.join(", ")));
        }
        if let Some(name) = &self.workspace {
            lines.push(workspace_line(&configuration, name)?);
        }
        let value = json!({
            "call": name,
            "service": call.service,
            "tier": configuration.tier_name(call.tier),
            "deadline": humantime::format_duration(call.deadline).to_string(),
            "idempotent": call.idempotent,
            "depends_on": dependencies,
        });
        printer.print(&lines.join("\n"), &value)?;
        Ok(Code::Done)
    }
}

fn workspace_line(configuration: &Configuration, name: &str) -> eyre::Result<String> {
    let workspace = configuration
        .workspaces
        .get(&id::Workspace::from(name))
        .ok_or_else(|| eyre!("there is no workspace `{name}`; declare it under `workspaces`"))?;
    let limit = workspace
        .limit
        .map_or("no limit".to_owned(), |limit| format!("limit {limit}"));
    Ok(format!(
        "workspace {name}: share {}, {limit}",
        workspace.share
    ))
}
