//! Peer messages are received from known peers only, with the sender's ordinal.

use super::*;
use crate::net::executor::Executor;
use crate::net::owner;
use futures_lite::future::or;

#[test]
fn only_valid_datagrams_of_known_peers_are_queued() {
    // All three sockets stay bound until their ports are known: the system could assign the same port twice otherwise.
    let sockets: Vec<UdpSocket> =
        (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    let addresses: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect();
    drop(sockets);
    let bind =
        |ordinal: u32| Peers::bind(&addresses, ordinal, None).expect("binds").expect("peers are configured");
    let (first, second, third) = (bind(0), bind(1), bind(2));
    assert!(Peers::bind(&[], 0, None).expect("no peers are configured").is_none());
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    unknown_sender.send_to(b"unknown", addresses[1]).expect("sent");
    first.send(None, b"one");
    third.send(Some(0), b"not for the second");
    third.send(Some(1), &[7; 300]);
    third.send(Some(1), b"two");
    let (queue, events) = owner::queue();
    let executor = Executor::new();
    executor.spawn(second.clone().receive(queue)).detach();
    let received = async {
        let mut received = Vec::new();
        while received.len() < 2 {
            if let Ok(Event::PeerMessage(peer, message)) = events.recv().await {
                received.push((peer, message));
            }
        }
        received
    };
    let timed_out = async {
        async_io::Timer::after(std::time::Duration::from_secs(5)).await;
        panic!("fewer than two messages received within 5 s");
    };
    let received = executor.block_on(or(received, timed_out));
    assert_eq!(received, [(0, b"one".to_vec()), (2, b"two".to_vec())]);
    assert!(events.is_empty());
    assert_eq!(second.dropped.get(), 2, "datagrams dropped: one of an unknown sender, one too long");
    // Nothing receives from the queue here, and it must stay within its bound.
    for _ in 0..2 * MAX_QUEUED_EVENTS {
        first.send(Some(1), b"again");
        executor.block_on(futures_lite::future::yield_now());
    }
    let pause = async_io::Timer::after(std::time::Duration::from_millis(200));
    executor.block_on(pause);
    assert_eq!(events.len(), MAX_QUEUED_EVENTS);
}
