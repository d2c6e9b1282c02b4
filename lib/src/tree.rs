//! A YAML document with the line number of every value.

use std::{collections::BTreeMap, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

use crate::fault;

/// A value and the line on which it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Line number, starting at one.
    pub line: u64,
    /// The value.
    pub item: Item,
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Null.
    Null,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Integer(i64),
    /// Any other number.
    Float(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping, in the order of the document.
    Map(Vec<(String, Node)>),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("nothing"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Float(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(text),
            Self::List(_) => f.write_str("a list"),
            Self::Map(_) => f.write_str("a mapping"),
        }
    }
}

impl Node {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Fails if it is not valid YAML.
    pub fn parse(document: &str) -> Result<Self, fault::List> {
        let parsed: Result<Spanned<Item>, _> = serde_saphyr::from_str(document);
        match parsed {
            Ok(spanned) => Ok(spanned.into()),
            Err(error) => {
                let line = error.location().map_or(1, |location| location.line());
                Err(fault::List(vec![fault::Fault {
                    line,
                    path: "document".to_owned(),
                    message: format!("invalid YAML, correct the syntax: {}", first_line(&error)),
                }]))
            }
        }
    }

    /// Returns every leaf value by its path, such as `calls.pay.tier`; a list is
    /// one leaf.
    #[must_use]
    pub fn leaves(&self) -> BTreeMap<String, String> {
        let mut leaves = BTreeMap::new();
        self.collect_leaves("", &mut leaves);
        leaves
    }

    fn collect_leaves(&self, path: &str, leaves: &mut BTreeMap<String, String>) {
        match &self.item {
            Item::Map(entries) => {
                for (name, node) in entries {
                    node.collect_leaves(&join(path, name), leaves);
                }
            }
            Item::List(nodes) => {
                let items: Vec<String> = nodes.iter().map(|node| node.item.to_string()).collect();
                leaves.insert(path.to_owned(), format!("[{}]", items.join(", ")));
            }
            item => {
                leaves.insert(path.to_owned(), item.to_string());
            }
        }
    }
}

/// Joins a path and a name with a dot.
#[must_use]
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

/// Returns the first line of an error's message; the lines after it show the
/// document.
fn first_line(error: &serde_saphyr::Error) -> String {
    let message = error.to_string();
    message.lines().next().unwrap_or_default().to_owned()
}

impl From<Spanned<Item>> for Node {
    fn from(spanned: Spanned<Item>) -> Self {
        Self {
            line: spanned.referenced.line(),
            item: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ItemVisitor)
    }
}

struct ItemVisitor;

impl<'de> Visitor<'de> for ItemVisitor {
    type Value = Item;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Item, E> {
        Ok(Item::Null)
    }

    fn visit_none<E>(self) -> Result<Item, E> {
        Ok(Item::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Item, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Item, E> {
        Ok(Item::Bool(value))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Item, E> {
        Ok(Item::Integer(number))
    }

    fn visit_u64<E: serde::de::Error>(self, number: u64) -> Result<Item, E> {
        i64::try_from(number).map(Item::Integer).map_err(E::custom)
    }

    fn visit_f64<E>(self, number: f64) -> Result<Item, E> {
        Ok(Item::Float(number))
    }

    fn visit_str<E>(self, text: &str) -> Result<Item, E> {
        Ok(Item::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<Item, E> {
        Ok(Item::Text(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Item, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = access.next_element::<Spanned<Item>>()? {
            nodes.push(node.into());
        }
        Ok(Item::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Item, A::Error> {
        let mut entries = Vec::new();
        while let Some((name, node)) = access.next_entry::<String, Spanned<Item>>()? {
            entries.push((name, node.into()));
        }
        Ok(Item::Map(entries))
    }
}
