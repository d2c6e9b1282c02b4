//! Runs the stand-in for a model engine as a program.

use std::net::SocketAddr;

use dottereltally_testutils::{engine::Engine, server};
use eyre::Result;

/// Stand-in for a model engine.
#[derive(argh::FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    server::run(Engine::start(), arguments.listen).await
}
