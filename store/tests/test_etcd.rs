//! The etcd client, against a stand-in for etcd and against canned answers.

use std::time::Duration;

use dottereltally_store::{
    etcd::Store,
    kv::{Change, Compare, Error, Lease, Operation, Revision, Store as _, Transaction, Watch as _},
};
use dottereltally_testutils::{
    client::set_controls,
    kv::Kv,
    server::{self, Addresses},
};
use eyre::Result;
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

/// Time limit of one call.
const TIMEOUT: Duration = Duration::from_secs(2);

async fn start_kv() -> Result<Addresses> {
    server::start(Kv::start(), "127.0.0.1:0".parse()?).await
}

async fn set_kv_controls(kv: &Addresses, change: serde_json::Value) -> Result<()> {
    set_controls(&kv.control.to_string(), &change).await
}

fn store(kv: &Addresses) -> Store {
    Store::new(vec![kv.address.to_string()], TIMEOUT)
}

/// Returns an address on which nothing listens.
async fn closed_address() -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    Ok(listener.local_addr()?.to_string())
}

/// Answers the first request of each connection with the same bytes.
async fn serve_canned(answer: String) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(answer.as_bytes()).await;
        }
    });
    Ok(address)
}

fn http(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn create(key: &str, value: &str, lease: Option<Lease>) -> Transaction {
    Transaction {
        compares: vec![Compare::Absent(key.to_owned())],
        success: vec![Operation::Put(
            key.to_owned(),
            value.as_bytes().to_vec(),
            lease,
        )],
        failure: vec![Operation::Get(key.to_owned())],
    }
}

#[tokio::test]
async fn a_transaction_compares_writes_and_reads() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    let first = store.transact(create("k", "a", None)).await?;
    assert!(first.succeeded);
    let second = store.transact(create("k", "b", None)).await?;
    assert!(!second.succeeded);
    let entry = second.reads[0].clone().expect("the key is read");
    assert_eq!((entry.key.as_str(), &entry.value[..]), ("k", &b"a"[..]));
    assert_eq!(entry.modified, first.revision);
    assert_eq!(store.get("k").await?, Some(entry.clone()));
    let delete = Transaction {
        compares: vec![
            Compare::Modified("k".to_owned(), entry.modified),
            Compare::Value("k".to_owned(), b"a".to_vec()),
        ],
        success: vec![
            Operation::Delete("k".to_owned()),
            Operation::Get("k".to_owned()),
        ],
        failure: Vec::new(),
    };
    let third = store.transact(delete).await?;
    assert!(third.succeeded);
    assert_eq!(third.reads, [None]);
    assert_eq!(store.get("k").await?, None);
    Ok(())
}

#[tokio::test]
async fn a_prefix_is_listed_in_order_and_bounded() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    for key in ["a/2", "a/1", "b", "a/3"] {
        store.transact(create(key, "x", None)).await?;
    }
    let mut keys = Vec::new();
    for entry in store.list("a/", 2).await? {
        keys.push(entry.key);
    }
    assert_eq!(keys, ["a/1", "a/2"]);
    Ok(())
}

#[tokio::test]
async fn a_lease_is_granted_renewed_and_revoked_and_unknown_after_that() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    let ttl = Duration::from_mins(1);
    let lease = store.grant(ttl).await?;
    store.transact(create("k", "a", Some(lease))).await?;
    assert_eq!(store.renew(lease).await?, ttl);
    store.revoke(lease).await?;
    assert_eq!(store.get("k").await?, None);
    assert_eq!(store.renew(lease).await, Err(Error::UnknownLease(lease)));
    assert_eq!(store.revoke(lease).await, Err(Error::UnknownLease(lease)));
    let write = store.transact(create("k", "a", Some(lease))).await;
    assert_eq!(write, Err(Error::UnknownLease(lease)));
    assert_eq!(store.get("k").await?, None);
    Ok(())
}

#[tokio::test]
async fn a_watch_reports_changes_as_they_come() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    let first = store.transact(create("k", "a", None)).await?;
    let mut watch = store.watch("k", first.revision).await?;
    let changes = watch.next().await?;
    assert!(matches!(&changes[..], [Change::Put(entry)] if entry.value == b"a"));
    let delete = Transaction {
        success: vec![Operation::Delete("k".to_owned())],
        ..Transaction::default()
    };
    let deleted = store.transact(delete).await?;
    assert_eq!(
        watch.next().await?,
        [Change::Deleted("k".to_owned(), deleted.revision)]
    );
    set_kv_controls(&kv, json!({"down": true})).await?;
    assert!(watch.next().await.is_err());
    Ok(())
}

#[tokio::test]
async fn a_refused_connection_means_no_effect() -> Result<()> {
    let store = Store::new(vec![closed_address().await?], TIMEOUT);
    let error = store.transact(create("k", "a", None)).await.unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
    Ok(())
}

#[tokio::test]
async fn the_next_address_is_tried() -> Result<()> {
    let kv = start_kv().await?;
    let addresses = vec![closed_address().await?, kv.address.to_string()];
    let store = Store::new(addresses, TIMEOUT);
    assert!(store.transact(create("k", "a", None)).await?.succeeded);
    assert!(store.get("k").await?.is_some());
    Ok(())
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_sent_once() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    set_kv_controls(&kv, json!({"lose_answers": 1})).await?;
    let error = store.transact(create("k", "a", None)).await.unwrap_err();
    assert!(matches!(error, Error::Lost(_)), "{error}");
    let again = store.transact(create("k", "b", None)).await?;
    assert!(!again.succeeded);
    assert_eq!(again.reads[0].as_ref().expect("the key").value, b"a");
    Ok(())
}

