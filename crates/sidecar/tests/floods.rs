//! Clients that write, and servers that answer, without end and as fast as they can: all other requests are still served.
//! An invalid response ends its request. `docs/endings.md` lists the cases.

mod helpers;

use helpers::gate::*;
use helpers::*;
use landingspread_lab::sockets::{Peer, ScriptedBehavior};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

/// The beginning of an answer that lasts until its connection ends, and a part of its body.
const ENDLESS_BODY: (&str, &str) = ("HTTP/1.1 200 OK\r\n\r\n", "x");

/// Reads and discards all bytes in a thread, and counts them.
fn drain(mut stream: TcpStream, count: Arc<AtomicUsize>) {
    let mut bytes = vec![0; 256 * 1024];
    thread::spawn(move || {
        while let Ok(read @ 1..) = stream.read(&mut bytes) {
            count.fetch_add(read, Ordering::Relaxed);
        }
    });
}

/// Writes the text repeatedly until `over` is set. Returns the number of bytes that came back so far.
fn flood(sidecar: &Sidecar, text: String, over: &Arc<AtomicBool>) -> Arc<AtomicUsize> {
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let (over, read) = (over.clone(), Arc::default());
    drain(stream.try_clone().expect("failed to clone the connection"), Arc::clone(&read));
    let chunk = text.repeat(256 * 1024 / text.len());
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) && stream.write_all(chunk.as_bytes()).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
    });
    read
}

/// Checks that all of 40 requests are answered, and half of them within 50 ms. The slowest response has no bound: it would
/// measure how busy the machine is, as three processes and their threads take part.
fn assert_requests_are_served(sidecar: &Sidecar, name: &str) {
    let mut latencies = Vec::new();
    for number in 0..40 {
        let sent = Instant::now();
        let text = request_text("view", &format!("{name}{number}"), 3900);
        assert_eq!(sidecar.status(&text), Some(200), "{name} {number} after {:?}", sent.elapsed());
        latencies.push(sent.elapsed());
    }
    latencies.sort();
    println!("{name}: 40 answers, median {:?}, slowest {:?}", latencies[20], latencies[39]);
    assert!(latencies[20] < ms(50), "{name}: {:?}", latencies[20]);
}

#[test]
fn endless_pipelining_delays_no_other_client() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    let over = Arc::new(AtomicBool::new(false));
    let text = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_string();
    let read: Vec<_> = (0..2).map(|_| flood(&sidecar, text.clone(), &over)).collect();
    wait_until("the flood is answered", || read.iter().any(|read| read.load(Ordering::Relaxed) > 100_000));
    assert_requests_are_served(&sidecar, "ahead");
    over.store(true, Ordering::Relaxed);
}

/// Starts a server that answers a POST with `begin` and then `block` again and again, until `over` is set.
fn start_endless_server(over: &Arc<AtomicBool>, begin: &'static str, block: &'static str) -> SocketAddr {
    let listener = bind_unused_port();
    let at = listener.local_addr().expect("listener has a local address");
    let over = over.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let over = over.clone();
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let Ok(Some(request)) = peer.read_request() else { return };
                if request.method() != "POST" {
                    let _ = peer.write(OK);
                    return;
                }
                let _ = peer.write(begin.as_bytes());
                let blocks = block.repeat(1024 * 1024 / block.len());
                while !over.load(Ordering::Relaxed) && peer.write(blocks.as_bytes()).is_ok() {}
            });
        }
    });
    at
}

#[test]
fn endless_response_delays_no_other_client() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let over = Arc::new(AtomicBool::new(false));
    let at = start_endless_server(&over, ENDLESS_BODY.0, ENDLESS_BODY.1);
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream
        .write_all(request_text("hold", "endless", 1900).as_bytes())
        .expect("failed to write to the connection");
    let read = Arc::<AtomicUsize>::default();
    drain(stream.try_clone().expect("failed to clone the connection"), read.clone());
    wait_until("the endless response is forwarded", || read.load(Ordering::Relaxed) > 4 * 1024 * 1024);
    discovery.set_raw_list(2, endpoint_list(2, &[("s2", server.address, "ready")]).to_string());
    thread::sleep(ms(100));
    assert_requests_are_served(&sidecar, "endless");
    let before = read.load(Ordering::Relaxed);
    wait_until("the endless response is still forwarded", || read.load(Ordering::Relaxed) > before);
    over.store(true, Ordering::Relaxed);
}

