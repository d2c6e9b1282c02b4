//! The operators' tool of dottereltally.

mod command;
mod document;
mod hint;
mod output;
mod platform;

use std::process::ExitCode;

use argh::FromArgs;
use command::Command;

/// Reads, checks and changes the operators' text, and shows the state of the
/// nodes.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address of the key-value service, `ip:port`; may be repeated; default:
    /// the comma-separated addresses in `DOTTERELTALLY_KV`
    #[argh(option)]
    kv: Vec<String>,

    /// address of the host list, `http://ip:port/path`; default: the one in
    /// `DOTTERELTALLY_HOSTS`
    #[argh(option)]
    hosts: Option<String>,

    /// output format: `text` or `json`
    #[argh(option, default = "output::Format::Text")]
    output: output::Format,

    #[argh(subcommand)]
    command: Command,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let platform = platform::Platform::new(arguments.kv, arguments.hosts);
    let printer = output::Printer::new(arguments.output);
    match command::run(arguments.command, &platform, printer).await {
        Ok(code) => code.into(),
        Err(report) => hint::print_error(&report).into(),
    }
}
