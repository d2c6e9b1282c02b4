//! Output of the tool, as text or JSON.

use std::io::{self, Write};

use derive_more::Display;

/// Output format.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[display("text")]
    Text,
    /// One JSON document.
    #[display("json")]
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!(
                "`{other}` is not an output format; use `text` or `json`"
            )),
        }
    }
}

/// Prints results in the chosen format.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    format: Format,
}

impl Printer {
    /// Builds a printer.
    pub fn new(format: Format) -> Self {
        Self { format }
    }

    /// Prints a result: `text` as it is, or `value` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if standard output is closed.
    pub fn print<T: serde::Serialize>(self, text: &str, value: &T) -> eyre::Result<()> {
        let mut out = io::stdout().lock();
        match self.format {
            Format::Text => writeln!(out, "{}", text.trim_end())?,
            Format::Json => writeln!(out, "{}", serde_json::to_string_pretty(value)?)?,
        }
        Ok(())
    }
}
