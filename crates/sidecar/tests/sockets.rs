//! The sidecar process over real sockets, with the lab's test servers as endpoints and discovery.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{HttpMessage, ScriptedBehavior, ScriptedServer, read};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Instant;

#[test]
fn request_is_forwarded_with_its_remaining_time() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    for id in ["a1", "a2"] {
        stream
            .write_all(request_text("hold", id, 800).as_bytes())
            .expect("failed to write to the connection");
        let (status, head, body) = read_response(&mut stream).expect("no response");
        assert_eq!((status, body.as_slice()), (200, &b"ok:body"[..]));
        assert_eq!(head.header("x-kept"), Some(id));
    }
    assert_eq!(sidecar.send_request("view", "a3", 800), 200);
    let seen = endpoint.record();
    assert!(seen.requests[0].start_line == "POST /hold");
    assert!(seen.requests[2].start_line == "GET /view/1?x=2");
    assert_eq!(seen.requests[0].header("x-trace-id"), Some("a1"));
    assert_eq!(seen.requests[0].header("idempotency-key"), Some("ka1"));
    let left: u64 = seen.requests[0]
        .header("x-expires-in-ms")
        .and_then(|text| text.parse().ok())
        .expect("forwarded request has X-Expires-In-Ms");
    assert!((700..=800).contains(&left), "forwarded with {left} ms left");
}

#[test]
fn refused_or_never_run_effectful_request_is_retried() {
    let (rejecting, answering) =
        (start_endpoint(ScriptedBehavior::Reject), start_endpoint(ScriptedBehavior::Respond));
    let servers = [("s1", unused_address()), ("s2", rejecting.address), ("s3", answering.address)];
    let (sidecar, _discovery) = Sidecar::start_with_servers(&servers);
    for number in 0..8 {
        assert_eq!(sidecar.send_request("confirm", &format!("c{number}"), 1500), 200);
    }
    assert_eq!(answering.request_count(), 8, "each request ran once");
}

#[test]
fn effectful_request_with_a_broken_connection_is_not_retried() {
    for does in [ScriptedBehavior::Disconnect, ScriptedBehavior::Fail] {
        let endpoints = [start_endpoint(does), start_endpoint(does)];
        let (sidecar, _discovery) =
            Sidecar::start_with_servers(&[("s1", endpoints[0].address), ("s2", endpoints[1].address)]);
        assert_eq!(sidecar.send_request("confirm", "e1", 1500), 502);
        assert_eq!(endpoints[0].request_count() + endpoints[1].request_count(), 1);
        assert!(
            [429, 503].contains(&sidecar.send_request("view", "p1", 1500)),
            "a pure request may be retried"
        );
        assert_eq!(
            endpoints[0].request_count() + endpoints[1].request_count(),
            3,
            "the pure request was tried at both servers"
        );
    }
}

#[test]
fn connection_closed_by_the_endpoint_is_not_reused() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAndClose);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    for number in 0..5 {
        assert_eq!(sidecar.send_request("confirm", &format!("k{number}"), 1500), 200);
        thread::sleep(ms(20));
    }
}

#[test]
fn effectful_request_avoids_idle_connections_dropped_silently() {
    let endpoint = start_endpoint(ScriptedBehavior::CloseAfterIdleMs(80));
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut broken = 0;
    for number in 0..12 {
        broken += usize::from(sidecar.send_request("view", &format!("p{number}"), 1500) != 200);
        thread::sleep(ms(120));
    }
    assert!(broken >= 3, "pure requests reveal the dropped connections: {broken}");
    for number in 0..6 {
        assert_eq!(sidecar.send_request("confirm", &format!("u{number}"), 1500), 200);
        thread::sleep(ms(120));
    }
}

#[test]
fn second_copy_of_a_response_is_not_taken_for_the_next_one() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondTwice);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    for number in 0..30 {
        let id = format!("t{number}");
        stream
            .write_all(request_text("hold", &id, 800).as_bytes())
            .expect("failed to write to the connection");
        let (status, head, _) = read_response(&mut stream).expect("no response");
        assert_eq!((status, head.header("x-kept")), (200, Some(id.as_str())));
    }
}

