//! A sound replica: it runs each request that is meant for it, and answers with its seal and what
//! was asked for.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http::Reader;

/// What a replica does with a request.
pub trait Listener: Send + Sync + 'static {
    /// A request begins to run.
    fn begins(&self, id: &str, path: &str, tenant: &str);
    /// A request was answered.
    fn answered(&self, id: &str);
}

/// Serves requests on a listener; never returns. The time that a request takes stands at the
/// end of its path, as in `/x/work-250`, in milliseconds.
pub fn serve(listener: &TcpListener, id: &str, slots: usize, heard: &Arc<impl Listener>) {
    let running = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (id, running, heard) = (id.to_owned(), Arc::clone(&running), Arc::clone(heard));
        thread::spawn(move || serve_connection(stream, &id, slots, &running, heard.as_ref()));
    }
}

fn serve_connection(
    stream: TcpStream,
    id: &str,
    slots: usize,
    running: &AtomicUsize,
    heard: &impl Listener,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = Reader::new(stream);
    while let Ok(Some(message)) = reader.message() {
        let path = message.second().to_owned();
        let attempt = message.header("attempt-id").to_owned();
        let expected = message.header("expected-replica");
        let load = format!(
            "Replica-Load: {},0,{slots}\r\n",
            running.load(Ordering::SeqCst)
        );
        let answer = if path == "/health" {
            format!("HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n")
        } else if !expected.is_empty() && expected != id {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                 Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )
        } else if running.fetch_add(1, Ordering::SeqCst) >= slots {
            running.fetch_sub(1, Ordering::SeqCst);
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                 {load}Content-Length: 0\r\n\r\n"
            )
        } else {
            heard.begins(&attempt, &path, message.header("tenant"));
            if let Some((events, gap)) = stream_of(&path) {
                let ended = write_stream(&mut writer, (id, &path), &attempt, &load, events, gap);
                running.fetch_sub(1, Ordering::SeqCst);
                ended.ok()?;
                heard.answered(&attempt);
                continue;
            }
            let work = path
                .rsplit_once("/work-")
                .and_then(|(_, work)| work.parse().ok());
            thread::sleep(Duration::from_millis(work.unwrap_or(1)));
            running.fetch_sub(1, Ordering::SeqCst);
            heard.answered(&attempt);
            let body = content_of(&path);
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.1\r\n{load}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        writer.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// Returns the body of the answer to a request, which differs between requests.
#[must_use]
pub fn content_of(path: &str) -> String {
    format!("content of {path}")
}

/// Returns the data of an event of the answer to a request, with its end.
#[must_use]
pub fn piece(path: &str, number: u32, events: u32) -> String {
    format!("data: piece {number} of {events} of {path}\n\n")
}

/// Returns the number of events, and the milliseconds between two, of a stream: they stand at the
/// end of its path, as in `/x/stream-30-80`.
fn stream_of(path: &str) -> Option<(u32, u64)> {
    let (_, figures) = path.rsplit_once("/stream-")?;
    let (events, gap) = figures.split_once('-')?;
    Some((events.parse().ok()?, gap.parse().ok()?))
}

/// Writes a stream of events; fails if its caller leaves.
fn write_stream(
    writer: &mut TcpStream,
    (id, path): (&str, &str),
    attempt: &str,
    load: &str,
    events: u32,
    gap: u64,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.1\r\n{load}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=events {
        thread::sleep(Duration::from_millis(gap));
        let event = format!("id: {number}\n{}", piece(path, number, events));
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Returns the entry of a replica in the store.
#[must_use]
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: usize, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{born}}}"
    )
}
