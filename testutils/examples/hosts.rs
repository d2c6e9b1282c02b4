//! Runs the stand-in for the host list as a program.

use std::{net::SocketAddr, sync::Arc};

use dottereltally_testutils::{host_list::HostList, server};
use eyre::Result;

/// Stand-in for the host list.
#[derive(argh::FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    server::run(Arc::<HostList>::default(), arguments.listen).await
}
