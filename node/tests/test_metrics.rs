//! Metrics of the request path.

use dottereltally::metrics::Bodies;
use dottereltally_store::ingress::Pool;
use prometheus_client::{encoding::text, registry::Registry};

/// Guards against a metric that does not follow the memory of the pool.
#[tokio::test]
async fn the_memory_of_bodies_is_shown() {
    let pool = Pool::default();
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Bodies(pool.clone())));
    let mut body = pool.body(1024);
    body.append(&[0; 1024]).await.unwrap();
    let mut content = String::new();
    text::encode(&mut content, &registry).unwrap();
    let line = format!("body_bytes {}\n", pool.used());
    assert!(content.contains(&line), "{content}");
    assert!(pool.used() >= 1024);
}
