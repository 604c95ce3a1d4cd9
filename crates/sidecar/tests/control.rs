//! Configuration that control machines hand out, over processes of the program with faults between them: what is in force
//! is shown by what sidecars do with commands and by what their consoles tell.

mod helpers;

use helpers::*;
use landingspread_control::{Contents, Snapshot};
use landingspread_lab::sockets::{Discovery, Does, Peer, Scripted};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Tests take turns: each has up to sixteen processes.
static TURN: Mutex<()> = Mutex::new(());
const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);
const SCOPE: &str = "basket";

fn address() -> SocketAddr {
    free().local_addr().expect("an address")
}

/// A folder of its own for the files of one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingspread-control-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

struct Process(Child);

impl Process {
    fn start(folder: &Path, name: &str, args: &[&str], config: &str) -> Process {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, config).expect("a file");
        let log = std::fs::File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        program.args(args).arg(&file).stderr(log.expect("a log")).env_remove("TMPDIR");
        Process(program.spawn().expect("the program starts"))
    }

    fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One call; None where there is no whole answer.
fn call(to: SocketAddr, head: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(4000))).ok()?;
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (status, _, body) = answer(&mut stream)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

struct Machine {
    address: SocketAddr,
    process: Process,
}

/// A control machine; `others` is where it finds the other ones.
fn machine(folder: &Path, name: &str, address: SocketAddr, others: &[SocketAddr]) -> Machine {
    let all: Vec<String> = [address].iter().chain(others).map(|at| format!("\"{at}\"")).collect();
    let state = folder.join(format!("{name}.state"));
    let config = format!("listen = \"{address}\"\nmachines = [{}]\nstate = {state:?}\n", all.join(", "));
    Machine { address, process: Process::start(folder, name, &["control"], &config) }
}

fn machines(folder: &Path, count: usize) -> Vec<Machine> {
    let all: Vec<SocketAddr> = (0..count).map(|_| address()).collect();
    let one = |(at, own): (usize, &SocketAddr)| {
        let others: Vec<SocketAddr> = all.iter().filter(|other| *other != own).copied().collect();
        machine(folder, &format!("m{at}"), *own, &others)
    };
    let started: Vec<Machine> = all.iter().enumerate().map(one).collect();
    for machine in &started {
        within("each machine hears all others", || hears(machine.address) == count - 1);
    }
    started
}

/// How many others this machine heard lately.
fn hears(at: SocketAddr) -> usize {
    let Some((200, text)) = call(at, "GET /control/v1/status", "") else { return 0 };
    text.lines().filter(|line| line.starts_with("other") && !line.contains("never")).count()
}

fn version_at(at: SocketAddr) -> Option<String> {
    let (200, text) = call(at, &format!("GET /control/v1/scopes/{SCOPE}"), "")? else { return None };
    let told: Value = serde_json::from_str(&text).ok()?;
    told["version"].as_str().map(str::to_string)
}

fn standing(at: SocketAddr) -> Value {
    let (status, text) = call(at, &format!("GET /control/v1/scopes/{SCOPE}"), "").expect("an answer");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

fn put(at: SocketAddr, base: &str, more: &str, contents: &Value) -> (u16, String) {
    let body = if contents.is_null() { String::new() } else { contents.to_string() };
    call(at, &format!("PUT /control/v1/scopes/{SCOPE}?base={base}{more}"), &body).expect("an answer")
}

/// Publishes over what holds there by now, and gives the new version.
fn publish(at: SocketAddr, contents: &Value) -> String {
    let base = version_at(at).unwrap_or("none".into());
    let (status, text) = put(at, &base, "", contents);
    assert_eq!(status, 200, "{text}");
    let told: Value = serde_json::from_str(&text).expect("JSON");
    told["version"].as_str().expect("a version").to_string()
}

struct Follows {
    address: SocketAddr,
    console: SocketAddr,
    process: Process,
}

/// The configuration of a sidecar that goes by this list of machines, as text of the file.
fn config(
    folder: &Path,
    name: &str,
    at: (SocketAddr, SocketAddr),
    region: &str,
    machines: &str,
    servers: &[SocketAddr],
) -> String {
    let (listen, console) = at;
    let kept = folder.join(format!("{name}.kept"));
    let mut text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\nseed = 7\n\
         [control]\nscope = \"{SCOPE}\"\nregion = \"{region}\"\nmachines = [{machines}]\nkept = {kept:?}\n\
         [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"2s\"\nlimit = \"2s\"\n\
         [[verbs]]\nname = \"look\"\nrepeats = \"pure\"\ngoal = \"2s\"\nlimit = \"2s\"\n\
         [[tenants]]\nname = \"acme\"\nquota = 1000.0\n"
    );
    for (number, server) in servers.iter().enumerate() {
        text += &format!("[[servers]]\nid = \"s{number}\"\naddress = \"{server}\"\n");
    }
    text
}

