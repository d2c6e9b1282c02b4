//! Tests that the stand-in for the key-value service behaves like etcd's JSON
//! gateway, and of the faults that it can inject.

use base64::{Engine, engine::general_purpose::STANDARD};
use dottereltally_testutils::{
    client::{Call, set_controls},
    kv::Kv,
    server::{self, Addresses},
    wait::eventually,
};
use eyre::Result;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

async fn start() -> Result<Addresses> {
    server::start(Kv::start(), "127.0.0.1:0".parse()?).await
}

async fn call(kv: &Addresses, path: &str, body: &Value) -> Result<Value> {
    let call = Call::new(&kv.address.to_string(), Method::POST, path).json(body);
    let response = call.fetch().await?;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    Ok(response.json())
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Builds a transaction that creates a key, or reads it if it exists.
fn create_transaction(key: &str, value: &str) -> Value {
    json!({
        "compare": [{"key": b64(key), "target": "VERSION", "result": "EQUAL", "version": "0"}],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}

async fn read(kv: &Addresses, key: &str) -> Result<Value> {
    call(kv, "/v3/kv/range", &json!({"key": b64(key)})).await
}

#[tokio::test]
async fn only_the_first_create_succeeds() -> Result<()> {
    let kv = start().await?;
    let first = call(&kv, "/v3/kv/txn", &create_transaction("a", "1")).await?;
    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");
    let second = call(&kv, "/v3/kv/txn", &create_transaction("a", "2")).await?;
    assert_eq!(second["succeeded"], Value::Null);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], b64("1"));
    assert_eq!(found["mod_revision"], "2");
    assert_eq!(found["version"], "1");
    Ok(())
}

#[rstest]
#[case(json!({"target": "MOD", "mod_revision": "2"}), true)]
#[case(json!({"target": "MOD", "mod_revision": 3}), false)]
#[case(json!({"target": "MOD", "result": "LESS", "modRevision": "3"}), true)]
#[case(json!({"target": "CREATE", "create_revision": "2"}), true)]
#[case(json!({"target": "VALUE", "value": "MQ=="}), true)]
#[case(json!({"target": "VALUE", "value": "Mg=="}), false)]
#[case(json!({"target": "VERSION", "result": "GREATER", "version": "0"}), true)]
#[tokio::test]
async fn compares_as_etcd_does(#[case] mut compare: Value, #[case] expected: bool) -> Result<()> {
    let kv = start().await?;
    call(
        &kv,
        "/v3/kv/put",
        &json!({"key": b64("a"), "value": b64("1")}),
    )
    .await?;
    compare["key"] = json!(b64("a"));
    let response = call(&kv, "/v3/kv/txn", &json!({"compare": [compare]})).await?;
    assert_eq!(response["succeeded"] == true, expected);
    Ok(())
}

#[tokio::test]
async fn lists_a_prefix_with_a_limit() -> Result<()> {
    let kv = start().await?;
    for key in ["p/1", "p/2", "q"] {
        call(
            &kv,
            "/v3/kv/put",
            &json!({"key": b64(key), "value": b64("v")}),
        )
        .await?;
    }
    let query = json!({"key": b64("p/"), "range_end": b64("p0"), "limit": "1"});
    let response = call(&kv, "/v3/kv/range", &query).await?;
    assert_eq!(response["count"], "2");
    assert_eq!(response["more"], true);
    assert_eq!(response["kvs"].as_array().map(Vec::len), Some(1));
    Ok(())
}

#[tokio::test]
async fn an_expired_lease_deletes_its_keys() -> Result<()> {
    let kv = start().await?;
    let lease = call(&kv, "/v3/lease/grant", &json!({"TTL": "1"})).await?;
    let put = json!({"key": b64("a"), "value": b64("1"), "lease": lease["ID"]});
    call(&kv, "/v3/kv/put", &put).await?;
    let renewed = call(&kv, "/v3/lease/keepalive", &json!({"ID": lease["ID"]})).await?;
    assert_eq!(renewed["result"]["TTL"], "1");
    eventually("the key is deleted", async || {
        let response = read(&kv, "a").await.ok()?;
        response["kvs"].is_null().then_some(())
    })
    .await?;
    let renewed = call(&kv, "/v3/lease/keepalive", &json!({"ID": lease["ID"]})).await?;
    assert_eq!(renewed["result"]["TTL"], Value::Null);
    Ok(())
}

#[tokio::test]
async fn lost_responses_take_effect_and_lost_requests_do_not() -> Result<()> {
    let kv = start().await?;
    let control = kv.control.to_string();
    set_controls(&control, &json!({"lose_answers": 1})).await?;
    let response = call(&kv, "/v3/kv/txn", &create_transaction("a", "1")).await;
    assert!(response.is_err());
    assert_eq!(read(&kv, "a").await?["count"], "1");
    set_controls(&control, &json!({"lose_requests": 1})).await?;
    let response = call(&kv, "/v3/kv/txn", &create_transaction("b", "1")).await;
    assert!(response.is_err());
    assert_eq!(read(&kv, "b").await?["count"], Value::Null);
    Ok(())
}

#[tokio::test]
async fn a_watch_reports_past_and_new_changes() -> Result<()> {
    let kv = start().await?;
    call(
        &kv,
        "/v3/kv/put",
        &json!({"key": b64("a"), "value": b64("1")}),
    )
    .await?;
    let create = json!({"create_request": {"key": b64("a"), "start_revision": "2"}});
    let watch = Call::new(&kv.address.to_string(), Method::POST, "/v3/watch").json(&create);
    let mut watch = watch.send().await?;
    let created = watch.next_chunk().await?.unwrap_or_default();
    assert!(created.contains("\"created\":true"), "{created}");
    let history = watch.next_chunk().await?.unwrap_or_default();
    let history: Value = serde_json::from_str(&history)?;
    assert_eq!(history["result"]["events"][0]["kv"]["value"], b64("1"));
    call(&kv, "/v3/kv/deleterange", &json!({"key": b64("a")})).await?;
    let update = watch.next_chunk().await?.unwrap_or_default();
    let update: Value = serde_json::from_str(&update)?;
    assert_eq!(update["result"]["events"][0]["type"], "DELETE");
    Ok(())
}

#[tokio::test]
async fn refuses_connections_only_while_down() -> Result<()> {
    let kv = start().await?;
    let control = kv.control.to_string();
    set_controls(&control, &json!({"down": true})).await?;
    eventually("connections are refused", async || {
        read(&kv, "a").await.is_err().then_some(())
    })
    .await?;
    set_controls(&control, &json!({"down": false})).await?;
    eventually("the service accepts connections again", async || {
        read(&kv, "a").await.ok()
    })
    .await?;
    Ok(())
}
