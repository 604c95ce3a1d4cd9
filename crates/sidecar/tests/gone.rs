//! A caller that has gone: no attempt of its command, first or further, begins more than 0.1 s after its end could be
//! read. Each play forces one moment of a command, one way of leaving, with the process running or standing still
//! across it. `docs/endings.md` has the rows.

mod helpers;

use helpers::gate::*;
use helpers::*;
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nno";
/// The connection ends with no answer.
const CUT: &[u8] = b"";
const CALLERS: usize = 24;
const AT_ONCE: usize = 4;

/// What a command waits for when its caller leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// The connection of its first attempt.
    First,
    /// That of a further one, after an attempt that is known not to have run; where the process stands still, the
    /// word of that attempt's end itself.
    Refused,
    /// The same after one that may have run.
    Cut,
    /// That of the second of a pair, while the first hangs.
    Second,
    /// Its turn: the module holds it.
    Held,
}

const MOMENTS: [Moment; 5] = [Moment::First, Moment::Refused, Moment::Cut, Moment::Second, Moment::Held];
const WAYS: [Way; 4] = [Way::Closes, Way::HalfCloses, Way::Resets, Way::FullAhead];

#[derive(Clone, Copy, Debug)]
struct Case {
    moment: Moment,
    way: Way,
    cancel: bool,
    /// The process is stopped while callers leave, and what they wait for comes meanwhile.
    stopped: bool,
}

#[derive(Default)]
struct Played {
    /// So many had an attempt still before them when they left.
    forced: usize,
    begun_late: usize,
    dialling_late: usize,
    /// From when the ends could be read to when the last dial was given up.
    longest: Duration,
    /// For how long the process was given no processor meanwhile.
    waited: Duration,
}

/// Until the count has not changed for 60 ms.
fn settled(count: impl Fn() -> usize) -> usize {
    let (mut last, mut since) = (count(), Instant::now());
    while since.elapsed() < ms(60) {
        thread::sleep(ms(5));
        if std::mem::replace(&mut last, count()) != last {
            since = Instant::now();
        }
    }
    last
}

fn say(gate: &Gate, word: &'static [u8]) {
    *gate.word.lock().expect("a lock") = word;
    gate.answers.store(true, Ordering::Relaxed);
}