fn listed(machines: &[(SocketAddr, &str)]) -> String {
    let one = |(address, region): &(SocketAddr, &str)| {
        format!("{{ address = \"{address}\", region = \"{region}\" }}")
    };
    machines.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn follows(folder: &Path, name: &str, region: &str, machines: &str, servers: &[SocketAddr]) -> Follows {
    let (listen, console) = (address(), address());
    let text = config(folder, name, (listen, console), region, machines, servers);
    started(folder, name, (listen, console), &text)
}

fn started(folder: &Path, name: &str, at: (SocketAddr, SocketAddr), text: &str) -> Follows {
    let process = Process::start(folder, name, &["serve", "--file"], text);
    let follows = Follows { address: at.0, console: at.1, process };
    within("the console answers", || call(at.1, "GET /control", "").is_some());
    within("it serves", || call(at.0, "GET /_health", "").is_some_and(|(status, _)| status == 200));
    follows
}

impl Follows {
    fn told(&self) -> Value {
        let (status, text) = call(self.console, "GET /control", "").expect("the console answers");
        assert_eq!(status, 200);
        serde_json::from_str(&text).expect("JSON")
    }

    fn in_force(&self) -> Option<String> {
        self.told()["in_force"]["version"].as_str().map(str::to_string)
    }

    fn ask(&self, verb: &str, number: usize) -> Option<u16> {
        static GIVEN: AtomicU64 = AtomicU64::new(0);
        let id = GIVEN.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "GET /{verb}/{number} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: c{id}\r\nX-Customer: acme\r\n\r\n"
        );
        let mut stream = TcpStream::connect_timeout(&self.address, ms(1000)).ok()?;
        stream.set_read_timeout(Some(BOUNDED)).ok()?;
        stream.write_all(head.as_bytes()).ok()?;
        answer(&mut stream).map(|(status, _, _)| status)
    }
}

/// How long it took until all had this version in force.
fn all_have(what: &str, all: &[&Follows], version: &str, since: Instant) -> Duration {
    loop {
        let behind = all.iter().filter(|one| one.in_force().as_deref() != Some(version)).count();
        if behind == 0 {
            println!("{what}: all after {:?}", since.elapsed());
            return since.elapsed();
        }
        assert!(since.elapsed() < IN_FORCE_WITHIN, "{what}: {behind} of {} have it not", all.len());
        thread::sleep(ms(10));
    }
}

/// Calls that go on all the while, and how many had another answer than 200.
struct Calls {
    over: Arc<AtomicBool>,
    done: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Calls {
    fn start(all: &[&Follows]) -> Calls {
        let over = Arc::new(AtomicBool::new(false));
        let one = |follows: &&Follows| {
            let (over, address) = (over.clone(), follows.address);
            thread::spawn(move || {
                let (mut answered, mut wrong) = (0, 0);
                while !over.load(Ordering::Relaxed) && answered + wrong < 20_000 {
                    let head =
                        format!("GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: l{answered}-{wrong}\r\n\r\n");
                    let asked = || {
                        let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
                        stream.set_read_timeout(Some(BOUNDED)).ok()?;
                        stream.write_all(head.as_bytes()).ok()?;
                        answer(&mut stream).map(|(status, _, _)| status)
                    };
                    if asked() == Some(200) {
                        answered += 1
                    } else {
                        wrong += 1
                    }
                    thread::sleep(ms(10));
                }
                (answered, wrong)
            })
        };
        Calls { over: over.clone(), done: all.iter().map(one).collect() }
    }

    fn end(self, what: &str) {
        self.over.store(true, Ordering::Relaxed);
        for done in self.done {
            let (answered, wrong) = done.join().expect("a caller");
            println!("{what}: {answered} answered, {wrong} not");
            assert!(answered > 20 && wrong == 0, "{what}: {answered} answered, {wrong} not");
        }
    }
}

/// Whether commands of `view`, which servers answer after 150 ms, are answered or ended by the limit.
fn views_are_answered(all: &[&Follows], wanted: bool) {
    for one in all {
        let status = one.ask("view", 1).expect("a final word");
        assert_eq!(status == 200, wanted, "{status}");
    }
}

/// Three servers that answer after 150 ms.
fn slow_servers() -> (Vec<Scripted>, Vec<SocketAddr>) {
    let servers: Vec<Scripted> = (0..3).map(|_| endpoint(Does::Wait(150))).collect();
    let addresses = servers.iter().map(|server| server.address).collect();
    (servers, addresses)
}

#[test]
fn a_change_is_in_force_everywhere_within_ten_seconds_also_as_machines_are_killed_or_fall_silent() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("kills");
    let (_servers, servers) = slow_servers();
    let mut machines = machines(&folder, 8);
    let regions = ["north", "south"];
    let list: Vec<_> = machines.iter().enumerate().map(|(at, one)| (one.address, regions[at / 4])).collect();
    let list = listed(&list);
    let all: Vec<Follows> =
        (0..6).map(|at| follows(&folder, &format!("n{at}"), regions[at % 2], &list, &servers)).collect();
    let all: Vec<&Follows> = all.iter().collect();
    views_are_answered(&all, true);
    let calls = Calls::start(&all);