#[test]
fn new_server_at_a_known_address_gets_new_connections() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    for (generation, server) in [(2, "s2"), (3, "s3")] {
        assert_eq!(sidecar.send_request("view", server, 1500), 200);
        thread::sleep(ms(10));
        let before = discovery.call_counts().0;
        discovery.set_raw_list(
            generation,
            endpoint_list(generation, &[(server, endpoint.address, "ready")]).to_string(),
        );
        wait_until("the sidecar has the new list", || discovery.call_counts().0 > before);
    }
    assert_eq!(sidecar.send_request("view", "last", 1500), 200);
    assert_eq!(endpoint.record().connections, 3);
}

#[test]
fn clients_without_a_request_are_closed_in_time_and_first() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut served = sidecar.connect().expect("failed to connect to the sidecar");
    let mut send = |id: &str| {
        served
            .write_all(request_text("view", id, 1500).as_bytes())
            .expect("failed to write to the connection");
        read_response(&mut served).map(|(status, _, _)| status)
    };
    assert_eq!(send("k1"), Some(200));
    let begun = Instant::now();
    let mut trickle = sidecar.connect().expect("failed to connect to the sidecar");
    let mut silent: Vec<TcpStream> = (0..70).filter_map(|_| sidecar.connect()).collect();
    for byte in b"GET /view HTT" {
        let _ = trickle.write_all(&[*byte]);
        thread::sleep(ms(100));
    }
    assert_eq!(send("k2"), Some(200), "silent clients are closed before one that was served");
    let status = read_response(&mut trickle).map(|(status, _, _)| status);
    assert!(status.is_none_or(|status| status == 408), "{status:?}");
    assert!(silent.iter_mut().all(|stream| read_response(stream).is_none()));
    assert!(begun.elapsed() < ms(2900), "{:?}", begun.elapsed());
    assert_eq!(send("k3"), Some(200));
    let mut invalid = sidecar.connect().expect("failed to connect to the sidecar");
    invalid.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").expect("failed to write to the connection");
    assert_eq!(read_response(&mut invalid).map(|(status, _, _)| status), Some(404));
    assert_eq!(
        read(&mut invalid, &mut [0]).ok(),
        Some(0),
        "the connection is closed after an error response"
    );
}

#[test]
fn idle_clients_after_one_request_delay_no_other_client() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut idle = Vec::new();
    let mut total_latency = ms(0);
    for number in 0..150 {
        // A silent client connects before each client that sends a request.
        idle.push(sidecar.connect().expect("failed to connect to the sidecar"));
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let begun = Instant::now();
        stream
            .write_all(request_text("view", &format!("y{number}"), 1900).as_bytes())
            .expect("failed to write to the connection");
        assert_eq!(read_response(&mut stream).map(|(status, _, _)| status), Some(200));
        total_latency += begun.elapsed();
        idle.push(stream);
        thread::sleep(ms(1));
    }
    assert!(
        total_latency < ms(1200),
        "150 responses took {total_latency:?}, most of them with all client connections in use"
    );
}

#[test]
fn idle_clients_give_way_and_excess_clients_get_a_response() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAfterMs(900));
    let servers = ["s1", "s2", "s3", "s4", "s5", "s6"].map(|id| (id, endpoint.address));
    let (sidecar, _discovery) = Sidecar::start_with_servers(&servers);
    let idle: Vec<TcpStream> = (0..100).filter_map(|_| sidecar.connect()).collect();
    assert_eq!(sidecar.send_request("view", "i1", 1900), 200, "idle clients hold all connections");
    let mut busy: Vec<TcpStream> = (0..60).filter_map(|_| sidecar.connect()).collect();
    for (number, stream) in busy.iter_mut().enumerate() {
        // If a connection was closed while idle, reading its response fails below.
        let _ = stream.write_all(request_text("view", &format!("i{number}x"), 1900).as_bytes());
    }
    let responses: Vec<_> = busy.iter_mut().filter_map(read_response).collect();
    assert!(responses.len() >= 30 && responses.iter().all(|(status, _, _)| [200, 503].contains(status)));
    assert!(
        responses.iter().any(|(_, _, body)| body.starts_with(b"too many")),
        "no response says that too many clients are connected"
    );
    drop(idle);
    assert_eq!(sidecar.send_request("view", "i2", 1900), 200);
}

