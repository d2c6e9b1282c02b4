//! Typed access to the fields of a [`tree::Node`], collecting every fault.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fault::{self, Fault},
    tree::{self, Item, Node},
};

/// Collects faults while a document is read.
#[derive(Debug, Default)]
pub struct Reader {
    faults: Vec<Fault>,
}

/// The fields of one mapping.
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

    /// Iterates over names and nodes.
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
    /// Records a fault.
    pub fn fault(&mut self, line: u64, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            line,
            path: path.into(),
            message: message.into(),
        });
    }

    /// Ends reading.
    ///
    /// # Errors
    ///
    /// Fails with every fault recorded, in the order of lines.
    pub fn finish<T>(mut self, value: T) -> Result<T, fault::List> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort();
        Err(fault::List(self.faults))
    }

    /// Reads a mapping whose names are free.
    pub fn entries<'a>(&mut self, node: &'a Node, path: &str) -> Fields<'a> {
        let entries: &[(String, Node)] = match &node.item {
            Item::Map(entries) => entries,
            Item::Null => &[],
            other => {
                self.fault(
                    node.line,
                    path,
                    format!("{other} where a mapping is needed; write `name: value` lines"),
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

    /// Reads a mapping whose names are fixed; any other is a fault.
    pub fn fields<'a>(&mut self, node: &'a Node, path: &str, known: &[&str]) -> Fields<'a> {
        let fields = self.entries(node, path);
        for (name, node) in fields.iter() {
            if known.contains(&name) {
                continue;
            }
            let known = known.join("`, `");
            self.fault(
                node.line,
                fields.path_of(name),
                format!("unknown field; remove it or use one of `{known}`"),
            );
        }
        fields
    }

    /// Returns a field that must be there.
    pub fn required<'a>(
        &mut self,
        fields: &Fields<'a>,
        name: &str,
        example: &str,
    ) -> Option<&'a Node> {
        let node = fields.get(name);
        if node.is_none() {
            self.fault(
                fields.line,
                fields.path_of(name),
                format!("missing; add `{name}: {example}`"),
            );
        }
        node
    }

    /// Returns a field that may be absent.
    #[must_use]
    pub fn optional<'a>(&self, fields: &Fields<'a>, name: &str) -> Option<&'a Node> {
        fields.get(name)
    }

    /// Reads text that must be there.
    pub fn text(&mut self, fields: &Fields<'_>, name: &str, example: &str) -> Option<String> {
        let node = self.required(fields, name, example)?;
        self.scalar(node, &fields.path_of(name), example)
    }

    /// Reads text that may be absent.
    pub fn optional_text(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        example: &str,
    ) -> Option<String> {
        let node = fields.get(name)?;
        self.scalar(node, &fields.path_of(name), example)
    }

    /// Reads a scalar as text.
    pub fn scalar(&mut self, node: &Node, path: &str, example: &str) -> Option<String> {
        match &node.item {
            Item::Text(text) if !text.is_empty() => Some(text.clone()),
            Item::Integer(number) => Some(number.to_string()),
            other => {
                self.fault(
                    node.line,
                    path,
                    format!("`{other}` where text is needed; write for example `{example}`"),
                );
                None
            }
        }
    }

    /// Reads a list of texts without repetition; absent means empty.
    pub fn texts(&mut self, fields: &Fields<'_>, name: &str, example: &str) -> Vec<String> {
        let Some(node) = fields.get(name) else {
            return Vec::new();
        };
        let path = fields.path_of(name);
        let Item::List(nodes) = &node.item else {
            self.fault(
                node.line,
                path,
                format!(
                    "`{}` where a list is needed; write `[{example}]`",
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
                self.fault(
                    node.line,
                    path.as_str(),
                    format!("`{text}` stands twice; remove one"),
                );
                continue;
            }
            texts.push(text);
        }
        texts
    }

    /// Reads a whole number within bounds; absent means `default`.
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
        let (least, most) = bounds;
        if let Item::Integer(number) = node.item
            && let Ok(number) = u64::try_from(number)
            && (least..=most).contains(&number)
        {
            return Some(number);
        }
        let message = format!(
            "`{}` is out of range; write a whole number from {least} to {most}",
            node.item
        );
        self.fault(node.line, fields.path_of(name), message);
        None
    }

    /// Reads a truth value that must be there.
    pub fn flag(&mut self, fields: &Fields<'_>, name: &str) -> Option<bool> {
        let node = self.required(fields, name, "true")?;
        if let Item::Flag(flag) = node.item {
            return Some(flag);
        }
        let message = format!("`{}` is no truth value; write `true` or `false`", node.item);
        self.fault(node.line, fields.path_of(name), message);
        None
    }

    /// Reads a duration within bounds that must be there.
    pub fn duration(
        &mut self,
        fields: &Fields<'_>,
        name: &str,
        bounds: (Duration, Duration),
    ) -> Option<Duration> {
        let text = self.text(fields, name, "10s")?;
        let (least, most) = bounds;
        let parsed = humantime::parse_duration(&text).ok();
        if let Some(duration) = parsed
            && (least..=most).contains(&duration)
        {
            return Some(duration);
        }
        let message = format!(
            "`{text}` is no usable duration; write one from {} to {}, such as `10s`",
            humantime::format_duration(least),
            humantime::format_duration(most),
        );
        self.fault(fields.line_of(name), fields.path_of(name), message);
        None
    }
}
