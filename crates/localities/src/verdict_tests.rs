//! The order of verdicts, and the recovery ramp.

use super::*;

#[test]
fn of_one_number_the_more_cautious_verdict_prevails_in_any_order() {
    let of = |number, stage, evacuations| Verdict { zone: 1, number, stage, by_operator: false, evacuations };
    let all = [
        of(1, ZoneStage::Evacuated, 1),
        of(2, ZoneStage::InService, 1),
        of(2, ZoneStage::Recovering(2), 1),
        of(2, ZoneStage::Recovering(1), 1),
        of(2, ZoneStage::Evacuated, 1),
        of(2, ZoneStage::Evacuated, 2),
        of(3, ZoneStage::InService, 2),
    ];
    for (low, one) in all.iter().enumerate() {
        assert!(!supersedes(one, one));
        all[low + 1..].iter().for_each(|other| assert!(supersedes(other, one) && !supersedes(one, other)));
    }
    let mut stage = ZoneStage::Evacuated;
    let mut traffic = vec![stage.traffic_fraction()];
    while stage != ZoneStage::InService {
        stage = stage.next();
        traffic.push(stage.traffic_fraction());
    }
    assert_eq!(traffic, [0.0, 0.2, 0.5, 1.0]);
}
