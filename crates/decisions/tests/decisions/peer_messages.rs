//! Encoding and decoding of the messages between replicas, with truncated messages and unknown events.

use landingspread_decisions::peer_messages::{
    IgnoredMessages, MAX_MESSAGE_BYTES, Outbox, PeerMessageHandler, read, request_rate_message,
};
use std::time::Duration;

#[derive(Debug, Default, PartialEq)]
struct Received(Vec<String>);

impl PeerMessageHandler for Received {
    fn idle_connection_broke(&mut self, idle: Duration) {
        self.0.push(format!("broke {idle:?}"));
    }
    fn class_outcome(&mut self, server: u32, class: usize, answered: bool) -> bool {
        self.0.push(format!("{server} {class} {answered}"));
        server != 0
    }
    fn peer_request_rate(&mut self, per_second: f64) {
        self.0.push(format!("traffic {per_second}"));
    }
}

#[test]
fn messages_are_received_as_sent_within_the_length_limit() {
    let mut outbox = Outbox::default();
    outbox.idle_connection_broke(Duration::from_millis(1100));
    outbox.class_outcome(77, 2, false);
    outbox.class_outcome(0xff_ffff, 63, true);
    outbox.class_outcome(1, 64, true);
    let mut received = Received::default();
    let bytes = outbox.take().expect("the outbox has events");
    read(&bytes, &mut received);
    read(&request_rate_message(2.5), &mut received);
    assert_eq!(received.0, ["broke 1.1s", "77 2 false", "16777215 63 true", "traffic 2.5"]);
    assert!(outbox.take().is_none());
    (0..100).for_each(|server| outbox.class_outcome(server, 1, false));
    let bytes = outbox.take().expect("the outbox has events");
    assert_eq!(bytes.len(), MAX_MESSAGE_BYTES / 4 * 4);
    // Events before a truncation, or before an event that only a later version knows, are received.
    for end in 0..bytes.len() {
        let mut truncated = Received::default();
        let mut extended = Received::default();
        let ignored = read(&bytes[..end], &mut truncated);
        assert_eq!(truncated.0.len(), end / 4);
        // The receiver does not know the server of the first event, which has id 0.
        let malformed = u64::from(end % 4 > 0);
        let unknown_server = u64::from(end >= 4);
        assert_eq!(ignored, IgnoredMessages { malformed, unknown_server });
        read(&[&bytes[..end / 4 * 4], &[200, 1, 2, 3, 4]].concat(), &mut extended);
        assert_eq!(extended.0.len(), end / 4);
    }
}
