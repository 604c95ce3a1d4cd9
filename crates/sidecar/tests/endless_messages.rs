//! Peers of every kind that never stop sending: each gets an error or a close in time, and all others are served.

mod helpers;

use helpers::bodies::*;
use helpers::gate::OK;
use helpers::*;
use landingspread_lab::sockets::ScriptedBehavior;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The data of a body that is too long to be buffered, in bytes.
const STREAMED_BODY: usize = 200_000;
/// The end of a chunked body without trailer fields.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The time limit, counted from connecting, for the response to an endless message and for the close.
const CLOSED_WITHIN: Duration = Duration::from_secs(3);
/// The same for a client that has 60 MB or more to send before its request can be seen to be too long.
const LONG_BODY_CLOSED_WITHIN: Duration = Duration::from_secs(6);
/// How long a sender continues if its connection is not closed.
const GIVES_UP_AFTER: Duration = Duration::from_secs(8);

/// How the connection of a peer that sends without end ended.
#[derive(Debug)]
struct Ended {
    /// The status of the response; 0 if none came.
    status: u16,
    /// The time from connecting until the response or the close was seen.
    told_after: Duration,
    /// The time from connecting until the peer could send no more.
    closed_after: Duration,
}

impl Ended {
    fn is_error_or_close(&self) -> bool {
        self.status == 0 || self.status >= 400
    }

    fn is_in_time(&self) -> bool {
        self.is_within(CLOSED_WITHIN)
    }

    fn is_within(&self, limit: Duration) -> bool {
        self.told_after < limit && self.closed_after < limit
    }
}

/// Connects, sends `begin` and then `block` again and again until the connection is closed: at full speed, or with `pause`
/// after each block if it is not zero.
fn send_without_end(
    to: SocketAddr,
    begin: String,
    block: &'static str,
    pause: Duration,
) -> JoinHandle<Ended> {
    let connected_at = Instant::now();
    let mut stream = TcpStream::connect(to).expect("failed to connect");
    stream.set_read_timeout(Some(GIVES_UP_AFTER)).expect("failed to set the read timeout");
    stream.set_write_timeout(Some(GIVES_UP_AFTER)).expect("failed to set the write timeout");
    let mut reader = stream.try_clone().expect("failed to clone the connection");
    let reads = thread::spawn(move || {
        let mut bytes = [0; 64];
        let count = reader.read(&mut bytes).unwrap_or(0);
        let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
        (text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0), connected_at.elapsed())
    });
    thread::spawn(move || {
        let blocks =
            if pause.is_zero() { block.repeat((256 << 10) / block.len()) } else { block.to_string() };
        let mut open = stream.write_all(begin.as_bytes()).is_ok();
        while open && connected_at.elapsed() < GIVES_UP_AFTER {
            open = stream.write_all(blocks.as_bytes()).is_ok();
            thread::sleep(pause);
        }
        let closed_after = connected_at.elapsed();
        let (status, told_after) = reads.join().expect("the reading thread panicked");
        Ended { status, told_after, closed_after }
    })
}

/// A sidecar with a console and one server, which is ready.
fn start_sidecar_with_console(server: SocketAddr) -> (Sidecar, SocketAddr) {
    let (console, discovery) = (unused_address(), start_discovery());
    let known = endpoint_list(1, &[("s1", server, "ready")]);
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["console"] = json!(console.to_string()));
    wait_until("the console answers", || console_status(console) == Some(200));
    (sidecar, console)
}

fn console_status(console: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    read_response(&mut stream).map(|(status, _, _)| status)
}

/// The head of a request with this framing header, to be followed by a body.
fn framed_head(id: &str, framing: &str) -> String {
    request_text("confirm", id, 1900).replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"))
}

/// The head of a request, to be followed by a chunked body.
fn chunked_head(id: &str) -> String {
    framed_head(id, "Transfer-Encoding: chunked")
}

/// The beginnings and the blocks of chunked bodies that never end, though their data does or hardly grows.
fn endless_bodies() -> Vec<(&'static str, String, &'static str)> {
    // 1,000 bytes of extension for each byte of data.
    let chunk: &'static str = format!("1;{}\r\nx\r\n", "e".repeat(1000)).leak();
    let streamed = format!("{:x}\r\n{}\r\n", STREAMED_BODY, "x".repeat(STREAMED_BODY));
    vec![
        ("trailers", "2\r\nok\r\n0\r\n".into(), "x:\r\n"),
        ("long-trailers", "0\r\n".into(), "X-More: and more, and more, and more, and more\r\n"),
        ("extensions", String::new(), chunk),
        ("streamed-trailers", format!("{streamed}0\r\n"), "x:\r\n"),
        ("streamed-extensions", streamed, chunk),
    ]
}

