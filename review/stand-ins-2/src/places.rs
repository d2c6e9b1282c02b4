//! RECOVER: callers whose small bodies stop just short of their end hold all places for
//! connections; a machine that says it is ready takes no new connection meanwhile.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, callers, http,
    record::Record,
    site::{self, Site},
};

/// Callers whose bodies have no end, and the time for which they stay.
const CROWD: usize = 2100;
const CROWD_FOR: Duration = Duration::from_secs(10);
/// Time after which one of them tries again whose connection was closed unread.
const CROWD_RETRY: Duration = Duration::from_millis(50);
/// Chunks of one of their bodies, of one byte each.
const CHUNKS: usize = 64;

/// Ordinary callers, and the time between two tries of each.
const CALLERS: usize = 8;
const RETRY: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1500);
const WORK: Duration = Duration::from_millis(15);

/// When the crowd connects, when it sends, and when all ends.
const CROWD_AT: Duration = Duration::from_secs(3);
const SENDS_AT: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(16);

/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);

/// Connects, sends a chunked body but for its end at `sends_at`, and stays; tries again if its
/// connection is closed unread.
fn stop_short(address: SocketAddr, number: usize, sends_at: Instant) {
    let end = Instant::now() + CROWD_FOR;
    let mut tries = 0;
    while Instant::now() < end {
        tries += 1;
        let attempt = format!("c{number:04x}{tries:04x}");
        // Both ways to fail mean that the connection was not taken.
        if !is_taken(address, &attempt, (sends_at, end)).unwrap_or(false) {
            thread::sleep(CROWD_RETRY);
        }
    }
}

/// Returns whether bytes arrive until a time; fails if the connection ends.
fn has_bytes(stream: &mut TcpStream, until: Instant) -> io::Result<bool> {
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    match stream.read(&mut [0; 64]) {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) => Err(error),
    }
}

/// Opens a connection, and stays there until `end` unless it is closed before an answer begins;
/// returns whether it was not.
fn is_taken(
    address: SocketAddr,
    attempt: &str,
    (sends_at, end): (Instant, Instant),
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    if Instant::now() < sends_at {
        has_bytes(&mut stream, sends_at)?;
    }
    let head = site::head(site::BOOK, attempt, DEADLINE);
    let chunks = "1\r\nx\r\n".repeat(CHUNKS);
    write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n{chunks}")?;
    if has_bytes(&mut stream, end)? {
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    Ok(true)
}

/// A try of an ordinary caller: when it began and ended, and whether its connection was taken.
struct Try {
    began: Duration,
    ended: Duration,
    is_taken: bool,
}

/// Returns the longest span up to `END` in which callers tried and no connection of theirs
/// was taken.
fn longest_refusal(tries: &[Try]) -> (Duration, Duration) {
    let mut taken: Vec<Duration> = Vec::new();
    for one in tries {
        if one.is_taken && one.ended < END {
            taken.extend([one.began, one.ended]);
        }
    }
    taken.sort_unstable();
    taken.push(END);
    let spans = taken.windows(2).map(|pair| (pair[0], pair[1]));
    let longest = spans.max_by_key(|(from, to)| to.saturating_sub(*from));
    longest.unwrap_or_default()
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let mut site = Site::start(&["z-a"], site::BOOK_ROUTE, site::bookings(WORK), 3)?;
    let address = site.gateways[0].callers;
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    record.say("traffic starts");
    let began = Instant::now();
    let mut ordinary = Vec::new();
    for caller in 0..CALLERS {
        let (tries, record) = (Arc::clone(&tries), record.clone());
        ordinary.push(thread::spawn(move || {
            let mut number = 0;
            while began.elapsed() < END {
                number += 1;
                let attempt = format!("o{caller:02x}{number:06x}");
                let request = site::request(site::BOOK, &attempt, DEADLINE, 600);
                let start = began.elapsed();
                let answer = http::call(address, &request, DEADLINE);
                let status = site::status(&answer);
                record.line(&match &answer {
                    Ok(answer) => format!("{attempt}: {}", answer.status),
                    Err(error) => format!("{attempt}: no answer: {error}"),
                });
                tries.lock().unwrap().push(Try {
                    began: start,
                    ended: began.elapsed(),
                    is_taken: status.is_some(),
                });
                thread::sleep(RETRY);
            }
        }));
    }
    let crowd_size = if has_trouble { CROWD } else { 0 };
    let crowd = callers::start_crowd(crowd_size, began + CROWD_AT, move |number| {
        stop_short(address, number, began + SENDS_AT);
    });
    let mut unready = Vec::new();
    let mut peak_kb = 0;
    while began.elapsed() < END {
        thread::sleep(Duration::from_millis(250));
        let at = began.elapsed();
        if !site.gateways[0].is_ready() {
            unready.push(at);
            record.say(&format!(
                "the machine says at {:.3} s that it is not ready",
                at.as_secs_f64()
            ));
        }
        peak_kb = site.gateways[0].resident_kb().max(peak_kb);
    }
    for caller in ordinary {
        caller.join().unwrap();
    }
    crowd.join().unwrap();
    record.say(&format!(
        "peak {peak_kb} kB, the process lives: {}",
        site.gateways[0].lives()
    ));
    let tries = tries.lock().unwrap();
    let (from, to) = longest_refusal(&tries);
    let refused = tries
        .iter()
        .filter(|one| one.began >= from && one.ended <= to && !one.is_taken)
        .count();
    record.say(&format!(
        "longest span in which no new connection was taken: {:.3} s to {:.3} s, {refused} tries of {CALLERS} callers",
        from.as_secs_f64(),
        to.as_secs_f64()
    ));
    let is_ready = !unready.iter().any(|at| *at >= from && *at <= to);
    if is_ready && to.saturating_sub(from) >= CONTACT && refused >= CALLERS {
        record.say("RECOVER is broken: a machine that says it is ready takes no new connection for contactMs");
        return Ok(Verdict::Broken);
    }
    record.say("RECOVER holds");
    Ok(Verdict::Held)
}
