//! Bodies that are too long to be buffered, while servers stall, in all forms of framing.

mod helpers;

use helpers::bodies::*;
use helpers::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// A response later than this after its deadline counts as none.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Short requests that show the sidecar the usual latency, so that a stalled attempt is overdue soon.
const WARM_UP_REQUESTS: usize = 150;

/// Starts a sidecar for four servers at one address, at which two attempts of a request may overlap, and sends short
/// requests.
fn start_hedging_sidecar(server: SocketAddr) -> Sidecar {
    let servers = ["s1", "s2", "s3", "s4"].map(|id| (id, server, "ready"));
    let sidecar = Sidecar::start_as(&endpoint_list(1, &servers), start_discovery().address, |config| {
        config["limits"]["sockets"] = json!(250);
        config["settings"]["PolicyLimits"]["ParallelTries"] = json!(true);
    });
    for number in 0..WARM_UP_REQUESTS {
        assert_eq!(sidecar.send_request("hold", &format!("w{number}"), 1500), 200);
    }
    sidecar
}

/// The head of a request with an idempotency key, whose path names the length of its body.
fn long_request_head(id: &str, length: usize, framing: &str) -> String {
    format!(
        "POST /hold/{length} HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nIdempotency-Key: k{id}\r\n\
         X-Expires-In-Ms: 1500\r\n{framing}\r\n\r\n"
    )
}

/// Writes the test body in chunks. Returns whether all could be written.
fn write_chunked_body(stream: &mut impl Write, length: usize) -> bool {
    const CHUNK: usize = 65_536;
    let chunk = |from: usize| {
        let bytes = pattern(from, CHUNK.min(length - from));
        [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat()
    };
    let written = (0..length).step_by(CHUNK).all(|from| stream.write_all(&chunk(from)).is_ok());
    written && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Reads a chunked body. None if the connection ends before the body does.
fn read_chunked_body(stream: &mut impl Read) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        let begin = body.len();
        body.resize(begin + size + 2, 0);
        stream.read_exact(&mut body[begin..]).ok()?;
        body.truncate(begin + size);
        if size == 0 {
            return Some(body);
        }
    }
}

/// The bytes on connections to this server that the server has not read.
fn unread_bytes(server: SocketAddr) -> usize {
    let SocketAddr::V4(server) = server else { return 0 };
    let address = format!("{:08X}:{:04X}", u32::from_le_bytes(server.ip().octets()), server.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read /proc/net/tcp");
    let queued = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (sent, received) = fields.get(4)?.split_once(':')?;
        let sent = if fields[2] == address { sent } else { "0" };
        let received = if fields[1] == address { received } else { "0" };
        Some(usize::from_str_radix(sent, 16).ok()? + usize::from_str_radix(received, 16).ok()?)
    };
    table.lines().skip(1).filter_map(queued).sum()
}

