//! Bodies and responses longer than the sidecar's buffers, messages split at any byte, and many clients, all with little
//! memory.

mod helpers;

use helpers::bodies::*;
use helpers::*;
use landingspread_lab::sockets::{HttpMessage, Peer, ScriptedBehavior};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

const MB: usize = 1 << 20;

fn start_sidecar(servers: &[(&str, SocketAddr)], memory_mb: u64, sockets: u64) -> Sidecar {
    let ready: Vec<_> = servers.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    Sidecar::start_as(&endpoint_list(1, &ready), start_discovery().address, |config| {
        config["limits"]["memory_mb"] = json!(memory_mb);
        config["limits"]["sockets"] = json!(sockets);
    })
}

fn post(id: &str, framing: &str) -> String {
    format!(
        "POST /confirm HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 1900\r\n{framing}\r\n\r\n"
    )
}

fn get(id: &str) -> String {
    format!("GET /view HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 1900\r\n\r\n")
}

/// Peak resident memory of the sidecar, in MB.
fn peak_memory_mb(sidecar: &Sidecar) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id()))
        .expect("failed to read /proc of the sidecar");
    let line = text.lines().find(|line| line.starts_with("VmHWM")).expect("VmHWM is in /proc/PID/status");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("VmHWM is a number") / 1024
}

