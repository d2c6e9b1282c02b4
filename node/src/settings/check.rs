//! Validates and converts single values of the settings.

use std::{fmt, net::SocketAddr, time::Duration};

use bytesize::ByteSize;
use serde_saphyr::Spanned;

/// A value as written in the file, if present.
pub(super) type Scalar = Option<Spanned<String>>;

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File that contains it.
    pub file: String,
    /// Line, if known.
    pub line: Option<u64>,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}", self.message)
    }
}

/// Collects faults while the values are converted.
///
/// A method that converts an invalid value records a fault and still returns a
/// value; that value is never used, as parsing then fails as a whole.
pub(super) struct Check {
    /// File to which the faults belong.
    pub(super) file: String,
    /// Faults found so far.
    pub(super) faults: Vec<Fault>,
}

impl Check {
    pub(super) fn fault(&mut self, line: Option<u64>, message: impl Into<String>) {
        self.faults.push(Fault {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    pub(super) fn name(&mut self, field: &str, scalar: Scalar) -> String {
        let Some(scalar) = scalar else {
            self.fault(None, format!("`{field}` is missing; write `{field}: NAME`"));
            return String::new();
        };
        let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if scalar.value.is_empty() || !scalar.value.chars().all(is_valid) {
            self.fault(
                Some(line_of(&scalar)),
                format!("`{field}` is not a name; use letters, digits, `-`, `_` and `.`"),
            );
        }
        scalar.value
    }

    pub(super) fn address(&mut self, field: &str, source: Option<Source>) -> String {
        let Some(source) = source else {
            self.fault(
                None,
                format!("`{field}` is missing; write `{field}: \"IP:PORT\"`"),
            );
            return String::new();
        };
        if source.value.parse::<SocketAddr>().is_err() {
            let origin = source.origin();
            self.fault(
                source.line,
                format!(
                    "`{field}`{origin} is `{}`, which is not an address; write it as `IP:PORT`",
                    source.value
                ),
            );
        }
        source.value
    }

    pub(super) fn url(&mut self, field: &str, source: Option<Source>) -> String {
        let Some(source) = source else {
            self.fault(
                None,
                format!("`{field}` is missing; write `{field}: \"http://IP:PORT/PATH\"`"),
            );
            return String::new();
        };
        let url = source.value.parse::<http::Uri>().ok();
        let is_valid = url.is_some_and(|url| {
            let address = url.authority().map(http::uri::Authority::as_str);
            url.scheme_str() == Some("http")
                && address.is_some_and(|address| address.parse::<SocketAddr>().is_ok())
        });
        if !is_valid {
            let origin = source.origin();
            self.fault(
                source.line,
                format!(
                    "`{field}`{origin} is `{}`; write it as `http://IP:PORT/PATH`",
                    source.value
                ),
            );
        }
        source.value
    }

    pub(super) fn duration(&mut self, field: &str, scalar: Scalar, default: Duration) -> Duration {
        let Some(scalar) = scalar else {
            return default;
        };
        match humantime::parse_duration(&scalar.value) {
            Ok(value) if !value.is_zero() => value,
            _ => {
                self.fault(
                    Some(line_of(&scalar)),
                    format!(
                        "`{field}` is `{}`; write a duration above zero with its unit, such as `2s` or `500ms`",
                        scalar.value
                    ),
                );
                default
            }
        }
    }

    pub(super) fn size(&mut self, field: &str, scalar: Scalar, default: usize) -> usize {
        let Some(scalar) = scalar else {
            return default;
        };
        let parsed = scalar.value.parse::<ByteSize>().ok();
        let bytes = parsed.and_then(|size| usize::try_from(size.as_u64()).ok());
        let has_unit = scalar.value.ends_with(['B', 'b']);
        match bytes {
            Some(bytes) if bytes > 0 && has_unit => bytes,
            _ => {
                self.fault(
                    Some(line_of(&scalar)),
                    format!(
                        "`{field}` is `{}`; write a size above zero with its unit, such as `16KiB` or `4MiB`",
                        scalar.value
                    ),
                );
                default
            }
        }
    }
}

/// A value and its origin.
pub(super) struct Source {
    value: String,
    /// Line in the file; none for a value from the environment.
    line: Option<u64>,
    from_environment: bool,
}

impl Source {
    pub(super) fn file(scalar: Spanned<String>) -> Self {
        Self {
            line: Some(line_of(&scalar)),
            value: scalar.value,
            from_environment: false,
        }
    }

    pub(super) fn environment(value: String) -> Self {
        Self {
            value,
            line: None,
            from_environment: true,
        }
    }

    fn origin(&self) -> &'static str {
        if self.from_environment {
            " (from the environment)"
        } else {
            ""
        }
    }
}

/// Returns the environment variable, if set, or else the value of the file.
pub(super) fn overridden(scalar: Scalar, variable: Option<String>) -> Option<Source> {
    match variable {
        Some(value) => Some(Source::environment(value)),
        None => scalar.map(Source::file),
    }
}

/// Returns the line of a value.
pub(super) fn line_of(scalar: &Spanned<String>) -> u64 {
    scalar.referenced.line()
}