fn play(case: Case) -> Played {
    let Case { moment, way, cancel, stopped } = case;
    let crosses = stopped && matches!(moment, Moment::Refused | Moment::Cut);
    // First attempts are at `near`, or go on from there to `far`.
    let near = Gate::opened();
    let mut far = if crosses { Gate::opened() } else { Gate::closed() };
    let names: Vec<String> = (0..CALLERS).map(|number| format!("s{number}")).collect();
    let list = |near_ones: usize, all: usize| {
        let at = |number: usize| if number < near_ones { near.address } else { far.address };
        let entries = names[..all].iter().enumerate();
        entries.map(|(number, name)| (name.as_str(), at(number), "ready")).collect::<Vec<_>>()
    };
    let known = match moment {
        Moment::First => list(0, CALLERS),
        Moment::Refused | Moment::Cut => list(CALLERS / 2, CALLERS),
        Moment::Second => list(CALLERS / 2, CALLERS / 2),
        Moment::Held => list(1, 1),
    };
    let discovery = list_source();
    let sidecar = Sidecar::start_as(&catalog(1, &known), discovery.address, |config| {
        roomy(config, cancel);
        config["settings"]["PolicyLimits"]["ParallelTries"] = json!(moment == Moment::Second);
    });
    match moment {
        Moment::Second => {
            for number in 0..40 {
                assert_eq!(sidecar.cmd(VERBS[number % 2], &format!("w{number}"), 3900), 200);
            }
            let before = discovery.seen().0;
            discovery.write(2, catalog(2, &list(CALLERS / 2, CALLERS)).to_string());
            within("the list is taken", || discovery.seen().0 > before);
            near.answers.store(false, Ordering::Relaxed);
        }
        Moment::Refused if !stopped => say(&near, REFUSED),
        Moment::Cut if !stopped => say(&near, CUT),
        _ => near.answers.store(false, Ordering::Relaxed),
    }
    let warm = near.came().len();
    let mut callers = Vec::new();
    let mut ask = |number: usize| {
        let mut stream = sidecar.open().expect("a connection");
        write_as(way, &mut stream, VERBS[number % VERBS.len()], &format!("c{number}"));
        callers.push(stream);
    };
    (0..CALLERS).for_each(&mut ask);
    let forced = match moment {
        Moment::First => {
            within("all wait for their connections", || dialling(far.address) == CALLERS);
            CALLERS
        }
        Moment::Held => {
            within("the first ones are out", || near.came().len() >= 2);
            CALLERS - settled(|| near.came().len())
        }
        _ if crosses => {
            within("first attempts are out", || near.came().len() > warm);
            settled(|| near.came().len())
        }
        _ => {
            // How many of them go on to `far` is chance: more are asked for until four wait there.
            let (begun, mut more) = (Instant::now(), CALLERS..2 * CALLERS);
            within("some wait for their connections", || {
                let enough = dialling(far.address) >= 4;
                if !enough && begun.elapsed() > ms(25) {
                    more.next().into_iter().for_each(&mut ask);
                }
                enough
            });
            settled(|| dialling(far.address))
        }
    };
    assert!(near.came().len() > warm || moment == Moment::First, "{case:?}: first attempts are out");
    assert!(forced > 0, "{case:?}");
    if stopped {
        stop(&sidecar);
    }
    callers.into_iter().for_each(|stream| leave(way, stream));
    match moment {
        _ if !stopped => {}
        Moment::First | Moment::Second => {
            far.open();
            within("their connections come up", || dialling(far.address) == 0);
        }
        Moment::Refused => say(&near, REFUSED),
        Moment::Cut => say(&near, CUT),
        Moment::Held => say(&near, OK),
    }
    if stopped {
        thread::sleep(LATE + ms(20));
        go_on(&sidecar);
    }
    // From here on the ends can be read, as far as the process is given time.
    let (readable, before) = (Instant::now(), waited(&sidecar));
    let given = || LATE + waited(&sidecar).saturating_sub(before);
    let mut dialling_late = dialling(far.address);
    let mut longest = Duration::ZERO;
    while dialling_late > 0 && readable.elapsed() < given() {
        thread::sleep(ms(2));
        dialling_late = dialling(far.address);
        longest = readable.elapsed();
    }
    let waited = given() - LATE;
    thread::sleep((LATE + ms(20)).saturating_sub(readable.elapsed()));
    if !stopped && moment != Moment::Held {
        far.open();
    }
    say(&near, OK);
    thread::sleep(LOOKED_FOR.saturating_sub(readable.elapsed()));
    let late = |gate: &Gate| gate.came().iter().filter(|(_, at)| *at > readable + LATE + waited).count();
    let begun_late = late(&near) + late(&far);
    far.open();
    let asked = AtomicUsize::new(0);
    within("it serves on", || {
        let number = asked.fetch_add(1, Ordering::Relaxed);
        sidecar.cmd("view", &format!("on{number}"), 1500) == 200
    });
    Played { forced, begun_late, dialling_late, longest, waited }
}

fn every_case(cancel: bool, stopped: bool) -> usize {
    let cases = MOMENTS.into_iter().flat_map(|moment| WAYS.map(|way| Case { moment, way, cancel, stopped }));
    let left: Arc<Mutex<Vec<Case>>> = Arc::new(Mutex::new(cases.collect()));
    let (all, wrong) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let mut players = Vec::new();
    for _ in 0..AT_ONCE {
        let (left, all, wrong) = (left.clone(), all.clone(), wrong.clone());
        players.push(thread::spawn(move || {
            while let Some(case) = { left.lock().expect("a lock").pop() } {
                let Played { forced, begun_late, dialling_late, longest, waited } = play(case);
                println!(
                    "{case:?}: {forced} forced, {begun_late} begun late, {dialling_late} dialling late, \
                     the last dial given up after {longest:?}, without a processor {waited:?}"
                );
                all.fetch_add(forced, Ordering::Relaxed);
                if begun_late + dialling_late > 0 {
                    wrong.lock().expect("a lock").push(format!("{case:?}: {begun_late}, {dialling_late}"));
                }
            }
        }));
    }
    players.into_iter().for_each(|player| player.join().expect("the plays end"));
    let wrong = wrong.lock().expect("a lock");
    assert!(wrong.is_empty(), "begun, or still dialling, 0.1 s after their callers had gone: {wrong:?}");
    all.load(Ordering::Relaxed)
}

#[test]
fn nothing_begins_for_a_caller_that_has_gone() {
    let mut forced = 0;
    for cancel in [true, false] {
        for stopped in [false, true] {
            let count = every_case(cancel, stopped);
            println!("cancelling allowed: {cancel}, stopped across it: {stopped}: {count} forced");
            forced += count;
        }
    }
    println!("{forced} forced");
    assert!(forced >= 1000, "{forced} forced");
}