#[tokio::test]
async fn a_write_that_hangs_is_lost_at_its_time_limit() -> Result<()> {
    let kv = start_kv().await?;
    let store = Store::new(vec![kv.address.to_string()], Duration::from_millis(200));
    set_kv_controls(&kv, json!({"hold_after": true})).await?;
    let error = store.transact(create("k", "a", None)).await.unwrap_err();
    assert!(matches!(error, Error::Lost(_)), "{error}");
    set_kv_controls(&kv, json!({"hold_after": false})).await?;
    assert!(store.get("k").await?.is_some());
    Ok(())
}

#[tokio::test]
async fn a_silent_connection_is_replaced() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    store.transact(create("k", "a", None)).await?;
    set_kv_controls(&kv, json!({"silent": "existing"})).await?;
    // The read is retried on a new connection.
    assert!(store.get("k").await?.is_some());
    set_kv_controls(&kv, json!({"silent": "existing"})).await?;
    // The write is not retried, but the next call gets a new connection.
    let write = store.transact(create("l", "a", None)).await;
    assert!(matches!(write, Err(Error::Lost(_))), "{write:?}");
    assert!(store.transact(create("l", "b", None)).await.is_ok());
    Ok(())
}

#[tokio::test]
async fn a_dropped_call_closes_all_silent_connections() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    let reads = [store.get("k"), store.get("k"), store.get("k")];
    for read in futures_util::future::join_all(reads).await {
        read?;
    }
    set_kv_controls(&kv, json!({"silent": "existing"})).await?;
    let dropped = time::timeout(Duration::from_millis(100), store.get("k")).await;
    assert!(dropped.is_err());
    let outcome = store.transact(create("k", "a", None)).await?;
    assert!(outcome.succeeded);
    Ok(())
}

#[tokio::test]
async fn an_idle_connection_closed_by_the_service_is_replaced() -> Result<()> {
    let kv = start_kv().await?;
    let store = store(&kv);
    store.transact(create("k", "a", None)).await?;
    set_kv_controls(&kv, json!({"down": true})).await?;
    let refused = store.transact(create("l", "a", None)).await;
    assert!(refused.is_err());
    set_kv_controls(&kv, json!({"down": false})).await?;
    assert!(store.transact(create("l", "a", None)).await?.succeeded);
    Ok(())
}

#[rstest]
#[case::invalid(
    "400 Bad Request",
    r#"{"code": 3, "message": "etcdserver: key is not provided"}"#,
    false
)]
#[case::older_gateway("400 Bad Request", r#"{"error": "bad", "grpc_code": 11}"#, false)]
#[case::too_many(
    "429 Too Many Requests",
    r#"{"code": 8, "message": "too many requests"}"#,
    false
)]
#[case::no_json("404 Not Found", "not found", false)]
#[case::timed_out(
    "503 Service Unavailable",
    r#"{"code": 14, "message": "etcdserver: request timed out"}"#,
    true
)]
#[case::deadline("504 Gateway Timeout", r#"{"code": 4, "message": "deadline"}"#, true)]
#[case::proxy("502 Bad Gateway", "bad gateway", true)]
#[case::no_code("500 Internal Server Error", "{}", true)]
#[case::unreadable("200 OK", "<html>", true)]
#[case::results_missing("200 OK", r#"{"succeeded": true}"#, true)]
#[case::empty_body("200 OK", "", true)]
#[tokio::test]
async fn an_error_says_whether_the_write_may_have_taken_effect(
    #[case] status: &str,
    #[case] body: &str,
    #[case] may_have_taken_effect: bool,
) -> Result<()> {
    let store = Store::new(vec![serve_canned(http(status, body)).await?], TIMEOUT);
    let error = store.transact(create("k", "a", None)).await.unwrap_err();
    assert_eq!(
        error.may_have_taken_effect(),
        may_have_taken_effect,
        "{error}"
    );
    Ok(())
}

#[tokio::test]
async fn numbers_are_read_from_json_numbers_and_strings() -> Result<()> {
    let body = r#"{"header": {"revision": 7}, "kvs": [{"key": "aw==", "value": "YQ==", "create_revision": 3, "mod_revision": "5"}], "count": 1}"#;
    let store = Store::new(vec![serve_canned(http("200 OK", body)).await?], TIMEOUT);
    let entry = store.get("k").await?.expect("the key");
    assert_eq!((entry.created, entry.modified), (Revision(3), Revision(5)));
    assert_eq!(entry.value, b"a");
    Ok(())
}

#[tokio::test]
async fn a_watch_skips_progress_messages_and_ends_when_it_is_cancelled() -> Result<()> {
    let lines = [
        r#"{"result": {"header": {}, "created": true}}"#,
        r#"{"result": {"header": {"revision": "9"}}}"#,
        "",
        r#"{"result": {"header": {}, "events": [{"kv": {"key": "aw==", "value": "YQ==", "mod_revision": "9"}}, {"type": "DELETE", "kv": {"key": "aw==", "mod_revision": "10"}}]}}"#,
        r#"{"result": {"header": {}, "canceled": true, "cancel_reason": "compacted"}}"#,
    ];
    let body = lines.join("\n") + "\n";
    let store = Store::new(vec![serve_canned(http("200 OK", &body)).await?], TIMEOUT);
    let mut watch = store.watch("k", Revision(9)).await?;
    let changes = watch.next().await?;
    assert!(matches!(&changes[0], Change::Put(entry) if entry.value == b"a"));
    assert_eq!(changes[1], Change::Deleted("k".to_owned(), Revision(10)));
    let end = watch.next().await;
    assert_eq!(end, Err(Error::Refused("compacted".to_owned())));
    Ok(())
}
