//! The bytes that the sidecar sends to clients, endpoints and discovery, and the names of all counters, compared with
//! fixtures. `UPDATE_FIXTURES=1` rewrites the fixtures.

mod helpers;

use helpers::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn header(head: &str, name: &str) -> Option<String> {
    let line = |line: &str| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    };
    head.lines().find_map(line)
}

/// Reads one message, head and body, as its framing says. `(end)` is appended if the end of the connection ends it.
fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(char::from(byte[0])),
            _ => return (!text.is_empty()).then(|| text + "(end)"),
        }
    }
    let mut rest = |more: &dyn Fn(&str) -> bool| {
        let mut body = String::new();
        while more(&body) {
            match stream.read(&mut byte) {
                Ok(1) => body.push(char::from(byte[0])),
                _ => return body + "(end)",
            }
        }
        body
    };
    let bodiless =
        [" 100 ", " 204 "].iter().any(|status| text.lines().next().is_some_and(|line| line.contains(status)));
    let body = if let Some(length) = header(&text, "content-length") {
        let length: usize = length.parse().expect("Content-Length is a number");
        rest(&|body| body.len() < length)
    } else if header(&text, "transfer-encoding").is_some() {
        rest(&|body| !body.ends_with("0\r\n\r\n"))
    } else if text.starts_with("HTTP/1.1 ") && !bodiless {
        rest(&|_| true)
    } else {
        String::new()
    };
    Some(text + &body)
}

/// The message as fixture lines with visible line ends: times are shown as `#`, addresses by name, long bodies by length.
fn fixture_lines(text: &str, receiver: &str, sidecar: SocketAddr, other: SocketAddr) -> String {
    let text = text.replace(&sidecar.to_string(), "{sidecar}").replace(&other.to_string(), "{address}");
    let line = |line: &str| {
        let timed = ["X-Expires-In-Ms", "Retry-After"].into_iter().any(|name| line.starts_with(name));
        let hidden = |sign: char| if timed && sign.is_ascii_digit() { '#' } else { sign };
        let line: String = line.chars().map(hidden).collect();
        let wait = line.find("&wait_ms=").map(|at| at + 9);
        let line = wait.map_or(line.clone(), |at| {
            line[..at].to_string() + "#" + line[at..].trim_start_matches(|c: char| c.is_ascii_digit())
        });
        let shown = line.replace('\r', "\\r").replace('\n', "\\n");
        if shown.contains("xxxxxxxx") {
            format!("{receiver} ({} x)\n", text.matches('x').count())
        } else {
            format!("{receiver} {shown}\n")
        }
    };
    text.split_inclusive('\n').map(line).collect()
}

/// A server that records all requests, and one health check, and answers each with `answer`. If that is empty, it closes
/// the connection; if it is "-", it sends nothing.
struct Endpoint {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    check: Arc<Mutex<Option<String>>>,
    answer: Arc<Mutex<String>>,
}

impl Endpoint {
    fn start() -> Endpoint {
        let listener = bind_unused_port();
        let address = listener.local_addr().expect("listener has a local address");
        let endpoint =
            Endpoint { address, received: Arc::default(), check: Arc::default(), answer: Arc::default() };
        let (received, check, answer) =
            (endpoint.received.clone(), endpoint.check.clone(), endpoint.answer.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (received, check, answer) = (received.clone(), check.clone(), answer.clone());
                thread::spawn(move || {
                    while let Some(text) = read_message(&mut stream) {
                        let is_check = text.starts_with("GET /ping ") || text.starts_with("GET /_load ");
                        let response = if is_check {
                            check.lock().expect("lock is not poisoned").get_or_insert(text);
                            OK.to_string()
                        } else {
                            received.lock().expect("lock is not poisoned").push(text);
                            answer.lock().expect("lock is not poisoned").clone()
                        };
                        if response == "-" {
                            continue;
                        }
                        let ends = response.is_empty()
                            || !response.contains("Content-Length") && !response.contains("chunked");
                        if stream.write_all(response.as_bytes()).is_err() || ends {
                            return;
                        }
                    }
                });
            }
        });
        endpoint
    }
}

/// A request with the common headers and `more`.
fn request(first: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "{first}\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 400\r\nX-Own:  kept  \r\n{more}\r\n{body}"
    )
}

