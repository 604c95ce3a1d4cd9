//! Encoding and decoding of reports, with truncated and arbitrary bytes.

use super::*;
use proptest::prelude::*;

#[test]
fn encoded_report_decodes_and_truncations_are_rejected() {
    let ms = Duration::from_millis;
    let report = ZoneReport {
        isolated: true,
        observations: vec![
            ZoneObservation {
                zone: zone_id("a"),
                health: ZoneHealth::Answering { sent_ago: ms(40), slow: true },
            },
            ZoneObservation { zone: zone_id("b"), health: ZoneHealth::Silent { since: ms(5100) } },
            ZoneObservation { zone: zone_id("c"), health: ZoneHealth::Unknown },
        ],
        verdicts: vec![(
            Verdict {
                zone: 7,
                number: 9,
                stage: ZoneStage::Recovering(2),
                by_operator: true,
                evacuations: 3,
            },
            ms(1230),
        )],
    };
    let bytes = encode(&report);
    assert!(bytes.len() <= MAX_REPORT_BYTES);
    assert_eq!(decode(&bytes), Some(report));
    (0..bytes.len()).for_each(|end| assert_eq!(decode(&bytes[..end]), None, "truncated to {end} bytes"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_to_a_valid_report(bytes in prop::collection::vec(any::<u8>(), 0..200), version in 0u8..3) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut() {
            *first = version;
        }
        if let Some(report) = decode(&bytes) {
            let reencoded = encode(&report);
            prop_assert!(reencoded.len() <= MAX_REPORT_BYTES);
            prop_assert_eq!(decode(&reencoded), Some(report));
        }
    }
}
