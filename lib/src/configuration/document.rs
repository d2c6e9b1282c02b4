//! Parses and validates the operators' configuration document.

use std::str::FromStr;

use crate::{
    configuration::{Configuration, calls, services, workspaces},
    fault,
    fields::{Fields, Reader},
    tree::Node,
};

/// Maximum number of tiers.
pub const MAX_TIERS: usize = 4;

/// Maximum length of a document in bytes. The key-value service holds values
/// up to a megabyte, and the document is stored together with its author and
/// time.
pub const MAX_DOCUMENT_BYTES: usize = 960_000;

/// Maximum length in bytes of a name that the document declares.
const MAX_NAME_BYTES: usize = 64;

/// Parses a document and validates it as a whole.
///
/// # Errors
///
/// Fails with every error of the document, each with its line and how to fix it.
pub fn parse(document: &str) -> Result<Configuration, fault::List> {
    let mut reader = Reader::default();
    if document.len() > MAX_DOCUMENT_BYTES {
        reader.report(
            1,
            "document",
            format!("longer than {MAX_DOCUMENT_BYTES} bytes; shorten names or remove workspaces"),
        );
        return reader.finish(Configuration::default());
    }
    let node = Node::parse(document)?;
    let configuration = read(&mut reader, &node);
    reader.finish(configuration)
}

impl FromStr for Configuration {
    type Err = fault::List;

    fn from_str(document: &str) -> Result<Self, fault::List> {
        parse(document)
    }
}

fn read(reader: &mut Reader, node: &Node) -> Configuration {
    let known = ["generation", "tiers", "services", "calls", "workspaces"];
    let fields = reader.fields(node, "", &known);
    let tiers = read_tiers(reader, &fields);
    let mut configuration = Configuration {
        tiers,
        ..Configuration::default()
    };
    reader.integer(&fields, "generation", (0, i64::MAX.unsigned_abs()), None);
    if let Some(node) = reader.required(&fields, "services", "{...}") {
        configuration.services = services::read(reader, node);
    }
    if let Some(node) = reader.required(&fields, "calls", "{...}") {
        configuration.calls = calls::read(reader, node, &configuration);
    }
    if let Some(node) = reader.required(&fields, "workspaces", "{...}") {
        configuration.workspaces = workspaces::read(reader, node);
    }
    configuration
}

fn read_tiers(reader: &mut Reader, fields: &Fields<'_>) -> Vec<String> {
    if reader
        .required(fields, "tiers", "[highest, lowest]")
        .is_none()
    {
        return Vec::new();
    }
    let tiers = reader.strings(fields, "tiers", "highest, lowest");
    let line = fields.line_of("tiers");
    if tiers.is_empty() {
        reader.report(
            line,
            "tiers",
            "no tiers; name one to four, the highest first",
        );
    }
    if tiers.len() > MAX_TIERS {
        let message = format!(
            "{} tiers; at most {MAX_TIERS} are allowed, remove some",
            tiers.len()
        );
        reader.report(line, "tiers", message);
    }
    tiers
}

/// Checks a name that the document declares.
pub(super) fn check_name(reader: &mut Reader, line: u64, path: &str, name: &str) {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed) {
        return;
    }
    let message =
        format!("invalid name; use 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`");
    reader.report(line, path, message);
}
