//! Parses the calls of the operators' configuration.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    configuration::{Call, Configuration, document::check_name},
    fields::{Fields, Reader},
    id,
    tree::Node,
};

const MIN_DEADLINE: Duration = Duration::from_millis(1);
const MAX_DEADLINE: Duration = Duration::from_hours(1);
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Reads all calls; the tiers and services of `configuration` must have been
/// read before.
pub(super) fn read(
    reader: &mut Reader,
    node: &Node,
    configuration: &Configuration,
) -> BTreeMap<id::Call, Call> {
    let entries = reader.entries(node, "calls");
    let mut calls = BTreeMap::new();
    let mut seen: BTreeMap<(String, String, Option<id::Model>), String> = BTreeMap::new();
    for (name, node) in entries.iter() {
        let path = format!("calls.{name}");
        check_name(reader, node.line, &path, name);
        let Some(call) = read_call(reader, node, &path, configuration) else {
            continue;
        };
        let matcher = (call.method.clone(), call.path.clone(), call.model.clone());
        if let Some(other) = seen.insert(matcher, name.to_owned()) {
            let message = format!(
                "matches the same requests as `calls.{other}`; change method, path or model of one"
            );
            reader.report(node.line, path, message);
        }
        calls.insert(id::Call::from(name), call);
    }
    calls
}

fn read_call(
    reader: &mut Reader,
    node: &Node,
    path: &str,
    configuration: &Configuration,
) -> Option<Call> {
    let known = [
        "service",
        "method",
        "path",
        "model",
        "tier",
        "deadline",
        "idempotent",
        "unkeyed",
    ];
    let fields = reader.fields(node, path, &known);
    let service = read_service(reader, &fields, configuration);
    let method = read_method(reader, &fields);
    let path_pattern = read_path(reader, &fields);
    let tier = read_tier(reader, &fields, configuration);
    let deadline = reader.duration(&fields, "deadline", (MIN_DEADLINE, MAX_DEADLINE));
    let idempotent = reader.boolean(&fields, "idempotent");
    let unkeyed = read_unkeyed(reader, &fields, idempotent);
    let model = reader
        .optional_string(&fields, "model", "NAME")
        .map(id::Model::from);
    let service = service?;
    if let Some(model) = &model {
        check_model(reader, &fields, model, &service, configuration);
    }
    Some(Call {
        service,
        method: method?,
        path: path_pattern?,
        model,
        tier: tier?,
        deadline: deadline?,
        idempotent: idempotent?,
        unkeyed,
    })
}

fn read_service(
    reader: &mut Reader,
    fields: &Fields<'_>,
    configuration: &Configuration,
) -> Option<id::Service> {
    let name = reader.string(fields, "service", "NAME")?;
    let service = id::Service::from(name);
    if !configuration.services.contains_key(&service) {
        let message = format!("`{service}` is not a declared service; declare it under `services`");
        reader.report(
            fields.line_of("service"),
            format!("{}.service", fields.path()),
            message,
        );
    }
    Some(service)
}

fn read_method(reader: &mut Reader, fields: &Fields<'_>) -> Option<String> {
    let method = reader.string(fields, "method", "POST")?;
    if METHODS.contains(&method.as_str()) {
        return Some(method);
    }
    let message = format!(
        "`{method}` is not a supported method; use one of {}",
        METHODS.join(", ")
    );
    reader.report(
        fields.line_of("method"),
        format!("{}.method", fields.path()),
        message,
    );
    None
}

fn read_path(reader: &mut Reader, fields: &Fields<'_>) -> Option<String> {
    let path = reader.string(fields, "path", "/v1/chat/completions")?;
    let body = path.strip_suffix("/*").unwrap_or(&path);
    if path.starts_with('/') && !body.contains(['*', '?', '#', ' ']) {
        return Some(path);
    }
    let message = format!(
        "`{path}` is not a valid path; start it with `/`, leave out the query and use `*` only as the last segment"
    );
    reader.report(
        fields.line_of("path"),
        format!("{}.path", fields.path()),
        message,
    );
    None
}

fn read_tier(
    reader: &mut Reader,
    fields: &Fields<'_>,
    configuration: &Configuration,
) -> Option<id::Tier> {
    let name = reader.string(fields, "tier", "NAME")?;
    let tier = configuration.tier(&name);
    if tier.is_none() {
        let message = format!(
            "`{name}` is not a declared tier; use one of `{}`",
            configuration.tiers.join("`, `")
        );
        reader.report(
            fields.line_of("tier"),
            format!("{}.tier", fields.path()),
            message,
        );
    }
    tier
}

fn read_unkeyed(reader: &mut Reader, fields: &Fields<'_>, idempotent: Option<bool>) -> bool {
    let Some(choice) = reader.optional_string(fields, "unkeyed", "allow") else {
        return false;
    };
    let path = format!("{}.unkeyed", fields.path());
    if !["allow", "refuse"].contains(&choice.as_str()) {
        let message = format!("`{choice}` is not a valid choice; use `allow` or `refuse`");
        reader.report(fields.line_of("unkeyed"), path.as_str(), message);
    }
    if idempotent == Some(true) {
        let message = "an idempotent call does not need a key; remove the field";
        reader.report(fields.line_of("unkeyed"), path, message);
    }
    choice == "allow"
}

fn check_model(
    reader: &mut Reader,
    fields: &Fields<'_>,
    model: &id::Model,
    service: &id::Service,
    configuration: &Configuration,
) {
    let Some(service) = configuration.services.get(service) else {
        return;
    };
    if service.models.contains(model) || service.adapters.contains(model) {
        return;
    }
    let message = format!("`{model}` is not a model or adapter of the service; add it there");
    reader.report(
        fields.line_of("model"),
        format!("{}.model", fields.path()),
        message,
    );
}
