//! Endpoints of several software versions that serve resumable streams.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use dottereltally_gateway::chain::Chain;
use dottereltally_lib::{
    endpoint::{Record, Standing},
    id,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{TestHeaders, header, read_message};

/// Number of the last event of every stream.
pub const LAST_EVENT: u64 = 4;

/// Endpoints of the service `s`. A stream that begins there breaks only when its
/// gateway ends; one that is taken up goes on to its end. Each event names the
/// version.
pub struct Fleet {
    pub records: Vec<Record>,
    received: Arc<AtomicUsize>,
}

impl Fleet {
    /// Starts `count` endpoints of each version.
    pub async fn start(versions: &[&str], count: usize) -> Self {
        let received = Arc::<AtomicUsize>::default();
        let mut records = Vec::new();
        for version in versions {
            for number in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                records.push(Record {
                    id: id::Endpoint::from(format!("{version}-{number}")),
                    address: listener.local_addr().unwrap().to_string(),
                    service: id::Service::from("s"),
                    data_centre: id::DataCentre::from("dc"),
                    standing: Standing::Live,
                    capacity: Some(200),
                    version: Some(id::Version::from(*version)),
                });
                let received = Arc::clone(&received);
                let version = (*version).to_owned();
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let received = Arc::clone(&received);
                        tokio::spawn(serve(stream, version.clone(), received));
                    }
                });
            }
        }
        Self { records, received }
    }

    /// Lists the endpoints at a node.
    pub fn list_at(&self, chain: &Chain<TestHeaders>) {
        list(chain, self.records.clone());
    }

    /// Returns how many streams the endpoints were asked for.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }
}

/// Lists these endpoints, and no others, at a node.
pub fn list(chain: &Chain<TestHeaders>, records: Vec<Record>) {
    chain
        .admission
        .apply(|dispatcher, now| dispatcher.set_endpoints(now, records));
}

async fn serve(mut stream: TcpStream, version: String, received: Arc<AtomicUsize>) {
    // A stream that begins stays open until its gateway closes the connection.
    while let Some(request) = read_message(&mut stream).await {
        // Gateways also examine the health of endpoints.
        if request.starts_with("GET /stream/") {
            received.fetch_add(1, Ordering::SeqCst);
        }
        let id = header(&request, "x-id").unwrap_or_default();
        let after: Option<u64> = header(&request, "x-after").and_then(|after| after.parse().ok());
        let first = after.unwrap_or(0) + 1;
        let last = if after.is_some() { LAST_EVENT } else { first };
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        for number in first..=last {
            let event = format!("id: {number}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            answer.push_str(&chunk);
        }
        if after.is_some() {
            answer.push_str("0\r\n\r\n");
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A stream of which the caller has the first event.
pub struct Begun {
    /// The id of its first attempt.
    pub id: String,
    /// The version that began it.
    pub version: String,
    connection: TcpStream,
}

impl Begun {
    /// Begins a stream at a gateway and reads its first event.
    pub async fn start(address: SocketAddr, id: &str) -> Self {
        let mut connection = TcpStream::connect(address).await.unwrap();
        let request = format!("GET /stream/a HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\n\r\n");
        connection.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        let version = loop {
            let mut part = [0; 1024];
            let length = connection.read(&mut part).await.unwrap();
            assert!(length > 0, "the stream did not begin: {text}");
            text.push_str(&String::from_utf8_lossy(&part[..length]));
            let event = text.split_once("data: ");
            if let Some((version, _)) = event.and_then(|(_, rest)| rest.split_once('\n')) {
                break version.to_owned();
            }
        };
        Self {
            id: id.to_owned(),
            version,
            connection,
        }
    }

    /// Takes the stream up at a gateway, after its end at the first one; returns
    /// the answer.
    pub async fn take_up(self, address: SocketAddr) -> String {
        drop(self.connection);
        take_up(address, &self.id).await
    }
}

/// Takes a stream up after its first event; returns the answer.
pub async fn take_up(address: SocketAddr, first_attempt: &str) -> String {
    let headers = format!("x-after: 1\r\nx-resumes: {first_attempt}\r\n");
    super::get(address, "/stream/a", &headers).await
}
