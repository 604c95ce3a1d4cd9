//! Machines that are killed or fall silent, and regions that are cut off from each other: versions are in force in time, and
//! without any machine the last good one stays so.

use crate::helpers::*;
use crate::paths::partitionable_path;
use crate::rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

/// Short enough that no endpoint answers within it.
fn short_limit() -> Value {
    json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"})
}

/// Eight machines and six sidecars in two regions.
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
            machines.iter().enumerate().map(|(at, one)| (one.address, regions[at / 4])).collect();
        let list = machine_list(&list);
        let sidecar =
            |at: usize| start_sidecar(&folder, &format!("n{at}"), regions[at % 2], &list, endpoints);
        let sidecars = (0..6).map(sidecar).collect();
        TwoRegions { folder, machines, sidecars }
    }

    fn all(&self) -> Vec<&FollowingSidecar> {
        self.sidecars.iter().collect()
    }

    /// The number of the machine that this sidecar polls.
    fn machine_of(&self, sidecar: usize) -> usize {
        let status = self.sidecars[sidecar].status();
        let polled = status["machine"].as_str().expect("a machine");
        self.machines.iter().position(|one| one.address.to_string() == polled).expect("one of them")
    }

    fn publishes_in_calm(&self) {
        let began = Instant::now();
        let version = publish(self.machines[0].address, &short_limit());
        wait_until_in_force("in calm", &self.all(), &version, began);
        assert_views(&self.all(), false);
        let acknowledged = || scope_status(self.machines[5].address)["acknowledged"].as_u64() == Some(6);
        within("any machine tells that all have acknowledged it", acknowledged);
    }

    /// One machine stands still, so that its sidecars wait, and is killed while the others hand a version out.
    fn publishes_while_one_is_killed(&mut self) -> usize {
        let victim = self.machine_of(0);
        let other = (victim + 1) % 8;
        self.machines[victim].process.signal("-STOP");
        let began = Instant::now();
        let version = publish(self.machines[other].address, &json!({"tenants.acme.quota": 500}));
        self.machines[victim].process.kill();
        wait_until_in_force("one killed meanwhile", &self.all(), &version, began);
        assert_views(&self.all(), true);
        victim
    }

    /// Another falls silent and stays so: nothing ends its connections. Returns one that is left, and the version.
    fn publishes_while_one_is_silent(&self, killed: usize) -> (usize, String) {
        let silent = self.machine_of(1);
        let left = (0..8).find(|at| *at != killed && *at != silent).expect("another");
        self.machines[silent].process.signal("-STOP");
        let began = Instant::now();
        let version = publish(self.machines[left].address, &short_limit());
        wait_until_in_force("one silent", &self.all(), &version, began);
        assert_views(&self.all(), false);
        (left, version)
    }

    /// All but one are killed at the moment of a publication.
    fn publishes_while_all_others_are_killed(&mut self, left: usize) -> String {
        let began = Instant::now();
        let others = self.machines.iter_mut().enumerate().filter(|(at, _)| *at != left);
        others.for_each(|(_, one)| one.process.kill());
        let version = publish(self.machines[left].address, &json!({}));
        wait_until_in_force("seven killed", &self.all(), &version, began);
        assert_views(&self.all(), true);
        version
    }

    fn rolls_back(&self, machine: usize, base: &str, target: &str) {
        let address = self.machines[machine].address;
        let kept = scope_status(address)["kept"].clone();
        assert!(kept.as_array().is_some_and(|kept| kept.contains(&json!(target))), "{kept}");
        let began = Instant::now();
        let (status, text) = put(address, base, &format!("&back={target}"), &Value::Null);
        assert_eq!(status, 200, "{text}");
        let version = current_version(address).expect("a version");
        assert!(version != target);
        wait_until_in_force("back", &self.all(), &version, began);
        assert_views(&self.all(), false);
    }
}

#[test]
fn versions_are_in_force_within_ten_seconds_while_machines_are_killed_or_silent() {
    let _turn = take_turn();
    let (_endpoints, endpoints) = slow_endpoints();
    let mut world = TwoRegions::start(&endpoints);
    assert_views(&world.all(), true);
    let requests = BackgroundRequests::start(&world.all());
    world.publishes_in_calm();
    let killed = world.publishes_while_one_is_killed();
    let (left, third) = world.publishes_while_one_is_silent(killed);
    let fourth = world.publishes_while_all_others_are_killed(left);
    world.rolls_back(left, &fourth, &third);
    requests.end("calls meanwhile");
    let _ = std::fs::remove_dir_all(&world.folder);
}

fn region(number: usize) -> &'static str {
    if number < 2 { "north" } else { "south" }
}

/// Four machines and four sidecars in two regions; all paths between the regions can be cut.
struct Partition {
    folder: PathBuf,
    cut: Arc<AtomicBool>,
    /// Where the machines listen.
    addresses: Vec<SocketAddr>,
    machines: Vec<Machine>,
    sidecars: Vec<FollowingSidecar>,
}

