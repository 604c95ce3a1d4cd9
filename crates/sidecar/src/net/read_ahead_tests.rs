//! Arrival times of bytes by their offset in the stream.

use super::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn arrival_time_is_when_byte_was_first_seen() {
    let mut arrivals = Arrivals::new();
    arrivals.record_read(100, at(10));
    assert_eq!(arrivals.arrival_time(40, at(10)), at(10));
    arrivals.record_unread(500, at(30));
    arrivals.record_unread(500, at(50));
    arrivals.record_read(300, at(90));
    assert_eq!(arrivals.arrival_time(350, at(90)), at(10), "within the first read");
    assert_eq!(arrivals.arrival_time(0, at(90)), at(30), "first seen unread at 30 ms");
    arrivals.record_read(300, at(120));
    assert_eq!(arrivals.arrival_time(0, at(120)), at(120));
}

#[test]
fn arrivals_past_the_bound_count_as_earlier() {
    let mut arrivals = Arrivals::new();
    for step in 0..1000 {
        arrivals.record_read(10, at(step));
    }
    assert_eq!(arrivals.recorded.len(), MAX_RECORDED_ARRIVALS);
    assert_eq!(arrivals.arrival_time(0, at(1000)), at(MAX_RECORDED_ARRIVALS as u64 - 1));
}
