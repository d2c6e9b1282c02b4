//! A small deployment: the store, the operator's configuration, replicas and machines.

use std::{
    collections::BTreeSet,
    env, fs, io,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    gateway::Gateway,
    http,
    replica::{Replica, Service},
    store::Store,
};

/// `maxBodyBytes` of the configuration.
pub const MAX_BODY_BYTES: usize = 4_194_304;

/// Time from the start of the machines to that of the traffic.
const LEAD: Duration = Duration::from_secs(6);

/// Route for calls to the plain service, and its prefix.
pub const BOOK_ROUTE: &str = r#"{"name":"r-book","host":"care.example","prefix":"/book/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":120,"priority":2,"service":"bookings","maxAttempts":2,"anonymous":false}"#;
pub const BOOK: &str = "/book/";

/// Route for streams of the model service, and its prefix.
pub const PLAN_ROUTE: &str = r#"{"name":"r-plan","host":"care.example","prefix":"/plan/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"drafter","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"targetGapMs":300}"#;
pub const PLAN: &str = "/plan/";

/// A further route to the model service, and its prefix.
pub const REPLY_ROUTE: &str = r#"{"name":"r-reply","host":"care.example","prefix":"/reply/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"drafter","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"targetGapMs":300}"#;
pub const REPLY: &str = "/reply/";

/// Returns the plain service, as on the sheet.
pub fn bookings(work: Duration) -> Service {
    Service {
        name: "bookings".to_owned(),
        slots: 6,
        events: 0,
        pause: work,
        answer_bytes: 800,
    }
}

/// Returns the model service; an answer has this many events, one in each `pause`.
pub fn drafter(events: usize, pause: Duration) -> Service {
    Service {
        name: "drafter".to_owned(),
        slots: 11,
        events,
        pause,
        answer_bytes: 0,
    }
}

/// A deployment that runs.
pub struct Site {
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<Gateway>,
    /// Ids of the attempts that began to run at replicas.
    pub runs: Arc<Mutex<Vec<String>>>,
    service: Service,
    /// Ids of replicas that crashed and were replaced.
    replaced: BTreeSet<String>,
    folder: PathBuf,
}

impl Site {
    /// Starts a deployment with these zones, one machine in each, and waits until all
    /// machines are ready.
    pub fn start(
        zones: &[&str],
        routes: &str,
        service: Service,
        replicas: usize,
    ) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self {
            store: Store::start()?,
            replicas: Vec::new(),
            gateways: Vec::new(),
            runs: Arc::default(),
            service,
            replaced: BTreeSet::new(),
            folder,
        };
        site.configure(1, routes);
        for number in 0..replicas {
            site.add_replica(zones[number % zones.len()])?;
        }
        for zone in zones {
            let gateway = Gateway::start(zone, site.store.address, &site.folder)?;
            site.gateways.push(gateway);
        }
        for gateway in &site.gateways {
            if !gateway.wait_until_ready(Duration::from_secs(20)) {
                return Err(io::Error::other("a machine is not ready"));
            }
        }
        thread::sleep(LEAD);
        Ok(site)
    }

    /// Writes a version of the configuration with these routes.
    pub fn configure(&self, version: u32, routes: &str) {
        let engine = r#","engine":{"slots":11,"kvCapacityTokens":457139}"#;
        let engine = if self.service.events > 0 { engine } else { "" };
        let name = &self.service.name;
        self.store.set(
            "op/config",
            &format!(
                r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{name}","healthPath":"/health","maxConns":300{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"studio","apiKeys":["key-studio"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#
            ),
        );
    }

    /// Starts a replica with an id that none had before; returns the id.
    pub fn add_replica(&mut self, zone: &str) -> io::Result<String> {
        let id = format!("i-{:08x}", self.replicas.len());
        let replica = Replica::start(&id, zone, &self.service, &self.store, &self.runs)?;
        self.replicas.push(replica);
        Ok(id)
    }

    /// Starts a replica in the place of each that crashed as long ago; returns their ids and
    /// the new ones.
    pub fn replace_crashed(&mut self, after: Duration) -> io::Result<Vec<(String, String)>> {
        let mut due = Vec::new();
        for replica in &self.replicas {
            let is_due = replica.crashed_at().is_some_and(|at| at.elapsed() >= after);
            if is_due && self.replaced.insert(replica.id.clone()) {
                due.push((replica.id.clone(), replica.zone.clone()));
            }
        }
        let mut started = Vec::new();
        for (id, zone) in due {
            started.push((id, self.add_replica(&zone)?));
        }
        Ok(started)
    }

    /// Returns the addresses at which the machines take callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.callers)
            .collect()
    }

    /// Returns whether an attempt began to run at a replica.
    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == attempt)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        // What is left is in the temporary folder.
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the head of a request, up to what says how its body is delimited.
pub fn head(target: &str, attempt: &str, deadline: Duration) -> String {
    let deadline = deadline.as_millis();
    format!(
        "POST {target} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {attempt}\r\nDeadline-Remaining: {deadline}\r\n\
         Authorization: Bearer key-studio\r\n"
    )
}

/// Returns a request with a body of this length, which begins with the attempt, as no two
/// callers send the same.
pub fn request(target: &str, attempt: &str, deadline: Duration, bytes: usize) -> Vec<u8> {
    let head = head(target, attempt, deadline);
    let body = format!("{attempt:x<bytes$}");
    format!("{head}Content-Length: {bytes}\r\n\r\n{body}").into_bytes()
}

/// Returns a request to the model service whose prompt begins with this part, which others
/// share, and whose answer has at most `output` tokens; what it asks is its own.
pub fn prompt(
    target: &str,
    attempt: &str,
    (part, own): (&str, usize),
    output: usize,
    deadline: Duration,
) -> Vec<u8> {
    let question = format!("{own:x<2000}");
    let length = question.len();
    let head = head(target, attempt, deadline);
    format!(
        "{head}Model: m\r\nToken-Count: 3060,{output}\r\nPrompt-Prefix: {part}:60,{own:08x}:3000\r\n\
         Content-Length: {length}\r\n\r\n{question}"
    )
    .into_bytes()
}

/// Returns the status of an answer; `None` without a complete one.
pub fn status(answer: &io::Result<http::Answer>) -> Option<u16> {
    answer.as_ref().ok().map(|answer| answer.status)
}
