//! Several processes of the program with faults between them. The lab's rig runs each plan on real processes and judges
//! whether every view followed and every rule was kept. The tests take turns, as each needs all cores.

use landingspread_lab::fleet::plan::read;
use landingspread_lab::fleet::rig::{RunOptions, RunResults, SNAPSHOT_INTERVAL, run, run_dir};
use landingspread_lab::sockets::{Peer, Sidecar, free_datagrams, unused};
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

fn played(name: &str, processes: usize, seconds: f64, faults: &str) -> RunResults {
    // A test that failed holds nothing that another one needs.
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let text = format!("name = \"{name}\"\nseconds = {seconds}\nservers = 3\nrate_each = 6.0\n{faults}");
    let plan = read(name, &text, Some(processes)).expect("a plan");
    let dir = run_dir(name).expect("a folder");
    let options = RunOptions {
        seed: 30,
        program: program(),
        old_program: Some(program()),
        dir: &dir,
        with_fleet: true,
        with_localities: true,
        snapshot_interval: SNAPSHOT_INTERVAL,
    };
    let played = run(&plan, &options, &mut |_| ()).expect("a run");
    let figures = &played.views;
    assert!(figures.violations.is_empty(), "{name}: {:#?}", figures.violations);
    assert_eq!(played.rule_violations, [0; 4], "{name}: {:#?}", played.breaches);
    assert!(played.seconds.iter().map(|second| second.answered).sum::<u32>() > 50, "{name} served");
    // The judge had something to observe.
    assert!(figures.convergence_times.len() > 1, "{name}: {:?}", figures.convergence_times);
    played
}

fn fault(kind: &str, at: f64, lasts: f64, more: &str) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\nat = {at}\nfor = {lasts}\n{more}\n")
}

#[test]
fn a_killed_process_is_gone_from_every_view_and_returns() {
    let killed = played("kill", 6, 11.0, &fault("kill", 3.5, 3.0, "copies = [4]"));
    assert!(killed.views.max_death_s > 0.0, "{:?}", killed.views.convergence_times);
}

#[test]
fn a_process_that_stood_still_and_wakes_is_counted_again() {
    played("still", 6, 13.0, &fault("stop", 3.5, 5.0, "copies = [2]"));
}

#[test]
fn a_short_pause_and_a_path_cut_one_way_are_no_death() {
    let faults = fault("stop", 3.5, 0.4, "copies = [5]")
        + &fault("cut", 5.0, 4.0, "copies = [1]\nto = [3]\nway = \"out\"")
        + &fault("loss", 5.5, 3.0, "share = 0.2\npaths = \"copies\"");
    let text = played("one-way", 6, 10.0, &faults);
    assert_eq!(text.views.false_deaths, 0);
}

#[test]
fn halves_of_a_partition_detect_it_and_merge_again() {
    let faults = fault("cut", 3.5, 5.5, "copies = [0, 1, 2]\npaths = \"copies\"");
    let met = played("halves", 6, 13.0, &faults);
    assert!(met.views.convergence_times.iter().filter(|(what, _)| what.contains("parts")).count() >= 2);
}

#[test]
fn most_are_killed_at_once_and_start_together() {
    played("herd", 10, 13.0, &fault("kill", 4.0, 4.0, "copies = [0, 1, 2, 3, 5, 7, 9]"));
}

#[test]
fn processes_end_in_turn_and_start_in_another_build() {
    let faults = fault("term", 3.5, 2.5, "copies = [1]\nold_build = true")
        + &fault("term", 7.0, 2.5, "copies = [3]\nold_build = true");
    played("release", 5, 13.0, &faults);
}

/// A member whose messages are those of a newer version.
struct NewerVersion {
    socket: UdpSocket,
}

impl Host for NewerVersion {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        if let Some(later) = as_newer_version(bytes, "mixed") {
            let _ = self.socket.send_to(&later, to);
        }
    }
}

