//! `digest`: prints the digest of a caller's key, which a configuration lists
//! instead of the key.

use std::io;

use argh::FromArgs;
use dottereltally_lib::key;
use eyre::{WrapErr, ensure};
use serde_json::json;

use crate::{command::Code, output::Printer};

/// Read a caller's key from standard input and print its digest, to be listed
/// under `keys` of a workspace.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct Digest {}

impl Digest {
    /// Runs the command.
    pub fn run(printer: Printer) -> eyre::Result<Code> {
        let mut line = String::new();
        io::stdin()
            .read_line(&mut line)
            .wrap_err("the key can't be read; pipe it to standard input")?;
        let key = line.trim();
        ensure!(!key.is_empty(), "no key; pipe one line to standard input");
        let digest = format!("sha256:{}", key::digest(key));
        printer.print(&digest, &json!({"digest": digest}))?;
        Ok(Code::Done)
    }
}
