//! Errors in a document that a person wrote.

use derive_more::{Display, Error};

/// One error, with its line and how to fix it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("line {line}: {path}: {message}")]
pub struct Fault {
    /// Line of the document, counted from one.
    pub line: u64,
    /// Path of the field, such as `calls.pay.tier`.
    pub path: String,
    /// What is wrong and how to fix it.
    pub message: String,
}

/// All errors of a document, in the order of its lines.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct List(#[error(not(source))] pub Vec<Fault>);