fn run_newer(seeds: Vec<Address>, stop: Arc<AtomicBool>) -> (thread::JoinHandle<usize>, Address) {
    let (socket, address) = free_datagrams().expect("a socket");
    socket.set_read_timeout(Some(Duration::from_millis(10))).expect("a time-out");
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
        let sending = socket.try_clone().expect("a socket");
        let mut own = Membership::start(NewerVersion { socket: sending }, config, 7, began.elapsed());
        let (mut bytes, mut tick_at) = ([0; 2048], began.elapsed());
        while !stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut bytes) {
                own.receive(began.elapsed(), &bytes[..length]);
            }
            if tick_at <= began.elapsed() {
                tick_at = began.elapsed() + Membership::<NewerVersion>::TICK_INTERVAL;
                own.tick(began.elapsed());
            }
        }
        own.live_count()
    };
    (thread::spawn(run), address)
}

fn members(console: SocketAddr) -> Option<usize> {
    let mut peer = Peer::new(TcpStream::connect_timeout(&console, Duration::from_millis(200)).ok()?);
    peer.patience(Some(Duration::from_millis(500)));
    peer.write(b"GET /fleet HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\n\r\n").ok()?;
    let heard = peer.answer().ok()?;
    let fleet: serde_json::Value = serde_json::from_slice(&heard.body).ok()?;
    fleet["live"].as_u64().map(|live| live as usize)
}

fn all_count(consoles: &[SocketAddr], wanted: usize, within: Duration) -> Vec<Option<usize>> {
    let until = Instant::now() + within;
    loop {
        let counts: Vec<Option<usize>> = consoles.iter().map(|console| members(*console)).collect();
        if counts.iter().all(|count| *count == Some(wanted)) || Instant::now() >= until {
            return counts;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn addresses(count: usize) -> Vec<Address> {
    (0..count).map(|_| unused()).collect()
}

fn address() -> SocketAddr {
    unused().into()
}

/// A process with a server that gets no requests, with `before` among the first keys and `after` at the end.
fn process(dir: &Path, name: &str, console: SocketAddr, before: &str, after: &str) -> Sidecar {
    let listen = address();
    let text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\n{before}\n[[servers]]\nid = \"s\"\n\
         address = \"127.0.0.1:9\"\n[[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"300ms\"\n\
         limit = \"1s\"\n[fleet]\n{after}\n"
    );
    Sidecar::launch(program(), dir, &format!("{name}.toml"), &text, listen).expect("it starts")
}

#[test]
fn replicas_with_a_list_of_peers_are_a_fleet_by_the_peers_socket() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = run_dir("peers").expect("a folder");
    let peers: Vec<String> = addresses(5).iter().map(|address| format!("\"{address}\"")).collect();
    let consoles: Vec<SocketAddr> = (0..5).map(|_| address()).collect();
    let start = |ordinal: usize| {
        let before = format!("copies = 5\nordinal = {ordinal}\npeers = [{}]", peers.join(", "));
        process(&dir, &format!("p{ordinal}"), consoles[ordinal], &before, "name = \"peers\"")
    };
    let mut processes: Vec<Sidecar> = (0..5).map(start).collect();
    assert_eq!(all_count(&consoles, 5, Duration::from_secs(8)), [Some(5); 5]);
    processes[4].kill();
    assert_eq!(all_count(&consoles[..4], 4, Duration::from_secs(4)), [Some(4); 4]);
}

#[test]
fn a_member_of_a_newer_version_is_one_of_five_and_its_death_is_detected() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = run_dir("mixed").expect("a folder");
    let addresses = addresses(4);
    let consoles: Vec<SocketAddr> = (0..4).map(|_| address()).collect();
    let start = |number: usize| {
        let (own, first, second) = (addresses[number], addresses[0], addresses[1]);
        let after = format!("name = \"mixed\"\nlisten = \"{own}\"\nseeds = [\"{first}\", \"{second}\"]");
        process(&dir, &format!("m{number}"), consoles[number], "", &after)
    };
    let processes: Vec<Sidecar> = (0..4).map(start).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (later, _) = run_newer(addresses[..2].to_vec(), stop.clone());
    let joined = all_count(&consoles, 5, Duration::from_secs(8));
    assert_eq!(joined, [Some(5); 4]);
    stop.store(true, Ordering::Relaxed);
    assert_eq!(later.join().expect("it ends"), 5, "it counts them too");
    let after = all_count(&consoles, 4, Duration::from_secs(4));
    assert_eq!(after, [Some(4); 4]);
    drop(processes);
}
