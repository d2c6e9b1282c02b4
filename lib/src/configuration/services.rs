//! Parses the services of the operators' configuration.

use std::collections::BTreeMap;

use crate::{
    configuration::{Kind, Service, document::check_name, graph},
    fields::{Fields, Reader},
    id, size,
    tree::Node,
};

const MAX_WINDOW_TOKENS: u64 = 1_000_000_000;
const DEFAULT_MODEL_WINDOW_TOKENS: u64 = 32_768;
const DEFAULT_PLAIN_WINDOW_TOKENS: u64 = 16;

/// Reads all services and checks their dependencies.
pub(super) fn read(reader: &mut Reader, node: &Node) -> BTreeMap<id::Service, Service> {
    let entries = reader.entries(node, "services");
    let mut services = BTreeMap::new();
    for (name, node) in entries.iter() {
        let path = format!("services.{name}");
        check_name(reader, node.line, &path, name);
        let service = read_service(reader, node, &path);
        services.insert(id::Service::from(name), service);
    }
    check_dependencies(reader, &entries, &services);
    services
}

fn read_service(reader: &mut Reader, node: &Node, path: &str) -> Service {
    let known = ["kind", "depends_on", "models", "adapters", "window"];
    let fields = reader.fields(node, path, &known);
    let models = reader.strings(&fields, "models", "model");
    let adapters = reader.strings(&fields, "adapters", "adapter");
    let depends_on = reader.strings(&fields, "depends_on", "service");
    let kind = read_kind(reader, &fields);
    let default = match kind {
        Some(Kind::Plain) => DEFAULT_PLAIN_WINDOW_TOKENS,
        _ => DEFAULT_MODEL_WINDOW_TOKENS,
    };
    let window = reader.integer(&fields, "window", (1, MAX_WINDOW_TOKENS), Some(default));
    if let Some(kind) = kind {
        check_models(reader, &fields, kind, models.len(), adapters.len());
    }
    // The errors of the fields have been recorded already. The service still
    // counts as declared, so that references to it are not reported as well.
    Service {
        kind: kind.unwrap_or(Kind::Plain),
        depends_on: depends_on.into_iter().map(id::Service::from).collect(),
        models: models.into_iter().map(id::Model::from).collect(),
        adapters: adapters.into_iter().map(id::Model::from).collect(),
        window: size::Tokens(window.unwrap_or(default)),
    }
}

fn check_models(
    reader: &mut Reader,
    fields: &Fields<'_>,
    kind: Kind,
    models: usize,
    adapters: usize,
) {
    let message = match kind {
        Kind::Plain if models + adapters > 0 => {
            "a plain service has no models; remove `models` and `adapters`"
        }
        Kind::Model if models == 0 => "a model service needs models; add `models: [NAME]`",
        _ => return,
    };
    reader.report(fields.line(), fields.path(), message);
}

fn read_kind(reader: &mut Reader, fields: &Fields<'_>) -> Option<Kind> {
    let kind = reader.string(fields, "kind", "model")?;
    match kind.as_str() {
        "model" => Some(Kind::Model),
        "plain" => Some(Kind::Plain),
        other => {
            let message = format!("`{other}` is not a kind; use `model` or `plain`");
            reader.report(
                fields.line_of("kind"),
                format!("{}.kind", fields.path()),
                message,
            );
            None
        }
    }
}

fn check_dependencies(
    reader: &mut Reader,
    entries: &Fields<'_>,
    services: &BTreeMap<id::Service, Service>,
) {
    for (name, service) in services {
        let line = entries.line_of(name.as_str());
        let path = format!("services.{name}.depends_on");
        for dependency in &service.depends_on {
            if entries
                .iter()
                .all(|(entry, _)| entry != dependency.as_str())
            {
                let message = format!(
                    "`{dependency}` is not a declared service; declare it under `services` or remove it"
                );
                reader.report(line, path.as_str(), message);
            }
        }
    }
    for cycle in graph::cycles(services) {
        let names: Vec<&str> = cycle.iter().map(id::Service::as_str).collect();
        let line = entries.line_of(names[0]);
        let message = format!(
            "services depend on each other in a cycle: {}; remove one of the dependencies",
            names.join(", ")
        );
        reader.report(line, format!("services.{}.depends_on", names[0]), message);
    }
}
