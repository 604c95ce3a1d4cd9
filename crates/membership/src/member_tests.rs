//! Merging of statements about one member, and the memory that a member occupies.

use super::*;

fn announcement(incarnation: u64, sequence: u32, affirmed_epoch: u64) -> Announcement {
    Announcement {
        address: Address::new(std::net::Ipv4Addr::LOCALHOST, 1),
        incarnation,
        sequence,
        affirmed_epoch,
        request_rate_tenths: 0,
        ordinal: 0,
        left: false,
        considered_dead: false,
        name: "c".into(),
        zone: "a".into(),
    }
}

const NOW: Duration = Duration::from_secs(10);
const REFUTATION_GRACE: Duration = Duration::from_millis(400);

#[test]
fn announcement_of_later_epoch_refutes_suspicion_and_death() {
    let mut member = Member::new(announcement(5, 1, 3), NOW);
    let suspector = Address::new(std::net::Ipv4Addr::LOCALHOST, 2);
    assert!(member.merge_suspicion(5, 4, suspector) && !member.merge_suspicion(5, 4, suspector));
    assert!(member.merge_death(5, 4, false));
    assert!(
        member.merge_announcement(announcement(5, 2, 3), NOW),
        "a newer announcement of an epoch before the suspicion is merged"
    );
    assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Suspect);
    member.state = MemberState::Suspect;
    assert_eq!(
        member.evaluate_state(NOW, REFUTATION_GRACE),
        MemberState::Suspect,
        "a death must not take effect before the refutation grace has passed"
    );
    assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Dead);
    assert!(member.merge_announcement(announcement(5, 3, 4), NOW));
    assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Alive);
    assert!(!member.merge_death(5, 4, false), "a refuted death must not be merged again");
    // A death of one incarnation does not apply to the next, and an older incarnation does not supersede a newer one.
    assert!(member.merge_death(5, 9, false) && member.merge_announcement(announcement(6, 0, 1), NOW));
    assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Alive);
    assert!(!member.merge_announcement(announcement(5, 99, 99), NOW));
}

/// 1000 members with the longest names, the largest payloads and all suspectors take less than 1 MiB.
#[test]
fn member_with_longest_fields_takes_less_than_1048_bytes() {
    let suspectors = MAX_SUSPECTORS * (size_of::<Address>() + size_of::<u64>()) + 256;
    // The entries in the ring and in a list, and the overhead of the slab slot.
    let index_entries = 64;
    let max_bytes = size_of::<Member>()
        + 2 * MAX_NAME_BYTES
        + crate::wire::MAX_PAYLOAD_BYTES
        + suspectors
        + index_entries;
    assert!(
        max_bytes < 1048,
        "a member takes {max_bytes} bytes, {} of them in the struct itself",
        size_of::<Member>()
    );
}
