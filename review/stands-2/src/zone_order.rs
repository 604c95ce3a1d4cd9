//! Operators give commands on a zone while the paths between the members of the fleet are cut.

use crate::rig::*;
use crate::zones::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// "All within 3 s" after a partition, and "the whole fleet evacuates the zone, within 2 s"; doubled to be sure.
const SETTLED: Duration = Duration::from_millis(10_000);

/// Leads datagrams for one member to it. While `cut` is set, those that pass between the first member and the others are
/// dropped.
fn proxy(own: SocketAddr, first: SocketAddr, cut: Arc<AtomicBool>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the proxy's address");
    let address = socket.local_addr().expect("its address");
    thread::spawn(move || {
        let mut bytes = [0; 65536];
        loop {
            let Ok((count, from)) = socket.recv_from(&mut bytes) else { continue };
            let crosses = (from == first) != (own == first);
            if !(crosses && cut.load(Ordering::Relaxed)) {
                let _ = socket.send_to(&bytes[..count], own);
            }
        }
    });
    address
}

fn command(console: SocketAddr, name: &str, words: &str) {
    let answered = put(console, &format!("/zones/{words}"), "b").map(|found| found.status());
    note(&format!("PUT /zones/{words} b at {name}: {answered:?}"));
    if answered != Some(200) {
        say("a command was not accepted");
        end(NOT_RUN);
    }
}

pub fn case() -> ! {
    let (at_a, at_b) = (Arrivals::default(), Arrivals::default());
    let servers = [
        ("a1", "a", server("a", at_a.clone())),
        ("a2", "a", server("a", at_a.clone())),
        ("b1", "b", server("b", at_b.clone())),
        ("b2", "b", server("b", at_b.clone())),
    ];
    let cut = Arc::new(AtomicBool::new(false));
    let mut replicas = replicas();
    let first = replicas[0].fleet;
    replicas.iter_mut().for_each(|replica| replica.advertise = proxy(replica.fleet, first, cut.clone()));
    let seeds: Vec<SocketAddr> = replicas.iter().map(|replica| replica.advertise).collect();
    let consoles = [free_port(), free_port(), free_port()];
    for (replica, console) in replicas.iter().zip(&consoles) {
        let file = write_file(replica, &seeds, &servers);
        let log = format!("{}.log", replica.name);
        let _ = start(&log, &["serve", "--file", &file], &[("NODE_CONSOLE", console.to_string())]);
    }
    replicas.iter().for_each(|replica| wait_ready(replica.listen));
    let live = |console: &SocketAddr, count: &str| get(*console, "/fleet").is_some_and(|page| page.text().contains(count));
    if !wait_until(ms(15_000), || consoles.iter().all(|console| live(console, "3 live"))) {
        say("the fleet did not form");
        end(NOT_RUN);
    }
    let clients = Clients::start(replicas[0].listen, 8, &["view", "confirm"], ms(3000), ms(6000), ms(100));
    thread::sleep(ms(3000));
    if trouble() {
        note("the paths between n0 and the others are cut");
        cut.store(true, Ordering::Relaxed);
        if !wait_until(ms(15_000), || live(&consoles[0], "1 live") && live(&consoles[1], "2 live")) {
            say("the members did not notice the cut");
            end(NOT_RUN);
        }
    }
    // The operators empty the zone by n1 and take it back, and empty it again, by n0 this time.
    command(consoles[1], "n1", "leave");
    thread::sleep(ms(3000));
    command(consoles[1], "n1", "return");
    thread::sleep(ms(5000));
    command(consoles[0], "n0", "leave");
    let left_at = since_start();
    thread::sleep(ms(3000));
    let views = || consoles.map(zone_b);
    note(&format!("3 s after the last command: {:?}", views()));
    cut.store(false, Ordering::Relaxed);
    note("all paths are whole");
    thread::sleep(SETTLED);
    let settled = views();
    note(&format!("{SETTLED:?} later: {settled:?}"));
    let settled_at = since_start();
    thread::sleep(ms(4000));
    let whole_fleet = consoles.iter().all(|console| live(console, "3 live"));
    let sent = clients.finish();
    ["n0.log", "n1.log", "n2.log"].iter().for_each(|log| note_log(log, &["zones: verdict", "console:", "member is dead", "returned"]));
    let late = at_b.lock().unwrap().iter().filter(|(at, _)| *at >= settled_at).count();
    let not_left = settled.iter().filter(|view| !view.starts_with("left")).count();
    say(&format!(
        "{} requests; the newest command, leave b, was accepted at {:.1} s; {not_left} of 3 sidecars do not hold to it {SETTLED:?} \
         after the cut, and {late} requests came to zone b after that; the fleet is whole: {whole_fleet}",
        sent.len(),
        left_at.as_secs_f64()
    ));
    if sent.len() < 200 || !whole_fleet {
        end(NOT_RUN);
    }
    end(if not_left > 0 { BROKEN } else { HELD })
}