#[test]
fn new_connection_is_not_closed_before_its_first_request() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    // A client that is silent for 20 ms after connecting may be closed to free a socket.
    reserve_descriptors(256);
    let mut new: Vec<TcpStream> = (0..40).filter_map(|_| sidecar.connect()).collect();
    for (number, stream) in new.iter_mut().enumerate() {
        let _ = stream.write_all(request_text("confirm", &format!("f{number}"), 1900).as_bytes());
    }
    let count = new.iter_mut().filter_map(read_response).count();
    assert_eq!(count, 40, "only 33 of 80 sockets are for clients, but each client gets a response");
}

#[test]
fn draining_server_gets_no_more_requests() {
    let (old, new) = (start_endpoint(ScriptedBehavior::Respond), start_endpoint(ScriptedBehavior::Respond));
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", old.address)]);
    assert_eq!(sidecar.send_request("view", "d0", 1500), 200);
    wait_until("the sidecar polls discovery", || discovery.call_counts().0 == 1);
    let list = [("s1", old.address, "draining"), ("s2", new.address, "ready")];
    discovery.set_raw_list(2, endpoint_list(2, &list).to_string());
    wait_until("the next poll comes at once", || discovery.call_counts().0 == 2);
    for number in 1..6 {
        assert_eq!(sidecar.send_request("view", &format!("d{number}"), 1500), 200);
    }
    assert_eq!((old.request_count(), new.request_count()), (1, 5));
}

#[test]
fn silent_watch_is_given_up_and_opened_again() {
    let (old, new) = (start_endpoint(ScriptedBehavior::Respond), start_endpoint(ScriptedBehavior::Respond));
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", old.address)]);
    // The test discovery answers only when its list changes, whatever wait the poll states.
    wait_until("the silent poll is given up", || discovery.call_counts().1 == 1);
    wait_until("discovery is polled again", || discovery.call_counts().0 == 2);
    discovery.set_raw_list(2, endpoint_list(2, &[("s2", new.address, "ready")]).to_string());
    wait_until("the list of the new poll is in force", || {
        sidecar.send_request("view", "q1", 1500) == 200 && new.request_count() > 0
    });
}

#[test]
fn request_to_a_slow_endpoint_ends_in_time_and_is_cancelled() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAfterMs(3000));
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let begun = Instant::now();
    let status = sidecar.send_request("confirm", "w1", 300);
    let took = begun.elapsed();
    assert_eq!(status, 502, "the request may have run");
    assert!(took > ms(280) && took < ms(370), "the final response came after {took:?}");
    wait_until("the connection to the endpoint is closed", || endpoint.record().cancelled == 1);
}

#[test]
fn client_disconnection_cancels_its_attempt() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAfterMs(4000));
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream.write_all(request_text("view", "l1", 1900).as_bytes()).expect("failed to write to the connection");
    wait_until("the attempt has reached the endpoint", || endpoint.request_count() == 1);
    let begun = Instant::now();
    drop(stream);
    wait_until("the connection to the endpoint is closed", || endpoint.record().cancelled == 1);
    assert!(begun.elapsed() < ms(500));
    assert_eq!(endpoint.request_count(), 1, "another attempt followed the disconnection");
}

#[test]
fn client_leaving_pipelined_requests_cancels_only_its_attempt() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAfterMs(600));
    let (sidecar, _discovery) =
        Sidecar::start_with_servers(&[("s1", endpoint.address), ("s2", endpoint.address)]);
    let mut first = sidecar.connect().expect("failed to connect to the sidecar");
    first.write_all(request_text("view", "o1", 1900).as_bytes()).expect("failed to write to the connection");
    wait_until("the attempt has reached the endpoint", || endpoint.request_count() == 1);
    // Clients that reuse the id of an open request and disconnect at once, possibly before their request is rejected.
    for _ in 0..20 {
        let mut second = sidecar.connect().expect("failed to connect to the sidecar");
        second
            .write_all(request_text("view", "o1", 1900).as_bytes())
            .expect("failed to write to the connection");
    }
    assert_eq!(read_response(&mut first).map(|(status, _, _)| status), Some(200));
    let mut ahead = sidecar.connect().expect("failed to connect to the sidecar");
    ahead
        .write_all(request_text("view", "o2", 1900).repeat(3).as_bytes())
        .expect("failed to write to the connection");
    wait_until("the attempt has reached the endpoint", || endpoint.request_count() == 2);
    let begun = Instant::now();
    drop(ahead);
    wait_until("the connection to the endpoint is closed", || endpoint.record().cancelled == 1);
    assert!(begun.elapsed() < ms(400));
    assert_eq!(endpoint.request_count(), 2);
}

