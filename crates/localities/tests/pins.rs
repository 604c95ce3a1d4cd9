//! Zone words as bytes, and a scripted run of nine copies in three zones, compared with fixtures;
//! LANDINGSPREAD_WRITE_FIXTURES=1 writes those anew.

use landingspread_localities::{
    About, Evidence, Host, Localities, Looks, Own, Paces, Peer, Said, Stage, Verdict, WORD_MOST, ZoneWord,
    read, write, zone_id,
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
fn zone_words_are_the_bytes_of_the_fixture_and_are_read_to_the_same_values() {
    let ms = Duration::from_millis;
    let looks = [
        Looks::Unknown,
        Looks::Answers { sent: ms(40), slow: false },
        Looks::Answers { sent: ms(5100), slow: true },
        Looks::Silent { since: ms(2000) },
    ];
    let stages = [Stage::Whole, Stage::Left, Stage::Step(1), Stage::Step(2)];
    let mut all = vec![Said::default(), Said { cut_off: true, ..Said::default() }];
    for (number, looks) in looks.into_iter().enumerate() {
        let looks = vec![ZoneWord { zone: zone_id(&format!("zone-{number}")), looks }];
        all.push(Said { looks, ..Said::default() });
    }
    for stage in stages {
        for operators in [false, true] {
            let verdict =
                Verdict { zone: zone_id("b"), number: 0x0102_0304, stage, operators, departures: 3 };
            all.push(Said { verdicts: vec![(verdict, ms(1230))], ..Said::default() });
        }
    }
    let mut text = format!("at most {WORD_MOST} bytes\n");
    for said in all {
        let bytes = write(&said);
        assert_eq!(read(&bytes), Some(said));
        writeln!(text, "{}", hex(&bytes)).expect("text");
    }
    // What is past the bounds is left out or clipped.
    let many = Said {
        cut_off: true,
        looks: (0..20).map(|zone| ZoneWord { zone, looks: Looks::Silent { since: ms(60_000) } }).collect(),
        verdicts: (0..20)
            .map(|zone| {
                let stage = Stage::Left;
                (Verdict { zone, number: 1, stage, operators: true, departures: 255 }, ms(9_000_000))
            })
            .collect(),
    };
    writeln!(text, "{}", hex(&write(&many))).expect("text");
    compare("words.txt", &text);
}

#[derive(Debug, Default)]
struct Log(Vec<String>);

fn verdict_text(verdict: &Verdict) -> String {
    let Verdict { zone, number, stage, operators, departures } = verdict;
    format!("{zone:08x} {number} {} {} {operators} {departures}", stage.name(), stage.share())
}

fn evidence_text(evidence: &Evidence) -> String {
    let (near, all) = (evidence.near, evidence.all);
    let near = (near.answered, near.slow, near.silent);
    format!("{near:?} {:?} {}", (all.answered, all.slow, all.silent), evidence.silent_from)
}

impl Host for Log {
    fn passed(&mut self, zone: &str, verdict: &Verdict, evidence: &Evidence) {
        self.0.push(format!("passed {zone} {} by {}", verdict_text(verdict), evidence_text(evidence)));
    }
    fn heard(&mut self, zone: &str, verdict: &Verdict, by: &str) {
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
        // Lost for the copies of one zone alone, and then again so soon that it counts as a further departure.
        16_000..18_000 => zone != 2 || !copy.is_multiple_of(3),
        23_000..24_500 => zone != 2 || !copy.is_multiple_of(3),
        // One copy is cut off.
        30_000..33_000 => copy != 8,
        _ => true,
    }
}

fn run() -> String {
    let ms = Duration::from_millis;
    let about = |copy: usize| About {
        id: copy as u64 * 1000 + 7,
        zone: ZONES[copy % 3].into(),
        zones: ZONES.map(String::from).to_vec(),
        paces: Paces::default(),
    };
    let mut copies: Vec<_> = (0..COPIES).map(|copy| Localities::start(Log::default(), about(copy))).collect();
    let mut words: Vec<Vec<u8>> = vec![Vec::new(); COPIES];
    let mut seen = [[(Looks::Unknown, 0); 3]; COPIES];
    let (mut text, mut digest) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for at in (0..END_MS).step_by(TICK_MS as usize) {
        let now = ms(START_MS + at);
        let before = words.clone();
        for (number, copy) in copies.iter_mut().enumerate() {
            match (at, number) {
                (36_000, 4) => assert!(copy.operators_say(now, "a", true)),
                (40_000, 5) => assert!(copy.operators_say(now, "a", false)),
                _ => {}
            }
            let shares = copy.shares();
            let own: Vec<Own> = (0..3)
                .map(|zone| {
                    if shares[zone].share > 0.0 || shares[zone].trial.is_some() {
                        let slow = (at / 1000 + number as u64).is_multiple_of(11);
                        let looks = match answers(at, number, zone) {
                            true => Looks::Answers { sent: Duration::ZERO, slow },
                            false => Looks::Silent { since: Duration::ZERO },
                        };
                        seen[number][zone] = (looks, at);
                    }
                    let (looks, since) = seen[number][zone];
                    let looks = match looks {
                        Looks::Unknown => Looks::Unknown,
                        Looks::Answers { slow, .. } => Looks::Answers { sent: ms(at - since), slow },
                        Looks::Silent { .. } => Looks::Silent { since: ms(at - since) },
                    };
                    Own { zone, ready: 2, looks }
                })
                .collect();
            let peers = (0..COPIES).filter(|other| *other != number).map(|other| Peer {
                id: other as u64 * 1000 + 7,
                name: ["p0", "p1", "p2"][other / 3],
                zone: ZONES[other % 3],
                said: Some(before[other].as_slice()).filter(|word| !word.is_empty()),
                age: ms(TICK_MS),
            });
            let news = copy.tick(now, &own, peers);
            words[number] = copy.word().to_vec();
            digest = digested(digest, copy.word());
            if !at.is_multiple_of(1000) {
                continue;
            }
            write!(text, "{at} {number} {news} {} {digest:016x}", copy.cut_off()).expect("text");
            for (standing, share) in copy.standings().zip(copy.shares()) {
                let (stage, evidence) = (standing.stage.name(), evidence_text(&standing.evidence));
                let (verdict, departures) = (standing.number, standing.departures);
                let (operators, since, trial) = (standing.operators, standing.since, share.trial);
                let share = share.share;
                write!(
                    text,
                    "; {stage} {verdict} {departures} {operators} {since:?} {share} {trial:?} {evidence}"
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
fn a_scripted_run_comes_to_the_same_words_verdicts_and_shares() {
    compare("trace.txt", &run());
}
