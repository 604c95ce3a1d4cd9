//! Operators empty one zone after the other and take it back; then a sidecar is restarted and told to empty a zone.

use crate::rig::*;
use crate::zones::*;
use std::net::SocketAddr;
use std::thread;

/// The zones of the deployment.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// "The whole fleet evacuates the zone, within 2 s".
const EVACUATED_WITHIN_MS: u64 = 2000;
/// How long the zone is watched after that.
const WATCHED_MS: u64 = 10_000;

fn view(console: SocketAddr, zone: &str) -> String {
    let page = get(console, "/zones").map(|page| page.text()).unwrap_or_default();
    let line = page.lines().find(|line| line.split_whitespace().nth(1) == Some(zone)).unwrap_or("no answer");
    line.split_whitespace().next().unwrap_or("").to_string()
}

fn command(console: SocketAddr, name: &str, words: &str, zone: &str) {
    let answered = put(console, &format!("/zones/{words}"), zone).map(|found| found.status());
    note(&format!("PUT /zones/{words} {zone} at {name}: {answered:?}"));
    if answered != Some(200) {
        say("a command was not accepted");
        end(NOT_RUN);
    }
}

pub fn case() -> ! {
    let (at_first, at_others) = (Arrivals::default(), Arrivals::default());
    let arrivals = |zone: &str| if zone == ZONES[0] { at_first.clone() } else { at_others.clone() };
    let servers: Vec<(String, &str, SocketAddr)> =
        ZONES.iter().map(|zone| (format!("{zone}1"), *zone, server(zone, arrivals(zone)))).collect();
    let servers: Vec<(&str, &str, SocketAddr)> =
        servers.iter().map(|(id, zone, address)| (id.as_str(), *zone, *address)).collect();
    let replicas = replicas();
    let seeds: Vec<SocketAddr> = replicas.iter().map(|replica| replica.advertise).collect();
    let consoles = [free_port(), free_port(), free_port()];
    let files: Vec<String> =
        replicas.iter().map(|replica| write_file(replica, &ZONES, &seeds, &servers)).collect();
    let serve = |number: usize, log: &str| {
        start(log, &["serve", "--file", &files[number]], &[("NODE_CONSOLE", consoles[number].to_string())])
    };
    let ids: Vec<u32> = (0..3).map(|number| serve(number, &format!("n{number}.log"))).collect();
    replicas.iter().for_each(|replica| wait_ready(replica.listen));
    let live =
        |console: &SocketAddr| get(*console, "/fleet").is_some_and(|page| page.text().contains("3 live"));
    if !wait_until(ms(15_000), || consoles.iter().all(live)) {
        say("the fleet did not form");
        end(NOT_RUN);
    }
    let clients = Clients::start(replicas[1].listen, 8, &["view", "confirm"], ms(3000), ms(6000), ms(100));
    thread::sleep(ms(2000));
    let all = |zone: &str, stage: &str| consoles.iter().all(|console| view(*console, zone) == stage);
    for zone in ZONES {
        command(consoles[0], "n0", "leave", zone);
        if !wait_until(ms(5000), || all(zone, "left")) {
            say("a zone was not evacuated");
            end(NOT_RUN);
        }
        command(consoles[0], "n0", "return", zone);
        if !wait_until(ms(15_000), || all(zone, "whole")) {
            say("a zone did not return");
            end(NOT_RUN);
        }
    }
    if trouble() {
        signal(ids[0], "TERM");
        if !wait_until(ms(8000), || ended(ids[0]).is_some()) {
            say("the sidecar did not end");
            end(NOT_RUN);
        }
        let _ = serve(0, "n0-again.log");
        wait_ready(replicas[0].listen);
        if !wait_until(ms(15_000), || consoles.iter().all(live)) {
            say("the fleet did not form again");
            end(NOT_RUN);
        }
        thread::sleep(ms(5000));
    }
    command(consoles[0], "n0", "leave", ZONES[0]);
    let (came_before, judged_from) =
        (at_first.lock().unwrap().len(), since_start() + ms(EVACUATED_WITHIN_MS));
    thread::sleep(ms(EVACUATED_WITHIN_MS + WATCHED_MS));
    let stages: Vec<String> = consoles.iter().map(|console| view(*console, ZONES[0])).collect();
    let sent = clients.finish();
    ["n0.log", "n0-again.log", "n1.log"]
        .iter()
        .for_each(|log| note_log(log, &["zones: verdict", "console:"]));
    let late: Vec<_> =
        at_first.lock().unwrap().iter().filter(|(at, _)| *at >= judged_from).cloned().collect();
    for (at, id) in &late {
        note(&format!("request {id} came to zone {} at {:.3}", ZONES[0], at.as_secs_f64()));
    }
    say(&format!(
        "{} requests, {came_before} came to zone {} before the command and {} more than {EVACUATED_WITHIN_MS} ms after the \
         operator's 200, in {WATCHED_MS} ms; it is then {stages:?} at n0, n1 and n2",
        sent.len(),
        ZONES[0],
        late.len()
    ));
    if sent.len() < 200 || came_before == 0 {
        end(NOT_RUN);
    }
    end(if late.is_empty() { HELD } else { BROKEN })
}