fn cases() -> Vec<(&'static str, String, String)> {
    let get = |id: &str, more: &str| request("GET /view/1?x=2 HTTP/1.1", id, more, "");
    let hold =
        |id: &str| request("POST /hold HTTP/1.1", id, "Idempotency-Key: k\r\nContent-Length: 4\r\n", "body");
    let confirm = |id: &str| request("POST /confirm HTTP/1.1", id, "Content-Length: 4\r\n", "body");
    let long = "x".repeat(100_000);
    let say =
        |head: &str, body: &str| format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let ok = OK.to_string();
    vec![
        (
            "hop headers are not passed on",
            get("a1", "Connection: keep-alive\r\nTE: trailers\r\nKeep-Alive: 5\r\n"),
            say("200 OK\r\nX-Kept: 1\r\nKeep-Alive: 4\r\nendpoint-load-metrics: TEXT queue=1", "ok"),
        ),
        ("a request that ends its connection", get("a2", "Connection: close\r\n"), ok.clone()),
        ("the whole address", request("GET http://app.svc:80/view/2 HTTP/1.1", "a3", "", ""), ok.clone()),
        ("without a time", "GET /view HTTP/1.1\r\nX-Trace-Id: a4\r\n\r\n".into(), ok.clone()),
        ("HTTP/1.0", "GET /view HTTP/1.0\r\nX-Trace-Id: a5\r\n\r\n".into(), ok.clone()),
        ("a body", hold("b1"), ok.clone()),
        (
            "a chunked body that is held",
            request(
                "POST /confirm HTTP/1.1",
                "b2",
                "Transfer-Encoding: chunked\r\n",
                "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
            ),
            ok.clone(),
        ),
        (
            "an expected word",
            request("POST /confirm HTTP/1.1", "b3", "Expect: 100-continue\r\nContent-Length: 4\r\n", ""),
            ok.clone(),
        ),
        (
            "a long body",
            request("POST /confirm HTTP/1.1", "b4", "Content-Length: 100000\r\n", &long),
            ok.clone(),
        ),
        (
            "a chunked answer",
            get("c1", ""),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n".into(),
        ),
        ("an answer to its connection's end", get("c2", ""), "HTTP/1.1 200 OK\r\n\r\nok".into()),
        ("an interim answer", get("c3", ""), format!("HTTP/1.1 102 Processing\r\n\r\n{OK}")),
        ("a long answer", get("c4", ""), say("200 OK", &long)),
        ("an error of an idempotent verb", get("d1", ""), say("500 Internal", "no")),
        ("an error of a verb that runs once", confirm("d2"), say("500 Internal", "no")),
        ("never ran, one that runs once", confirm("d3"), say("503 Busy\r\nX-Never-Ran: 1", "")),
        ("never ran, an idempotent one", get("d4", ""), say("503 Busy\r\nX-Never-Ran: 1", "")),
        ("no answer, idempotent", get("d5", ""), String::new()),
        ("no answer, one that runs once", confirm("d6"), String::new()),
        ("no answer in time, idempotent", get("d7", ""), "-".into()),
        ("no answer in time, one that runs once", confirm("d8"), "-".into()),
        ("no answer in time, with a key", hold("d9"), "-".into()),
        ("health", "GET /_health HTTP/1.1\r\n\r\n".into(), ok.clone()),
        ("no request", "\0\0\0\r\n\r\n".into(), ok.clone()),
        ("an unknown verb", request("GET /unknown HTTP/1.1", "e1", "", ""), ok.clone()),
        ("another method", request("GET /confirm HTTP/1.1", "e2", "", ""), ok.clone()),
        ("no key", request("POST /hold HTTP/1.1", "e3", "Content-Length: 0\r\n", ""), ok.clone()),
        ("no id", "GET /view HTTP/1.1\r\n\r\n".into(), ok.clone()),
        (
            "an odd time",
            "GET /view HTTP/1.1\r\nX-Trace-Id: e4\r\nX-Expires-In-Ms: soon\r\n\r\n".into(),
            ok.clone(),
        ),
        (
            "a large head",
            request("GET /view HTTP/1.1", "e5", &format!("X-Long: {}\r\n", "y".repeat(20_000)), ""),
            ok.clone(),
        ),
        (
            "two lengths",
            request("POST /confirm HTTP/1.1", "e6", "Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
            ok.clone(),
        ),
        ("one that stops half way", "POST /confirm HTTP/1.1\r\nContent-Le".into(), ok),
    ]
}

fn assert_matches_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("failed to write the fixture");
    }
    let expected = std::fs::read_to_string(&path).expect("failed to read the fixture");
    for (number, (line, expected)) in (1..).zip(text.lines().zip(expected.lines())) {
        assert_eq!(line, expected, "line {number} of {name}");
    }
    assert_eq!(text.lines().count(), expected.lines().count(), "number of lines of {name}");
}

