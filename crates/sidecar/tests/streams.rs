//! Bodies and answers past what is held, in pieces cut anywhere, and crowds, in little room.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Does, Heard, Peer};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

const MB: usize = 1 << 20;

/// A stand-in that plays one script to each connection; the script is told which connection it is.
fn scripted(script: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = free();
    let (at, script) = (listener.local_addr().expect("an address"), Arc::new(script));
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let script = script.clone();
            thread::spawn(move || {
                let mut stream = stream;
                script(number, &mut stream);
            });
        }
    });
    at
}

/// Reads up to the empty line behind a head.
fn head(stream: &mut impl Read) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    String::from_utf8(text).ok()
}

fn named(head: &str, name: &str) -> Option<String> {
    let value = |line: &str| {
        line.split_once(':').filter(|(key, _)| key.eq_ignore_ascii_case(name))?.1.trim().to_string().into()
    };
    head.lines().find_map(value)
}

/// The byte at a place of a body that both sides know.
fn byte(at: usize) -> u8 {
    (at % 251) as u8 ^ (at / 65_536) as u8
}

fn pattern(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(byte).collect()
}

/// Reads so much and says whether it is the known body.
fn reads(stream: &mut impl Read, length: usize) -> bool {
    let (mut at, mut bytes) = (0, vec![0; 65_536]);
    while at < length {
        let now = bytes.len().min(length - at);
        if stream.read_exact(&mut bytes[..now]).is_err() || bytes[..now] != pattern(at, now)[..] {
            return false;
        }
        at += now;
    }
    true
}

fn writes(stream: &mut impl Write, length: usize) -> bool {
    (0..length).step_by(65_536).all(|at| stream.write_all(&pattern(at, 65_536.min(length - at))).is_ok())
}

