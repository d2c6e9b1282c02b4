//! What the tool prints.

use std::io::{self, Write};

use derive_more::Display;

/// Form of the output.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[display("text")]
    Text,
    /// One JSON document.
    #[display("json")]
    Json,
}

impl std::str::FromStr for Form {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is no form; use `text` or `json`")),
        }
    }
}

/// Prints results in the chosen form.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    form: Form,
}

impl Printer {
    /// Builds a printer.
    pub fn new(form: Form) -> Self {
        Self { form }
    }

    /// Prints a result: `text` for people, or `value` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if standard output is closed.
    pub fn print<T: serde::Serialize>(self, text: &str, value: &T) -> eyre::Result<()> {
        let mut out = io::stdout().lock();
        match self.form {
            Form::Text => writeln!(out, "{}", text.trim_end())?,
            Form::Json => writeln!(out, "{}", serde_json::to_string_pretty(value)?)?,
        }
        Ok(())
    }
}
