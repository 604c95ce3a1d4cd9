//! Messages between replicas are received as they were sent, and none is too long.

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
fn messages_are_received_as_sent_and_none_is_too_long() {
    let mut outbox = Outbox::default();
    outbox.idle_connection_broke(Duration::from_millis(1100));
    outbox.class_outcome(77, 2, false);
    outbox.class_outcome(0xff_ffff, 63, true);
    outbox.class_outcome(1, 64, true);
    let mut received = Received::default();
    let bytes = outbox.take().expect("there are events");
    read(&bytes, &mut received);
    read(&request_rate_message(2.5), &mut received);
    assert_eq!(received.0, ["broke 1.1s", "77 2 false", "16777215 63 true", "traffic 2.5"]);
    assert!(outbox.take().is_none());
    (0..100).for_each(|server| outbox.class_outcome(server, 1, false));
    let bytes = outbox.take().expect("there are events");
    assert_eq!(bytes.len(), MAX_MESSAGE_BYTES / 4 * 4);
    // Cut anywhere, or followed by what a later version sends, the events before it are received.
    for end in 0..bytes.len() {
        let mut cut = Received::default();
        let mut later = Received::default();
        let ignored = read(&bytes[..end], &mut cut);
        assert_eq!(cut.0.len(), end / 4);
        // The first event is of a server that this receiver doesn't know.
        let malformed = u64::from(end % 4 > 0);
        let unknown_server = u64::from(end >= 4);
        assert_eq!(ignored, IgnoredMessages { malformed, unknown_server });
        read(&[&bytes[..end / 4 * 4], &[200, 1, 2, 3, 4]].concat(), &mut later);
        assert_eq!(later.0.len(), end / 4);
    }
}