fn body_of(head: &str) -> usize {
    named(head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn with(servers: &[(&str, SocketAddr)], memory_mb: u64, sockets: u64) -> Sidecar {
    let ready: Vec<_> = servers.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    Sidecar::start_as(&catalog(1, &ready), list_source().address, |told| {
        told["limits"]["memory_mb"] = json!(memory_mb);
        told["limits"]["sockets"] = json!(sockets);
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

/// The most memory that the process has had, in MB.
fn most_memory(sidecar: &Sidecar) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).expect("it runs");
    let line = text.lines().find(|line| line.starts_with("VmHWM")).expect("its peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") / 1024
}

#[test]
fn bodies_and_answers_of_32_mb_pass_through_16_mb() {
    const EACH: usize = 32 * MB;
    let at = scripted(|_, stream| {
        while let Some(head) = head(stream) {
            let whole = reads(stream, body_of(&head));
            let _ = stream.write_all(
                format!("HTTP/1.1 200 OK\r\nX-Whole: {whole}\r\nContent-Length: {EACH}\r\n\r\n").as_bytes(),
            );
            writes(stream, EACH);
        }
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let one = |number: usize| {
        let mut stream = sidecar.open().expect("a connection");
        thread::spawn(move || {
            stream
                .write_all(post(&format!("l{number}"), &format!("Content-Length: {EACH}")).as_bytes())
                .expect("a head");
            assert!(writes(&mut stream, EACH), "the body is taken");
            let head = head(&mut stream).expect("an answer");
            assert_eq!(named(&head, "x-whole").as_deref(), Some("true"));
            assert!(body_of(&head) == EACH && reads(&mut stream, EACH), "the answer comes whole");
        })
    };
    let callers: Vec<_> = (0..4).map(one).collect();
    callers.into_iter().for_each(|caller| caller.join().expect("a caller is content"));
    assert!(most_memory(&sidecar) <= 16, "{} MB", most_memory(&sidecar));
}

#[test]
fn a_command_and_its_answer_cut_after_every_byte_come_out_whole() {
    let at = scripted(|_, stream| {
        let _ = stream.set_nodelay(true);
        let Some(head) = head(stream) else { return };
        assert_eq!(named(&head, "content-length").as_deref(), Some("5"));
        let mut body = [0; 5];
        let _ = stream.read_exact(&mut body);
        let said = String::from_utf8_lossy(&body).into_owned();
        let text = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;a=\"b\"\r\nok:\r\n5\r\n{said}\r\n0\r\nT: 1\r\n\r\n"
        );
        for byte in text.bytes() {
            let _ = stream.write_all(&[byte]);
        }
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let mut stream = sidecar.open().expect("a connection");
    let _ = stream.set_nodelay(true);
    let text = format!("{}2\r\nab\r\n3;x\r\ncde\r\n0\r\n\r\n", post("b1", "Transfer-Encoding: chunked"));
    for byte in text.bytes() {
        stream.write_all(&[byte]).expect("it is written");
    }
    let (status, _, body) = answer(&mut stream).expect("an answer");
    assert_eq!((status, &body[..]), (200, &b"ok:abcde"[..]));
}

#[test]
fn the_first_bytes_of_a_long_answer_go_on_before_the_rest_is_there() {
    let at = scripted(|_, stream| {
        let Some(_) = head(stream) else { return };
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nfirst");
        // The rest waits for a word that the caller never sends: it has its first bytes, and leaves.
        let _ = stream.read(&mut [0]);
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let mut stream = sidecar.open().expect("a connection");
    stream.write_all(get("f1").as_bytes()).expect("it is written");
    assert_eq!(body_of(&head(&mut stream).expect("a head")), 200_000);
    let mut first = [0; 5];
    stream.read_exact(&mut first).expect("its first bytes");
    assert_eq!(&first, b"first");
}

#[test]
fn an_answer_that_breaks_off_is_told_from_a_whole_one() {
    for (framing, old) in [
        ("Content-Length: 300000", false),
        ("Transfer-Encoding: chunked", false),
        ("Transfer-Encoding: chunked", true),
    ] {
        let at = scripted(move |_, stream| {
            let Some(_) = head(stream) else { return };
            let size = if framing.contains("chunked") { "30d40\r\n" } else { "" };
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{size}").as_bytes());
            let _ = stream.write_all(&pattern(0, 200_000));
        });
        let sidecar = with(&[("s1", at)], 16, 80);
        let mut stream = sidecar.open().expect("a connection");
        let cmd = if old { get("k1").replace("HTTP/1.1", "HTTP/1.0") } else { get("k1") };
        stream.write_all(cmd.as_bytes()).expect("it is written");
        let head = head(&mut stream).expect("a head");
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        match (body_of(&head), named(&head, "transfer-encoding")) {
            (0, None) => assert!(old && ended.is_err(), "the end would pass for the answer's"),
            (0, Some(_)) => assert!(!old && !rest.ends_with(b"0\r\n\r\n")),
            (length, _) => assert!(rest.len() < length),
        }
    }
}

#[test]
fn what_breaks_before_a_long_bodys_last_byte_is_declined_and_never_sent_again() {
    let came = Arc::new(AtomicUsize::new(0));
    let counted = came.clone();
    let at = scripted(move |_, stream| {
        if head(stream).is_some() {
            counted.fetch_add(1, Ordering::Relaxed);
            reads(stream, 100_000);
        }
    });
    let sidecar = with(&[("s1", at), ("s2", at)], 16, 80);
    let mut stream = sidecar.open().expect("a connection");
    stream.write_all(post("d1", "Content-Length: 4000000").as_bytes()).expect("a head");
    let _ = stream.write_all(&pattern(0, 2_000_000));
    assert_eq!(answer(&mut stream).map(|(status, _, _)| status), Some(503));
    assert_eq!(came.load(Ordering::Relaxed), 1);
}

#[test]
fn an_endpoint_that_turns_a_long_body_away_early_is_heard() {
    let at = scripted(|_, stream| {
        if head(stream).is_some() {
            let _ = stream.write_all(b"HTTP/1.1 503 -\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.read(&mut [0]);
            thread::sleep(ms(2000));
        }
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let mut stream = sidecar.open().expect("a connection");
    stream.write_all(post("e1", "Content-Length: 32000000").as_bytes()).expect("a head");
    let begun = Instant::now();
    let mut written = stream.try_clone().expect("a copy");
    let writer = thread::spawn(move || writes(&mut written, 32_000_000));
    assert_eq!(answer(&mut stream).map(|(status, _, _)| status), Some(503));
    assert!(begun.elapsed() < ms(1500));
    let _ = stream.shutdown(Shutdown::Both);
    writer.join().expect("the writer ends");
}

#[test]
fn a_caller_who_leaves_or_stops_within_a_long_body_ends_its_relay_before_it_ran() {
    let (begun, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (begins, wholes) = (begun.clone(), whole.clone());
    let at = scripted(move |_, stream| {
        let Some(head) = head(stream) else { return };
        begins.fetch_add(1, Ordering::Relaxed);
        if reads(stream, body_of(&head)) {
            wholes.fetch_add(1, Ordering::Relaxed);
        }
        begins.fetch_sub(1, Ordering::Relaxed);
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let half = |id: &str| {
        let mut stream = sidecar.open().expect("a connection");
        stream.write_all(post(id, "Content-Length: 1000000").as_bytes()).expect("a head");
        stream.write_all(&pattern(0, 300_000)).expect("a part");
        stream
    };
    let left = half("w1");
    within("it is under way", || begun.load(Ordering::Relaxed) == 1);
    drop(left);
    within("its relay ends", || begun.load(Ordering::Relaxed) == 0);
    assert_eq!(whole.load(Ordering::Relaxed), 0);
}

#[test]
fn a_body_that_comes_slowly_is_no_strangers_and_its_time_begins_with_its_last_byte() {
    let at = scripted(|_, stream| {
        while let Some(head) = head(stream) {
            let whole = reads(stream, body_of(&head));
            let _ = stream.write_all(
                format!("HTTP/1.1 200 OK\r\nX-Whole: {whole}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
            );
        }
    });
    let sidecar = with(&[("s1", at)], 16, 80);
    let mut stream = sidecar.open().expect("a connection");
    let _ = stream.set_nodelay(true);
    let text = post("s1", "Content-Length: 200000").replace("1900", "300");
    for part in text.as_bytes().chunks(text.len() / 4 + 1) {
        stream.write_all(part).expect("it is written");
        thread::sleep(ms(100));
    }
    for at in (0..200_000).step_by(10_000) {
        stream.write_all(&pattern(at, 10_000)).expect("it is written");
        thread::sleep(ms(120));
    }
    let (status, head, _) = answer(&mut stream).expect("an answer");
    assert_eq!((status, head.header("x-whole")), (200, Some("true")));
}

#[test]
fn a_crowd_of_2000_that_idles_or_stops_half_way_keeps_nobody_from_an_answer() {
    let endpoint = endpoint(Does::Answer);
    let sidecar = with(&[("s1", endpoint.address)], 16, 192);
    let mut crowd = Vec::new();
    for wave in 0..20 {
        for number in 0..100 {
            let Some(mut stream) = sidecar.open() else { continue };
            if number % 2 == 0 {
                let _ = stream.write_all(b"GET /view HTTP/1.1\r\nX-Trace");
            }
            crowd.push(stream);
        }
        let status = sidecar.status(&cmd("view", &format!("c{wave}"), 1900));
        assert_eq!(status, Some(200), "wave {wave}: {}", sidecar.account());
    }
    assert_eq!(crowd.len(), 2000);
    assert!(most_memory(&sidecar) <= 16);
    let open = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).expect("it runs").count();
    assert!(open <= 192, "{open} descriptors");
}

#[test]
fn the_forms_of_http_that_may_come_are_understood() {
    let endpoint = endpoint(Does::Answer);
    let sidecar = with(&[("s1", endpoint.address)], 16, 80);
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
    let mut folded = sidecar.open().expect("a connection");
    folded.write_all(b"GET /view HTTP/1.1\r\nX-Trace-Id: a\r\n b\r\n\r\n").expect("it is written");
    assert_eq!(answer(&mut folded).map(|(status, _, _)| status), Some(400));
    let mut peer = Peer::new(sidecar.open().expect("a connection"));
    let text = (1..=5)
        .map(|number| cmd(if number % 2 == 0 { "confirm" } else { "view" }, &format!("p{number}"), 1900));
    let text = text.collect::<String>();
    let (first, rest) = text.as_bytes().split_at(text.len() * 2 / 3);
    peer.write(first).expect("it is written");
    let kept = |heard: Heard| heard.header("x-kept").map(str::to_string);
    assert_eq!(peer.answer().ok().and_then(kept).as_deref(), Some("p1"));
    peer.write(rest).expect("it is written");
    for number in 2..=5 {
        assert_eq!(
            peer.answer().ok().and_then(kept),
            Some(format!("p{number}")),
            "pipelined, in their order"
        );
    }
}
