//! The operators' tool of dottereltally.

mod command;
mod connection;
mod hint;
mod output;
mod page;

use std::process::ExitCode;

use argh::FromArgs;
use command::Command;

/// Reads, checks and changes the operators' text, and shows what the nodes do.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address of the key-value service, `ip:port`; may be repeated; else from
    /// `DOTTERELTALLY_KV`, separated by commas
    #[argh(option)]
    kv: Vec<String>,

    /// address of the host list, `http://ip:port/path`; else from
    /// `DOTTERELTALLY_HOSTS`
    #[argh(option)]
    hosts: Option<String>,

    /// form of the output: `text` or `json`
    #[argh(option, default = "output::Form::Text")]
    output: output::Form,

    #[argh(subcommand)]
    command: Command,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let connection = connection::Connection::new(arguments.kv, arguments.hosts);
    let printer = output::Printer::new(arguments.output);
    match command::run(arguments.command, &connection, printer).await {
        Ok(code) => code.into(),
        Err(report) => hint::explain(&report).into(),
    }
}
