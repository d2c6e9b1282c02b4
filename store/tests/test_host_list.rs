//! The client of the host list: a list is accepted completely or not at all.

use std::time::Duration;

use dottereltally_lib::{endpoint::Standing, id};
use dottereltally_store::{
    host::{Error, List as _},
    host_list::{List, parse},
};
use eyre::Result;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Time limit of one read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A list with an entry host, an endpoint and a host of an unknown role.
const LIST: &str = r#"[
  {"targets": ["127.0.0.1:7001"], "labels": {"role": "entry", "name": "entry-1", "data_centre": "plovdiv", "state": "live", "operations": "127.0.0.1:7002"}},
  {"targets": ["127.0.0.1:8001"], "labels": {"role": "endpoint", "name": "tally-1", "data_centre": "plovdiv", "state": "leaving", "service": "tally-llm", "rack": "4"}},
  {"targets": [], "labels": {"role": "balancer", "name": "b", "data_centre": "plovdiv", "state": "live"}}
]"#;

/// Answers the first request of each connection with a status and a body.
async fn serve(status: &'static str, body: &'static str) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _read = stream.read(&mut request).await;
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let _written = stream.write_all(answer.as_bytes()).await;
        }
    });
    Ok(format!("http://{address}/targets"))
}

#[tokio::test]
async fn entry_hosts_and_endpoints_are_read() -> Result<()> {
    let list = List::new(&serve("200 OK", LIST).await?, TIMEOUT)?;
    let snapshot = list.read().await?;
    assert_eq!(snapshot.entries.len(), 1);
    let entry = &snapshot.entries[0];
    assert_eq!(entry.node, id::Node::from("entry-1"));
    assert_eq!(entry.address, "127.0.0.1:7001");
    assert_eq!(entry.operations, "127.0.0.1:7002");
    assert_eq!(entry.standing, Standing::Live);
    assert_eq!(snapshot.endpoints.len(), 1);
    let endpoint = &snapshot.endpoints[0];
    assert_eq!(endpoint.id, id::Endpoint::from("tally-1"));
    assert_eq!(endpoint.service, id::Service::from("tally-llm"));
    assert_eq!(endpoint.standing, Standing::Leaving);
    Ok(())
}

#[rstest]
#[case::no_json("<html>")]
#[case::no_labels(r#"[{"targets": ["a:1"]}]"#)]
#[case::no_target(r#"[{"targets": [], "labels": {"role": "entry", "name": "a", "data_centre": "d", "state": "live"}}]"#)]
#[case::no_service(r#"[{"targets": ["a:1"], "labels": {"role": "endpoint", "name": "a", "data_centre": "d", "state": "live"}}]"#)]
#[case::unknown_state(r#"[{"targets": ["a:1"], "labels": {"role": "entry", "name": "a", "data_centre": "d", "state": "gone"}}]"#)]
fn a_list_that_breaks_the_format_is_refused(#[case] json: &str) {
    let result = parse(json.as_bytes());
    assert!(matches!(result, Err(Error::Unreadable(_))), "{result:?}");
}

#[tokio::test]
async fn an_error_page_is_not_an_empty_list() -> Result<()> {
    let address = serve("503 Service Unavailable", "[]").await?;
    let result = List::new(&address, TIMEOUT)?.read().await;
    assert!(matches!(result, Err(Error::Unreadable(_))), "{result:?}");
    Ok(())
}

#[rstest]
#[case("127.0.0.1:1/targets")]
#[case("https://127.0.0.1:1/targets")]
#[case("")]
fn an_invalid_address_is_refused(#[case] address: &str) {
    assert!(List::new(address, TIMEOUT).is_err());
}

#[tokio::test]
async fn a_list_that_does_not_answer_is_unreachable() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = format!("http://{}/targets", listener.local_addr()?);
    let list = List::new(&address, Duration::from_millis(100))?;
    let result = list.read().await;
    assert!(
        matches!(result, Err(Error::Unreachable { .. })),
        "{result:?}"
    );
    Ok(())
}
