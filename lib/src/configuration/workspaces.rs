//! Parses the workspaces of the operators' configuration.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    configuration::{Workspace, document::check_name},
    fields::Reader,
    id,
    tree::Node,
};

const MAX_SHARE: u64 = 10_000;
/// Maximum of a workspace's limit on requests in one node at a time.
const MAX_REQUEST_LIMIT: u64 = 1_000_000;
/// Prefix of a key's digest in the document.
const KEY_PREFIX: &str = "sha256:";
const DIGEST_HEX_DIGITS: usize = 64;

/// Reads all workspaces.
pub(super) fn read(reader: &mut Reader, node: &Node) -> BTreeMap<id::Workspace, Workspace> {
    let entries = reader.entries(node, "workspaces");
    let mut workspaces = BTreeMap::new();
    let mut owners: BTreeMap<String, String> = BTreeMap::new();
    for (name, node) in entries.iter() {
        let path = format!("workspaces.{name}");
        check_name(reader, node.line, &path, name);
        let Some(workspace) = read_workspace(reader, node, &path) else {
            continue;
        };
        for key in &workspace.keys {
            if let Some(other) = owners.insert(key.clone(), name.to_owned()) {
                let message = format!(
                    "a key also belongs to `workspaces.{other}`; give each workspace its own keys"
                );
                reader.report(node.line, format!("{path}.keys"), message);
            }
        }
        workspaces.insert(id::Workspace::from(name), workspace);
    }
    workspaces
}

fn read_workspace(reader: &mut Reader, node: &Node, path: &str) -> Option<Workspace> {
    let fields = reader.fields(node, path, &["keys", "share", "limit"]);
    reader.required(&fields, "keys", "[sha256:HEX]");
    let mut keys = BTreeSet::new();
    for key in reader.strings(&fields, "keys", "sha256:HEX") {
        if let Some(digest) = parse_digest(&key) {
            keys.insert(digest);
            continue;
        }
        let message = "invalid key; write the output of `dottereltallyctl digest`, `sha256:` and 64 hexadecimal digits";
        reader.report(fields.line_of("keys"), format!("{path}.keys"), message);
    }
    let share = reader.integer(&fields, "share", (1, MAX_SHARE), Some(1))?;
    let limit = reader.integer(&fields, "limit", (1, MAX_REQUEST_LIMIT), None);
    Some(Workspace {
        keys,
        share: u32::try_from(share).ok()?,
        limit: limit.and_then(|limit| u32::try_from(limit).ok()),
    })
}

/// Returns the digest of a `sha256:` key in lower case.
fn parse_digest(key: &str) -> Option<String> {
    let digits = key.strip_prefix(KEY_PREFIX)?;
    let valid =
        digits.len() == DIGEST_HEX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then(|| digits.to_ascii_lowercase())
}