/// A server that answers a GET, and reads the body of any other request until the connection ends. Sets `completed` if a body
/// came to its end.
fn start_reading_server(completed: &Arc<AtomicBool>) -> SocketAddr {
    let completed = completed.clone();
    scripted_server(move |_, stream| {
        while read_head(stream).is_some_and(|head| head.starts_with("GET")) {
            let _ = stream.write_all(OK);
        }
        let (mut bytes, mut end) = ([0; 16 << 10], Vec::new());
        while let Ok(count @ 1..) = stream.read(&mut bytes) {
            end.extend_from_slice(&bytes[..count]);
            end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
            if end == LAST_CHUNK {
                completed.store(true, Ordering::Relaxed);
            }
        }
    })
}

/// Checks that all of 20 requests are answered in time while others send without end.
fn assert_requests_are_served(sidecar: &Sidecar, name: &str) {
    for number in 0..20 {
        let (id, sent) = (format!("{name}-usual{number}"), Instant::now());
        assert_eq!(sidecar.send_request("view", &id, 1900), 200, "{id} after {:?}", sent.elapsed());
    }
}

/// Guards against trailer fields and chunk extensions without end, behind which the process served nothing, and of which a
/// lone client was never told.
#[test]
fn endless_chunk_framing_is_rejected_and_delays_no_other_client() {
    let completed = Arc::new(AtomicBool::new(false));
    let at = start_reading_server(&completed);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    for (name, begin, block) in endless_bodies() {
        for count in [1, 8] {
            let start = |number| {
                let head = chunked_head(&format!("{name}-bad{number}"));
                send_without_end(sidecar.address, head + &begin, block, Duration::ZERO)
            };
            let senders: Vec<_> = (0..count).map(start).collect();
            assert_requests_are_served(&sidecar, &format!("{name}{count}"));
            for sender in senders {
                let ended = sender.join().expect("the sending thread panicked");
                assert!(ended.is_error_or_close() && ended.is_in_time(), "{count} {name}: {ended:?}");
            }
        }
    }
    assert!(!completed.load(Ordering::Relaxed), "an incomplete request reached the server complete");
}

/// Guards against bodies whose data never ends, of which no client was told for 900 s where the server reads all of it: of a
/// huge length, in a huge chunk, and in chunks without end.
#[test]
fn endless_data_is_rejected_and_delays_no_other_client() {
    let completed = Arc::new(AtomicBool::new(false));
    let at = start_reading_server(&completed);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    let data = "x".repeat(1000);
    let chunk: &'static str = format!("3e8\r\n{data}\r\n").leak();
    let bodies = [
        ("length", "Content-Length: 900000000000", "", "x", CLOSED_WITHIN),
        ("long-chunk", "Transfer-Encoding: chunked", "e8d4a51000\r\n", "x", CLOSED_WITHIN),
        ("chunks", "Transfer-Encoding: chunked", "", chunk, LONG_BODY_CLOSED_WITHIN),
    ];
    for (name, framing, begin, block, limit) in bodies {
        for count in [1, 8] {
            let start = |number| {
                let head = framed_head(&format!("{name}-bad{count}-{number}"), framing);
                send_without_end(sidecar.address, head + begin, block, Duration::ZERO)
            };
            let senders: Vec<_> = (0..count).map(start).collect();
            assert_requests_are_served(&sidecar, &format!("{name}{count}"));
            for sender in senders {
                let ended = sender.join().expect("the sending thread panicked");
                assert!(ended.is_error_or_close() && ended.is_within(limit), "{count} {name}: {ended:?}");
            }
        }
    }
    assert!(!completed.load(Ordering::Relaxed), "an incomplete request reached the server complete");
}