    let began = Instant::now();
    let first = publish(machines[0].address, &json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"}));
    all_have("in calm", &all, &first, began);
    views_are_answered(&all, false);
    let acknowledged = || standing(machines[5].address)["acknowledged"].as_u64() == Some(6);
    within("any machine tells that all have acknowledged it", acknowledged);

    // One machine stands still, so that its sidecars wait, and is killed while the others hand the change out.
    let of = |all: &[&Follows], one: &Follows| {
        let told = one.told()["machine"].as_str().map(str::to_string);
        all.iter().position(|other| other.console == one.console).and(told)
    };
    let asked = of(&all, all[0]).expect("a machine");
    let victim = machines.iter().position(|one| one.address.to_string() == asked).expect("one of them");
    let other = (victim + 1) % 8;
    machines[victim].process.signal("-STOP");
    let began = Instant::now();
    let second = publish(machines[other].address, &json!({"tenants.acme.quota": 500}));
    machines[victim].process.kill();
    all_have("one killed meanwhile", &all, &second, began);
    views_are_answered(&all, true);

    // Another falls silent and stays so: nothing ends its connections.
    let asked = of(&all, all[1]).expect("a machine");
    let silent = machines.iter().position(|one| one.address.to_string() == asked).expect("one of them");
    let left = (0..8).find(|at| *at != victim && *at != silent).expect("another");
    machines[silent].process.signal("-STOP");
    let began = Instant::now();
    let third =
        publish(machines[left].address, &json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"}));
    all_have("one silent", &all, &third, began);
    views_are_answered(&all, false);

    // All but one are killed at the moment of a change.
    let began = Instant::now();
    let mut rest: Vec<&mut Machine> = machines.iter_mut().collect();
    let last = rest.remove(left);
    rest.iter_mut().for_each(|one| one.process.kill());
    let fourth = publish(last.address, &json!({}));
    all_have("seven killed", &all, &fourth, began);
    views_are_answered(&all, true);

    // Going back as a whole.
    let kept = standing(last.address)["kept"].clone();
    assert!(kept.as_array().is_some_and(|kept| kept.contains(&json!(third))), "{kept}");
    let began = Instant::now();
    let (status, text) = put(last.address, &fourth, &format!("&back={third}"), &Value::Null);
    assert_eq!(status, 200, "{text}");
    let fifth = version_at(last.address).expect("a version");
    assert!(fifth != third);
    all_have("back", &all, &fifth, began);
    views_are_answered(&all, false);
    calls.end("calls meanwhile");
    let _ = std::fs::remove_dir_all(folder);
}

/// The way from one place to another: what a cut holds up goes on when it is over.
fn way(to: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = free();
    let own = listener.local_addr().expect("an address");
    let cut = cut.clone();
    thread::spawn(move || lead(&listener, to, &cut));
    own
}

fn lead(listener: &TcpListener, to: SocketAddr, cut: &Arc<AtomicBool>) {
    for near in listener.incoming().flatten() {
        let cut = cut.clone();
        thread::spawn(move || {
            while cut.load(Ordering::Relaxed) {
                thread::sleep(ms(5));
            }
            let Ok(far) = TcpStream::connect(to) else { return };
            let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
            let back = cut.clone();
            thread::spawn(move || carry(far_back, near_back, &back));
            carry(near, far, &cut);
        });
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        while cut.load(Ordering::Relaxed) {
            thread::sleep(ms(5));
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

#[test]
fn regions_that_lose_each_other_go_on_and_agree_after_it_and_without_any_machine_the_last_good_one_holds() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("cut");
    let (_servers, servers) = slow_servers();
    let cut = Arc::new(AtomicBool::new(false));
    let own: Vec<SocketAddr> = (0..4).map(|_| address()).collect();
    let region = |at: usize| if at < 2 { "north" } else { "south" };
    let machine_at = |at: usize| {
        // Across the border by a way that can be cut.
        let others = (0..4).filter(|other| *other != at);
        let others: Vec<SocketAddr> = others
            .map(|other| if region(other) == region(at) { own[other] } else { way(own[other], &cut) })
            .collect();
        machine(&folder, &format!("m{at}"), own[at], &others)
    };
    let mut machines: Vec<Machine> = (0..4).map(machine_at).collect();
    machines.iter().for_each(|one| within("each machine hears all others", || hears(one.address) == 3));
    let list_of = |at: usize| {
        let seen = |other: usize| {
            let address = if region(other) == region(2 * at) { own[other] } else { way(own[other], &cut) };
            (address, region(other))
        };
        listed(&(0..4).map(seen).collect::<Vec<_>>())
    };
    let lists = [list_of(0), list_of(1)];
    let mut all: Vec<Follows> =
        (0..4).map(|at| follows(&folder, &format!("n{at}"), region(at), &lists[at / 2], &servers)).collect();
    let every: Vec<&Follows> = all.iter().collect();
    let calls = Calls::start(&every);
    let began = Instant::now();
    let first = publish(own[3], &json!({"verbs.view.goal": "1s"}));
    all_have("before the cut", &every, &first, began);

    cut.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let north = publish(own[0], &json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"}));
    all_have("one side of the cut", &every[..2], &north, began);
    views_are_answered(&every[..2], false);
    // For longer than any call waits: whoever would fall over would have by now.
    let until = Instant::now() + ms(8000);
    while Instant::now() < until {
        assert!(every[2..].iter().all(|one| one.in_force().as_deref() == Some(&first)), "the other side");
        thread::sleep(ms(200));
    }
    views_are_answered(&every[2..], true);
    cut.store(false, Ordering::Relaxed);
    all_have("healed", &every, &north, Instant::now());
    views_are_answered(&every, false);

    // Both sides publish: one of the two holds everywhere, and the machines of the other side tell so.
    cut.store(true, Ordering::Relaxed);
    let one = publish(own[1], &json!({"tenants.acme.quota": 1}));
    let other = publish(own[2], &json!({"tenants.acme.quota": 2}));
    cut.store(false, Ordering::Relaxed);
    let winner = one.clone().max(other.clone());
    all_have("published on both sides", &every, &winner, Instant::now());
    let logs: String = (0..4)
        .map(|at| std::fs::read_to_string(folder.join(format!("m{at}.log"))).unwrap_or_default())
        .collect();
    assert!(logs.contains("two versions were published at once"), "it is told");
    views_are_answered(&every, true);
    let last = publish(own[0], &json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"}));
    all_have("a last change", &every, &last, Instant::now());

    // No machine is left: what is in force stays so, in a process that starts now too.
    machines.iter_mut().for_each(|one| one.process.kill());
    views_are_answered(&every, false);
    assert!(every.iter().all(|one| one.in_force().as_deref() == Some(&last)));
    calls.end("calls meanwhile");
    let text = std::fs::read_to_string(folder.join("n0.toml")).expect("its file");
    all[0].process.kill();
    all[0] = started(&folder, "n0", (all[0].address, all[0].console), &text);
    assert_eq!(all[0].in_force().as_deref(), Some(last.as_str()), "as it was kept");
    views_are_answered(&[&all[0]], false);
    // A kept file that is cut, or another service's, is passed over: the file's own configuration holds.
    let kept = std::fs::read_to_string(folder.join("n0.kept")).expect("a kept file");
    for odd in [&kept[..kept.len() / 2], &kept.replace(SCOPE, "orders"), &kept.replace("40ms", "80ms")] {
        all[0].process.kill();
        std::fs::write(folder.join("n0.kept"), odd).expect("a file");
        all[0] = started(&folder, "n0", (all[0].address, all[0].console), &text);
        assert_eq!(all[0].in_force(), None);
        views_are_answered(&[&all[0]], true);
    }
    // The machines come back with what they kept, and it is in force again.
    let machines: Vec<Machine> = (0..4).map(machine_at).collect();
    all_have("all machines back", &all.iter().collect::<Vec<_>>(), &last, Instant::now());
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
}

/// A machine that answers each call with the next of these bodies, and then waits.
fn scripted(bodies: Vec<Vec<u8>>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = free();
    let own = listener.local_addr().expect("an address");
    let (left, calls) = (Arc::new(Mutex::new(bodies.into_iter())), Arc::new(Mutex::new(Vec::new())));
    let noted = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (left, noted) = (left.clone(), noted.clone());
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(heard)) = peer.command() {
                    noted.lock().expect("a lock").push(heard.path().to_string());
                    let Some(body) = left.lock().expect("a lock").next() else {
                        thread::sleep(ms(30_000));
                        return;
                    };
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
                    if peer.write(&[head, body].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (own, calls)
}

fn snapshot(number: u64, pairs: &[(&str, &str)]) -> Snapshot {
    let contents: Contents = pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    Snapshot::new(SCOPE, 5, number, contents).expect("it is bounded")
}

#[test]
fn answers_that_are_cut_garbled_older_or_of_another_service_leave_the_last_good_one_in_force() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("odd");
    let (_servers, servers) = slow_servers();
    let quick = [("verbs.view.goal", "40ms"), ("verbs.view.limit", "40ms")];
    let good = snapshot(4, &quick);
    let old = snapshot(3, &[("verbs.view.goal", "1s")]);
    let next = snapshot(5, &[("verbs.view.goal", "1s")]);
    let text = |snapshot: &Snapshot| snapshot.full_delta().to_json();
    let odd = [
        text(&next).as_bytes()[..60].to_vec(),
        text(&next).replace("1s", "2s").into_bytes(),
        text(&next).replace(SCOPE, "orders").into_bytes(),
        text(&old).into_bytes(),
        next.delta_since(&snapshot(2, &[])).to_json().into_bytes(),
        vec![b'x'; 150_000],
        Vec::new(),
    ];
    let told = [
        "it can't be read",
        "digest",
        "scope: \"orders\" is another",
        "older",
        "base: it is not what is here",
    ];
    for (at, body) in odd.iter().enumerate() {
        let (own, calls) = scripted(vec![text(&good).into_bytes(), body.clone(), text(&next).into_bytes()]);
        let name = format!("n{at}");
        let one = follows(&folder, &name, "", &listed(&[(own, "")]), &servers);
        within("the third call waits", || calls.lock().expect("a lock").len() >= 4);
        assert_eq!(one.in_force(), Some(next.version().to_string()), "{at}: what is good is taken after it");
        views_are_answered(&[&one], true);
        let turned = one.told()["turned_away"]["what"].as_str().unwrap_or("").to_string();
        let calls = calls.lock().expect("a lock").clone();
        assert!(calls[2].contains(&format!("have={}", good.version())), "{at}: {calls:?}");
        if let Some(wanted) = told.get(at) {
            assert!(turned.contains(wanted), "{at}: {turned}");
        }
    }
    // The bad answer is the last one: the good one before it holds.
    for (at, body) in odd.into_iter().enumerate() {
        let (own, calls) = scripted(vec![text(&good).into_bytes(), body]);
        let one = follows(&folder, &format!("l{at}"), "", &listed(&[(own, "")]), &servers);
        within("the third call waits", || calls.lock().expect("a lock").len() >= 3);
        assert_eq!(one.in_force(), Some(good.version().to_string()), "{at}");
        views_are_answered(&[&one], false);
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_change_with_one_key_at_fault_is_refused_by_each_sidecar_and_the_machines_tell_which_key() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("refused");
    let (_servers, servers) = slow_servers();
    let machines = machines(&folder, 3);
    let list: Vec<_> = machines.iter().map(|one| (one.address, "")).collect();
    let all: Vec<Follows> =
        (0..3).map(|at| follows(&folder, &format!("n{at}"), "", &listed(&list), &servers)).collect();
    let every: Vec<&Follows> = all.iter().collect();
    let quick = json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"});
    let good = publish(machines[0].address, &quick);
    all_have("the good one", &every, &good, Instant::now());
    for (key, value, what) in [
        ("verbs.view.repeats", "effectful", "it needs a restart"),
        ("verbs.buy.goal", "1s", "a new verb needs a restart"),
        ("tenants.other.quota", "3", "a new tenant needs a restart"),
        ("tenants.acme.quota", "much", "is not a number"),
        ("tenants.acme.quota", "NaN", "does not lie"),
        ("verbs.look.goal", "3s", "longer than the limit"),
        ("verbs.look.limit", "0s", "does not lie within"),
        ("verbs.look.utility", "-1", "does not lie"),
        ("rules.relays", "9", "it needs a restart"),
        ("discovery.address", "127.0.0.1:1", "it needs a restart"),
        ("colour", "red", "there is no such key"),
    ] {
        let bad = publish(machines[1].address, &json!({key: value, "verbs.view.goal": "1s"}));
        let refused = || {
            let told = standing(machines[2].address);
            let said = told["refused"].as_object().cloned().unwrap_or_default();
            let right =
                |why: &Value| why.as_str().is_some_and(|why| why.starts_with(key) && why.contains(what));
            said.len() == 3 && said.values().all(right) && told["acknowledged"] == json!(0)
        };
        within(&format!("{key}: all three refuse it: {}", standing(machines[2].address)), refused);
        for one in &every {
            let told = one.told();
            assert_eq!(told["in_force"]["version"], json!(good), "{key}");
            assert_eq!((&told["refused"]["version"], &told["refused"]["key"]), (&json!(bad), &json!(key)));
        }
    }
    views_are_answered(&every, false);
    // Who publishes over what he has not seen is told what holds.
    let (status, text) = put(machines[0].address, &good, "", &json!({}));
    assert!(status == 409 && text.contains("holds here"), "{status} {text}");
    let (status, text) = put(machines[0].address, &good, "", &json!({"verbs.view.goal": ["1s"]}));
    assert!(status == 400 && text.contains("verbs.view.goal: it is no text"), "{status} {text}");
    let last = publish(machines[0].address, &json!({"verbs.view.goal": "1s"}));
    all_have("a good one again", &every, &last, Instant::now());
    views_are_answered(&every, true);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn discovery_moves_by_a_change_and_back_and_a_signal_moves_what_no_change_names() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("moves");
    let machines = machines(&folder, 2);
    let list = listed(&machines.iter().map(|one| (one.address, "")).collect::<Vec<_>>());
    let servers: Vec<Scripted> = (0..3).map(|_| endpoint(Does::Answer)).collect();
    let sources: Vec<Arc<Discovery>> = servers
        .iter()
        .map(|server| {
            let source = list_source();
            source.write(1, catalog(1, &[("s1", server.address, "ready")]).to_string());
            source
        })
        .collect();
    let file = |at: usize| format!("[discovery]\naddress = \"{}\"\n", sources[at].address);
    let all: Vec<Follows> = (0..3)
        .map(|at| {
            let (own, name) = ((address(), address()), format!("n{at}"));
            started(&folder, &name, own, &(config(&folder, &name, own, "", &list, &[]) + &file(0)))
        })
        .collect();
    let every: Vec<&Follows> = all.iter().collect();
    let goes_to = |one: &Follows, server: usize| {
        let before = servers[server].seen().cmds.len();
        one.ask("view", 1) == Some(200) && servers[server].seen().cmds.len() > before
    };
    every.iter().for_each(|one| within("the file's place", || goes_to(one, 0)));
    let moved = publish(machines[0].address, &json!({"discovery.address": sources[1].address.to_string()}));
    all_have("moved", &every, &moved, Instant::now());
    every.iter().for_each(|one| within("the place that the change names", || goes_to(one, 1)));
    // The file names another one by now; the change goes before.
    for (at, one) in every.iter().enumerate() {
        let path = folder.join(format!("n{at}.toml"));
        let text = std::fs::read_to_string(&path).expect("its file");
        std::fs::write(&path, text.replace(&file(0), &file(2))).expect("a file");
        one.process.signal("-HUP");
        let read = || {
            let log = std::fs::read_to_string(folder.join(format!("n{at}.log"))).unwrap_or_default();
            log.contains("SIGHUP: the configuration is read again")
        };
        within("it is read again", read);
        assert!(goes_to(one, 1), "what the change names holds");
    }
    let back = publish(machines[1].address, &json!({}));
    all_have("no longer named", &every, &back, Instant::now());
    every.iter().for_each(|one| within("the file's new place", || goes_to(one, 2)));
    let _ = std::fs::remove_dir_all(folder);
}

/// What `landingspread check` says of a file: nothing wrong, or the fault.
fn checked(folder: &Path, text: &str) -> Result<String, String> {
    let file = folder.join("checked.toml");
    std::fs::write(&file, text).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    let out = program.args(["check", "--file"]).arg(&file).output().expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    if out.status.success() { Ok(text(out.stdout)) } else { Err(text(out.stderr)) }
}

#[test]
fn the_part_is_off_by_default_and_its_faults_name_the_line_and_the_key() {
    let folder = folder("faults");
    let init = Command::new(env!("CARGO_BIN_EXE_landingspread")).arg("init").output().expect("it runs");
    let plain = String::from_utf8_lossy(&init.stdout).into_owned();
    assert!(!checked(&folder, &plain).expect("it can be gone by").contains("control"));
    let with = |part: &str| plain.replacen("# [control]", &format!("[control]\n{part}"), 1);
    let good = "scope = \"a\"\nmachines = [{ address = \"127.0.0.1:1\" }]";
    assert!(
        checked(&folder, &with(good)).expect("it can be gone by").contains("configuration of a at 1 control")
    );
    for (part, wanted) in [
        (
            "scope = \"A b\"\nmachines = [{ address = \"127.0.0.1:1\" }]",
            "control.scope: it is empty, too long",
        ),
        ("scope = \"a\"\nmachines = []", "control.machines: from one to 64"),
        (
            "scope = \"a\"\nmachines = [{ address = \"127.0.0.1:1\" }, { address = \"127.0.0.1:1\" }]",
            "control.machines: one address stands there twice",
        ),
        ("scope = \"a\"\nmachins = []", "did you mean `machines`"),
        ("scope = \"a\"", "machines"),
    ] {
        let said = checked(&folder, &with(part)).expect_err("a fault");
        assert!(said.contains(wanted) && said.contains("checked.toml:"), "{part}: {said}");
    }
    // A sidecar without it tells so at its console, and a machine's file has its faults told alike.
    let (listen, console) = (address(), address());
    let text = plain.replacen(
        "listen = \"127.0.0.1:8080\"",
        &format!("listen = \"{listen}\"\nconsole = \"{console}\""),
        1,
    );
    let process = Process::start(&folder, "plain", &["serve", "--file"], &text);
    within("the console answers", || call(console, "GET /status", "").is_some());
    assert_eq!(call(console, "GET /control", "").map(|(status, _)| status), Some(404));
    drop(process);
    for (text, wanted) in [
        ("listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:2\"]", "machines: `listen` is not among them"),
        (
            "listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:1\"]\nconnections = 0",
            "connections: 0 is under 1",
        ),
        ("listen = \"127.0.0.1:1\"\nmachine = []", "did you mean `machines`"),
    ] {
        let file = folder.join("machine.toml");
        std::fs::write(&file, text).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let out = program.arg("control").arg(&file).output().expect("the program runs");
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && said.contains(wanted), "{text}: {said}");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_machine_that_is_behind_is_left_for_one_that_is_not() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = folder("behind");
    let (_servers, servers) = slow_servers();
    let quick = [("verbs.view.goal", "40ms"), ("verbs.view.limit", "40ms")];
    let (old, good, next) = (snapshot(3, &[]), snapshot(4, &quick), snapshot(5, &[]));
    let text = |snapshot: &Snapshot| snapshot.full_delta().to_json().into_bytes();
    // The region's own machine begins well, then forgets what it had; the other one goes on.
    let (near, near_calls) = scripted(vec![text(&good), text(&old)]);
    let (far, far_calls) = scripted(vec![text(&next)]);
    let one = follows(&folder, "n0", "here", &listed(&[(far, "there"), (near, "here")]), &servers);
    within("the other one's call waits", || far_calls.lock().expect("a lock").len() >= 2);
    assert_eq!(near_calls.lock().expect("a lock").len(), 2, "it is asked no more");
    assert_eq!(one.in_force(), Some(next.version().to_string()));
    assert_eq!(one.told()["machine"], json!(far.to_string()));
    views_are_answered(&[&one], true);
    let _ = std::fs::remove_dir_all(folder);
}
