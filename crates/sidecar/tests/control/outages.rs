//! Control machines that are killed or hang, and regions that are cut off from each other: new versions are in force in
//! time, and without any machine the last good version stays in force.

use crate::helpers::*;
use crate::paths::partitionable_path;
use crate::rig::*;
use landingspread_control::Snapshot;
use landingspread_lab::sockets::Peer;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

/// Limits so short that no endpoint answers `view` within them.
fn short_limit() -> Value {
    json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"})
}

/// Eight control machines and six sidecars in two regions.
struct TwoRegions {
    folder: PathBuf,
    machines: Vec<Machine>,
    sidecars: Vec<FollowingSidecar>,
}

impl TwoRegions {
    fn start(endpoints: &[SocketAddr]) -> TwoRegions {
        let folder = folder("kills");
        let machines = machines(&folder, 8);
        let regions = ["north", "south"];
        let list: Vec<_> =
            machines.iter().enumerate().map(|(at, machine)| (machine.address, regions[at / 4])).collect();
        let list = machine_list(&list);
        let sidecar =
            |at: usize| start_sidecar(&folder, &format!("n{at}"), regions[at % 2], &list, endpoints);
        let sidecars = (0..6).map(sidecar).collect();
        TwoRegions { folder, machines, sidecars }
    }

    fn all(&self) -> Vec<&FollowingSidecar> {
        self.sidecars.iter().collect()
    }

    /// The index of the control machine that this sidecar polls.
    fn machine_of(&self, sidecar: usize) -> usize {
        let status = self.sidecars[sidecar].status();
        let polled = status["machine"].as_str().expect("status names the polled machine");
        self.machines
            .iter()
            .position(|machine| machine.address.to_string() == polled)
            .expect("polled machine is one of the deployment")
    }

    fn publish_without_faults(&self) {
        let began = Instant::now();
        let version = publish(self.machines[0].address, &short_limit());
        wait_until_in_force("without faults", &self.all(), &version, began);
        assert_views(&self.all(), false);
        let acknowledged = || scope_status(self.machines[5].address)["acknowledged"].as_u64() == Some(6);
        wait_until("another machine reports that all sidecars acknowledged the version", acknowledged);
    }

    /// Stops one machine, so that its sidecars wait for it, and kills it while the others distribute a version. Returns
    /// its index.
    fn publish_while_one_is_killed(&mut self) -> usize {
        let victim = self.machine_of(0);
        let other = (victim + 1) % 8;
        self.machines[victim].process.signal("-STOP");
        let began = Instant::now();
        let version = publish(self.machines[other].address, &json!({"tenants.acme.quota": 500}));
        self.machines[victim].process.kill();
        wait_until_in_force("one machine killed meanwhile", &self.all(), &version, began);
        assert_views(&self.all(), true);
        victim
    }

    /// Stops another machine for good, so that its connections stay open without answers. Returns the index of one that
    /// still runs, and the version.
    fn publish_while_one_is_silent(&self, killed: usize) -> (usize, String) {
        let silent = self.machine_of(1);
        let running = (0..8).find(|at| *at != killed && *at != silent).expect("six machines still run");
        self.machines[silent].process.signal("-STOP");
        let began = Instant::now();
        let version = publish(self.machines[running].address, &short_limit());
        wait_until_in_force("one machine silent", &self.all(), &version, began);
        assert_views(&self.all(), false);
        (running, version)
    }

    /// Kills all machines but one at the moment of a publication.
    fn publish_while_all_others_are_killed(&mut self, remaining: usize) -> String {
        let began = Instant::now();
        let others = self.machines.iter_mut().enumerate().filter(|(at, _)| *at != remaining);
        others.for_each(|(_, machine)| machine.process.kill());
        let version = publish(self.machines[remaining].address, &json!({}));
        wait_until_in_force("seven machines killed", &self.all(), &version, began);
        assert_views(&self.all(), true);
        version
    }

    fn roll_back(&self, machine: usize, base: &str, target: &str) {
        let address = self.machines[machine].address;
        let kept = scope_status(address)["kept"].clone();
        assert!(kept.as_array().is_some_and(|kept| kept.contains(&json!(target))), "{kept}");
        let began = Instant::now();
        let (status, text) = put(address, base, &format!("&back={target}"), &Value::Null);
        assert_eq!(status, 200, "{text}");
        let version = current_version(address).expect("scope has a version");
        assert!(version != target);
        wait_until_in_force("rolled back", &self.all(), &version, began);
        assert_views(&self.all(), false);
    }
}

