//! What responses of a server and of a connection tell about copies.

use super::*;

const WITHIN: Duration = Duration::from_secs(60);

fn variety(digests: impl IntoIterator<Item = u64>) -> Variety {
    let mut variety = ResponseVariety::default();
    digests.into_iter().for_each(|digest| variety.record(ResponseDigest(digest)));
    variety.get()
}

#[test]
fn variety_is_known_after_enough_responses_only() {
    assert_eq!(variety(0..8), Variety::Unclear);
    assert_eq!(variety(0..9), Variety::AllDiffer);
    assert_eq!(variety([7; 8]), Variety::Unclear);
    assert_eq!(variety([7; 9]), Variety::AllEqual);
}

#[test]
fn one_equal_or_different_response_makes_the_variety_unclear_until_it_is_old() {
    assert_eq!(variety((0..20).chain([19])), Variety::Unclear);
    assert_eq!(variety([7; 20].into_iter().chain([8])), Variety::Unclear);
    assert_eq!(variety((0..20).chain([19]).chain(100..400)), Variety::AllDiffer);
}

#[test]
fn connection_remembers_its_latest_responses() {
    let mut recent = RecentResponses::default();
    for digest in 0..9 {
        recent.record(Some(ResponseDigest(digest)));
    }
    assert!(!recent.contain(ResponseDigest(0), WITHIN), "the first of nine responses is forgotten");
    assert!((1..9).all(|digest| recent.contain(ResponseDigest(digest), WITHIN)));
    std::thread::sleep(Duration::from_millis(2));
    assert!(!recent.contain(ResponseDigest(8), Duration::from_millis(1)), "the time has elapsed");
    recent.record(None);
    assert!(!recent.recognizes_copies());
    recent.record(Some(ResponseDigest(9)));
    assert!(recent.recognizes_copies());
}