/// Sends requests to a server whose answers never end, in `block`, while other requests go to another server. Each of
/// them gets an error in time, and the others are served.
fn assert_endless_answer_fails(name: &str, begin: &'static str, block: &'static str) {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let over = Arc::new(AtomicBool::new(false));
    let at = start_endless_server(&over, begin, block);
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    let mut clients = Vec::new();
    for number in 0..4 {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let text = request_text("confirm", &format!("{name}-endless{number}"), 1500);
        stream.write_all(text.as_bytes()).expect("failed to write to the connection");
        clients.push((stream, Instant::now()));
    }
    discovery.set_raw_list(2, endpoint_list(2, &[("s2", server.address, "ready")]).to_string());
    for (stream, sent) in clients {
        let status = Peer::new(stream).read_response().ok().and_then(|response| response.status());
        assert_eq!(status, Some(502), "{name} after {:?}", sent.elapsed());
        assert!(sent.elapsed() < ms(2000), "{name}: {:?}", sent.elapsed());
    }
    assert_requests_are_served(&sidecar, name);
    over.store(true, Ordering::Relaxed);
}

/// Guards against interim responses without end, behind which the process served nothing and noticed no deadline.
#[test]
fn endless_interim_responses_fail_and_delay_no_other_client() {
    assert_endless_answer_fails("interim", "", "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn pipelined_requests_are_answered_once_each_in_order() {
    const REQUESTS: usize = 3000;
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let mut responses = Peer::new(stream.try_clone().expect("failed to clone the connection"));
    // Every tenth request has an unknown class: responses come in the order of the requests.
    let text = |number: usize| match number % 10 {
        9 => "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n".to_string(),
        _ => request_text("view", &format!("m{number}"), 1900),
    };
    let all: String = (0..REQUESTS).map(text).collect();
    let writer = thread::spawn(move || stream.write_all(all.as_bytes()).map(|()| stream));
    // An invalid request ends its connection: only the requests up to the first such one are answered.
    for number in 0..10 {
        let expected = if number == 9 { 404 } else { 200 };
        assert_eq!(
            responses.read_response().ok().and_then(|response| response.status()),
            Some(expected),
            "{number}"
        );
    }
    assert!(responses.read_response().is_err(), "the connection stayed open after an invalid request");
    let _ = writer.join();
    assert_eq!(server.request_count(), 9, "requests after the invalid one were forwarded");
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let mut responses = Peer::new(stream.try_clone().expect("failed to clone the connection"));
    let all: String = (0..REQUESTS).map(|number| request_text("view", &format!("n{number}"), 1900)).collect();
    let writer = thread::spawn(move || stream.write_all(all.as_bytes()).map(|()| stream));
    for number in 0..REQUESTS {
        if number % 300 == 0 {
            assert_eq!(sidecar.send_request("view", &format!("beside{number}"), 1900), 200);
        }
        assert_eq!(
            responses.read_response().ok().and_then(|response| response.status()),
            Some(200),
            "{number}"
        );
    }
    writer.join().expect("writer thread panicked").expect("failed to write to the connection");
    assert_eq!(server.request_count(), 9 + REQUESTS + REQUESTS / 300, "each request is forwarded once");
}

#[test]
fn endless_heads_are_rejected_and_delay_no_other_client() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    let writers = (0..8).map(|_| {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        thread::spawn(move || {
            let begun = Instant::now();
            let _ = stream.write_all(b"GET /view/1 HTTP/1.1\r\n");
            let chunk = b"X-More: and more\r\n".repeat(10_000);
            while stream.write_all(&chunk).is_ok() {
                assert!(begun.elapsed() < WAIT_BOUND, "connection still accepts an endless head");
            }
        })
    });
    let writers: Vec<_> = writers.collect();
    assert_requests_are_served(&sidecar, "heads");
    writers.into_iter().for_each(|writer| writer.join().expect("writer thread panicked"));
    assert_eq!(server.request_count(), 40, "an endless head was forwarded");
}

