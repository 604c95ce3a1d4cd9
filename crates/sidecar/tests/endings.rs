//! What is still owed when something ends, on real sockets, with the crossing forced by order: a gate that lets no dial
//! through until it is opened, a program that stands still while things cross. `docs/endings.md` has the rows.

mod helpers;

use helpers::gate::*;
use helpers::*;
use landingspread_lab::sockets::{Does, Peer};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const WAYS: [Way; 7] =
    [Way::Closes, Way::HalfCloses, Way::Resets, Way::FullAhead, Way::MidBody, Way::Crosses, Way::Unread];
/// Of each verb in one play: the module lets some 30 be out at once here.
const OF_EACH: usize = 8;
const PLAYS: usize = 3;

/// One way, all verbs: how many left, and how many of their commands were written within and past the time.
fn leavings(way: Way, cancel: bool) -> (usize, usize, usize) {
    let mut gate = Gate::closed();
    let discovery = list_source();
    let known = many_at(gate.address, VERBS.len() * OF_EACH);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| roomy(config, cancel));
    if way == Way::Unread {
        gate.open();
        stop(&sidecar);
    }
    let mut stays = sidecar.open().expect("a connection");
    stays.write_all(cmd("view", "stays", 3900).as_bytes()).expect("it is written");
    let mut callers = Vec::new();
    for (number, verb) in (0..VERBS.len() * OF_EACH).map(|number| (number, VERBS[number % VERBS.len()])) {
        let mut stream = sidecar.open().expect("a connection");
        write_as(way, &mut stream, verb, &format!("c{number}"));
        callers.push(stream);
    }
    if way != Way::Unread {
        within("all wait for their connections", || dialling(gate.address) == callers.len() + 1);
    }
    if way == Way::Crosses {
        stop(&sidecar);
    }
    let count = callers.len();
    callers.into_iter().for_each(|stream| leave(way, stream));
    let left = Instant::now();
    if matches!(way, Way::Unread | Way::Crosses) {
        if way == Way::Crosses {
            gate.open();
            within("their connections come up", || dialling(gate.address) == 0);
        }
        thread::sleep(LATE.saturating_sub(left.elapsed()) + ms(20));
        go_on(&sidecar);
    } else {
        // What is still dialling 0.25 s later would be written as soon as it is let through.
        thread::sleep(ms(250));
        gate.open();
    }
    let (status, ..) = answer(&mut stays).expect("a final word");
    assert_eq!(status, 200, "who stays is answered: {way:?}");
    thread::sleep(LOOKED_FOR.saturating_sub(left.elapsed()));
    let came = gate.came();
    assert!(came.iter().any(|(id, _)| id == "stays"));
    let of_the_left: Vec<&Instant> = came.iter().filter(|(id, _)| id != "stays").map(|(_, at)| at).collect();
    let late = of_the_left.iter().filter(|at| **at > &(left + LATE)).count();
    (count, of_the_left.len() - late, late)
}

fn no_leaving_is_late(cancel: bool) {
    let (mut all, mut soon, mut wrong) = (0, 0, Vec::new());
    for way in WAYS {
        let plays: Vec<_> = (0..PLAYS).map(|_| thread::spawn(move || leavings(way, cancel))).collect();
        let played = plays.into_iter().map(|play| play.join().expect("a play"));
        let (left, within, late) = played.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
        println!(
            "cancelling allowed: {cancel}, {way:?}: {left} left, {within} written within 0.1 s, {late} later"
        );
        (all, soon) = (all + left, soon + within);
        if late > 0 {
            wrong.push(format!("{way:?}: {late} of {left}"));
        }
    }
    println!("cancelling allowed: {cancel}: {all} left, {soon} written within 0.1 s");
    assert!(wrong.is_empty(), "written 0.1 s after their callers had left: {wrong:?}");
}

#[test]
fn what_a_caller_left_behind_is_not_sent_on_where_relays_may_be_called_off() {
    no_leaving_is_late(true);
}

#[test]
fn nor_where_they_may_not() {
    no_leaving_is_late(false);
}

