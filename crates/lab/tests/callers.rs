//! The lab's callers before scripted peers: which ends of a connection they report as a command without an answer.

use landingspread_lab::plan::RetrySafety;
use landingspread_lab::referee::FinalOutcome;
use landingspread_lab::sockets::Peer;
use landingspread_lab::sockets::callers::{
    ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run,
};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER: &[u8] = b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n";
const LIMIT: Duration = Duration::from_secs(10);

/// Effectful commands over one connection, each sent as soon as `next` has told that the peer is ready for it.
fn ends_of(commands: usize, to: SocketAddr, next: Receiver<()>) -> Vec<(FinalOutcome, Option<&'static str>)> {
    let plan = ClientPlan {
        targets: vec![to],
        request_classes: vec![ClientRequestClass {
            name: "confirm".into(),
            retry_safety: RetrySafety::NonIdempotent,
            share: 1.0,
            time_limit: LIMIT,
        }],
        tenants: vec![("acme".into(), 1.0)],
        connections: 1,
        duration: 2 * LIMIT,
        seed: 1,
        id_prefix: "t".into(),
        retry_non_idempotent: false,
    };
    let (stop, next, ends) = (AtomicBool::new(false), Mutex::new(next), Mutex::new(Vec::new()));
    let watch = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        Box::new(|done: &CompletedRequest| {
            let mut ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
            ends.push((done.outcome, done.lost_reason));
            let told = next.lock().unwrap_or_else(PoisonError::into_inner).recv_timeout(LIMIT);
            if ends.len() == commands || told.is_err() {
                stop.store(true, Ordering::Relaxed);
            }
        })
    };
    run(&plan, &RequestRate::new(0.0), &stop, Instant::now(), &watch);
    ends.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

fn accepted(listener: &TcpListener) -> Peer {
    let (stream, _) = listener.accept().expect("a connection");
    let peer = Peer::new(stream);
    peer.set_read_timeout(Some(LIMIT));
    peer
}

/// A copy that is killed closes idle connections too: before the mend the next command was written into one of these,
/// reached nobody, and was reported as one that its copy had lost.
#[test]
fn a_command_goes_on_a_new_connection_where_the_kept_one_was_closed_while_idle() {
    let (listener, to) = listener();
    let (ready, next): (Sender<()>, Receiver<()>) = channel();
    let peers = thread::spawn(move || {
        for _ in 0..20 {
            let mut peer = accepted(&listener);
            peer.read_request().expect("a whole command").expect("a command");
            peer.write(ANSWER).expect("it is written");
            drop(peer);
            let _ = ready.send(());
        }
    });
    assert_eq!(ends_of(20, to, next), vec![(FinalOutcome::Answered, None); 20]);
    peers.join().expect("no panic");
}

#[test]
fn a_command_that_was_taken_and_never_answered_is_reported_on_new_and_on_kept_connections() {
    let (listener, to) = listener();
    let (ready, next): (Sender<()>, Receiver<()>) = channel();
    let peers = thread::spawn(move || {
        let mut fresh = accepted(&listener);
        fresh.read_request().expect("a whole command").expect("a command");
        drop(fresh);
        let _ = ready.send(());
        let mut kept = accepted(&listener);
        kept.read_request().expect("a whole command").expect("a command");
        kept.write(ANSWER).expect("it is written");
        let _ = ready.send(());
        kept.read_request().expect("a whole command").expect("a command");
        drop(kept);
        let _ = ready.send(());
    });
    let lost = (FinalOutcome::Lost, Some("its connection ended with no answer"));
    assert_eq!(ends_of(3, to, next), vec![lost, (FinalOutcome::Answered, None), lost]);
    peers.join().expect("no panic");
}