/// How much of a body the sidecar and the system take while the server reads nothing.
fn capacity_of_stalled_server(sidecar: &Sidecar, server: SocketAddr) -> usize {
    const LENGTH: usize = 32 << 20;
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let mut writer = stream.try_clone().expect("failed to clone the connection");
    stream
        .write_all(long_request_head("capacity", LENGTH, "Transfer-Encoding: chunked").as_bytes())
        .expect("failed to write the request head");
    let writing = thread::spawn(move || write_chunked_body(&mut writer, LENGTH));
    let begun = Instant::now();
    let (mut unread, mut since) = (0, begun);
    while unread == 0 || since.elapsed() < ms(100) {
        assert!(begun.elapsed() < WAIT_BOUND, "the server reads on: {unread} bytes unread");
        let now = unread_bytes(server);
        if now != unread {
            (unread, since) = (now, Instant::now());
        }
        thread::sleep(ms(5));
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = writing.join();
    unread
}

/// The last parts of a body wait for the first attempt when a second one becomes due, and must not go there: that server
/// would get the beginning and the end of the body as a complete request.
#[test]
fn body_of_a_stalled_attempt_reaches_no_server_in_parts() {
    const STALL: Duration = Duration::from_millis(800);
    const STEP: usize = 4096;
    let altered = Arc::<Mutex<Vec<String>>>::default();
    let seen = altered.clone();
    let server = scripted_server(move |_, stream| {
        while let Some(head) = read_head(stream) {
            if header(&head, "transfer-encoding").is_some() {
                thread::sleep(STALL);
                let Some(body) = read_chunked_body(stream) else { return };
                let length = head.split(['/', ' ']).nth(3).and_then(|text| text.parse().ok()).unwrap_or(0);
                if body != pattern(0, length) {
                    let text = format!("{} of {length} bytes", body.len());
                    seen.lock().expect("lock is not poisoned").push(text);
                }
            } else {
                let _ = stream.read_exact(&mut vec![0; content_length(&head)]);
            }
            let _ = stream.write_all(OK);
        }
    });
    let sidecar = start_hedging_sidecar(server);
    let capacity = capacity_of_stalled_server(&sidecar, server);
    let upload = |number: usize| {
        let length = capacity - 8 * STEP + number * STEP;
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        thread::spawn(move || {
            let head = long_request_head(&format!("l{number}"), length, "Transfer-Encoding: chunked");
            stream.write_all(head.as_bytes()).expect("failed to write the request head");
            write_chunked_body(&mut stream, length);
            read_response(&mut stream).map(|(status, ..)| status)
        })
    };
    let uploads: Vec<_> = (0..32).map(upload).collect();
    let statuses: Vec<_> =
        uploads.into_iter().map(|upload| upload.join().expect("client thread panicked")).collect();
    let altered = altered.lock().expect("lock is not poisoned");
    assert!(altered.is_empty(), "bodies that reached a server otherwise than sent: {altered:?}");
    assert!(statuses.iter().all(|status| *status == Some(200)), "{statuses:?}");
}

/// A second attempt would wait for parts of the body that the first one has taken, and the request would get no final
/// response.
#[test]
fn long_body_gets_a_final_response_while_its_server_hangs() {
    const LENGTH: usize = 100_000;
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = attempts.clone();
    let server = scripted_server(move |_, stream: &mut TcpStream| {
        while let Some(head) = read_head(stream) {
            let length = content_length(&head);
            if length == LENGTH || header(&head, "transfer-encoding").is_some() {
                counted.fetch_add(1, Ordering::Relaxed);
                thread::sleep(ms(4000));
                return;
            }
            let _ = stream.read_exact(&mut vec![0; length]);
            let _ = stream.write_all(OK);
        }
    });
    for chunked in [false, true] {
        let sidecar = start_hedging_sidecar(server);
        attempts.store(0, Ordering::Relaxed);
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let framing = if chunked { "Transfer-Encoding: chunked" } else { "Content-Length: 100000" };
        let head = long_request_head(&format!("h{chunked}"), LENGTH, framing);
        stream.write_all(head.as_bytes()).expect("failed to write the request head");
        let write = if chunked { write_chunked_body } else { write_body };
        assert!(write(&mut stream, LENGTH), "failed to write the whole body");
        let sent = Instant::now();
        let status = read_response(&mut stream).map(|(status, ..)| status);
        assert!(status.is_some(), "chunked: {chunked}: no final response");
        assert!(sent.elapsed() < ms(1500) + RESPONSE_SLACK, "{status:?} after {:?}", sent.elapsed());
        assert_eq!(attempts.load(Ordering::Relaxed), 1, "chunked: {chunked}: attempts of the long request");
    }
}

/// Sends a long body in two halves, the second one slowly. Returns the status, or None if no final response came in time.
fn upload_slowly(sidecar: SocketAddr, id: &str, length: usize, chunked: bool) -> Option<u16> {
    const PIECE: usize = 8192;
    let framing = if chunked { "Transfer-Encoding: chunked" } else { &format!("Content-Length: {length}") };
    let mut stream = TcpStream::connect(sidecar).expect("failed to connect to the sidecar");
    stream.set_read_timeout(Some(ms(1500) + RESPONSE_SLACK)).expect("failed to set the read timeout");
    let mut written = stream.write_all(long_request_head(id, length, framing).as_bytes());
    for from in (0..length).step_by(PIECE) {
        let piece = pattern(from, PIECE.min(length - from));
        let size = format!("{:x}\r\n", piece.len());
        let framed = if chunked { [size.as_bytes(), &piece, b"\r\n"].concat() } else { piece };
        written = written.and_then(|()| stream.write_all(&framed));
        thread::sleep(ms(if from < length / 2 { 2 } else { 40 }));
    }
    // The sidecar may reject the request and close the connection before all of it is written.
    let _ = written.and_then(|()| stream.write_all(if chunked { b"0\r\n\r\n" } else { b"" }));
    read_response(&mut stream).map(|(status, ..)| status)
}

/// Requests that hold buffers must not wait for more of them: all would wait for each other, without a time limit.
#[test]
fn slow_long_bodies_beyond_the_memory_limit_are_answered() {
    const MEMORY_MB: usize = 16;
    const BUFFERED_BODY: usize = 65_536;
    let server = scripted_server(|_, stream| {
        while let Some(head) = read_head(stream) {
            let length = content_length(&head);
            let is_long = header(&head, "transfer-encoding").is_some() || length > 1000;
            let expected = head.split(['/', ' ']).nth(3).and_then(|text| text.parse().ok()).unwrap_or(0);
            let is_whole = match is_long {
                true if length > 0 => read_body(stream, length),
                true => read_chunked_body(stream) == Some(pattern(0, expected)),
                false => stream.read_exact(&mut vec![0; length]).is_ok(),
            };
            let status = if is_whole { "200 OK" } else { "400 Bad Request" };
            let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        }
    });
    // The sidecar has 512 buffers of 16 KiB, and buffers up to four of a body.
    for (clients, length, chunked) in [
        (160, 120_000, true),
        (160, BUFFERED_BODY + 1, true),
        (160, 120_000, false),
        (160, 400_000, true),
        // With one buffer for each request and one for its response, more than there are.
        (300, 120_000, true),
    ] {
        let servers = ["s1", "s2", "s3", "s4"].map(|id| (id, server, "ready"));
        let sidecar = Sidecar::start_as(&endpoint_list(1, &servers), start_discovery().address, |config| {
            config["limits"]["sockets"] = json!(700);
            config["limits"]["memory_mb"] = json!(MEMORY_MB);
        });
        let case = format!("{clients} clients, {length} bytes, chunked: {chunked}");
        let address = sidecar.address;
        let upload = |number: usize| {
            thread::spawn(move || upload_slowly(address, &format!("u{number}"), length, chunked))
        };
        let uploads: Vec<_> = (0..clients).map(upload).collect();
        let statuses: Vec<_> =
            uploads.into_iter().map(|upload| upload.join().expect("client thread panicked")).collect();
        let answered = statuses.iter().filter(|status| **status == Some(200)).count();
        println!("{case}: {answered} of {clients} answered with 200");
        assert!(statuses.iter().all(|status| matches!(status, Some(200 | 503))), "{case}: {statuses:?}");
        assert_eq!(sidecar.send_request("view", "after", 1500), 200, "{case}: a request afterwards");
    }
}

/// Writes a long body on a new connection, in another thread, and measures when its response comes: the time from the
/// moment at which all of it was written, or zero if the response came before, and the status. The time limit is 1.5 s.
fn time_to_response(sidecar: &Sidecar, id: &str, length: usize, chunked: bool) -> (Duration, Option<u16>) {
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let mut writer = stream.try_clone().expect("failed to clone the connection");
    let framing = if chunked { "Transfer-Encoding: chunked" } else { &format!("Content-Length: {length}") };
    stream.write_all(long_request_head(id, length, framing).as_bytes()).expect("failed to write the head");
    let write = if chunked { write_chunked_body } else { write_body };
    let writing = thread::spawn(move || write(&mut writer, length).then(Instant::now));
    let status = read_response(&mut stream).map(|(status, ..)| status);
    let responded = Instant::now();
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let written = writing.join().expect("writer thread panicked");
    (written.map_or(Duration::ZERO, |written| responded.saturating_duration_since(written)), status)
}

/// A server that answers short requests at once, and reads `rate` bytes of a long body in a second.
fn slowly_reading_server(rate: usize) -> SocketAddr {
    const PAUSE: Duration = Duration::from_millis(20);
    scripted_server(move |_, stream| {
        while let Some(head) = read_head(stream) {
            let length = content_length(&head);
            if length > 1000 || header(&head, "transfer-encoding").is_some() {
                let mut bytes = vec![0; rate / 50];
                while rate == 0 || matches!(stream.read(&mut bytes), Ok(1..)) {
                    thread::sleep(PAUSE);
                }
                return;
            }
            let _ = stream.read_exact(&mut vec![0; length]);
            let _ = stream.write_all(OK);
        }
    })
}

/// A request whose last byte was written has a final response in time, also while its server reads nothing or little of
/// it: a write that waits for the server has no other time limit than the request.
#[test]
fn long_body_that_its_server_hardly_reads_has_a_response_in_time() {
    let stalled = slowly_reading_server(0);
    let capacity = capacity_of_stalled_server(&start_hedging_sidecar(stalled), stalled);
    for (rate, chunked, beyond_capacity) in [
        // The sidecar has not read the end of the body.
        (0, true, 1_000_000),
        (0, false, 1_000_000),
        // It has, and the last parts wait in a write.
        (0, true, 10_000),
        (300_000, true, 0),
        (300_000, false, 0),
    ] {
        let server = slowly_reading_server(rate);
        let sidecar = start_hedging_sidecar(server);
        let length = capacity + beyond_capacity;
        let (time, status) = time_to_response(&sidecar, "r1", length, chunked);
        let case = format!("{rate} bytes a second, chunked: {chunked}, {length} bytes");
        println!("{case}: {status:?} after {time:?}");
        assert!(matches!(status, Some(502 | 503)), "{case}: {status:?} after {time:?}");
        assert!(time < ms(1500) + RESPONSE_SLACK, "{case}: {status:?} after {time:?}");
        assert_eq!(sidecar.send_request("view", "after", 1500), 200, "{case}: a request afterwards");
    }
}

/// The same for a request that waits for a server: the ones that discovery lists accept no connection, or drain.
#[test]
fn long_body_that_waits_for_a_server_has_a_response_in_time() {
    for (chunked, lifecycle) in [(true, "ready"), (false, "ready"), (true, "draining"), (false, "draining")] {
        let gate = gate::Gate::start_closed();
        let servers = ["s1", "s2"].map(|id| (id, gate.address, lifecycle));
        let sidecar = Sidecar::start_as(&endpoint_list(1, &servers), start_discovery().address, |config| {
            config["settings"]["PolicyLimits"]["DialTimeout"] = json!(30_000_000);
        });
        let (time, status) = time_to_response(&sidecar, "w1", 400_000, chunked);
        let case = format!("{lifecycle}, chunked: {chunked}");
        println!("{case}: {status:?} after {time:?}");
        assert_eq!(status, Some(503), "{case}: after {time:?}");
        assert!(time < ms(1500) + RESPONSE_SLACK, "{case}: after {time:?}");
    }
}
