//! Difference between two versions of the operators' configuration.

use crate::{fault, tree::Node};

/// Field with the generation that a document was edited from, which is not part
/// of its content.
const GENERATION_FIELD: &str = "generation";

/// Returns one line per field that differs, ordered by the path of the field.
///
/// # Errors
///
/// Fails if one of the documents is not valid YAML.
pub fn lines(old: &str, new: &str) -> Result<Vec<String>, fault::List> {
    let mut old = Node::parse(old)?.leaves();
    let mut new = Node::parse(new)?.leaves();
    old.remove(GENERATION_FIELD);
    new.remove(GENERATION_FIELD);
    let mut lines = Vec::new();
    for (path, before) in &old {
        match new.get(path) {
            None => lines.push(format!("- {path}: {before}")),
            Some(after) if after != before => lines.push(format!("~ {path}: {before} -> {after}")),
            Some(_) => {}
        }
    }
    for (path, after) in &new {
        if !old.contains_key(path) {
            lines.push(format!("+ {path}: {after}"));
        }
    }
    lines.sort_by(|left, right| left[2..].cmp(&right[2..]));
    Ok(lines)
}
