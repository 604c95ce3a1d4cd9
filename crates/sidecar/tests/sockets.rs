//! Starts the program and speaks to it over sockets, with the lab's stand-ins for endpoints and discovery.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Does, Heard, Scripted, read};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Instant;

#[test]
fn a_command_is_answered_with_what_the_endpoint_said_and_passed_on_with_less_time() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut stream = sidecar.open().expect("a connection");
    for id in ["a1", "a2"] {
        stream.write_all(cmd("hold", id, 800).as_bytes()).expect("it is written");
        let (status, head, body) = answer(&mut stream).expect("an answer");
        assert_eq!((status, body.as_slice()), (200, &b"ok:body"[..]));
        assert_eq!(head.header("x-kept"), Some(id));
    }
    assert_eq!(sidecar.cmd("view", "a3", 800), 200);
    let seen = endpoint.seen();
    assert!(seen.cmds[0].first == "POST /hold");
    assert!(seen.cmds[2].first == "GET /view/1?x=2");
    assert_eq!(seen.cmds[0].header("x-trace-id"), Some("a1"));
    assert_eq!(seen.cmds[0].header("idempotency-key"), Some("ka1"));
    let left: u64 = seen.cmds[0].header("x-expires-in-ms").and_then(|text| text.parse().ok()).expect("time");
    assert!((700..=800).contains(&left), "{left} ms are left");
}

#[test]
fn a_refused_connection_or_a_word_that_it_never_ran_lets_an_effectful_command_go_on() {
    let (full, good) = (endpoint(Does::TurnAway), endpoint(Does::Answer));
    let servers = [("s1", nobody()), ("s2", full.address), ("s3", good.address)];
    let (sidecar, _discovery) = Sidecar::with(&servers);
    for number in 0..8 {
        assert_eq!(sidecar.cmd("confirm", &format!("c{number}"), 1500), 200);
    }
    assert_eq!(good.count(), 8, "each ran once");
}

#[test]
fn an_effectful_command_whose_connection_broke_ends_without_another_relay_or_a_decline() {
    for does in [Does::Break, Does::Fail] {
        let endpoints = [endpoint(does), endpoint(does)];
        let (sidecar, _discovery) =
            Sidecar::with(&[("s1", endpoints[0].address), ("s2", endpoints[1].address)]);
        assert_eq!(sidecar.cmd("confirm", "e1", 1500), 502);
        assert_eq!(endpoints[0].count() + endpoints[1].count(), 1);
        assert!([429, 503].contains(&sidecar.cmd("view", "p1", 1500)), "a pure one is harmless to try again");
        assert_eq!(endpoints[0].count() + endpoints[1].count(), 3, "and was tried at both");
    }
}

#[test]
fn a_kept_connection_that_the_endpoint_has_closed_is_not_written_to() {
    let endpoint = endpoint(Does::AnswerAndClose);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    for number in 0..5 {
        assert_eq!(sidecar.cmd("confirm", &format!("k{number}"), 1500), 200);
        thread::sleep(ms(20));
    }
}

#[test]
fn once_idle_connections_were_let_go_in_silence_an_effectful_command_takes_a_new_one() {
    let endpoint = endpoint(Does::LetGoAfter(80));
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut broken = 0;
    for number in 0..12 {
        broken += usize::from(sidecar.cmd("view", &format!("p{number}"), 1500) != 200);
        thread::sleep(ms(120));
    }
    assert!(broken >= 3, "pure ones find it out: {broken}");
    for number in 0..6 {
        assert_eq!(sidecar.cmd("confirm", &format!("u{number}"), 1500), 200);
        thread::sleep(ms(120));
    }
}

#[test]
fn a_second_copy_of_an_answer_is_never_taken_for_the_next_ones() {
    let endpoint = endpoint(Does::AnswerTwice);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut stream = sidecar.open().expect("a connection");
    for number in 0..30 {
        let id = format!("t{number}");
        stream.write_all(cmd("hold", &id, 800).as_bytes()).expect("it is written");
        let (status, head, _) = answer(&mut stream).expect("an answer");
        assert_eq!((status, head.header("x-kept")), (200, Some(id.as_str())));
    }
}

