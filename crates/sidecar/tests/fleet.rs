//! Fleets of real processes with faults between them. The lab's rig runs each plan and checks that the membership views
//! followed the faults and that every rule was kept. The tests run one at a time, as each needs all cores.

use landingspread_lab::fleet::plan::read;
use landingspread_lab::fleet::rig::{RunOptions, RunResults, SNAPSHOT_INTERVAL, run, run_dir};
use landingspread_lab::sockets::{Peer, Sidecar, bind_loopback_udp, unused_address_v4};
use landingspread_membership::{Address, Budget, Host, MemberConfig, Membership, as_newer_version};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

static TURN: Mutex<()> = Mutex::new(());

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_landingspread"))
}

fn run_plan(name: &str, processes: usize, seconds: f64, faults: &str) -> RunResults {
    // A failed test poisons the lock, but leaves nothing behind that affects the next one.
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let text = format!("name = \"{name}\"\nseconds = {seconds}\nservers = 3\nrate_each = 6.0\n{faults}");
    let plan = read(name, &text, Some(processes)).expect("plan is valid");
    let dir = run_dir(name).expect("failed to create the run directory");
    let ways = RunOptions {
        seed: 30,
        program: program(),
        old_program: Some(program()),
        dir: &dir,
        with_fleet: true,
        with_localities: true,
        snapshot_interval: SNAPSHOT_INTERVAL,
    };
    let played = run(&plan, &ways, &mut |_| ()).expect("plan run failed");
    let figures = &played.views;
    assert!(figures.violations.is_empty(), "{name}: {:#?}", figures.violations);
    assert_eq!(played.rule_violations, [0; 4], "{name}: {:#?}", played.breaches);
    assert!(
        played.seconds.iter().map(|second| second.answered).sum::<u32>() > 50,
        "{name}: too few requests were answered"
    );
    // The checks above mean nothing unless membership changed.
    assert!(figures.convergence_times.len() > 1, "{name}: {:?}", figures.convergence_times);
    played
}

fn fault(kind: &str, at: f64, lasts: f64, more: &str) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor = {lasts}\n{more}\n")
}

#[test]
fn killed_process_leaves_every_view_and_rejoins() {
    let killed = run_plan("kill", 6, 11.0, &fault("kill", 3.5, 3.0, "copies = [4]"));
    assert!(killed.views.max_death_s > 0.0, "{:?}", killed.views.convergence_times);
}

#[test]
fn process_that_resumes_after_a_long_pause_rejoins() {
    run_plan("still", 6, 13.0, &fault("stop", 3.5, 5.0, "copies = [2]"));
}

#[test]
fn short_pause_and_one_way_cut_are_not_taken_for_death() {
    let faults = fault("stop", 3.5, 0.4, "copies = [5]")
        + &fault("cut", 5.0, 4.0, "copies = [1]\nto = [3]\nway = \"out\"")
        + &fault("loss", 5.5, 3.0, "share = 0.2\npaths = \"copies\"");
    let played = run_plan("one-way", 6, 10.0, &faults);
    assert_eq!(played.views.false_deaths, 0);
}

#[test]
fn halves_of_a_partition_detect_it_and_merge_after_it() {
    let faults = fault("cut", 3.5, 5.5, "copies = [0, 1, 2]\npaths = \"copies\"");
    let played = run_plan("halves", 6, 13.0, &faults);
    assert!(played.views.convergence_times.iter().filter(|(event, _)| event.contains("parts")).count() >= 2);
}

#[test]
fn fleet_recovers_after_most_members_are_killed_at_once() {
    run_plan("herd", 10, 13.0, &fault("kill", 4.0, 4.0, "copies = [0, 1, 2, 3, 5, 7, 9]"));
}

#[test]
fn rolling_restart_with_another_build_keeps_the_fleet() {
    let faults = fault("term", 3.5, 2.5, "copies = [1]\nold_build = true")
        + &fault("term", 7.0, 2.5, "copies = [3]\nold_build = true");
    run_plan("release", 5, 13.0, &faults);
}

/// Sends all messages of a member in the form of a newer protocol version.
struct NewerVersion {
    socket: UdpSocket,
}

impl Host for NewerVersion {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        if let Some(newer) = as_newer_version(bytes, "mixed") {
            let _ = self.socket.send_to(&newer, to);
        }
    }
}

