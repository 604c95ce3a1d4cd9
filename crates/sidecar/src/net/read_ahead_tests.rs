//! When bytes arrived, by their place in the stream.

use super::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_byte_was_there_when_it_was_first_seen_read_or_not() {
    let mut arrivals = Arrivals::new();
    arrivals.read_now(100, at(10));
    assert_eq!(arrivals.arrival_before(40, at(10)), at(10));
    arrivals.unread_now(500, at(30));
    arrivals.unread_now(500, at(50));
    arrivals.read_now(300, at(90));
    assert_eq!(arrivals.arrival_before(350, at(90)), at(10), "within what was read first");
    assert_eq!(arrivals.arrival_before(0, at(90)), at(30), "it lay unread since then");
    arrivals.read_now(300, at(120));
    assert_eq!(arrivals.arrival_before(0, at(120)), at(120));
}

#[test]
fn marks_have_a_bound_and_past_it_bytes_count_as_older() {
    let mut arrivals = Arrivals::new();
    for step in 0..1000 {
        arrivals.read_now(10, at(step));
    }
    assert_eq!(arrivals.recorded.len(), MAX_ARRIVALS);
    assert_eq!(arrivals.arrival_before(0, at(1000)), at(MAX_ARRIVALS as u64 - 1));
}