#[test]
fn invalid_response_ends_its_request_with_one_error_in_time() {
    let gate = Gate::start_open();
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", gate.address)]);
    let answers: [&'static [u8]; 8] = [
        b"garbage\r\n\r\n",
        b"\0\0\0\0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
        b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nmany\r\nok\r\n",
        // A body shorter than its Content-Length, and a head without an end: both connections stay open.
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-More: ",
    ];
    for (number, answer) in answers.into_iter().enumerate() {
        *gate.response.lock().expect("lock is not poisoned") = answer;
        let (id, sent) = (format!("g{number}"), Instant::now());
        // The request may have run, and must not run twice.
        assert_eq!(sidecar.send_request("confirm", &id, 600), 502, "answer {number}");
        assert!(sent.elapsed() < ms(1100), "answer {number}: {:?}", sent.elapsed());
        *gate.response.lock().expect("lock is not poisoned") = OK;
        assert_eq!(
            sidecar.send_request("confirm", &format!("{id}-after"), 1500),
            200,
            "after answer {number}"
        );
        assert_eq!(gate.received().iter().filter(|(other, _)| *other == id).count(), 1, "answer {number}");
    }
}

#[test]
fn disconnections_during_a_flood_are_noticed_in_time() {
    let (mut disconnected, mut longest) = (0, ms(0));
    for departure in
        [Departure::Closes, Departure::HalfCloses, Departure::Resets, Departure::PipelinesManyRequests]
    {
        let gate = Gate::start_closed();
        let discovery = start_discovery();
        let known = servers_at(gate.address, 24);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, false));
        let mut clients = Vec::new();
        for number in 0..24 {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            write_request(departure, &mut stream, VERBS[number % VERBS.len()], &format!("c{number}"));
            clients.push(stream);
        }
        wait_until("all requests wait for a connection", || connecting_count(gate.address) == clients.len());
        let over = Arc::new(AtomicBool::new(false));
        let text = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_string();
        let read: Vec<_> = (0..2).map(|_| flood(&sidecar, text.clone(), &over)).collect();
        wait_until("the flood is answered", || {
            read.iter().any(|read| read.load(Ordering::Relaxed) > 100_000)
        });
        disconnected += clients.len();
        clients.into_iter().for_each(|stream| disconnect(departure, stream));
        let (left, before) = (Instant::now(), processor_wait(&sidecar));
        loop {
            let (elapsed, bound) =
                (left.elapsed(), DEPARTURE_BOUND + processor_wait(&sidecar).saturating_sub(before));
            let connecting = connecting_count(gate.address);
            if connecting == 0 {
                break;
            }
            longest = longest.max(elapsed);
            assert!(
                elapsed <= bound,
                "{departure:?}: {connecting} still connecting {elapsed:?} after the disconnection"
            );
        }
        over.store(true, Ordering::Relaxed);
    }
    println!("{disconnected} disconnected, last connection attempt seen {longest:?} later");
}

#[test]
fn disconnections_during_an_endless_response_are_noticed() {
    let over = Arc::new(AtomicBool::new(false));
    let (at, gate) = (start_endless_server(&over, ENDLESS_BODY.0, ENDLESS_BODY.1), Gate::start_closed());
    let discovery = start_discovery();
    let known = endpoint_list(1, &[("s1", at, "ready")]);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, false));
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream
        .write_all(request_text("hold", "endless", 3900).as_bytes())
        .expect("failed to write to the connection");
    let read = Arc::<AtomicUsize>::default();
    drain(stream.try_clone().expect("failed to clone the connection"), read.clone());
    wait_until("the endless response is forwarded", || read.load(Ordering::Relaxed) > 4 * 1024 * 1024);
    let before = discovery.call_counts().0;
    discovery.set_raw_list(
        2,
        servers_at(gate.address, 24).to_string().replace("\"generation\":1", "\"generation\":2"),
    );
    wait_until("the sidecar has the new list", || discovery.call_counts().0 > before);
    let (mut longest, mut late) = (ms(0), Vec::new());
    for number in 0..60 {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let text = request_text(VERBS[number % VERBS.len()], &format!("e{number}"), 3900);
        stream.write_all(text.as_bytes()).expect("failed to write to the connection");
        wait_until("the request waits for a connection", || connecting_count(gate.address) > 0);
        drop(stream);
        let (left, before) = (Instant::now(), processor_wait(&sidecar));
        loop {
            let (elapsed, bound) =
                (left.elapsed(), DEPARTURE_BOUND + processor_wait(&sidecar).saturating_sub(before));
            if connecting_count(gate.address) == 0 {
                break;
            }
            longest = longest.max(elapsed);
            if elapsed > bound {
                late.push(elapsed);
                break;
            }
        }
        wait_until("the connection attempt is given up", || connecting_count(gate.address) == 0);
    }
    over.store(true, Ordering::Relaxed);
    println!("60 disconnected, last connection attempt seen {longest:?} later");
    assert!(late.is_empty(), "still connecting 0.1 s after the clients disconnected: {late:?}");
}