#[test]
fn bodies_and_responses_of_32_mb_pass_with_16_mb_of_memory() {
    const EACH: usize = 32 * MB;
    let at = scripted_server(|_, stream| {
        while let Some(head) = read_head(stream) {
            let whole = read_body(stream, content_length(&head));
            let _ = stream.write_all(
                format!("HTTP/1.1 200 OK\r\nX-Whole: {whole}\r\nContent-Length: {EACH}\r\n\r\n").as_bytes(),
            );
            write_body(stream, EACH);
        }
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let start_client = |number: usize| {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        thread::spawn(move || {
            stream
                .write_all(post(&format!("l{number}"), &format!("Content-Length: {EACH}")).as_bytes())
                .expect("failed to write the request head");
            assert!(write_body(&mut stream, EACH), "failed to write the whole body");
            let head = read_head(&mut stream).expect("no response");
            assert_eq!(header(&head, "x-whole").as_deref(), Some("true"));
            assert!(
                content_length(&head) == EACH && read_body(&mut stream, EACH),
                "response body is incomplete"
            );
        })
    };
    let clients: Vec<_> = (0..4).map(start_client).collect();
    clients.into_iter().for_each(|client| client.join().expect("client thread panicked"));
    assert!(peak_memory_mb(&sidecar) <= 16, "{} MB", peak_memory_mb(&sidecar));
}

#[test]
fn request_and_response_sent_byte_by_byte_pass_unchanged() {
    let at = scripted_server(|_, stream| {
        let _ = stream.set_nodelay(true);
        let Some(head) = read_head(stream) else { return };
        assert_eq!(header(&head, "content-length").as_deref(), Some("5"));
        let mut body = [0; 5];
        let _ = stream.read_exact(&mut body);
        let text = String::from_utf8_lossy(&body).into_owned();
        let text = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;a=\"b\"\r\nok:\r\n5\r\n{text}\r\n0\r\nT: 1\r\n\r\n"
        );
        for byte in text.bytes() {
            let _ = stream.write_all(&[byte]);
        }
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let _ = stream.set_nodelay(true);
    let text = format!("{}2\r\nab\r\n3;x\r\ncde\r\n0\r\n\r\n", post("b1", "Transfer-Encoding: chunked"));
    for byte in text.bytes() {
        stream.write_all(&[byte]).expect("failed to write to the connection");
    }
    let (status, _, body) = read_response(&mut stream).expect("no response");
    assert_eq!((status, &body[..]), (200, &b"ok:abcde"[..]));
}

#[test]
fn first_bytes_of_a_long_response_are_forwarded_at_once() {
    let at = scripted_server(|_, stream| {
        let Some(_) = read_head(stream) else { return };
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nfirst");
        // The server waits for bytes that never come, until the client has read the first bytes and disconnects.
        let _ = stream.read(&mut [0]);
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream.write_all(get("f1").as_bytes()).expect("failed to write to the connection");
    assert_eq!(content_length(&read_head(&mut stream).expect("failed to read the response head")), 200_000);
    let mut first = [0; 5];
    stream.read_exact(&mut first).expect("failed to read the first bytes of the response");
    assert_eq!(&first, b"first");
}

#[test]
fn truncated_response_is_distinguishable_from_a_whole_one() {
    for (framing, http_1_0) in [
        ("Content-Length: 300000", false),
        ("Transfer-Encoding: chunked", false),
        ("Transfer-Encoding: chunked", true),
    ] {
        let at = scripted_server(move |_, stream| {
            let Some(_) = read_head(stream) else { return };
            let size = if framing.contains("chunked") { "30d40\r\n" } else { "" };
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{size}").as_bytes());
            let _ = stream.write_all(&pattern(0, 200_000));
        });
        let sidecar = start_sidecar(&[("s1", at)], 16, 80);
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let request = if http_1_0 { get("k1").replace("HTTP/1.1", "HTTP/1.0") } else { get("k1") };
        stream.write_all(request.as_bytes()).expect("failed to write to the connection");
        let head = read_head(&mut stream).expect("failed to read the response head");
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        match (content_length(&head), header(&head, "transfer-encoding")) {
            (0, None) => assert!(http_1_0 && ended.is_err(), "a truncated response closed cleanly"),
            (0, Some(_)) => assert!(!http_1_0 && !rest.ends_with(b"0\r\n\r\n")),
            (length, _) => assert!(rest.len() < length),
        }
    }
}

#[test]
fn break_within_a_long_body_is_declined_without_a_retry() {
    let received = Arc::new(AtomicUsize::new(0));
    let counted = received.clone();
    let at = scripted_server(move |_, stream| {
        if read_head(stream).is_some() {
            counted.fetch_add(1, Ordering::Relaxed);
            read_body(stream, 100_000);
        }
    });
    let sidecar = start_sidecar(&[("s1", at), ("s2", at)], 16, 80);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream
        .write_all(post("d1", "Content-Length: 4000000").as_bytes())
        .expect("failed to write the request head");
    let _ = stream.write_all(&pattern(0, 2_000_000));
    assert_eq!(read_response(&mut stream).map(|(status, _, _)| status), Some(503));
    assert_eq!(received.load(Ordering::Relaxed), 1);
}

#[test]
fn early_rejection_of_a_long_body_reaches_the_client() {
    let at = scripted_server(|_, stream| {
        if read_head(stream).is_some() {
            let _ = stream.write_all(b"HTTP/1.1 503 -\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.read(&mut [0]);
            thread::sleep(ms(2000));
        }
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream
        .write_all(post("e1", "Content-Length: 32000000").as_bytes())
        .expect("failed to write the request head");
    let begun = Instant::now();
    let mut written = stream.try_clone().expect("failed to clone the connection");
    let writer = thread::spawn(move || write_body(&mut written, 32_000_000));
    assert_eq!(read_response(&mut stream).map(|(status, _, _)| status), Some(503));
    assert!(begun.elapsed() < ms(1500));
    let _ = stream.shutdown(Shutdown::Both);
    writer.join().expect("writer thread panicked");
}

#[test]
fn client_leaving_within_a_long_body_ends_the_attempt() {
    let (open_attempts, whole_bodies) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (attempts, bodies) = (open_attempts.clone(), whole_bodies.clone());
    let at = scripted_server(move |_, stream| {
        let Some(head) = read_head(stream) else { return };
        attempts.fetch_add(1, Ordering::Relaxed);
        if read_body(stream, content_length(&head)) {
            bodies.fetch_add(1, Ordering::Relaxed);
        }
        attempts.fetch_sub(1, Ordering::Relaxed);
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let send_part = |id: &str| {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        stream
            .write_all(post(id, "Content-Length: 1000000").as_bytes())
            .expect("failed to write the request head");
        stream.write_all(&pattern(0, 300_000)).expect("failed to write a part of the body");
        stream
    };
    let client = send_part("w1");
    wait_until("the attempt has begun", || open_attempts.load(Ordering::Relaxed) == 1);
    drop(client);
    wait_until("the attempt ends", || open_attempts.load(Ordering::Relaxed) == 0);
    assert_eq!(whole_bodies.load(Ordering::Relaxed), 0);
}

#[test]
fn time_of_a_slow_body_counts_from_its_last_byte() {
    let at = scripted_server(|_, stream| {
        while let Some(head) = read_head(stream) {
            let whole = read_body(stream, content_length(&head));
            let _ = stream.write_all(
                format!("HTTP/1.1 200 OK\r\nX-Whole: {whole}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
            );
        }
    });
    let sidecar = start_sidecar(&[("s1", at)], 16, 80);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let _ = stream.set_nodelay(true);
    let text = post("s1", "Content-Length: 200000").replace("1900", "300");
    for part in text.as_bytes().chunks(text.len() / 4 + 1) {
        stream.write_all(part).expect("failed to write to the connection");
        thread::sleep(ms(100));
    }
    for at in (0..200_000).step_by(10_000) {
        stream.write_all(&pattern(at, 10_000)).expect("failed to write to the connection");
        thread::sleep(ms(120));
    }
    let (status, head, _) = read_response(&mut stream).expect("no response");
    assert_eq!((status, head.header("x-whole")), (200, Some("true")));
}

#[test]
fn idle_and_half_sent_clients_keep_no_other_from_a_response() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let sidecar = start_sidecar(&[("s1", endpoint.address)], 16, 192);
    let mut clients = Vec::new();
    for wave in 0..20 {
        for number in 0..100 {
            let Some(mut stream) = sidecar.connect() else { continue };
            if number % 2 == 0 {
                let _ = stream.write_all(b"GET /view HTTP/1.1\r\nX-Trace");
            }
            clients.push(stream);
        }
        let status = sidecar.status(&request_text("view", &format!("c{wave}"), 1900));
        assert_eq!(status, Some(200), "wave {wave}: {}", sidecar.diagnostics());
    }
    assert_eq!(clients.len(), 2000);
    assert!(peak_memory_mb(&sidecar) <= 16);
    let open = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id()))
        .expect("failed to read /proc of the sidecar")
        .count();
    assert!(open <= 192, "{open} descriptors");
}

#[test]
fn allowed_forms_of_http_are_accepted() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let sidecar = start_sidecar(&[("s1", endpoint.address)], 16, 80);
    let head = "x-trace-ID:h1\r\nX-CUSTOMER:\t acme \r\nx-expires-in-ms: 1900";
    let forms = [
        format!("GET http://app.svc:80/view/1 HTTP/1.1\r\n{head}\r\n\r\n"),
        format!("\r\n\r\nGET /view HTTP/1.1\r\n{head}\r\n\r\n"),
        format!("GET /view HTTP/1.0\r\n{head}\r\n\r\n"),
        format!("POST /confirm HTTP/1.1\r\n{head}\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
    ];
    for (number, text) in forms.iter().enumerate() {
        assert_eq!(sidecar.status(&text.replace("h1", &format!("h{number}"))), Some(200), "{text}");
    }
    let mut folded = sidecar.connect().expect("failed to connect to the sidecar");
    folded
        .write_all(b"GET /view HTTP/1.1\r\nX-Trace-Id: a\r\n b\r\n\r\n")
        .expect("failed to write to the connection");
    assert_eq!(read_response(&mut folded).map(|(status, _, _)| status), Some(400));
    let mut peer = Peer::new(sidecar.connect().expect("failed to connect to the sidecar"));
    let text = (1..=5).map(|number| {
        request_text(if number % 2 == 0 { "confirm" } else { "view" }, &format!("p{number}"), 1900)
    });
    let text = text.collect::<String>();
    let (first, rest) = text.as_bytes().split_at(text.len() * 2 / 3);
    peer.write(first).expect("failed to write to the connection");
    let request_id = |response: HttpMessage| response.header("x-kept").map(str::to_string);
    assert_eq!(peer.read_response().ok().and_then(request_id).as_deref(), Some("p1"));
    peer.write(rest).expect("failed to write to the connection");
    for number in 2..=5 {
        assert_eq!(
            peer.read_response().ok().and_then(request_id),
            Some(format!("p{number}")),
            "responses to pipelined requests come in order"
        );
    }
}