fn run_newer(seeds: Vec<Address>, stop: Arc<AtomicBool>) -> (thread::JoinHandle<usize>, Address) {
    let (socket, address) = bind_loopback_udp().expect("failed to bind a UDP socket");
    socket.set_read_timeout(Some(Duration::from_millis(10))).expect("failed to set the read timeout");
    let began = Instant::now();
    let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let config = MemberConfig {
        address,
        name: "later".into(),
        zone: "a".into(),
        fleet: "mixed".into(),
        incarnation: since_1970.as_millis() as u64,
        seeds,
        budget: Budget::default(),
        configured_members: 1.0,
    };
    let run = move || {
        let sending = socket.try_clone().expect("failed to clone the UDP socket");
        let mut membership = Membership::start(NewerVersion { socket: sending }, config, 7, began.elapsed());
        let (mut bytes, mut tick_at) = ([0; 2048], began.elapsed());
        while !stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut bytes) {
                membership.receive(began.elapsed(), &bytes[..length]);
            }
            if tick_at <= began.elapsed() {
                tick_at = began.elapsed() + Membership::<NewerVersion>::TICK_INTERVAL;
                membership.tick(began.elapsed());
            }
        }
        membership.live_count()
    };
    (thread::spawn(run), address)
}

fn live_members(console: SocketAddr) -> Option<usize> {
    let mut peer = Peer::new(TcpStream::connect_timeout(&console, Duration::from_millis(200)).ok()?);
    peer.set_read_timeout(Some(Duration::from_millis(500)));
    peer.write(b"GET /fleet HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\n\r\n").ok()?;
    let response = peer.read_response().ok()?;
    let fleet: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    fleet["live"].as_u64().map(|live| live as usize)
}

/// The live members at each console, once all show `expected` or the time is over.
fn wait_for_live_members(consoles: &[SocketAddr], expected: usize, bound: Duration) -> Vec<Option<usize>> {
    let until = Instant::now() + bound;
    loop {
        let counts: Vec<Option<usize>> = consoles.iter().map(|console| live_members(*console)).collect();
        if counts.iter().all(|count| *count == Some(expected)) || Instant::now() >= until {
            return counts;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn addresses(count: usize) -> Vec<Address> {
    (0..count).map(|_| unused_address_v4()).collect()
}

fn address() -> SocketAddr {
    unused_address_v4().into()
}

/// Starts a sidecar with one server that gets no requests. `before` is added to the top-level keys of its configuration,
/// `after` to its `[fleet]` section.
fn start_sidecar(dir: &Path, name: &str, console: SocketAddr, before: &str, after: &str) -> Sidecar {
    let listen = address();
    let text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\n{before}\n[[servers]]\nid = \"s\"\n\
         address = \"127.0.0.1:9\"\n[[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"300ms\"\n\
         limit = \"1s\"\n[fleet]\n{after}\n"
    );
    Sidecar::launch(program(), dir, &format!("{name}.toml"), &text, listen)
        .expect("failed to start the sidecar")
}

#[test]
fn replicas_with_a_peer_list_form_a_fleet() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = run_dir("peers").expect("failed to create the run directory");
    let peers: Vec<String> = addresses(5).iter().map(|address| format!("\"{address}\"")).collect();
    let consoles: Vec<SocketAddr> = (0..5).map(|_| address()).collect();
    let start = |ordinal: usize| {
        let before = format!("copies = 5\nordinal = {ordinal}\npeers = [{}]", peers.join(", "));
        start_sidecar(&dir, &format!("p{ordinal}"), consoles[ordinal], &before, "name = \"peers\"")
    };
    let mut processes: Vec<Sidecar> = (0..5).map(start).collect();
    assert_eq!(wait_for_live_members(&consoles, 5, Duration::from_secs(8)), [Some(5); 5]);
    processes[4].kill();
    assert_eq!(wait_for_live_members(&consoles[..4], 4, Duration::from_secs(4)), [Some(4); 4]);
}

#[test]
fn member_of_a_newer_version_joins_and_its_death_is_detected() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = run_dir("mixed").expect("failed to create the run directory");
    let addresses = addresses(4);
    let consoles: Vec<SocketAddr> = (0..4).map(|_| address()).collect();
    let start = |number: usize| {
        let (own, first, second) = (addresses[number], addresses[0], addresses[1]);
        let after = format!("name = \"mixed\"\nlisten = \"{own}\"\nseeds = [\"{first}\", \"{second}\"]");
        start_sidecar(&dir, &format!("m{number}"), consoles[number], "", &after)
    };
    let processes: Vec<Sidecar> = (0..4).map(start).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (newer, _) = run_newer(addresses[..2].to_vec(), stop.clone());
    let joined = wait_for_live_members(&consoles, 5, Duration::from_secs(8));
    assert_eq!(joined, [Some(5); 4]);
    stop.store(true, Ordering::Relaxed);
    assert_eq!(newer.join().expect("member thread panicked"), 5, "live members counted by the newer version");
    let remaining = wait_for_live_members(&consoles, 4, Duration::from_secs(4));
    assert_eq!(remaining, [Some(4); 4]);
    drop(processes);
}
