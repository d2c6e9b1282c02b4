//! Runs the stand-in for a plain service as a program.

use std::{net::SocketAddr, sync::Arc};

use dottereltally_testutils::{ledger::Ledger, server};
use eyre::Result;

/// Stand-in for a plain service.
#[derive(argh::FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    server::run(Arc::<Ledger>::default(), arguments.listen).await
}
