//! Stand-in of the host list.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::server::{Answer, Service, Switches, json_answer, lock, problem};

/// Path of the list.
pub const PATH: &str = "/hosts";

/// What can be switched.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Positions {
    /// The list.
    pub groups: Vec<Value>,
    /// Time until a change of the list shows.
    pub lag_ms: u64,
}

/// What is shown, and since when something else should be.
#[derive(Debug, Default)]
struct Shown {
    groups: Vec<Value>,
    next: Option<(Instant, Vec<Value>)>,
    reads: u64,
}

/// The host list.
#[derive(Debug, Default)]
pub struct HostList {
    switches: Switches<Positions>,
    shown: Mutex<Shown>,
}

impl HostList {
    fn read(&self) -> Value {
        let positions = self.switches.get();
        let lag = Duration::from_millis(positions.lag_ms);
        let now = Instant::now();
        let mut shown = lock(&self.shown);
        shown.reads += 1;
        let newest = shown.next.as_ref().map_or(&shown.groups, |next| &next.1);
        if *newest != positions.groups {
            shown.next = Some((now + lag, positions.groups));
        }
        if let Some((_, groups)) = shown.next.take_if(|next| next.0 <= now) {
            shown.groups = groups;
        }
        Value::Array(shown.groups.clone())
    }
}

impl Service for HostList {
    type Switches = Positions;

    fn switches(&self) -> &Switches<Positions> {
        &self.switches
    }

    fn counts(&self) -> Value {
        json!({"reads": lock(&self.shown).reads})
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path() != PATH {
            return Ok(problem(StatusCode::NOT_FOUND, "the list is at /hosts"));
        }
        Ok(json_answer(StatusCode::OK, &self.read()))
    }
}