#[test]
fn a_held_command_whose_caller_left_is_not_sent_on_when_its_turn_comes() {
    for cancel in [true, false] {
        let mut gate = Gate::closed();
        gate.answers.store(false, Ordering::Relaxed);
        gate.open();
        let discovery = list_source();
        let known = catalog(1, &[("s1", gate.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| roomy(config, cancel));
        let mut callers = Vec::new();
        for number in 0..8 {
            let mut stream = sidecar.open().expect("a connection");
            stream.write_all(cmd("confirm", &format!("h{number}"), 3900).as_bytes()).expect("it is written");
            callers.push(stream);
        }
        within("the first ones are out", || gate.came().len() >= 2);
        thread::sleep(ms(50));
        let out = gate.came().len();
        assert!(out < callers.len(), "some are held: {out} are out");
        // The end and the turn cross: the program reads both at once.
        stop(&sidecar);
        callers.into_iter().for_each(drop);
        let left = Instant::now();
        gate.answers.store(true, Ordering::Relaxed);
        thread::sleep(LATE + ms(50));
        go_on(&sidecar);
        assert_eq!(sidecar.cmd("view", "after", 1500), 200);
        thread::sleep(ms(300));
        let late = gate.came().iter().filter(|(id, at)| id != "after" && *at > left + LATE).count();
        assert_eq!(late, 0, "cancelling allowed: {cancel}");
    }
}

#[test]
fn a_relay_that_waits_for_its_connection_goes_elsewhere_once_its_server_drains_moves_or_is_gone() {
    let other = endpoint(Does::Answer);
    for (round, change) in ["draining", "gone", "missing", "moved"].into_iter().enumerate() {
        let mut gate = Gate::closed();
        let discovery = list_source();
        let known = catalog(1, &[("s1", gate.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| roomy(config, false));
        let mut callers: Vec<TcpStream> = Vec::new();
        for (number, verb) in VERBS.into_iter().enumerate() {
            let mut stream = sidecar.open().expect("a connection");
            stream
                .write_all(cmd(verb, &format!("d{round}-{number}"), 3900).as_bytes())
                .expect("it is written");
            callers.push(stream);
        }
        within("all wait for their connections", || dialling(gate.address) == VERBS.len());
        let entries = match change {
            "missing" => vec![("s2", other.address, "ready")],
            "moved" => vec![("s1", other.address, "ready")],
            state => vec![("s1", gate.address, state), ("s2", other.address, "ready")],
        };
        discovery.write(2, catalog(2, &entries).to_string());
        within("the dials are given up", || dialling(gate.address) == 0);
        let told = Instant::now();
        gate.open();
        for stream in &mut callers {
            // A command never goes to one server twice, wherever that is by then.
            let wanted = if change == "moved" { 503 } else { 200 };
            assert_eq!(answer(stream).map(|(status, ..)| status), Some(wanted), "{change}");
        }
        thread::sleep(LOOKED_FOR.saturating_sub(told.elapsed()));
        assert!(gate.came().is_empty(), "{change}: {:?}", gate.came());
    }
}

#[test]
fn a_long_body_that_is_spent_is_not_begun_again_after_its_relay_was_called_off() {
    // Answers what is short, and hangs on what is long.
    let hangs = free();
    let (hang_at, begun) = (hangs.local_addr().expect("an address"), Arc::<Mutex<usize>>::default());
    let counted = begun.clone();
    thread::spawn(move || {
        for stream in hangs.incoming().flatten() {
            let counted = counted.clone();
            thread::spawn(move || {
                let _ = stream.peek(&mut [0]);
                let mut peer = Peer::new(stream);
                while let Ok(Some(heard)) = peer.command() {
                    if heard.body.len() > 1000 {
                        *counted.lock().expect("a lock") += 1;
                        thread::sleep(ms(3000));
                        return;
                    }
                    let _ = peer.write(OK);
                }
            });
        }
    });
    let discovery = list_source();
    let known = catalog(1, &[("s1", hang_at, "ready"), ("s2", hang_at, "ready"), ("s3", hang_at, "ready")]);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| roomy(config, true));
    for number in 0..60 {
        assert_eq!(sidecar.cmd("view", &format!("w{number}"), 1500), 200);
    }
    let mut stream = sidecar.open().expect("a connection");
    let length = 150_000;
    let head =
        cmd("view", "long", 1200).replace("\r\n\r\n", &format!("\r\nContent-Length: {length}\r\n\r\n"));
    stream.write_all(head.as_bytes()).expect("it is written");
    stream.write_all(&vec![b'x'; length]).expect("it is written");
    let asked = Instant::now();
    let status = answer(&mut stream).map(|(status, ..)| status);
    assert!(status.is_some(), "a final word is owed");
    assert!(asked.elapsed() < ms(1300), "{status:?} after {:?}", asked.elapsed());
    assert_eq!(*begun.lock().expect("a lock"), 1, "it was begun once");
}

#[test]
fn after_sigterm_all_that_was_taken_has_a_final_word_and_the_process_ends_in_time() {
    // A server that answers, one that hangs, and one that lets no connection through.
    let (good, hangs) = (endpoint(Does::Answer), endpoint(Does::Wait(20_000)));
    let mut plays = Vec::new();
    for number in 0..24u64 {
        let (good, hangs) = (good.address, hangs.address);
        plays.push(thread::spawn(move || end_one(number, good, hangs)));
    }
    plays.into_iter().for_each(|play| play.join().expect("it ends as it should"));
}

/// One process, told to end at a point that the number gives, with commands at every stage.
fn end_one(number: u64, good: SocketAddr, hangs: SocketAddr) {
    let gate = Gate::closed();
    let discovery = list_source();
    let known = catalog(1, &[("s1", good, "ready"), ("s2", hangs, "ready"), ("s3", gate.address, "ready")]);
    let limit = ms(800);
    let mut sidecar = Sidecar::start_as(&known, discovery.address, |config| {
        roomy(config, number.is_multiple_of(2));
        for verb in config["settings"]["Verbs"].as_array_mut().expect("verbs") {
            (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(800_000), json!(800_000));
        }
    });
    let verb = |at: u64| VERBS[(at % 3) as usize];
    let ask = |at: u64| {
        let mut stream = sidecar.open()?;
        let text = cmd(verb(at), &format!("e{number}-{at}"), 800);
        stream.write_all(text.as_bytes()).ok()?;
        Some(stream)
    };
    // Kept connections, one that is half way through a head, one half way through a body, one that says nothing.
    let mut kept = sidecar.open().expect("a connection");
    kept.write_all(cmd("view", &format!("k{number}"), 800).as_bytes()).expect("it is written");
    let _ = answer(&mut kept);
    let mut half = sidecar.open().expect("a connection");
    half.write_all(b"GET /view/1 HTTP/1.1\r\nHost: a").expect("it is written");
    let mut body = sidecar.open().expect("a connection");
    let long =
        cmd("confirm", &format!("b{number}"), 800).replace("Content-Length: 4", "Content-Length: 200000");
    body.write_all(long.as_bytes()).expect("it is written");
    let _silent = sidecar.open().expect("a connection");
    let mut open: Vec<TcpStream> = (0..4).filter_map(ask).collect();
    let crossing = number.is_multiple_of(3);
    if crossing {
        // The signal, what came before it and what came after it are there at once.
        stop(&sidecar);
    }
    open.extend((4..8).filter_map(ask));
    sidecar.signal("-TERM");
    open.extend((8..12).filter_map(ask));
    if crossing {
        go_on(&sidecar);
    }
    let told = Instant::now();
    if number % 4 == 1 {
        sidecar.signal("-TERM");
        sidecar.signal("-HUP");
    }
    // On the kept connection too, and on a new one a little later.
    let again = kept.write_all(cmd("view", &format!("l{number}"), 800).as_bytes()).is_ok();
    thread::sleep(ms(200));
    let late = ask(12);
    let word = |stream: &mut TcpStream| answer(stream).map(|(status, ..)| status);
    assert_eq!(open.len(), 12);
    for (at, stream) in open.iter_mut().chain(late.into_iter().collect::<Vec<_>>().iter_mut()).enumerate() {
        let word = word(stream);
        assert!(matches!(word, Some(200 | 502 | 503)), "play {number}, command {at}: {word:?}");
    }
    if again {
        assert!(matches!(word(&mut kept), Some(200 | 502 | 503)), "play {number}: the kept connection");
    }
    let within_limit = limit + ms(700);
    let end = loop {
        if let Some(end) = sidecar.child.try_wait().expect("a child") {
            break end;
        }
        assert!(told.elapsed() < within_limit, "play {number}: it runs past {within_limit:?}");
        thread::sleep(ms(5));
    };
    assert!(end.success(), "play {number}: {end}");
    drop((half, body));
}

/// What was open when the signal came, and due only after the process is killed, is owed a word before that too.
#[test]
fn after_sigterm_commands_with_more_time_than_the_process_has_hear_a_word_before_it_is_killed() {
    for cancel in [true, false] {
        let mut gate = Gate::closed();
        let hangs = endpoint(Does::Wait(20_000));
        let discovery = list_source();
        let known = catalog(1, &[("s1", hangs.address, "ready"), ("s2", gate.address, "ready")]);
        let mut sidecar = Sidecar::start_as(&known, discovery.address, |config| {
            roomy(config, cancel);
            config["settings"]["PolicyLimits"]["DialTimeout"] = json!(30_000_000);
            for verb in config["settings"]["Verbs"].as_array_mut().expect("verbs") {
                (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(9_000_000), json!(9_000_000));
            }
        });
        let ask = |number: usize| {
            let mut stream = sidecar.open().expect("a connection");
            let text = cmd(VERBS[number % 3], &format!("t{number}"), 9000);
            stream.write_all(text.as_bytes()).expect("it is written");
            stream
        };
        let mut open: Vec<TcpStream> = (0..9).map(ask).collect();
        within("some hang and some dial", || hangs.count() > 0 && dialling(gate.address) > 0);
        sidecar.signal("-TERM");
        let told = Instant::now();
        for (number, stream) in open.iter_mut().enumerate() {
            let word = answer(stream).map(|(status, ..)| status);
            // Only what is known not to have run, or may be repeated, is harmless to ask for again.
            let wanted = matches!(word, Some(503)) || (VERBS[number % 3] != "view" && word == Some(502));
            assert!(
                wanted,
                "cancelling allowed: {cancel}, command {number}: {word:?} after {:?}",
                told.elapsed()
            );
        }
        let end = loop {
            if let Some(end) = sidecar.child.try_wait().expect("a child") {
                break end;
            }
            assert!(told.elapsed() < ms(3700), "it runs past the time of its kill");
            thread::sleep(ms(5));
        };
        assert!(end.success(), "{end}");
        gate.open();
        thread::sleep(ms(300));
        assert!(gate.came().is_empty());
    }
}

#[test]
fn the_other_relay_of_a_pair_is_not_begun_once_the_command_is_answered() {
    for cancel in [true, false] {
        let mut gate = Gate::closed();
        let well = endpoint(Does::Wait(30));
        let discovery = list_source();
        let known = catalog(1, &[("s1", well.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| {
            roomy(config, cancel);
            config["settings"]["PolicyLimits"]["ParallelTries"] = json!(true);
        });
        for number in 0..20 {
            assert_eq!(sidecar.cmd("view", &format!("w{number}"), 3900), 200);
        }
        let before = discovery.seen().0;
        let both = [("s1", well.address, "ready"), ("s2", gate.address, "ready")];
        discovery.write(2, catalog(2, &both).to_string());
        within("the list is taken", || discovery.seen().0 > before);
        // Those that are drawn to the gate are overdue soon, and are answered by the other server meanwhile.
        let mut pairs = 0;
        for number in 0..60 {
            let mut stream = sidecar.open().expect("a connection");
            let text = cmd("view", &format!("p{number}"), 3900);
            stream.write_all(text.as_bytes()).expect("it is written");
            let dialled = loop {
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(ms(5)));
                let dials = dialling(gate.address) > 0;
                if dials || matches!(stream.peek(&mut byte), Ok(1)) {
                    break dials;
                }
            };
            let _ = stream.set_read_timeout(Some(BOUNDED));
            assert_eq!(answer(&mut stream).map(|(status, ..)| status), Some(200), "command {number}");
            if dialled {
                pairs += 1;
                // Its own time is 4 s.
                let answered = Instant::now();
                while dialling(gate.address) > 0 {
                    assert!(answered.elapsed() < ms(1000), "cancelling allowed: {cancel}: it dials on");
                    thread::sleep(ms(5));
                }
            }
        }
        assert!(pairs > 0, "some are drawn to the gate");
        println!("cancelling allowed: {cancel}: {pairs} pairs");
        gate.open();
        thread::sleep(LOOKED_FOR);
        assert!(gate.came().is_empty(), "cancelling allowed: {cancel}: {:?}", gate.came());
    }
}

#[test]
fn an_answer_that_comes_before_its_commands_last_byte_is_no_answer_to_it() {
    // A second copy of the first answer, so late that the next command has begun.
    let listener = free();
    let at = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                if matches!(peer.command(), Ok(Some(_))) && peer.write(OK).is_ok() {
                    let _ = peer.stream.peek(&mut [0]);
                    let _ = peer.write(OK);
                    let _ = peer.command();
                }
            });
        }
    });
    for (number, verb) in VERBS.into_iter().enumerate() {
        let discovery = list_source();
        let known = catalog(1, &[("s1", at, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| roomy(config, true));
        assert_eq!(sidecar.cmd("hold", &format!("f{number}"), 1500), 200);
        // Quiet for so long the connection is used again, which is the crossing.
        thread::sleep(ms(60));
        let mut stream = sidecar.open().expect("a connection");
        let text = cmd(verb, &format!("n{number}"), 1500).replace("Content-Length: 4\r\n", "");
        let (head, _) = text.split_once("\r\n\r\n").expect("a head");
        stream
            .write_all(format!("{head}\r\nContent-Length: 200000\r\n\r\n").as_bytes())
            .expect("it is written");
        stream.write_all(&[b'x'; 100_000]).expect("it is written");
        // Nothing of it can have run: to ask again is harmless.
        assert_eq!(answer(&mut stream).map(|(status, ..)| status), Some(503), "{verb}");
    }
}
