//! Runs the stand-in for the key-value service as a program.

use std::net::SocketAddr;

use dottereltally_testutils::{kv::Kv, server};
use eyre::Result;

/// Stand-in for the key-value service.
#[derive(argh::FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    server::run(Kv::start(), arguments.listen).await
}