#[test]
fn a_new_server_at_an_old_ones_address_gets_connections_of_its_own() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    for (generation, server) in [(2, "s2"), (3, "s3")] {
        assert_eq!(sidecar.cmd("view", server, 1500), 200);
        thread::sleep(ms(10));
        let before = discovery.seen().0;
        discovery.write(generation, catalog(generation, &[(server, endpoint.address, "ready")]).to_string());
        within("the list is taken", || discovery.seen().0 > before);
    }
    assert_eq!(sidecar.cmd("view", "last", 1500), 200);
    assert_eq!(endpoint.seen().connections, 3);
}

#[test]
fn strangers_are_closed_in_time_and_before_callers_who_spoke_well() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut known = sidecar.open().expect("a connection");
    let mut ask = |id: &str| {
        known.write_all(cmd("view", id, 1500).as_bytes()).expect("it is written");
        answer(&mut known).map(|(status, _, _)| status)
    };
    assert_eq!(ask("k1"), Some(200));
    let begun = Instant::now();
    let mut trickle = sidecar.open().expect("a connection");
    let mut silent: Vec<TcpStream> = (0..70).filter_map(|_| sidecar.open()).collect();
    for byte in b"GET /view HTT" {
        let _ = trickle.write_all(&[*byte]);
        thread::sleep(ms(100));
    }
    assert_eq!(ask("k2"), Some(200), "the crowd took its room from itself");
    let word = answer(&mut trickle).map(|(status, _, _)| status);
    assert!(word.is_none_or(|status| status == 408), "{word:?}");
    assert!(silent.iter_mut().all(|stream| answer(stream).is_none()));
    assert!(begun.elapsed() < ms(2900), "{:?}", begun.elapsed());
    assert_eq!(ask("k3"), Some(200));
    let mut wrong = sidecar.open().expect("a connection");
    wrong.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").expect("it is written");
    assert_eq!(answer(&mut wrong).map(|(status, _, _)| status), Some(404));
    assert_eq!(read(&mut wrong, &mut [0]).ok(), Some(0), "an error is its connection's last word");
}

#[test]
fn callers_who_ask_once_and_stay_hold_up_nobody() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut stay = Vec::new();
    let mut waited = ms(0);
    for number in 0..150 {
        // One that says nothing yet comes before each.
        stay.push(sidecar.open().expect("a connection"));
        let mut stream = sidecar.open().expect("a connection");
        let begun = Instant::now();
        stream.write_all(cmd("view", &format!("y{number}"), 1900).as_bytes()).expect("it is written");
        assert_eq!(answer(&mut stream).map(|(status, _, _)| status), Some(200));
        waited += begun.elapsed();
        stay.push(stream);
        thread::sleep(ms(1));
    }
    assert!(waited < ms(1200), "150 answers took {waited:?}; most come with all places taken");
}

#[test]
fn idle_callers_make_room_for_new_ones_and_past_that_each_still_hears_a_word() {
    let endpoint = endpoint(Does::Wait(900));
    let servers = ["s1", "s2", "s3", "s4", "s5", "s6"].map(|id| (id, endpoint.address));
    let (sidecar, _discovery) = Sidecar::with(&servers);
    let idle: Vec<TcpStream> = (0..100).filter_map(|_| sidecar.open()).collect();
    assert_eq!(sidecar.cmd("view", "i1", 1900), 200, "all places are taken by idle ones");
    let mut busy: Vec<TcpStream> = (0..60).filter_map(|_| sidecar.open()).collect();
    for (number, stream) in busy.iter_mut().enumerate() {
        // One that was closed while idle shows when its answer is read.
        let _ = stream.write_all(cmd("view", &format!("i{number}x"), 1900).as_bytes());
    }
    let words: Vec<_> = busy.iter_mut().filter_map(answer).collect();
    assert!(words.len() >= 30 && words.iter().all(|(status, _, _)| [200, 503].contains(status)));
    assert!(
        words.iter().any(|(_, _, body)| body.starts_with(b"too many")),
        "no place is left, and it says so"
    );
    drop(idle);
    assert_eq!(sidecar.cmd("view", "i2", 1900), 200);
}

