//! Faults of a text that a person wrote.

use derive_more::{Display, Error};

/// One fault, with the line that it stands in and its remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("line {line}: {path}: {message}")]
pub struct Fault {
    /// Line of the text, from one.
    pub line: u64,
    /// Path of the field, such as `calls.pay.tier`.
    pub path: String,
    /// What is wrong and how to mend it.
    pub message: String,
}

/// Every fault of one text, in the order of its lines.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct List(#[error(not(source))] pub Vec<Fault>);