/// Guards against a limit of a body's length that rejects a body within it, or lets a longer one reach the server complete.
#[test]
fn body_is_rejected_beyond_its_limit_only() {
    let received = Arc::new(AtomicUsize::new(0));
    let counted = received.clone();
    let at = scripted_server(move |_, stream| {
        while let Some(head) = read_head(stream) {
            if read_body(stream, content_length(&head)) {
                counted.fetch_add(1, Ordering::Relaxed);
            }
            let _ = stream.write_all(OK);
        }
    });
    let discovery = start_discovery();
    let known = endpoint_list(1, &[("s1", at, "ready")]);
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["limits"]["body_mb"] = json!(1));
    for (id, length, expected) in [("within", 1 << 20, 200), ("beyond", (1 << 20) + 1, 413)] {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let head = framed_head(id, &format!("Content-Length: {length}"));
        stream.write_all(head.as_bytes()).expect("failed to write to the connection");
        let mut body = stream.try_clone().expect("failed to clone the connection");
        let writes = thread::spawn(move || write_body(&mut body, length));
        assert_eq!(read_response(&mut stream).map(|(status, _, _)| status), Some(expected), "{id}");
        drop(stream);
        let _ = writes.join().expect("the writing thread panicked");
    }
    assert_eq!(received.load(Ordering::Relaxed), 1, "only the body within the limit reaches the server");
}

/// Guards against trailer fields that arrive slowly and without end, and so kept a request open for as long as they came.
#[test]
fn slow_trailers_without_end_are_rejected_in_time() {
    let completed = Arc::new(AtomicBool::new(false));
    let at = start_reading_server(&completed);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    let cases = endless_bodies().into_iter().filter(|(name, ..)| name.contains("trailers"));
    let start = |(name, begin, block): (&'static str, String, &'static str)| {
        let head = chunked_head(&format!("{name}-slow"));
        (name, send_without_end(sidecar.address, head + &begin, block, ms(50)))
    };
    let senders: Vec<_> = cases.map(start).collect();
    for (name, sender) in senders {
        let ended = sender.join().expect("the sending thread panicked");
        assert!(ended.status == 408 && ended.is_in_time(), "{name}: {ended:?}");
    }
    assert!(!completed.load(Ordering::Relaxed), "an incomplete request reached the server complete");
}

/// Guards against servers whose chunk framing never ends, in the same way as clients.
#[test]
fn endless_chunk_framing_of_a_server_fails_the_attempt() {
    let over = Arc::new(AtomicBool::new(false));
    for (name, begin, block) in endless_bodies().into_iter().take(3) {
        let stop = over.clone();
        let at = scripted_server(move |_, stream| {
            while read_head(stream).is_some_and(|head| head.starts_with("GET")) {
                let _ = stream.write_all(OK);
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let blocks = block.repeat((256 << 10) / block.len());
            let mut open = stream.write_all(format!("{head}{begin}").as_bytes()).is_ok();
            while open && !stop.load(Ordering::Relaxed) {
                open = stream.write_all(blocks.as_bytes()).is_ok();
            }
        });
        let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", at)]);
        let sent = Instant::now();
        let status = sidecar.send_request("confirm", name, 1900);
        assert!(status == 502 && sent.elapsed() < ms(2400), "{name}: {status} after {:?}", sent.elapsed());
        assert_requests_are_served(&sidecar, name);
    }
    over.store(true, Ordering::Relaxed);
}

/// Sends to the console from four connections, without end, while 20 other requests to it are answered. Returns how the
/// connections ended.
fn flood_console(begin: &str, block: &'static str) -> Vec<Ended> {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (_sidecar, console) = start_sidecar_with_console(server.address);
    let start = |_| send_without_end(console, begin.into(), block, Duration::ZERO);
    let senders: Vec<_> = (0..4).map(start).collect();
    for round in 0..20 {
        assert_eq!(console_status(console), Some(200), "round {round}");
    }
    senders.into_iter().map(|sender| sender.join().expect("the sending thread panicked")).collect()
}

/// Guards against trailer fields without end in a request to the console, whose thread then answered no other request.
#[test]
fn endless_trailers_of_a_console_request_are_rejected() {
    let begin = "GET /status HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for ended in flood_console(begin, "x:\r\n") {
        assert!(matches!(ended.status, 0 | 413) && ended.is_in_time(), "{ended:?}");
    }
}

/// Guards against bytes without end behind a console's request, which were discarded in a loop that let no other task and
/// no timer of the console's thread run.
#[test]
fn endless_bytes_behind_a_console_request_delay_no_other_operator() {
    for ended in flood_console("GET /status HTTP/1.1\r\nHost: x\r\n\r\n", "more") {
        assert!(ended.status == 200 && ended.is_in_time(), "{ended:?}");
    }
}
