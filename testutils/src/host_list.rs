//! Stand-in for the host list.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::server::{Handled, Observable, Service, error_response, json_response, lock};

/// Path at which the list is served.
pub const PATH: &str = "/hosts";

/// Values that the control page reads and sets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Controls {
    /// The target groups of the list.
    pub groups: Vec<Value>,
    /// Time until a change of `groups` is published, in milliseconds.
    pub lag_ms: u64,
}

/// The published list, and a change that waits for the lag to pass.
#[derive(Debug, Default)]
struct Published {
    /// The list that is served.
    groups: Vec<Value>,
    /// When the change takes effect, and the list from then on.
    pending: Option<(Instant, Vec<Value>)>,
    /// Number of requests for the list.
    reads: u64,
}

/// The host list.
#[derive(Debug, Default)]
pub struct HostList {
    controls: Observable<Controls>,
    published: Mutex<Published>,
}

impl HostList {
    fn read(&self) -> Value {
        let controls = self.controls.get();
        let lag = Duration::from_millis(controls.lag_ms);
        let now = Instant::now();
        let mut published = lock(&self.published);
        published.reads += 1;
        let latest = published
            .pending
            .as_ref()
            .map_or(&published.groups, |pending| &pending.1);
        if *latest != controls.groups {
            published.pending = Some((now + lag, controls.groups));
        }
        if let Some((_, groups)) = published.pending.take_if(|pending| pending.0 <= now) {
            published.groups = groups;
        }
        Value::Array(published.groups.clone())
    }
}

impl Service for HostList {
    type Controls = Controls;

    fn controls(&self) -> &Observable<Controls> {
        &self.controls
    }

    fn counts(&self) -> Value {
        json!({"reads": lock(&self.published).reads})
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        if request.uri().path() != PATH {
            return Ok(error_response(
                StatusCode::NOT_FOUND,
                "the list is at /hosts",
            ));
        }
        Ok(json_response(StatusCode::OK, &self.read()))
    }
}
