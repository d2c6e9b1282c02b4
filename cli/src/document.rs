//! File with the operators' text and the generation that it was edited from.

use std::fs;

use dottereltally_lib::{id, tree};
use eyre::WrapErr;

/// Field with the generation that the text was edited from.
const GENERATION_FIELD: &str = "generation";

/// Content of a file and its path.
#[derive(Clone, Debug)]
pub struct Document {
    /// Path of the file.
    pub path: String,
    /// Content of the file.
    pub content: String,
}

impl Document {
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

    /// Returns the generation that the text was edited from, or zero if the text
    /// does not name one.
    ///
    /// # Errors
    ///
    /// Fails if the text can't be parsed or the field is not a generation.
    pub fn base(&self) -> eyre::Result<id::Generation> {
        let node = tree::Node::parse(&self.content)?;
        let leaves = node.leaves();
        let Some(generation) = leaves.get(GENERATION_FIELD) else {
            return Ok(id::Generation::default());
        };
        Ok(generation.parse()?)
    }

    /// Updates the generation in the file, if the file has that field, and
    /// returns whether the file was written.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn update_generation(&self, generation: id::Generation) -> eyre::Result<bool> {
        let updated = with_generation(&self.content, generation);
        if !self.content.lines().any(is_generation_line) || updated == self.content {
            return Ok(false);
        }
        fs::write(&self.path, updated).wrap_err_with(|| {
            format!(
                "{} can't be written; set `{GENERATION_FIELD}: {generation}` in it by hand",
                self.path
            )
        })?;
        Ok(true)
    }
}

/// Returns the text with its generation replaced, or added as the first line if
/// it has none.
pub fn with_generation(content: &str, generation: id::Generation) -> String {
    let line = format!("{GENERATION_FIELD}: {generation}");
    if !content.lines().any(is_generation_line) {
        return format!("{line}\n{content}");
    }
    let mut updated = String::with_capacity(content.len());
    for old in content.split_inclusive('\n') {
        if is_generation_line(old) {
            updated.push_str(&line);
            updated.push('\n');
            continue;
        }
        updated.push_str(old);
    }
    updated
}

fn is_generation_line(line: &str) -> bool {
    line.starts_with("generation:")
}
