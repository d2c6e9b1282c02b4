//! A file with the operators' text and the generation it was edited from.

use std::fs;

use dottereltally_lib::{id, tree};
use eyre::WrapErr;

const FIELD: &str = "generation";

/// A file that was read.
#[derive(Clone, Debug)]
pub struct Page {
    /// Its path.
    pub path: String,
    /// Its content.
    pub content: String,
}

impl Page {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if it can't be read.
    pub fn read(path: &str) -> eyre::Result<Self> {
        let content = fs::read_to_string(path).wrap_err_with(|| {
            format!("{path} can't be read; check the path and its permissions")
        })?;
        Ok(Self {
            path: path.to_owned(),
            content,
        })
    }

    /// Returns the generation that the text was edited from, zero if it names
    /// none.
    pub fn base(&self) -> eyre::Result<id::Generation> {
        let node = tree::Node::parse(&self.content)?;
        let leaves = node.leaves();
        let Some(generation) = leaves.get(FIELD) else {
            return Ok(id::Generation::default());
        };
        Ok(generation.parse()?)
    }

    /// Writes the generation in force into the file, if the file names one.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn record(&self, generation: id::Generation) -> eyre::Result<bool> {
        let updated = with_generation(&self.content, generation);
        if !self.content.lines().any(is_generation) || updated == self.content {
            return Ok(false);
        }
        fs::write(&self.path, updated).wrap_err_with(|| {
            format!(
                "{} can't be written; set `{FIELD}: {generation}` in it by hand",
                self.path
            )
        })?;
        Ok(true)
    }
}

/// Returns the text with its generation set to this one, on its first line if
/// it names none.
pub fn with_generation(content: &str, generation: id::Generation) -> String {
    let line = format!("{FIELD}: {generation}");
    if !content.lines().any(is_generation) {
        return format!("{line}\n{content}");
    }
    let mut updated = String::with_capacity(content.len());
    for old in content.split_inclusive('\n') {
        if is_generation(old) {
            updated.push_str(&line);
            updated.push('\n');
            continue;
        }
        updated.push_str(old);
    }
    updated
}

fn is_generation(line: &str) -> bool {
    line.starts_with("generation:")
}
