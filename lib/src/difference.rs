//! What changed between two versions of the operators' text.

use crate::{fault, tree::Node};

/// Field that names the generation a text was edited from; it is no content.
const GENERATION: &str = "generation";

/// Returns a line for each field that differs, in the order of their paths.
///
/// # Errors
///
/// Fails if one of the texts is not YAML.
pub fn lines(old: &str, new: &str) -> Result<Vec<String>, fault::List> {
    let mut old = Node::parse(old)?.leaves();
    let mut new = Node::parse(new)?.leaves();
    old.remove(GENERATION);
    new.remove(GENERATION);
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
