//! Attempts over a real socket, with a test that controls when the parts of a streamed body arrive.

use super::*;
use crate::net::attempts::{AttemptGuard, Location, RetryRule};
use crate::net::http::{BodyEncoding, BodyPart};
use crate::net::leaving::ClientPresence;
use async_io::Async;
use landingspread_decisions::settings::RetrySafety;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const BODY_LENGTH: usize = 100_000;

/// Reads a complete request of this size and responds at once.
fn respond_to_request(listener: &TcpListener, size: usize) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut bytes = vec![0; size];
    stream.read_exact(&mut bytes).expect("a complete request");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("a response");
}

/// The response arrives when the client side has passed on the last byte of a long body, but has not reported yet that
/// it was the last.
#[test]
fn response_right_after_last_body_byte_is_ok() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = Rc::new(Async::new(TcpStream::connect(address).expect("a client")).expect("a socket"));
    let _ = listener.accept().expect("the client's connection");
    let resources = ResourcePool::with_limits(64, 16);
    let head = b"POST /confirm HTTP/1.1\r\nContent-Length: 100000\r\n".to_vec();
    let time_limit = "X-Expires-In-Ms: 1000\r\n\r\n";
    let size = head.len() + time_limit.len() + BODY_LENGTH;
    let server = std::thread::spawn(move || respond_to_request(&listener, size));
    let (event_sender, events) = async_channel::unbounded();
    for part in BodyPart::zeroed(&resources, BODY_LENGTH) {
        assert!(
            event_sender.try_send(BodyEvent::Part { part, return_buffer: None }).is_ok(),
            "the channel is unbounded"
        );
    }
    let rest = StreamedBody {
        events,
        encoding: BodyEncoding::Identity,
        length: Some(BODY_LENGTH as u64),
        time_limit: Duration::from_secs(1),
        consumed: Cell::new(false),
    };
    let rule = RetryRule { safety: RetrySafety::NonIdempotent, dedup_window: Duration::ZERO, hedging: false };
    let outgoing = OutgoingRequest {
        id: "r1".into(),
        head,
        body: Vec::new(),
        rest: Some(rest),
        run_once: true,
        client: ClientPresence::of(&client),
        guard: AttemptGuard::new(rule),
    };
    let pool = Rc::new(ConnectionPool::with_timeouts(
        Duration::from_secs(1),
        Duration::from_secs(1),
        resources.clone(),
    ));
    let upstream = Rc::new(UpstreamClient { pool, resources, health_path: "/ping" });
    let target = Target { server: "s1".into(), address, location: Location { zone: 0, cell: 0 } };
    let stage = Cell::new(AttemptStage::Unwritten);
    let attempt = async {
        let deadline = Instant::now() + Duration::from_secs(2);
        upstream.attempt(&target, &outgoing, 0, deadline, &stage).await.outcome
    };
    let outcome = async_io::block_on(attempt);
    server.join().expect("the server responded");
    assert_eq!(outcome, Outcome::Ok);
    drop(event_sender);
}
