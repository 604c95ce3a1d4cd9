//! The limits of the send budget, and its reserve for probes.

use super::*;

#[test]
fn gossip_keeps_the_probe_reserve_and_sending_stays_in_budget() {
    let limits = Budget { datagrams_per_s: 20, bytes_per_s: 4000 };
    let mut send_budget = SendBudget::new(limits, Duration::ZERO);
    while send_budget.can_spare_datagram(Duration::ZERO)
        && send_budget.gossip_allowance(Duration::ZERO) >= 200
    {
        assert!(send_budget.try_spend(Duration::ZERO, 200));
    }
    assert!(
        send_budget.try_spend(Duration::ZERO, 100),
        "the reserve must allow a probe after gossip is exhausted"
    );
    let (mut sent, mut bytes) = (0, 0);
    for at in 0..10_000 {
        if send_budget.try_spend(Duration::from_millis(at), 100) {
            (sent, bytes) = (sent + 1, bytes + 100);
        }
    }
    assert!(
        sent <= 20 * 10 + 10 && bytes <= 4000 * 10 + 2000,
        "{sent} datagrams and {bytes} bytes exceed the budget of 10 s"
    );
    assert!(sent >= 190);
}