impl Partition {
    fn start(endpoints: &[SocketAddr]) -> Partition {
        let (folder, cut) = (folder("cut"), Arc::new(AtomicBool::new(false)));
        let addresses: Vec<SocketAddr> = (0..4).map(|_| address()).collect();
        let mut world = Partition { folder, cut, addresses, machines: Vec::new(), sidecars: Vec::new() };
        world.start_machines();
        world.machines.iter().for_each(|one| {
            within("each machine hears all others", || peers_heard(one.address) == 3);
        });
        let lists = [world.list_of(0), world.list_of(1)];
        let sidecar = |at: usize| {
            start_sidecar(&world.folder, &format!("n{at}"), region(at), &lists[at / 2], endpoints)
        };
        world.sidecars = (0..4).map(sidecar).collect();
        world
    }

    /// Where a process of this region reaches the machine.
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

    /// The machines as sidecars of the first or the second region reach them.
    fn list_of(&self, half: usize) -> String {
        let seen = |other: usize| (self.path(region(2 * half), other), region(other));
        machine_list(&(0..4).map(seen).collect::<Vec<_>>())
    }

    fn all(&self) -> Vec<&FollowingSidecar> {
        self.sidecars.iter().collect()
    }

    /// What is published on one side of a cut is in force there, and everywhere once it has healed.
    fn publishes_on_one_side(&self, before: &str) {
        let all = self.all();
        self.cut.store(true, Ordering::Relaxed);
        let began = Instant::now();
        let north = publish(self.addresses[0], &short_limit());
        wait_until_in_force("one side of the cut", &all[..2], &north, began);
        assert_views(&all[..2], false);
        // For longer than any poll waits: a sidecar that would fall over would have by now.
        let until = Instant::now() + ms(8000);
        while Instant::now() < until {
            assert!(all[2..].iter().all(|one| one.in_force().as_deref() == Some(before)), "the other side");
            thread::sleep(ms(200));
        }
        assert_views(&all[2..], true);
        self.cut.store(false, Ordering::Relaxed);
        wait_until_in_force("healed", &all, &north, Instant::now());
        assert_views(&all, false);
    }

    /// Both sides publish: one of the two versions is in force everywhere, and the machines of the other side log it.
    fn publishes_on_both_sides(&self) {
        let all = self.all();
        self.cut.store(true, Ordering::Relaxed);
        let one = publish(self.addresses[1], &json!({"tenants.acme.quota": 1}));
        let other = publish(self.addresses[2], &json!({"tenants.acme.quota": 2}));
        self.cut.store(false, Ordering::Relaxed);
        let winner = one.max(other);
        wait_until_in_force("published on both sides", &all, &winner, Instant::now());
        let log = |at: usize| std::fs::read_to_string(self.folder.join(format!("m{at}.log")));
        let logs: String = (0..4).map(|at| log(at).unwrap_or_default()).collect();
        assert!(logs.contains("two versions were published at once"), "it is told");
        assert_views(&all, true);
    }

    /// Starts the first sidecar again, with what is in its files by now.
    fn restart_first_sidecar(&mut self, file: &str) {
        let (address, console) = (self.sidecars[0].address, self.sidecars[0].console);
        self.sidecars[0] = start_with(&self.folder, "n0", (address, console), file);
    }

    /// Without any machine a process that starts goes by its cached snapshot, or by its file where that is unusable.
    fn restarts_without_machines(&mut self, last: &str) {
        let file = std::fs::read_to_string(self.folder.join("n0.toml")).expect("its file");
        self.sidecars[0].process.kill();
        self.restart_first_sidecar(&file);
        assert_eq!(self.sidecars[0].in_force().as_deref(), Some(last), "as it was kept");
        assert_views(&[&self.sidecars[0]], false);
        let cache = self.folder.join("n0.kept");
        let cached = std::fs::read_to_string(&cache).expect("a cached snapshot");
        let unusable =
            [&cached[..cached.len() / 2], &cached.replace(SCOPE, "orders"), &cached.replace("40ms", "80ms")];
        for unusable in unusable {
            self.sidecars[0].process.kill();
            std::fs::write(&cache, unusable).expect("a file");
            self.restart_first_sidecar(&file);
            assert_eq!(self.sidecars[0].in_force(), None);
            assert_views(&[&self.sidecars[0]], true);
        }
    }
}

#[test]
fn cut_off_regions_go_on_and_agree_afterwards_and_without_machines_the_last_version_stays_in_force() {
    let _turn = take_turn();
    let (_endpoints, endpoints) = slow_endpoints();
    let mut world = Partition::start(&endpoints);
    let requests = BackgroundRequests::start(&world.all());
    let began = Instant::now();
    let first = publish(world.addresses[3], &json!({"verbs.view.goal": "1s"}));
    wait_until_in_force("before the cut", &world.all(), &first, began);
    world.publishes_on_one_side(&first);
    world.publishes_on_both_sides();
    let last = publish(world.addresses[0], &short_limit());
    wait_until_in_force("a last change", &world.all(), &last, Instant::now());

    world.machines.iter_mut().for_each(|one| one.process.kill());
    assert_views(&world.all(), false);
    assert!(world.all().iter().all(|one| one.in_force().as_deref() == Some(&last)));
    requests.end("calls meanwhile");
    world.restarts_without_machines(&last);
    // The machines come back with what they stored, and it is in force again.
    world.start_machines();
    wait_until_in_force("all machines back", &world.all(), &last, Instant::now());
    world.machines.clear();
    let _ = std::fs::remove_dir_all(&world.folder);
}
