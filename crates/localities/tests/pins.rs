//! Zone reports as bytes, and a scripted run of nine copies in three zones, compared with fixtures;
//! LANDINGSPREAD_WRITE_FIXTURES=1 writes those anew.

use landingspread_localities::{
    Evidence, FailoverConfig, Host, MAX_REPORT_BYTES, OperatorCommand, OwnObservation, PeerReport,
    RecoveryTimings, Verdict, ZoneFailover, ZoneHealth, ZoneObservation, ZoneReport, ZoneStage, decode,
    encode, zone_id,
};
use std::fmt::Write;
use std::time::Duration;

fn compare(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("the fixture is written");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture");
    text.lines().zip(fixture.lines()).for_each(|(now, then)| assert_eq!(now, then));
    assert_eq!(text.len(), fixture.len());
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn zone_reports_are_the_bytes_of_the_fixture_and_decode_to_the_same_values() {
    let ms = Duration::from_millis;
    let health = [
        ZoneHealth::Unknown,
        ZoneHealth::Answering { sent_ago: ms(40), slow: false },
        ZoneHealth::Answering { sent_ago: ms(5100), slow: true },
        ZoneHealth::Silent { since: ms(2000) },
    ];
    let stages =
        [ZoneStage::InService, ZoneStage::Evacuated, ZoneStage::Recovering(1), ZoneStage::Recovering(2)];
    let mut all = vec![ZoneReport::default(), ZoneReport { isolated: true, ..ZoneReport::default() }];
    for (number, health) in health.into_iter().enumerate() {
        let observations = vec![ZoneObservation { zone: zone_id(&format!("zone-{number}")), health }];
        all.push(ZoneReport { observations, ..ZoneReport::default() });
    }
    for stage in stages {
        for by_operator in [false, true] {
            let verdict =
                Verdict { zone: zone_id("b"), number: 0x0102_0304, stage, by_operator, evacuations: 3 };
            all.push(ZoneReport { verdicts: vec![(verdict, ms(1230))], ..ZoneReport::default() });
        }
    }
    let mut text = format!("at most {MAX_REPORT_BYTES} bytes\n");
    for report in all {
        let bytes = encode(&report);
        assert_eq!(decode(&bytes), Some(report));
        writeln!(text, "{}", hex(&bytes)).expect("text");
    }
    // What exceeds the bounds is left out or clamped.
    let many = ZoneReport {
        isolated: true,
        observations: (0..20)
            .map(|zone| ZoneObservation { zone, health: ZoneHealth::Silent { since: ms(60_000) } })
            .collect(),
        verdicts: (0..20)
            .map(|zone| {
                let stage = ZoneStage::Evacuated;
                (Verdict { zone, number: 1, stage, by_operator: true, evacuations: 255 }, ms(9_000_000))
            })
            .collect(),
    };
    writeln!(text, "{}", hex(&encode(&many))).expect("text");
    compare("words.txt", &text);
}

#[derive(Debug, Default)]
struct Log(Vec<String>);

fn verdict_text(verdict: &Verdict) -> String {
    let Verdict { zone, number, stage, by_operator, evacuations } = verdict;
    format!("{zone:08x} {number} {} {} {by_operator} {evacuations}", stage.name(), stage.traffic_fraction())
}

fn evidence_text(evidence: &Evidence) -> String {
    let (same_zone, all) = (evidence.same_zone, evidence.all);
    let same_zone = (same_zone.answered, same_zone.slow, same_zone.silent);
    format!("{same_zone:?} {:?} {}", (all.answered, all.slow, all.silent), evidence.silent_zones)
}

impl Host for Log {
    fn verdict_issued(&mut self, zone: &str, verdict: &Verdict, evidence: &Evidence) {
        self.0.push(format!("passed {zone} {} by {}", verdict_text(verdict), evidence_text(evidence)));
    }
    fn verdict_adopted(&mut self, zone: &str, verdict: &Verdict, by: &str) {
        self.0.push(format!("heard {zone} {} by {by}", verdict_text(verdict)));
    }
}

/// FNV-1a.
fn digested(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

const COPIES: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_MS: u64 = 50;
const START_MS: u64 = 10_000;
const END_MS: u64 = 50_000;

/// Whether the zone answers a copy at that time since the start.
fn answers(at_ms: u64, copy: usize, zone: usize) -> bool {
    match at_ms {
        4000..8000 => zone != 1,
        // Lost for the copies of one zone alone, and again so soon that it counts as a further evacuation.
        16_000..18_000 => zone != 2 || !copy.is_multiple_of(3),
        23_000..24_500 => zone != 2 || !copy.is_multiple_of(3),
        // One copy is isolated.
        30_000..33_000 => copy != 8,
        _ => true,
    }
}

fn run() -> String {
    let ms = Duration::from_millis;
    let config = |copy: usize| FailoverConfig {
        id: copy as u64 * 1000 + 7,
        zone: ZONES[copy % 3].into(),
        zones: ZONES.map(String::from).to_vec(),
        timings: RecoveryTimings::default(),
    };
    let mut copies: Vec<_> =
        (0..COPIES).map(|copy| ZoneFailover::start(Log::default(), config(copy))).collect();
    let mut words: Vec<Vec<u8>> = vec![Vec::new(); COPIES];
    let mut seen = [[(ZoneHealth::Unknown, 0); 3]; COPIES];
    let (mut text, mut digest) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for at in (0..END_MS).step_by(TICK_MS as usize) {
        let now = ms(START_MS + at);
        let before = words.clone();
        for (number, copy) in copies.iter_mut().enumerate() {
            match (at, number) {
                (36_000, 4) => assert!(copy.operator_command(now, "a", OperatorCommand::Evacuate)),
                (40_000, 5) => assert!(copy.operator_command(now, "a", OperatorCommand::Return)),
                _ => {}
            }
            let traffic = copy.traffic();
            let own: Vec<OwnObservation> = (0..3)
                .map(|zone| {
                    if traffic[zone].traffic_fraction > 0.0 || traffic[zone].trial.is_some() {
                        let slow = (at / 1000 + number as u64).is_multiple_of(11);
                        let health = match answers(at, number, zone) {
                            true => ZoneHealth::Answering { sent_ago: Duration::ZERO, slow },
                            false => ZoneHealth::Silent { since: Duration::ZERO },
                        };
                        seen[number][zone] = (health, at);
                    }
                    let (health, since) = seen[number][zone];
                    let health = match health {
                        ZoneHealth::Unknown => ZoneHealth::Unknown,
                        ZoneHealth::Answering { slow, .. } => {
                            ZoneHealth::Answering { sent_ago: ms(at - since), slow }
                        }
                        ZoneHealth::Silent { .. } => ZoneHealth::Silent { since: ms(at - since) },
                    };
                    OwnObservation { zone, ready: 2, health }
                })
                .collect();
            let peers = (0..COPIES).filter(|other| *other != number).map(|other| PeerReport {
                id: other as u64 * 1000 + 7,
                name: ["p0", "p1", "p2"][other / 3],
                zone: ZONES[other % 3],
                report: Some(before[other].as_slice()).filter(|report_bytes| !report_bytes.is_empty()),
                age: ms(TICK_MS),
            });
            let news = copy.tick(now, &own, peers);
            words[number] = copy.report_bytes().to_vec();
            digest = digested(digest, copy.report_bytes());
            if !at.is_multiple_of(1000) {
                continue;
            }
            write!(text, "{at} {number} {news} {} {digest:016x}", copy.isolated()).expect("text");
            for (standing, traffic_fraction) in copy.statuses().zip(copy.traffic()) {
                let (stage, evidence) = (standing.stage.name(), evidence_text(&standing.evidence));
                let (verdict, evacuations) = (standing.number, standing.evacuations);
                let (by_operator, since, trial) =
                    (standing.by_operator, standing.since, traffic_fraction.trial);
                let traffic_fraction = traffic_fraction.traffic_fraction;
                write!(
                    text,
                    "; {stage} {verdict} {evacuations} {by_operator} {since:?} {traffic_fraction} {trial:?} {evidence}"
                )
                .expect("text");
            }
            let events = std::mem::take(&mut copy.host().0);
            writeln!(text, "; {}", events.join(", ")).expect("text");
        }
    }
    text
}

#[test]
fn a_scripted_run_makes_the_same_reports_verdicts_and_fractions() {
    compare("trace.txt", &run());
}
