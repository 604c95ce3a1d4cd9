//! Compares encoded zone reports, and a scripted run of nine replicas in three zones, with fixtures.
//! LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the fixtures.

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
        std::fs::write(&path, text).expect("the fixture file is writable");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture file is readable");
    text.lines().zip(fixture.lines()).for_each(|(actual, recorded)| assert_eq!(actual, recorded));
    assert_eq!(text.len(), fixture.len());
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn reports_encode_as_in_fixture_and_decode_unchanged() {
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
        writeln!(text, "{}", hex(&bytes)).expect("writing to a String does not fail");
    }
    // Observations, verdicts and ages beyond the bounds are left out or clamped.
    let oversized = ZoneReport {
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
    writeln!(text, "{}", hex(&encode(&oversized))).expect("writing to a String does not fail");
    compare("words.txt", &text);
}

#[derive(Debug, Default)]
struct EventLog(Vec<String>);

fn verdict_text(verdict: &Verdict) -> String {
    let Verdict { zone, number, stage, by_operator, evacuations } = verdict;
    format!("{zone:08x} {number} {} {} {by_operator} {evacuations}", stage.name(), stage.traffic_fraction())
}

fn evidence_text(evidence: &Evidence) -> String {
    let (same_zone, all) = (evidence.same_zone, evidence.all);
    let same_zone = (same_zone.answered, same_zone.slow, same_zone.silent);
    format!("{same_zone:?} {:?} {}", (all.answered, all.slow, all.silent), evidence.silent_zones)
}

impl Host for EventLog {
    fn verdict_issued(&mut self, zone: &str, verdict: &Verdict, evidence: &Evidence) {
        self.0.push(format!("passed {zone} {} by {}", verdict_text(verdict), evidence_text(evidence)));
    }
    fn verdict_adopted(&mut self, zone: &str, verdict: &Verdict, by: &str) {
        self.0.push(format!("heard {zone} {} by {by}", verdict_text(verdict)));
    }
}

/// One step of the 64-bit FNV-1a hash over these bytes, from an earlier digest.
fn fnv1a(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

const REPLICAS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_MS: u64 = 50;
const START_MS: u64 = 10_000;
const END_MS: u64 = 50_000;

/// Whether the zone answers the replica at this time after the start of the run.
fn zone_answers(elapsed_ms: u64, replica: usize, zone: usize) -> bool {
    match elapsed_ms {
        4000..8000 => zone != 1,
        // Lost for the replicas of one zone only; the second time soon enough to count as a repeated evacuation.
        16_000..18_000 => zone != 2 || !replica.is_multiple_of(3),
        23_000..24_500 => zone != 2 || !replica.is_multiple_of(3),
        // Replica 8 reaches no zone.
        30_000..33_000 => replica != 8,
        _ => true,
    }
}

fn run() -> String {
    let ms = Duration::from_millis;
    let config = |replica: usize| FailoverConfig {
        id: replica as u64 * 1000 + 7,
        zone: ZONES[replica % 3].into(),
        zones: ZONES.map(String::from).to_vec(),
        timings: RecoveryTimings::default(),
    };
    let mut replicas: Vec<_> =
        (0..REPLICAS).map(|replica| ZoneFailover::start(EventLog::default(), config(replica))).collect();
    let mut reports: Vec<Vec<u8>> = vec![Vec::new(); REPLICAS];
    let mut last_outcomes = [[(ZoneHealth::Unknown, 0); 3]; REPLICAS];
    let (mut text, mut digest) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for elapsed_ms in (0..END_MS).step_by(TICK_MS as usize) {
        let now = ms(START_MS + elapsed_ms);
        let previous_reports = reports.clone();
        for (index, replica) in replicas.iter_mut().enumerate() {
            match (elapsed_ms, index) {
                (36_000, 4) => assert!(replica.operator_command(now, "a", OperatorCommand::Evacuate)),
                (40_000, 5) => assert!(replica.operator_command(now, "a", OperatorCommand::Return)),
                _ => {}
            }
            let traffic = replica.traffic();
            let own: Vec<OwnObservation> = (0..3)
                .map(|zone| {
                    if traffic[zone].traffic_fraction > 0.0 || traffic[zone].trial.is_some() {
                        let slow = (elapsed_ms / 1000 + index as u64).is_multiple_of(11);
                        let health = match zone_answers(elapsed_ms, index, zone) {
                            true => ZoneHealth::Answering { sent_ago: Duration::ZERO, slow },
                            false => ZoneHealth::Silent { since: Duration::ZERO },
                        };
                        last_outcomes[index][zone] = (health, elapsed_ms);
                    }
                    let (health, since) = last_outcomes[index][zone];
                    let health = match health {
                        ZoneHealth::Unknown => ZoneHealth::Unknown,
                        ZoneHealth::Answering { slow, .. } => {
                            ZoneHealth::Answering { sent_ago: ms(elapsed_ms - since), slow }
                        }
                        ZoneHealth::Silent { .. } => ZoneHealth::Silent { since: ms(elapsed_ms - since) },
                    };
                    OwnObservation { zone, ready: 2, health }
                })
                .collect();
            let peers = (0..REPLICAS).filter(|other| *other != index).map(|other| PeerReport {
                id: other as u64 * 1000 + 7,
                name: ["p0", "p1", "p2"][other / 3],
                zone: ZONES[other % 3],
                report: Some(previous_reports[other].as_slice())
                    .filter(|report_bytes| !report_bytes.is_empty()),
                age: ms(TICK_MS),
            });
            let urgent = replica.tick(now, &own, peers);
            reports[index] = replica.report_bytes().to_vec();
            digest = fnv1a(digest, replica.report_bytes());
            if !elapsed_ms.is_multiple_of(1000) {
                continue;
            }
            write!(text, "{elapsed_ms} {index} {urgent} {} {digest:016x}", replica.isolated())
                .expect("writing to a String does not fail");
            for (status, traffic) in replica.statuses().zip(replica.traffic()) {
                let (stage, evidence) = (status.stage.name(), evidence_text(&status.evidence));
                let (verdict, evacuations) = (status.number, status.evacuations);
                let (by_operator, since, trial) = (status.by_operator, status.since, traffic.trial);
                let traffic_fraction = traffic.traffic_fraction;
                write!(
                    text,
                    "; {stage} {verdict} {evacuations} {by_operator} {since:?} {traffic_fraction} {trial:?} {evidence}"
                )
                .expect("writing to a String does not fail");
            }
            let events = std::mem::take(&mut replica.host().0);
            writeln!(text, "; {}", events.join(", ")).expect("writing to a String does not fail");
        }
    }
    text
}

#[test]
fn scripted_run_matches_the_recorded_trace() {
    compare("trace.txt", &run());
}
