//! The lab's clients against scripted peers: which closed connections they report as requests without an answer.

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

/// Sends non-idempotent requests over one connection, each as soon as `next` signals that the peer is ready, and returns
/// their outcomes.
fn outcomes_of(
    count: usize,
    to: SocketAddr,
    next: Receiver<()>,
) -> Vec<(FinalOutcome, Option<&'static str>)> {
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
    let (stop, next, outcomes) = (AtomicBool::new(false), Mutex::new(next), Mutex::new(Vec::new()));
    let make_observer = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        Box::new(|done: &CompletedRequest| {
            let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
            outcomes.push((done.outcome, done.lost_reason));
            let ready = next.lock().unwrap_or_else(PoisonError::into_inner).recv_timeout(LIMIT);
            if outcomes.len() == count || ready.is_err() {
                stop.store(true, Ordering::Relaxed);
            }
        })
    };
    run(&plan, &RequestRate::new(0.0), &stop, Instant::now(), &make_observer);
    outcomes.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    let address = listener.local_addr().expect("the address of the listener");
    (listener, address)
}

fn accept_peer(listener: &TcpListener) -> Peer {
    let (stream, _) = listener.accept().expect("accepting a connection");
    let peer = Peer::new(stream);
    peer.set_read_timeout(Some(LIMIT));
    peer
}

/// Guards against writing a request to an idle connection that a killed replica has closed: the request reached no
/// process and was reported as lost by the replica.
#[test]
fn request_after_idle_close_uses_a_new_connection() {
    let (listener, to) = listener();
    let (ready, next): (Sender<()>, Receiver<()>) = channel();
    let peers = thread::spawn(move || {
        for _ in 0..20 {
            let mut peer = accept_peer(&listener);
            peer.read_request().expect("reading a request").expect("a complete request");
            peer.write(ANSWER).expect("writing the answer");
            drop(peer);
            let _ = ready.send(());
        }
    });
    assert_eq!(outcomes_of(20, to, next), vec![(FinalOutcome::Answered, None); 20]);
    peers.join().expect("the peer thread does not panic");
}

#[test]
fn unanswered_request_is_lost_on_new_and_reused_connections() {
    let (listener, to) = listener();
    let (ready, next): (Sender<()>, Receiver<()>) = channel();
    let peers = thread::spawn(move || {
        let mut new_peer = accept_peer(&listener);
        new_peer.read_request().expect("reading a request").expect("a complete request");
        drop(new_peer);
        let _ = ready.send(());
        let mut reused_peer = accept_peer(&listener);
        reused_peer.read_request().expect("reading a request").expect("a complete request");
        reused_peer.write(ANSWER).expect("writing the answer");
        let _ = ready.send(());
        reused_peer.read_request().expect("reading a request").expect("a complete request");
        drop(reused_peer);
        let _ = ready.send(());
    });
    let lost = (FinalOutcome::Lost, Some("its connection ended with no answer"));
    assert_eq!(outcomes_of(3, to, next), vec![lost, (FinalOutcome::Answered, None), lost]);
    peers.join().expect("the peer thread does not panic");
}
