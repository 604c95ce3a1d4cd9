//! How statements about one member are merged, and what it takes in memory.

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
fn an_announcement_of_a_later_epoch_refutes_suspicion_and_death() {
    let mut member = Member::new(announcement(5, 1, 3), NOW);
    let suspector = Address::new(std::net::Ipv4Addr::LOCALHOST, 2);
    assert!(member.merge_suspicion(5, 4, suspector) && !member.merge_suspicion(5, 4, suspector));
    assert!(member.merge_death(5, 4, false));
    assert!(member.merge_announcement(announcement(5, 2, 3), NOW), "newer, but made before the suspicion");
    assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Suspect);
    member.state = MemberState::Suspect;
    assert_eq!(
        member.evaluate_state(NOW, REFUTATION_GRACE),
        MemberState::Suspect,
        "a refutation may be on its way"
    );
    assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Dead);
    assert!(member.merge_announcement(announcement(5, 3, 4), NOW));
    assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Alive);
    assert!(!member.merge_death(5, 4, false), "refuted already");
    // Nothing stated against one incarnation applies to the next, and an older incarnation supersedes none.
    assert!(member.merge_death(5, 9, false) && member.merge_announcement(announcement(6, 0, 1), NOW));
    assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Alive);
    assert!(!member.merge_announcement(announcement(5, 99, 99), NOW));
}

/// A thousand members take less than 1 MB, with the longest names and all suspectors.
#[test]
fn a_member_takes_little_memory() {
    let suspectors = MAX_SUSPECTORS * (size_of::<Address>() + size_of::<u64>()) + 256;
    // Its entries on the ring and in a list, and its slot of the slab.
    let listed = 64;
    let most =
        size_of::<Member>() + 2 * MAX_NAME_BYTES + crate::wire::MAX_PAYLOAD_BYTES + suspectors + listed;
    assert!(most < 1048, "{most} bytes, {} of them plain", size_of::<Member>());
}
