//! Nodes behind slow links that missed versions of a large entry of the directory.

mod common;

use std::time::Duration;

use common::directory::{Directory, Follower};
use dottereltally_lib::{endpoint::Standing, size};
use tokio::time::sleep;

/// Time in which an answer that arrived is applied.
const MARGIN: Duration = Duration::from_millis(100);

/// What a link of 10 Mbit/s carries in 10 ms.
const LINK: size::Bytes = size::Bytes(12_500);

/// Size of a configuration of some thousand routes.
const LARGE: size::Bytes = size::Bytes(430_000);

/// Returns the time that a link takes.
fn time_on_link(bytes: size::Bytes, link: size::Bytes) -> Duration {
    let intervals = u32::try_from(bytes.0.div_ceil(link.0)).unwrap();
    Duration::from_millis(10) * intervals
}

/// Guards against a second call beside one whose answer arrives, which takes half of the link.
#[tokio::test(start_paused = true)]
async fn a_call_whose_answer_arrives_is_not_repeated() {
    let bytes = size::Bytes(LARGE.0 * 4);
    let directory = Directory::default();
    directory.set_link(LINK);
    directory.set_size("large", bytes);
    directory.write("large", Standing::Live, 1);
    let follower = Follower::start(&directory).await;
    sleep(time_on_link(bytes, LINK) + MARGIN).await;
    assert!(follower.uses("large"));
    assert!(directory.received() <= size::Bytes(bytes.0 + LINK.0));
}
