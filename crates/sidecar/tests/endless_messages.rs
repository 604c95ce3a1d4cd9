//! Peers of every kind that never stop sending: each gets an error or a close in time, and all others are served.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::ScriptedBehavior;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A peer that sends a message without end is told and closed within this time of its connecting.
const CLOSED_WITHIN: Duration = Duration::from_secs(3);
/// How long a peer goes on sending if its connection is not closed.
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
    fn is_in_time(&self) -> bool {
        self.told_after < CLOSED_WITHIN && self.closed_after < CLOSED_WITHIN
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

/// Guards against bytes without end behind a console's request, which were discarded in a loop that let no other task and
/// no timer of the console's thread run.
#[test]
fn endless_bytes_behind_a_console_request_delay_no_other_operator() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (_sidecar, console) = start_sidecar_with_console(server.address);
    let begin = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";
    let senders: Vec<_> =
        (0..4).map(|_| send_without_end(console, begin.into(), "more", Duration::ZERO)).collect();
    for round in 0..20 {
        assert_eq!(console_status(console), Some(200), "round {round}");
    }
    for sender in senders {
        let ended = sender.join().expect("the sending thread panicked");
        assert!(ended.status == 200 && ended.is_in_time(), "{ended:?}");
    }
}