#[test]
fn a_new_connection_is_not_closed_for_room_before_its_first_command() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut new: Vec<TcpStream> = (0..40).filter_map(|_| sidecar.open()).collect();
    for (number, stream) in new.iter_mut().enumerate() {
        let _ = stream.write_all(cmd("confirm", &format!("f{number}"), 1900).as_bytes());
    }
    let words = new.iter_mut().filter_map(answer).count();
    assert_eq!(words, 40, "of 80 sockets 33 are for callers; each hears a word all the same");
}

#[test]
fn nothing_more_goes_to_a_server_that_drains() {
    let (old, new) = (endpoint(Does::Answer), endpoint(Does::Answer));
    let (sidecar, discovery) = Sidecar::with(&[("s1", old.address)]);
    assert_eq!(sidecar.cmd("view", "d0", 1500), 200);
    within("it watches", || discovery.seen().0 == 1);
    let list = [("s1", old.address, "draining"), ("s2", new.address, "ready")];
    discovery.write(2, catalog(2, &list).to_string());
    within("the next call comes at once", || discovery.seen().0 == 2);
    for number in 1..6 {
        assert_eq!(sidecar.cmd("view", &format!("d{number}"), 1500), 200);
    }
    assert_eq!((old.count(), new.count()), (1, 5));
}

#[test]
fn a_watch_whose_connection_stays_silent_is_given_up_and_called_anew() {
    let (old, new) = (endpoint(Does::Answer), endpoint(Does::Answer));
    let (sidecar, discovery) = Sidecar::with(&[("s1", old.address)]);
    // The stand-in says nothing before there is news, whatever the call said that it waits.
    within("the silent call is let go", || discovery.seen().1 == 1);
    within("and comes again", || discovery.seen().0 == 2);
    discovery.write(2, catalog(2, &[("s2", new.address, "ready")]).to_string());
    within("its answer is taken", || sidecar.cmd("view", "q1", 1500) == 200 && new.count() > 0);
}

#[test]
fn a_slow_endpoint_costs_a_command_no_more_than_its_time_and_hears_that_it_is_over() {
    let endpoint = endpoint(Does::Wait(3000));
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let begun = Instant::now();
    let status = sidecar.cmd("confirm", "w1", 300);
    let took = begun.elapsed();
    assert_eq!(status, 502, "it may have run");
    assert!(took > ms(280) && took < ms(370), "the final word came after {took:?}");
    within("the endpoint is let go", || endpoint.seen().dropped == 1);
}

#[test]
fn a_client_that_leaves_ends_its_relay() {
    let endpoint = endpoint(Does::Wait(4000));
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut stream = sidecar.open().expect("a connection");
    stream.write_all(cmd("view", "l1", 1900).as_bytes()).expect("it is written");
    within("the relay is out", || endpoint.count() == 1);
    let begun = Instant::now();
    drop(stream);
    within("the endpoint is let go", || endpoint.seen().dropped == 1);
    assert!(begun.elapsed() < ms(500));
    assert_eq!(endpoint.count(), 1, "nothing is sent for it after");
}

#[test]
fn a_client_that_leaves_behind_bytes_written_ahead_ends_its_relay_and_only_its_own() {
    let endpoint = endpoint(Does::Wait(600));
    let (sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address), ("s2", endpoint.address)]);
    let mut first = sidecar.open().expect("a connection");
    first.write_all(cmd("view", "o1", 1900).as_bytes()).expect("it is written");
    within("the relay is out", || endpoint.count() == 1);
    // The same id again, from one who leaves at once: it may leave before it hears that it is terminated.
    for _ in 0..20 {
        let mut second = sidecar.open().expect("a connection");
        second.write_all(cmd("view", "o1", 1900).as_bytes()).expect("it is written");
    }
    assert_eq!(answer(&mut first).map(|(status, _, _)| status), Some(200));
    let mut ahead = sidecar.open().expect("a connection");
    ahead.write_all(cmd("view", "o2", 1900).repeat(3).as_bytes()).expect("it is written");
    within("the relay is out", || endpoint.count() == 2);
    let begun = Instant::now();
    drop(ahead);
    within("the endpoint is let go", || endpoint.seen().dropped == 1);
    assert!(begun.elapsed() < ms(400));
    assert_eq!(endpoint.count(), 2);
}

