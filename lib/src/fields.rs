//! Typed access to the fields of a [`tree::Node`] that collects all errors.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fault::{self, Fault},
    tree::{self, Item, Node},
};

/// Reads typed values from a document and collects its errors.
#[derive(Debug, Default)]
pub struct Reader {
    faults: Vec<Fault>,
}

/// The fields of a mapping.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    line: u64,
    path: String,
    entries: &'a [(String, Node)],
}

impl<'a> Fields<'a> {
    /// Returns the path of the mapping.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the line of the mapping.
    #[must_use]
    pub fn line(&self) -> u64 {
        self.line
    }

    /// Returns the line of a field, or of the mapping if the field is absent.
    #[must_use]
    pub fn line_of(&self, name: &str) -> u64 {
        self.get(name).map_or(self.line, |node| node.line)
    }

    /// Iterates over the names and values of the fields.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a Node)> + use<'a> {
        self.entries
            .iter()
            .map(|(name, node)| (name.as_str(), node))
    }

    fn get(&self, name: &str) -> Option<&'a Node> {
        let found = self.entries.iter().find(|(entry, _)| entry == name)?;
        Some(&found.1)
    }

    fn path_of(&self, name: &str) -> String {
        tree::join(&self.path, name)
    }
}

impl Reader {
    /// Records an error.
    pub fn report(&mut self, line: u64, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            line,
            path: path.into(),
            message: message.into(),
        });
    }

    /// Finishes reading and returns `value` if no error was recorded.
    ///
    /// # Errors
    ///
    /// Fails with all recorded errors in the order of their lines.
    pub fn finish<T>(mut self, value: T) -> Result<T, fault::List> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort();
        Err(fault::List(self.faults))
    }

    /// Reads a mapping with arbitrary field names.
    pub fn entries<'a>(&mut self, node: &'a Node, path: &str) -> Fields<'a> {
        let entries: &[(String, Node)] = match &node.item {
            Item::Map(entries) => entries,
            Item::Null => &[],
            other => {
                self.report(
                    node.line,
                    path,
                    format!("expected a mapping, found {other}; write `name: value` lines"),
                );
                &[]
            }
        };
        Fields {
            line: node.line,
            path: path.to_owned(),
            entries,
        }
    }

    /// Reads a mapping in which only the `known` field names are allowed.
    pub fn fields<'a>(&mut self, node: &'a Node, path: &str, known: &[&str]) -> Fields<'a> {
        let fields = self.entries(node, path);
        for (name, node) in fields.iter() {
            if known.contains(&name) {
                continue;
            }
            let known = known.join("`, `");
            self.report(
                node.line,
                fields.path_of(name),
                format!("unknown field; remove it or use one of `{known}`"),
            );
        }
        fields
    }

    /// Returns a required field.
    pub fn required<'a>(
        &mut self,
        fields: &Fields<'a>,
        name: &str,
        example: &str,
    ) -> Option<&'a Node> {
        let node = fields.get(name);
        if node.is_none() {
            self.report(
                fields.line,
                fields.path_of(name),
                format!("missing; add `{name}: {example}`"),
            );
        }
        node
    }

    /// Returns an optional field.
    #[must_use]
    pub fn optional<'a>(&self, fields: &Fields<'a>, name: &str) -> Option<&'a Node> {
        fields.get(name)
    }

    /// Reads a required string.
    pub fn string(&mut self, fields: &Fields<'_>, name: &str, example: &str) -> Option<String> {
        let node = self.required(fields, name, example)?;
        self.scalar(node, &fields.path_of(name), example)
    }

    /// Reads an optional string.
    pub fn optional_string(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        example: &str,
    ) -> Option<String> {
        let node = fields.get(name)?;
        self.scalar(node, &fields.path_of(name), example)
    }

    /// Reads a non-empty string or an integer as a string.
    pub fn scalar(&mut self, node: &Node, path: &str, example: &str) -> Option<String> {
        match &node.item {
            Item::Text(text) if !text.is_empty() => Some(text.clone()),
            Item::Integer(number) => Some(number.to_string()),
            other => {
                self.report(
                    node.line,
                    path,
                    format!("expected a string, found `{other}`; write for example `{example}`"),
                );
                None
            }
        }
    }

    /// Reads a list of distinct strings; an absent field is an empty list.
    pub fn strings(&mut self, fields: &Fields<'_>, name: &str, example: &str) -> Vec<String> {
        let Some(node) = fields.get(name) else {
            return Vec::new();
        };
        let path = fields.path_of(name);
        let Item::List(nodes) = &node.item else {
            self.report(
                node.line,
                path,
                format!(
                    "expected a list, found `{}`; write `[{example}]`",
                    node.item
                ),
            );
            return Vec::new();
        };
        let mut seen = BTreeSet::new();
        let mut texts = Vec::new();
        for node in nodes {
            let Some(text) = self.scalar(node, &path, example) else {
                continue;
            };
            if !seen.insert(text.clone()) {
                self.report(
                    node.line,
                    path.as_str(),
                    format!("`{text}` is listed twice; remove one"),
                );
                continue;
            }
            texts.push(text);
        }
        texts
    }

    /// Reads an integer within inclusive bounds; an absent field is `default`.
    pub fn integer(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        bounds: (u64, u64),
        default: Option<u64>,
    ) -> Option<u64> {
        let Some(node) = fields.get(name) else {
            return default;
        };
        let (min, max) = bounds;
        if let Item::Integer(number) = node.item
            && let Ok(number) = u64::try_from(number)
            && (min..=max).contains(&number)
        {
            return Some(number);
        }
        let message = format!(
            "`{}` is out of range; write a whole number from {min} to {max}",
            node.item
        );
        self.report(node.line, fields.path_of(name), message);
        None
    }

    /// Reads a required boolean.
    pub fn boolean(&mut self, fields: &Fields<'_>, name: &str) -> Option<bool> {
        let node = self.required(fields, name, "true")?;
        if let Item::Bool(value) = node.item {
            return Some(value);
        }
        let message = format!("`{}` is not a boolean; write `true` or `false`", node.item);
        self.report(node.line, fields.path_of(name), message);
        None
    }

    /// Reads a required duration within inclusive bounds.
    pub fn duration(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        bounds: (Duration, Duration),
    ) -> Option<Duration> {
        let text = self.string(fields, name, "10s")?;
        let (min, max) = bounds;
        let parsed = humantime::parse_duration(&text).ok();
        if let Some(duration) = parsed
            && (min..=max).contains(&duration)
        {
            return Some(duration);
        }
        let message = format!(
            "`{text}` is not a valid duration; write one from {} to {}, such as `10s`",
            humantime::format_duration(min),
            humantime::format_duration(max),
        );
        self.report(fields.line_of(name), fields.path_of(name), message);
        None
    }
}
