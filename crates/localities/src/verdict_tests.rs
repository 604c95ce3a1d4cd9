//! The order of verdicts, and the traffic fractions of the recovery ramp.

use super::*;

#[test]
fn verdicts_order_by_number_then_by_caution() {
    let verdict =
        |number, stage, evacuations| Verdict { zone: 1, number, stage, by_operator: false, evacuations };
    let ascending = [
        verdict(1, ZoneStage::Evacuated, 1),
        verdict(2, ZoneStage::InService, 1),
        verdict(2, ZoneStage::Recovering(2), 1),
        verdict(2, ZoneStage::Recovering(1), 1),
        verdict(2, ZoneStage::Evacuated, 1),
        verdict(2, ZoneStage::Evacuated, 2),
        verdict(3, ZoneStage::InService, 2),
    ];
    for (index, lower) in ascending.iter().enumerate() {
        assert!(!supersedes(lower, lower));
        ascending[index + 1..]
            .iter()
            .for_each(|higher| assert!(supersedes(higher, lower) && !supersedes(lower, higher)));
    }
    let mut stage = ZoneStage::Evacuated;
    let mut fractions = vec![stage.traffic_fraction()];
    while stage != ZoneStage::InService {
        stage = stage.next();
        fractions.push(stage.traffic_fraction());
    }
    assert_eq!(fractions, [0.0, 0.2, 0.5, 1.0]);
}