#[test]
fn bytes_to_clients_and_endpoints_match_the_fixture() {
    let mut all = String::new();
    for (case, request, answer) in cases() {
        let endpoint = Endpoint::start();
        let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
        *endpoint.answer.lock().expect("lock is not poisoned") = answer;
        let mut client = sidecar.connect().expect("failed to connect to the sidecar");
        client.write_all(request.as_bytes()).expect("failed to write to the connection");
        let mut response = read_message(&mut client).unwrap_or_else(|| "(end)".into());
        if response.starts_with("HTTP/1.1 100 ") {
            client.write_all(b"body").expect("failed to write to the connection");
            response += &read_message(&mut client).unwrap_or_else(|| "(end)".into());
        }
        let closes = response.contains("Connection: close");
        client
            .set_read_timeout(Some(if closes { WAIT_BOUND } else { ms(100) }))
            .expect("failed to set the read timeout");
        let stays_open = client.read(&mut [0]).is_err();
        response += if stays_open { "(open)" } else { "(end)" };
        let received = std::mem::take(&mut *endpoint.received.lock().expect("lock is not poisoned"));
        all += &format!("== {case}\n");
        received
            .iter()
            .for_each(|text| all += &fixture_lines(text, "endpoint <", sidecar.address, endpoint.address));
        all += &fixture_lines(&response, "client   <", sidecar.address, endpoint.address);
    }
    assert_matches_fixture("request_bytes.txt", &all);
}

#[test]
fn check_and_poll_bytes_and_counter_names_match_the_fixture() {
    let (endpoint, discovery) = (Endpoint::start(), bind_unused_port());
    let address = discovery.local_addr().expect("listener has a local address");
    let console = unused_address();
    let known = endpoint_list(7, &[("s1", endpoint.address, "ready")]);
    let list = endpoint_list(8, &[("s1", endpoint.address, "ready")]).to_string();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let recorded = calls.clone();
    thread::spawn(move || serve_list(&discovery, &list, &recorded));
    let sidecar = Sidecar::start_as(&known, address, |config| {
        config["console"] = json!(console.to_string());
        config["settings"]["Report"] = json!({"How": "probe", "Fields": ["active", "waiting"]});
    });
    let mut all = String::from("== discovery\n");
    wait_until("discovery is polled three times", || calls.lock().expect("lock is not poisoned").len() >= 3);
    // The first poll states the known generation, the second and the third that of the list in both answers.
    calls.lock().expect("lock is not poisoned")[..3]
        .iter()
        .for_each(|call: &String| all += &fixture_lines(call, "discovery <", sidecar.address, address));
    // Only endpoints that get requests are checked for their load.
    *endpoint.answer.lock().expect("lock is not poisoned") = OK.into();
    (0..8).for_each(|number| assert_eq!(sidecar.send_request("view", &format!("v{number}"), 800), 200));
    let check = || endpoint.check.lock().expect("lock is not poisoned").clone();
    wait_until("the endpoint is checked", || check().is_some());
    all += "== health check\n";
    all += &fixture_lines(
        &check().expect("health check was recorded"),
        "endpoint <",
        sidecar.address,
        endpoint.address,
    );
    let mut stream = TcpStream::connect(console).expect("failed to connect to the console");
    stream.write_all(b"GET /counters HTTP/1.1\r\n\r\n").expect("failed to write to the connection");
    let text = read_message(&mut stream).expect("no response");
    let (_, lines) = text.split_once("\r\n\r\n").expect("response has a body");
    all += "== counters\n";
    lines
        .lines()
        .for_each(|line| all += &format!("{}\n", line.rsplit_once(' ').expect("counter line has a value").0));
    assert_matches_fixture("control_bytes.txt", &all);
}

/// Answers the first two polls with the list and keeps later ones waiting.
fn serve_list(listener: &TcpListener, list: &str, calls: &Mutex<Vec<String>>) {
    for mut stream in listener.incoming().flatten() {
        while let Some(call) = read_message(&mut stream) {
            let count = {
                let mut calls = calls.lock().expect("lock is not poisoned");
                calls.push(call);
                calls.len()
            };
            if count > 2 {
                thread::sleep(WAIT_BOUND);
            }
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        }
    }
}