#[test]
fn list_of_thousands_of_servers_is_accepted() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, discovery) = Sidecar::start_with_servers(&[]);
    assert_eq!(sidecar.send_request("view", "w1", 900), 503);
    let mut list = endpoint_list(2, &[("s1", endpoint.address, "ready")]);
    let mut drained = list["instances"][0].clone();
    drained["lifecycle"] = json!("draining");
    for number in 0..2000 {
        drained["instanceId"] = json!(format!("old-{number}"));
        list["instances"].as_array_mut().expect("instances are an array").push(drained.clone());
    }
    discovery.set_raw_list(2, list.to_string());
    wait_until("the long list is in force", || sidecar.send_request("view", "w2", 900) == 200);
}

#[test]
fn known_list_stays_without_discovery_or_with_invalid_lists() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let known = endpoint_list(1, &[("s1", endpoint.address, "ready")]);
    let without_discovery = Sidecar::start(&known, unused_address());
    assert_eq!(without_discovery.send_request("view", "n1", 1500), 200);
    let (mut sidecar, discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let lists = [
        "{\"generation\": 2, \"reset\": true".to_string(),
        json!({"generation": 2, "reset": true, "instances": [{"instanceId": "s1"}]}).to_string(),
        "[]".to_string(),
    ];
    for (number, list) in lists.into_iter().enumerate() {
        discovery.set_raw_list(2, list);
        wait_until("discovery is polled again", || discovery.call_counts().0 > number as u64 + 1);
        assert_eq!(sidecar.send_request("view", &format!("b{number}"), 1500), 200);
    }
    assert!(sidecar.running());
}

/// Requests of all classes from many clients at once, to endpoints that misbehave at random: each gets one final response in
/// its time. An effectful request runs at most once, and gets 503 only if it never ran.
#[test]
fn rules_hold_with_randomly_misbehaving_endpoints() {
    for seed in 0..3 {
        let endpoints: Vec<ScriptedServer> =
            (0..4).map(|at| start_endpoint(ScriptedBehavior::Random(seed * 10 + at))).collect();
        let ids = ["s1", "s2", "s3", "s4"];
        let mut servers: Vec<_> =
            ids.into_iter().zip(endpoints.iter().map(|endpoint| endpoint.address)).collect();
        servers.push(("s5", unused_address()));
        let (mut sidecar, _discovery) = Sidecar::start_with_servers(&servers);
        let count_runs = |id: &str| {
            let runs_at = |(at, endpoint): (usize, &ScriptedServer)| {
                let seen = endpoint.record();
                let has_id = |head: &&HttpMessage| head.header("x-trace-id") == Some(id);
                let rejected = |head: &HttpMessage| {
                    matches!(
                        ScriptedBehavior::Random(seed * 10 + at as u64).resolve(head),
                        ScriptedBehavior::Reject
                    )
                };
                seen.requests.iter().filter(has_id).filter(|head| !rejected(head)).count()
            };
            endpoints.iter().enumerate().map(runs_at).sum::<usize>()
        };
        thread::scope(|scope| {
            for client in 0..8 {
                let (sidecar, count_runs) = (&sidecar, &count_runs);
                scope.spawn(move || {
                    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
                    for number in 0..12 {
                        let id = format!("r{seed}-{client}-{number}");
                        let verb = ["view", "hold", "confirm"][(client + number) % 3];
                        let begun = Instant::now();
                        stream
                            .write_all(request_text(verb, &id, 400).as_bytes())
                            .expect("failed to write to the connection");
                        let (status, _, _) = read_response(&mut stream).expect("no final response");
                        assert!(begun.elapsed() < ms(470), "{id} took {:?}", begun.elapsed());
                        assert!([200, 502, 503].contains(&status));
                        if verb == "confirm" {
                            let runs = count_runs(&id);
                            assert!(
                                runs <= 1 && !(status == 503 && runs > 0) && (status != 200 || runs == 1)
                            );
                        }
                    }
                });
            }
        });
        assert!(sidecar.running());
    }
}