#[test]
fn a_list_of_thousands_of_servers_is_taken() {
    let endpoint = endpoint(Does::Answer);
    let (sidecar, discovery) = Sidecar::with(&[]);
    assert_eq!(sidecar.cmd("view", "w1", 900), 503);
    let mut list = catalog(2, &[("s1", endpoint.address, "ready")]);
    let mut drained = list["instances"][0].clone();
    drained["lifecycle"] = json!("draining");
    for number in 0..2000 {
        drained["instanceId"] = json!(format!("old-{number}"));
        list["instances"].as_array_mut().expect("a list").push(drained.clone());
    }
    discovery.write(2, list.to_string());
    within("it is taken", || sidecar.cmd("view", "w2", 900) == 200);
}

#[test]
fn without_discovery_or_with_a_list_that_cannot_be_read_the_old_list_holds() {
    let endpoint = endpoint(Does::Answer);
    let known = catalog(1, &[("s1", endpoint.address, "ready")]);
    let alone = Sidecar::start(&known, nobody());
    assert_eq!(alone.cmd("view", "n1", 1500), 200);
    let (mut sidecar, discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let lists = [
        "{\"generation\": 2, \"reset\": true".to_string(),
        json!({"generation": 2, "reset": true, "instances": [{"instanceId": "s1"}]}).to_string(),
        "[]".to_string(),
    ];
    for (number, list) in lists.into_iter().enumerate() {
        discovery.write(2, list);
        within("it asks again", || discovery.seen().0 > number as u64 + 1);
        assert_eq!(sidecar.cmd("view", &format!("b{number}"), 1500), 200);
    }
    assert!(sidecar.running());
}

/// Commands of all verbs from many callers at once against endpoints that do anything: each gets one final
/// word in its time, and an effectful one runs once at most and is declined only if it never ran.
#[test]
fn the_rules_hold_whatever_endpoints_do() {
    for seed in 0..3 {
        let endpoints: Vec<Scripted> = (0..4).map(|at| endpoint(Does::Any(seed * 10 + at))).collect();
        let ids = ["s1", "s2", "s3", "s4"];
        let mut servers: Vec<_> = ids.into_iter().zip(endpoints.iter().map(|one| one.address)).collect();
        servers.push(("s5", nobody()));
        let (mut sidecar, _discovery) = Sidecar::with(&servers);
        let ran = |id: &str| {
            let ran_at = |(at, one): (usize, &Scripted)| {
                let seen = one.seen();
                let mine = |head: &&Heard| head.header("x-trace-id") == Some(id);
                let turned =
                    |head: &Heard| matches!(Does::Any(seed * 10 + at as u64).with(head), Does::TurnAway);
                seen.cmds.iter().filter(mine).filter(|head| !turned(head)).count()
            };
            endpoints.iter().enumerate().map(ran_at).sum::<usize>()
        };
        thread::scope(|scope| {
            for caller in 0..8 {
                let (sidecar, ran) = (&sidecar, &ran);
                scope.spawn(move || {
                    let mut stream = sidecar.open().expect("a connection");
                    for number in 0..12 {
                        let id = format!("r{seed}-{caller}-{number}");
                        let verb = ["view", "hold", "confirm"][(caller + number) % 3];
                        let begun = Instant::now();
                        stream.write_all(cmd(verb, &id, 400).as_bytes()).expect("it is written");
                        let (status, _, _) = answer(&mut stream).expect("one final word");
                        assert!(begun.elapsed() < ms(470), "{id} took {:?}", begun.elapsed());
                        assert!([200, 502, 503].contains(&status));
                        if verb == "confirm" {
                            let ran = ran(&id);
                            assert!(ran <= 1 && !(status == 503 && ran > 0) && (status != 200 || ran == 1));
                        }
                    }
                });
            }
        });
        assert!(sidecar.running());
    }
}

#[test]
fn bad_input_is_turned_away_in_words_and_reaches_no_endpoint() {
    let endpoint = endpoint(Does::Answer);
    let (mut sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let head = "X-Trace-Id: x\r\nX-Customer: acme\r\n";
    let cases = [
        ("\0\0\0\r\n\r\n".to_string(), 400),
        ("GET /view\r\n\r\n".to_string(), 400),
        (format!("GET /unknown HTTP/1.1\r\n{head}\r\n"), 404),
        (format!("GET /confirm HTTP/1.1\r\n{head}\r\n"), 405),
        (format!("POST /hold HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n"), 400),
        ("GET /view HTTP/1.1\r\nX-Customer: acme\r\n\r\n".to_string(), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: soon\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: -5\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Expires-In-Ms: 99999999999999999999\r\n\r\n"), 400),
        (format!("POST /confirm HTTP/1.1\r\n{head}Content-Length: many\r\n\r\n"), 400),
        (format!("GET /view HTTP/1.1\r\n{head}X-Long: {}\r\n\r\n", "x".repeat(20_000)), 413),
        (format!("GET /view HTTP/1.1\r\n{head}{}\r\n", "X-Many: 1\r\n".repeat(100)), 413),
    ];
    for (text, wanted) in cases {
        let (status, _, _) = sidecar.ask(&text).unwrap_or_else(|| panic!("no word on {text:.60}"));
        assert_eq!(status, wanted, "{text:.60}");
    }
    let mut cut = sidecar.open().expect("a connection");
    cut.write_all(b"POST /confirm HTTP/1.1\r\nContent-Le").expect("it is written");
    drop(cut);
    assert_eq!(endpoint.count(), 0);
    assert_eq!(sidecar.cmd("confirm", "z1", 1500), 200);
    assert!(sidecar.running());
}

#[test]
fn sighup_moves_the_watch_to_the_discovery_that_the_file_names_and_keeps_it_if_the_file_is_faulty() {
    let endpoints = [(); 3].map(|()| endpoint(Does::Answer));
    let (mut sidecar, old) = Sidecar::with(&[("s1", endpoints[0].address)]);
    within("it watches", || old.seen().0 == 1);
    let known = catalog(1, &[("s1", endpoints[0].address, "ready")]);
    let mut faulty = told(&known, sidecar.address, nobody());
    faulty["settings"]["Verbs"][0]["Effect"] = json!(7);
    sidecar.hang_up(&faulty.to_string());
    sidecar.hang_up("{");
    assert_eq!(sidecar.cmd("view", "h1", 1500), 200);
    old.write(7, catalog(7, &[("s2", endpoints[1].address, "ready")]).to_string());
    within("the old watch goes on", || old.seen().0 == 2);
    within("its list is taken", || sidecar.cmd("view", "h2", 1500) == 200 && endpoints[1].count() > 0);
    let new = list_source();
    new.write(3, catalog(3, &[("s3", endpoints[2].address, "ready")]).to_string());
    sidecar.hang_up(&told(&known, sidecar.address, new.address).to_string());
    within("the whole list is taken, then watched, also where it is counted lower", || new.seen().0 == 2);
    within("the watch at the old one is let go", || old.seen().1 == 1);
    let before = endpoints[1].count();
    for number in 0..4 {
        assert_eq!(sidecar.cmd("view", &format!("h3{number}"), 1500), 200);
    }
    assert_eq!((endpoints[1].count(), endpoints[2].count()), (before, 4));
    assert!(sidecar.running());
}

#[test]
fn after_sigterm_it_goes_on_taking_for_a_while_finishes_and_exits() {
    let endpoint = endpoint(Does::Wait(400));
    let (mut sidecar, _discovery) = Sidecar::with(&[("s1", endpoint.address)]);
    let mut idle = sidecar.open().expect("a connection");
    let mut early = sidecar.open().expect("a connection");
    early.write_all(cmd("view", "t1", 1900).as_bytes()).expect("it is written");
    within("the relay is out", || endpoint.count() == 1);
    sidecar.signal("-TERM");
    let begun = Instant::now();
    within("it says that it ends", || {
        sidecar.ask("GET /_health HTTP/1.1\r\n\r\n").is_some_and(|(status, _, _)| status == 503)
    });
    assert_eq!(sidecar.cmd("view", "t2", 1900), 200, "a new connection is still heard");
    // Longest limit 2 s: killed after 2.7 s at the soonest, of which the last 1.5 s are for finishing.
    let word = |early: &mut TcpStream| {
        let (status, head, _) = answer(early).expect("what was taken is finished");
        (status, head.header("connection").map(str::to_string))
    };
    assert_eq!(word(&mut early), (200, None), "a caller may keep its connection while there is time");
    thread::sleep(ms(600).saturating_sub(begun.elapsed()));
    early.write_all(cmd("view", "t3", 1900).as_bytes()).expect("it is written");
    assert_eq!(word(&mut early), (200, None), "and is answered on it though new ones come no more");
    thread::sleep(ms(1000).saturating_sub(begun.elapsed()));
    early.write_all(cmd("view", "t4", 1900).as_bytes()).expect("it is written");
    assert_eq!(word(&mut early), (200, Some("close".to_string())), "but not to the end");
    assert!(answer(&mut idle).is_none(), "what waits is closed");
    within("it exits", || !sidecar.running());
    assert_eq!(sidecar.child.wait().expect("a child").code(), Some(0));
}

#[test]
fn a_faulty_configuration_is_told_by_its_key() {
    let good = told(&catalog(1, &[]), nobody(), nobody());
    let with = |pointer: &str, value: Value| {
        let mut faulty = good.clone();
        *faulty.pointer_mut(pointer).expect("a key") = value;
        faulty
    };
    let cases = BTreeMap::from([
        ("listen", with("/listen", json!("nowhere"))),
        ("limits.sockets", with("/limits/sockets", json!("many"))),
        ("limits.memory_mb", with("/limits/memory_mb", json!(1))),
        ("known: instances", with("/known", json!({"generation": 1, "reset": true}))),
        ("settings.Verbs.1.Name", with("/settings/Verbs/1/Name", json!(7))),
        ("Rules.ColdShare", with("/settings/Rules/ColdShare", json!("cold"))),
        ("Rules.TipMultiple", with("/settings/Rules/TipMultiple", json!("NaN"))),
        ("Verbs.0.Utility", with("/settings/Verbs/0/Utility", json!(-1.0))),
        ("seed", with("/seed", Value::Null)),
    ]);
    let check = |told: &Value| {
        let file = std::env::temp_dir().join(format!("landingspread-check-{}.json", nobody()));
        std::fs::write(&file, told.to_string()).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let output = program.arg("check").arg("--file").arg(&file).output().expect("it runs");
        let _ = std::fs::remove_file(&file);
        (output.status.success(), String::from_utf8_lossy(&output.stderr).to_string())
    };
    assert_eq!(check(&good), (true, String::new()));
    for (key, told) in &cases {
        let (fine, said) = check(told);
        assert!(!fine && said.contains(key), "{key}: {said}");
    }
}

/// The settings of a deployment where each caller has a sidecar of its own.
fn moved(config: &mut Value) {
    config["settings"]["Report"] = json!({"How": "probe", "Fields": ["active", "waiting"]});
    config["settings"]["Costs"] = json!({"Probe": 0.002, "Peer": 0.01, "Handshake": 0.05});
}

#[test]
fn where_checks_tell_loads_commands_go_where_least_is_held_from_the_first_on() {
    let (busy, idle) = (endpoint(Does::Holds(3)), endpoint(Does::Holds(0)));
    let known = catalog(1, &[("s1", busy.address, "ready"), ("s2", idle.address, "ready")]);
    let discovery = list_source();
    let sidecar = Sidecar::start_as(&known, discovery.address, moved);
    for (number, verb) in ["view", "confirm", "hold"].repeat(7).into_iter().enumerate() {
        assert_eq!(sidecar.cmd(verb, &format!("c{number}"), 1500), 200);
    }
    assert_eq!((busy.count(), idle.count()), (0, 21));
}

#[test]
fn what_was_learnt_before_the_switch_goes_by_in_the_first_second_and_is_kept_again() {
    let (slow, well) = (endpoint(Does::Answer), endpoint(Does::Answer));
    let known = catalog(1, &[("s1", slow.address, "ready"), ("s2", well.address, "ready")]);
    let discovery = list_source();
    let kept = std::env::temp_dir().join(format!("landingspread-learnt-{}.json", discovery.address));
    let unix =
        std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH).expect("a time");
    let start = |change: &dyn Fn(&mut Value)| {
        Sidecar::start_as(&known, discovery.address, |config| {
            moved(config);
            config["settings"]["Report"] = json!({"How": "none"});
            config["learnt"] = json!(kept);
            change(config);
        })
    };
    // The file says whose it is in words of its own.
    let _ = std::fs::remove_file(&kept);
    let (mut of, first) = (String::new(), start(&|_| ()));
    within("it keeps what it learns", || {
        let saved: Option<Value> = serde_json::from_slice(&std::fs::read(&kept).unwrap_or_default()).ok();
        of = saved.and_then(|saved| Some(saved["deployment"].as_str()?.to_string())).unwrap_or_default();
        !of.is_empty()
    });
    drop(first);
    let saved = |age_ms: u128| {
        json!({"version": 2, "deployment": of, "saved_unix_ms": (unix.as_millis() - age_ms) as u64, "servers": [
            {"id": "s1", "started_unix_ms": 0, "slowness": 2.0, "marked": true},
            {"id": "s2", "started_unix_ms": 0, "slowness": 1.0, "marked": false}]})
    };
    let play_as = |text: &str, change: &dyn Fn(&mut Value)| {
        std::fs::write(&kept, text).expect("a file");
        let sidecar = start(change);
        let before = (slow.count(), well.count());
        for number in 0..20 {
            assert_eq!(sidecar.cmd("view", &format!("f{number}"), 1500), 200);
        }
        ((slow.count() - before.0, well.count() - before.1), sidecar)
    };
    let play = |text: &str| play_as(text, &|_| ());
    let (went, _sidecar) = play(&saved(1000).to_string());
    assert_eq!(went, (0, 20), "the marked one gets nothing before its checks have passed");
    within("it keeps what it learns", || {
        let text = std::fs::read(&kept).unwrap_or_default();
        let saved: Option<Value> = serde_json::from_slice(&text).ok();
        saved.is_some_and(|saved| {
            saved["servers"][0]["id"] == "s1"
                && saved["saved_unix_ms"].as_u64() > Some(unix.as_millis() as u64)
        })
    });
    drop(_sidecar);
    // What is old, of another version or deployment, or half written is passed over.
    let other = saved(1000).to_string().replace("\"version\":2", "\"version\":1");
    let foreign = saved(1000).to_string().replace("tier 0 of", "tier 1 of");
    for text in [saved(120_000).to_string(), other, foreign, "{".to_string()] {
        let ((first, second), _sidecar) = play(&text);
        assert!(first > 0 && second > 0, "both are new: {first} and {second}");
    }
    // So is what another customer's process left, whose tier and verbs have the same names.
    let others: [&dyn Fn(&mut Value); 3] = [
        &|config| config["settings"]["Verbs"][0]["TimeLimit"] = json!(1_900_000),
        &|config| config["settings"]["Tenants"][0]["Name"] = json!("other"),
        &|config| config["settings"]["PolicyLimits"]["MostRelays"] = json!(5),
    ];
    for change in others {
        let ((first, second), _sidecar) = play_as(&saved(1000).to_string(), change);
        assert!(first > 0 && second > 0, "both are new: {first} and {second}");
    }
    let _ = std::fs::remove_file(&kept);
}

#[test]
fn a_commands_stated_cost_is_read_where_the_configuration_names_its_header() {
    let endpoint = endpoint(Does::Answer);
    let known = catalog(1, &[("s1", endpoint.address, "ready")]);
    let discovery = list_source();
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["cost_header"] = json!("X-Cost-Ms"));
    let with =
        |cost: &str, id: &str| cmd("view", id, 1500).replace("Host:", &format!("X-Cost-Ms: {cost}\r\nHost:"));
    let status = |text: &str| sidecar.ask(text).expect("a final word").0;
    assert_eq!((status(&with("12.5", "c1")), status(&with("a lot", "c2"))), (200, 400));
    assert_eq!((status(&with("0", "c3")), status(&cmd("view", "c4", 1500))), (400, 200));
}