/// A control machine whose first scope has a version that can't be used, and whose second scope is `good`. It answers the
/// calls of other machines only.
fn machine_with_an_unusable_version(unusable: &'static str, good: &Snapshot) -> SocketAddr {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    let version = good.version();
    let summary = json!({"accounts": version, SCOPE: version}).to_string();
    let snapshot = good.full_delta().to_json();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut peer = Peer::new(stream);
            let (summary, snapshot) = (summary.clone(), snapshot.clone());
            thread::spawn(move || {
                while let Ok(Some(call)) = peer.read_request() {
                    let (status, body) = match call.path() {
                        path if path.ends_with("/digest") => (200, "0".repeat(32)),
                        path if path.ends_with("/versions") => (200, summary.clone()),
                        path if path.ends_with("scope=accounts") => match unusable {
                            "missing" => (404, "nothing".into()),
                            "too long" => (200, format!("{snapshot}{}", " ".repeat(100_000))),
                            "far too long" => (200, " ".repeat(400_000)),
                            _ => (200, snapshot[..snapshot.len() / 2].into()),
                        },
                        _ => (200, snapshot.clone()),
                    };
                    let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
                    if peer.write(format!("{head}{body}").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against a version of one service that can't be fetched, and that kept a restarted machine from fetching the
/// versions of all services behind it.
#[test]
fn machine_fetches_versions_behind_one_that_it_cannot_use() {
    let _turn = take_turn();
    let folder = folder("unusable");
    let contents = [("verbs.view.goal".to_string(), "1s".to_string())].into();
    let good = Snapshot::new(SCOPE, 5, 2, contents).expect("snapshot is within its bounds");
    for (number, unusable) in ["missing", "truncated", "too long", "far too long"].into_iter().enumerate() {
        let other = machine_with_an_unusable_version(unusable, &good);
        let machine = machine(&folder, &format!("m{number}"), address(), &[other]);
        let expected = good.version().to_string();
        wait_until(&format!("the version behind one that is {unusable} is fetched"), || {
            current_version(machine.address).as_deref() == Some(&expected)
        });
        wait_until("the other machine counts as available", || peers_heard(machine.address) == 1);
    }
}

#[test]
fn versions_are_in_force_in_time_with_failing_machines() {
    let _turn = take_turn();
    let (_endpoints, endpoints) = slow_endpoints();
    let mut deployment = TwoRegions::start(&endpoints);
    assert_views(&deployment.all(), true);
    let requests = BackgroundRequests::start(&deployment.all());
    deployment.publish_without_faults();
    let killed = deployment.publish_while_one_is_killed();
    let (running, third) = deployment.publish_while_one_is_silent(killed);
    let fourth = deployment.publish_while_all_others_are_killed(running);
    deployment.roll_back(running, &fourth, &third);
    requests.end("background requests");
    let _ = std::fs::remove_dir_all(&deployment.folder);
}

fn region(number: usize) -> &'static str {
    if number < 2 { "north" } else { "south" }
}

/// Four control machines and four sidecars in two regions; all paths between the regions can be cut.
struct Partition {
    folder: PathBuf,
    cut: Arc<AtomicBool>,
    /// Listen addresses of the control machines.
    addresses: Vec<SocketAddr>,
    machines: Vec<Machine>,
    sidecars: Vec<FollowingSidecar>,
}

impl Partition {
    fn start(endpoints: &[SocketAddr]) -> Partition {
        let (folder, cut) = (folder("cut"), Arc::new(AtomicBool::new(false)));
        let addresses: Vec<SocketAddr> = (0..4).map(|_| address()).collect();
        let mut deployment = Partition { folder, cut, addresses, machines: Vec::new(), sidecars: Vec::new() };
        deployment.start_machines();
        deployment.machines.iter().for_each(|machine| {
            wait_until("each machine hears all others", || peers_heard(machine.address) == 3);
        });
        let lists = [deployment.list_of(0), deployment.list_of(1)];
        let sidecar = |at: usize| {
            start_sidecar(&deployment.folder, &format!("n{at}"), region(at), &lists[at / 2], endpoints)
        };
        deployment.sidecars = (0..4).map(sidecar).collect();
        deployment
    }

    /// The address at which a process of this region reaches the machine.
    fn path(&self, from: &str, to: usize) -> SocketAddr {
        let address = self.addresses[to];
        if region(to) == from { address } else { partitionable_path(address, &self.cut) }
    }

    fn start_machines(&mut self) {
        let machine_at = |at: usize| {
            let others = (0..4).filter(|other| *other != at);
            let others: Vec<SocketAddr> = others.map(|other| self.path(region(at), other)).collect();
            machine(&self.folder, &format!("m{at}"), self.addresses[at], &others)
        };
        self.machines = (0..4).map(machine_at).collect();
    }

    /// The machine list for sidecars of the first or the second region.
    fn list_of(&self, half: usize) -> String {
        let entry = |other: usize| (self.path(region(2 * half), other), region(other));
        machine_list(&(0..4).map(entry).collect::<Vec<_>>())
    }

    fn all(&self) -> Vec<&FollowingSidecar> {
        self.sidecars.iter().collect()
    }

    /// A version published on one side of a cut is in force there, and everywhere once the cut has healed.
    fn publish_on_one_side(&self, before: &str) {
        let all = self.all();
        self.cut.store(true, Ordering::Relaxed);
        let began = Instant::now();
        let north = publish(self.addresses[0], &short_limit());
        wait_until_in_force("one side of the cut", &all[..2], &north, began);
        assert_views(&all[..2], false);
        // Longer than any poll waits: a sidecar that changes its version without a machine does so by then.
        let until = Instant::now() + ms(8000);
        while Instant::now() < until {
            assert!(
                all[2..].iter().all(|sidecar| sidecar.in_force().as_deref() == Some(before)),
                "version changed on the other side of the cut"
            );
            thread::sleep(ms(200));
        }
        assert_views(&all[2..], true);
        self.cut.store(false, Ordering::Relaxed);
        wait_until_in_force("healed", &all, &north, Instant::now());
        assert_views(&all, false);
    }

    /// Both sides publish during a cut: afterwards one of the two versions is in force everywhere, and the machines log
    /// the conflict.
    fn publish_on_both_sides(&self) {
        let all = self.all();
        self.cut.store(true, Ordering::Relaxed);
        let first = publish(self.addresses[1], &json!({"tenants.acme.quota": 1}));
        let second = publish(self.addresses[2], &json!({"tenants.acme.quota": 2}));
        self.cut.store(false, Ordering::Relaxed);
        let winner = first.max(second);
        wait_until_in_force("published on both sides", &all, &winner, Instant::now());
        let log = |at: usize| std::fs::read_to_string(self.folder.join(format!("m{at}.log")));
        let logs: String = (0..4).map(|at| log(at).unwrap_or_default()).collect();
        assert!(logs.contains("two versions were published at once"), "no machine logged the conflict");
        assert_views(&all, true);
    }

    /// Starts the first sidecar again with its current files.
    fn restart_first_sidecar(&mut self, file: &str) {
        let (address, console) = (self.sidecars[0].address, self.sidecars[0].console);
        self.sidecars[0] = start_with(&self.folder, "n0", (address, console), file);
    }

    /// Without any machine a process starts with its cached snapshot, or with its file alone if the snapshot is unusable.
    fn restart_without_machines(&mut self, last: &str) {
        let file = std::fs::read_to_string(self.folder.join("n0.toml"))
            .expect("failed to read the sidecar's configuration");
        self.sidecars[0].process.kill();
        self.restart_first_sidecar(&file);
        assert_eq!(
            self.sidecars[0].in_force().as_deref(),
            Some(last),
            "version of the cached snapshot is in force"
        );
        assert_views(&[&self.sidecars[0]], false);
        let cache = self.folder.join("n0.kept");
        let cached = std::fs::read_to_string(&cache).expect("failed to read the cached snapshot");
        let unusable =
            [&cached[..cached.len() / 2], &cached.replace(SCOPE, "orders"), &cached.replace("40ms", "80ms")];
        for unusable in unusable {
            self.sidecars[0].process.kill();
            std::fs::write(&cache, unusable).expect("failed to write the file");
            self.restart_first_sidecar(&file);
            assert_eq!(self.sidecars[0].in_force(), None);
            assert_views(&[&self.sidecars[0]], true);
        }
    }
}

#[test]
fn regions_agree_after_a_cut_and_keep_versions_without_machines() {
    let _turn = take_turn();
    let (_endpoints, endpoints) = slow_endpoints();
    let mut deployment = Partition::start(&endpoints);
    let requests = BackgroundRequests::start(&deployment.all());
    let began = Instant::now();
    let first = publish(deployment.addresses[3], &json!({"verbs.view.goal": "1s"}));
    wait_until_in_force("before the cut", &deployment.all(), &first, began);
    deployment.publish_on_one_side(&first);
    deployment.publish_on_both_sides();
    let last = publish(deployment.addresses[0], &short_limit());
    wait_until_in_force("a last change", &deployment.all(), &last, Instant::now());

    deployment.machines.iter_mut().for_each(|machine| machine.process.kill());
    assert_views(&deployment.all(), false);
    assert!(deployment.all().iter().all(|sidecar| sidecar.in_force().as_deref() == Some(&last)));
    requests.end("background requests");
    deployment.restart_without_machines(&last);
    // The machines restart with their stored versions, and the last one is in force again.
    deployment.start_machines();
    wait_until_in_force("all machines back", &deployment.all(), &last, Instant::now());
    deployment.machines.clear();
    let _ = std::fs::remove_dir_all(&deployment.folder);
}