#[test]
fn invalid_requests_get_an_error_and_reach_no_endpoint() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (mut sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let head = "X-Trace-Id: x\r\nX-Customer: acme\r\n";
    let cases = [
        ("\0\0\0\r\n\r\n".to_string(), 400),
        ("GET /view\r\n\r\n".to_string(), 400),
        (format!("GET /unknown HTTP/1.1\r\n{head}\r\n"), 404),
        (format!("GET /confirm HTTP/1.1\r\n{head}\r\n"), 405),
        (format!("POST /hold HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n"), 400),
        ("GET /view HTTP/1.1\r\nX-Customer: acme\r\n\r\n".to_string(), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: soon\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: -5\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: 99999999999999999999\r\n\r\n"), 400),
        (format!("POST /confirm HTTP/1.1\r\n{head}Content-Length: many\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Long: {}\r\n\r\n", "x".repeat(20_000)), 413),
        (format!("GET /view HTTP/1.1\r\n{head}{}\r\n", "X-Many: 1\r\n".repeat(100)), 413),
    ];
    for (text, expected) in cases {
        let (status, _, _) = sidecar.send_text(&text).unwrap_or_else(|| panic!("no response to {text:.60}"));
        assert_eq!(status, expected, "{text:.60}");
    }
    let mut cut = sidecar.connect().expect("failed to connect to the sidecar");
    cut.write_all(b"POST /confirm HTTP/1.1\r\nContent-Le").expect("failed to write to the connection");
    drop(cut);
    assert_eq!(endpoint.request_count(), 0);
    assert_eq!(sidecar.send_request("confirm", "z1", 1500), 200);
    assert!(sidecar.running());
}

#[test]
fn sighup_moves_the_watch_unless_the_file_is_invalid() {
    let endpoints = [(); 3].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let (mut sidecar, old) = Sidecar::start_with_servers(&[("s1", endpoints[0].address)]);
    wait_until("the sidecar polls the old discovery", || old.call_counts().0 == 1);
    let known = endpoint_list(1, &[("s1", endpoints[0].address, "ready")]);
    let mut invalid = sidecar_config(&known, sidecar.address, unused_address());
    invalid["settings"]["Verbs"][0]["Effect"] = json!(7);
    sidecar.reload(&invalid.to_string());
    sidecar.reload("{");
    assert_eq!(sidecar.send_request("view", "h1", 1500), 200);
    old.set_raw_list(7, endpoint_list(7, &[("s2", endpoints[1].address, "ready")]).to_string());
    wait_until("the old discovery is polled again", || old.call_counts().0 == 2);
    wait_until("its new list is in force", || {
        sidecar.send_request("view", "h2", 1500) == 200 && endpoints[1].request_count() > 0
    });
    let new = start_discovery();
    new.set_raw_list(3, endpoint_list(3, &[("s3", endpoints[2].address, "ready")]).to_string());
    sidecar.reload(&sidecar_config(&known, sidecar.address, new.address).to_string());
    wait_until("the new discovery is watched after its whole list, whose generation is lower", || {
        new.call_counts().0 == 2
    });
    wait_until("the watch at the old discovery is closed", || old.call_counts().1 == 1);
    let before = endpoints[1].request_count();
    for number in 0..4 {
        assert_eq!(sidecar.send_request("view", &format!("h3{number}"), 1500), 200);
    }
    assert_eq!((endpoints[1].request_count(), endpoints[2].request_count()), (before, 4));
    assert!(sidecar.running());
}

#[test]
fn after_sigterm_it_accepts_for_a_while_finishes_and_exits() {
    let endpoint = start_endpoint(ScriptedBehavior::RespondAfterMs(400));
    let (mut sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    let mut idle = sidecar.connect().expect("failed to connect to the sidecar");
    let mut early = sidecar.connect().expect("failed to connect to the sidecar");
    early.write_all(request_text("view", "t1", 1900).as_bytes()).expect("failed to write to the connection");
    wait_until("the attempt has reached the endpoint", || endpoint.request_count() == 1);
    sidecar.signal("-TERM");
    let begun = Instant::now();
    wait_until("the health check answers 503", || {
        sidecar.send_text("GET /_health HTTP/1.1\r\n\r\n").is_some_and(|(status, _, _)| status == 503)
    });
    assert_eq!(sidecar.send_request("view", "t2", 1900), 200, "new connections are still accepted");
    // The longest limit is 2 s, so the platform kills the process after 2.7 s at the earliest. The last 1.5 s of them are
    // for finishing open requests.
    let response = |early: &mut TcpStream| {
        let (status, head, _) = read_response(early).expect("accepted request gets its response");
        (status, head.header("connection").map(str::to_string))
    };
    assert_eq!(response(&mut early), (200, None), "the connection stays open while there is time");
    thread::sleep(ms(600).saturating_sub(begun.elapsed()));
    early.write_all(request_text("view", "t3", 1900).as_bytes()).expect("failed to write to the connection");
    assert_eq!(
        response(&mut early),
        (200, None),
        "and still serves requests when no new connections are accepted"
    );
    thread::sleep(ms(1000).saturating_sub(begun.elapsed()));
    early.write_all(request_text("view", "t4", 1900).as_bytes()).expect("failed to write to the connection");
    assert_eq!(
        response(&mut early),
        (200, Some("close".to_string())),
        "the last response closes the connection"
    );
    assert!(read_response(&mut idle).is_none(), "idle connections are closed");
    wait_until("the sidecar exits", || !sidecar.running());
    assert_eq!(sidecar.child.wait().expect("failed to query the sidecar process").code(), Some(0));
}

#[test]
fn configuration_errors_name_the_key() {
    let valid = sidecar_config(&endpoint_list(1, &[]), unused_address(), unused_address());
    let with = |pointer: &str, value: Value| {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(pointer).expect("pointer names a key of the configuration") = value;
        invalid
    };
    let cases = BTreeMap::from([
        ("listen", with("/listen", json!("nowhere"))),
        ("limits.sockets", with("/limits/sockets", json!("many"))),
        ("limits.memory_mb", with("/limits/memory_mb", json!(1))),
        ("known: instances", with("/known", json!({"generation": 1, "reset": true}))),
        ("settings.Verbs.1.Name", with("/settings/Verbs/1/Name", json!(7))),
        ("Rules.ColdShare", with("/settings/Rules/ColdShare", json!("cold"))),
        ("Rules.TipMultiple", with("/settings/Rules/TipMultiple", json!("NaN"))),
        ("Verbs.0.Utility", with("/settings/Verbs/0/Utility", json!(-1.0))),
        ("seed", with("/seed", Value::Null)),
    ]);
    let check = |config: &Value| {
        let file = std::env::temp_dir().join(format!("landingspread-check-{}.json", unused_address()));
        std::fs::write(&file, config.to_string()).expect("failed to write the file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let output =
            program.arg("check").arg("--file").arg(&file).output().expect("failed to run landingspread");
        let _ = std::fs::remove_file(&file);
        (output.status.success(), String::from_utf8_lossy(&output.stderr).to_string())
    };
    assert_eq!(check(&valid), (true, String::new()));
    for (key, config) in &cases {
        let (valid, error) = check(config);
        assert!(!valid && error.contains(key), "{key}: {error}");
    }
}

/// Changes the settings to those of a deployment in which each client has its own sidecar.
fn set_sidecar_per_client(config: &mut Value) {
    config["settings"]["Report"] = json!({"How": "probe", "Fields": ["active", "waiting"]});
    config["settings"]["Costs"] = json!({"Probe": 0.002, "Peer": 0.01, "Handshake": 0.05});
}

#[test]
fn with_probed_loads_first_requests_go_to_the_least_loaded() {
    let (busy, idle) = (
        start_endpoint(ScriptedBehavior::ReportInFlight(3)),
        start_endpoint(ScriptedBehavior::ReportInFlight(0)),
    );
    let known = endpoint_list(1, &[("s1", busy.address, "ready"), ("s2", idle.address, "ready")]);
    let discovery = start_discovery();
    let sidecar = Sidecar::start_as(&known, discovery.address, set_sidecar_per_client);
    for (number, verb) in ["view", "confirm", "hold"].repeat(7).into_iter().enumerate() {
        assert_eq!(sidecar.send_request(verb, &format!("c{number}"), 1500), 200);
    }
    assert_eq!((busy.request_count(), idle.request_count()), (0, 21));
}

#[test]
fn saved_statistics_are_used_after_a_restart_and_saved_again() {
    let (slow, fast) = (start_endpoint(ScriptedBehavior::Respond), start_endpoint(ScriptedBehavior::Respond));
    let known = endpoint_list(1, &[("s1", slow.address, "ready"), ("s2", fast.address, "ready")]);
    let discovery = start_discovery();
    let statistics_file =
        std::env::temp_dir().join(format!("landingspread-learnt-{}.json", discovery.address));
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::SystemTime::UNIX_EPOCH)
        .expect("system time is after 1970");
    let start = |change: &dyn Fn(&mut Value)| {
        Sidecar::start_as(&known, discovery.address, |config| {
            set_sidecar_per_client(config);
            config["settings"]["Report"] = json!({"How": "none"});
            config["learnt"] = json!(statistics_file);
            change(config);
        })
    };
    // The name of the deployment is taken from a file that the sidecar has saved.
    let _ = std::fs::remove_file(&statistics_file);
    let (mut deployment, first) = (String::new(), start(&|_| ()));
    wait_until("the sidecar saves statistics", || {
        let saved: Option<Value> =
            serde_json::from_slice(&std::fs::read(&statistics_file).unwrap_or_default()).ok();
        deployment =
            saved.and_then(|saved| Some(saved["deployment"].as_str()?.to_string())).unwrap_or_default();
        !deployment.is_empty()
    });
    drop(first);
    let saved = |age_ms: u128| {
        json!({"version": 2, "deployment": deployment, "saved_unix_ms": (unix.as_millis() - age_ms) as u64, "servers": [
            {"id": "s1", "started_unix_ms": 0, "slowness": 2.0, "marked": true},
            {"id": "s2", "started_unix_ms": 0, "slowness": 1.0, "marked": false}]})
    };
    let run_with = |text: &str, change: &dyn Fn(&mut Value)| {
        std::fs::write(&statistics_file, text).expect("failed to write the file");
        let sidecar = start(change);
        let before = (slow.request_count(), fast.request_count());
        for number in 0..20 {
            assert_eq!(sidecar.send_request("view", &format!("f{number}"), 1500), 200);
        }
        ((slow.request_count() - before.0, fast.request_count() - before.1), sidecar)
    };
    let run = |text: &str| run_with(text, &|_| ());
    let (counts, _sidecar) = run(&saved(1000).to_string());
    assert_eq!(counts, (0, 20), "a marked server got requests before its checks passed");
    wait_until("the sidecar saves statistics", || {
        let text = std::fs::read(&statistics_file).unwrap_or_default();
        let saved: Option<Value> = serde_json::from_slice(&text).ok();
        saved.is_some_and(|saved| {
            saved["servers"][0]["id"] == "s1"
                && saved["saved_unix_ms"].as_u64() > Some(unix.as_millis() as u64)
        })
    });
    drop(_sidecar);
    // Files that are old, truncated, or of another version or deployment are ignored.
    let other_version = saved(1000).to_string().replace("\"version\":2", "\"version\":1");
    let other_deployment = saved(1000).to_string().replace("tier 0 of", "tier 1 of");
    for text in [saved(120_000).to_string(), other_version, other_deployment, "{".to_string()] {
        let ((first, second), _sidecar) = run(&text);
        assert!(first > 0 && second > 0, "saved statistics were used: {first} and {second} requests");
    }
    // So are files of another customer's sidecar whose tier and request classes have the same names.
    let others: [&dyn Fn(&mut Value); 3] = [
        &|config| config["settings"]["Verbs"][0]["TimeLimit"] = json!(1_900_000),
        &|config| config["settings"]["Tenants"][0]["Name"] = json!("other"),
        &|config| config["settings"]["PolicyLimits"]["MostRelays"] = json!(5),
    ];
    for change in others {
        let ((first, second), _sidecar) = run_with(&saved(1000).to_string(), change);
        assert!(first > 0 && second > 0, "saved statistics were used: {first} and {second} requests");
    }
    let _ = std::fs::remove_file(&statistics_file);
}

#[test]
fn request_cost_is_read_from_the_configured_header() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let known = endpoint_list(1, &[("s1", endpoint.address, "ready")]);
    let discovery = start_discovery();
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["cost_header"] = json!("X-Cost-Ms"));
    let with = |cost: &str, id: &str| {
        request_text("view", id, 1500).replace("Host:", &format!("X-Cost-Ms: {cost}\r\nHost:"))
    };
    let status = |text: &str| sidecar.send_text(text).expect("no final response from the sidecar").0;
    assert_eq!((status(&with("12.5", "c1")), status(&with("a lot", "c2"))), (200, 400));
    assert_eq!((status(&with("0", "c3")), status(&request_text("view", "c4", 1500))), (400, 200));
}
