//! LOST: callers with large bodies that stop just short of their end make a process need
//! more memory than its machine has, and the requests of ordinary callers end with it.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, callers,
    gateway::MEMORY_MB,
    http,
    record::Record,
    site::{self, MAX_BODY_BYTES, Site},
};

/// Callers with large bodies, and the time for which they keep their connections open.
const CROWD: usize = 1000;
const CROWD_FOR: Duration = Duration::from_secs(6);
/// Bytes that one of them sends at once.
const PIECE: usize = 256 * 1024;

/// Ordinary callers, each with a connection that it keeps.
const CALLERS: usize = 16;
const DEADLINE: Duration = Duration::from_millis(1500);
/// Work of a request at a replica.
const WORK: Duration = Duration::from_millis(110);

/// When the crowd comes, and when all ends.
const CROWD_AT: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(14);

/// Time between two looks at the memory of the process, and until it starts again.
const MEMORY_TICK: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Requests that may be lost without breaking the rule.
const ALLOWED: usize = 3;

/// Sends all of a body of the largest legal size but its last byte, and stays.
fn stop_short(address: SocketAddr, number: usize) -> io::Result<()> {
    let end = Instant::now() + CROWD_FOR;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_write_timeout(Some(CROWD_FOR))?;
    let head = site::head(site::BOOK, &format!("c{number:08x}"), DEADLINE);
    write!(stream, "{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\n")?;
    let piece = vec![b'x'; PIECE];
    let mut left = MAX_BODY_BYTES - 1;
    while left > 0 && Instant::now() < end {
        let length = left.min(PIECE);
        stream.write_all(&piece[..length])?;
        left -= length;
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    Ok(())
}

/// A connection that an ordinary caller keeps.
struct Kept {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(DEADLINE * 2))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    fn call(&mut self, request: &[u8]) -> io::Result<http::Head> {
        self.writer.write_all(request)?;
        let head = http::read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        http::read_body(&mut self.reader, &head)?;
        Ok(head)
    }
}

/// Sends requests one after the other until it is to `stop`; those whose connection was closed without
/// an answer are added to `cut`.
fn call_repeatedly(
    address: SocketAddr,
    caller: usize,
    stop: &AtomicBool,
    cut: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut kept = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let attempt = format!("o{caller:02x}{number:06x}");
        let Some(connection) = kept.as_mut() else {
            kept = Kept::open(address).ok();
            if kept.is_none() {
                thread::sleep(Duration::from_millis(50));
            }
            continue;
        };
        let sent = Instant::now();
        let request = site::request(site::BOOK, &attempt, DEADLINE, 600);
        match connection.call(&request) {
            Ok(head) => {
                record.line(&format!("{attempt}: {}", head.word(1)));
                if head.header("connection") == Some("close") {
                    kept = None;
                }
            }
            Err(error) => {
                record.line(&format!(
                    "{attempt}: no answer after {} ms: {error}",
                    sent.elapsed().as_millis()
                ));
                kept = None;
                // A caller that gave up has closed the connection itself.
                if sent.elapsed() < DEADLINE {
                    cut.lock().unwrap().push(attempt);
                }
            }
        }
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let mut site = Site::start(&["z-a"], site::BOOK_ROUTE, site::bookings(WORK), 3)?;
    let address = site.gateways[0].callers;
    let stop = Arc::new(AtomicBool::new(false));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    record.say("traffic starts");
    let began = Instant::now();
    let mut ordinary = Vec::new();
    for caller in 0..CALLERS {
        let (stop, cut, record) = (Arc::clone(&stop), Arc::clone(&cut), record.clone());
        ordinary.push(thread::spawn(move || {
            call_repeatedly(address, caller, &stop, &cut, &record);
        }));
    }
    let crowd_size = if has_trouble { CROWD } else { 0 };
    let crowd = callers::start_crowd(crowd_size, began + CROWD_AT, move |number| {
        // A caller that is refused or cut ends.
        stop_short(address, number).ok();
    });
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    let (mut peak_kb, mut kills) = (0, 0);
    while began.elapsed() < END {
        thread::sleep(MEMORY_TICK);
        let gateway = &mut site.gateways[0];
        if !gateway.lives() {
            record.say("the process has ended by itself");
            thread::sleep(RESTART_DELAY);
            gateway.run()?;
            kills += 1;
            continue;
        }
        let resident_kb = gateway.resident_kb();
        peak_kb = resident_kb.max(peak_kb);
        if resident_kb > limit_kb {
            gateway.kill();
            kills += 1;
            record.say(&format!(
                "the process is killed: it uses {resident_kb} kB, its machine has {limit_kb} kB"
            ));
            thread::sleep(RESTART_DELAY);
            gateway.run()?;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for caller in ordinary {
        caller.join().unwrap();
    }
    crowd.join().unwrap();
    let cut = cut.lock().unwrap();
    let lost: Vec<&String> = cut.iter().filter(|attempt| site.has_run(attempt)).collect();
    record.say(&format!(
        "peak {peak_kb} kB of {limit_kb} kB, {kills} times killed"
    ));
    record.say(&format!(
        "ordinary requests passed on to a sound replica whose kept connection was closed without an answer: {} ({ALLOWED} allowed)",
        lost.len()
    ));
    for attempt in &lost {
        record.line(&format!("lost: {attempt}"));
    }
    if lost.len() > ALLOWED {
        record.say("LOST is broken");
        return Ok(Verdict::Broken);
    }
    record.say("LOST holds");
    Ok(Verdict::Held)
}
