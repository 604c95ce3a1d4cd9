//! Measures how long a change takes until every sidecar has it in force, without and with faults. Control
//! machines are processes of the program; followers, many per process, run the program's own task on real
//! sockets. The figures come from the followers' output and from the kernel's process statistics.

use landingspread_lab::sockets::{Peer, bind_loopback, sidecar_program};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Number of control machines; the first half is the region north, the others south.
const MACHINES: usize = 8;
/// Number of followers in one process.
const FOLLOWERS_PER_PROCESS: usize = 2100;
/// Bound on the number of followers.
const MAX_FOLLOWERS: usize = 12_000;
/// Limit for each wait.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Duration of the partition between the regions.
const PARTITION_TIME: Duration = Duration::from_secs(8);
/// Time limit of a request to a control machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Unit of processor time in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Processor time so far in seconds, and resident memory in MB.
    fn usage(&self) -> (f64, f64) {
        let read =
            |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.0.id())).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let pages = read("statm").split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        ((ticks(11) + ticks(12)) / TICKS_PER_SECOND, pages.unwrap_or(0.0) * 4096.0 / 1e6)
    }
}

/// What the follower processes reported.
#[derive(Default)]
struct FollowerReports {
    /// When followers put a version in force, in microseconds of Unix time, by version.
    enforced: BTreeMap<String, Vec<u64>>,
    /// Requests, bytes sent and bytes received, by process.
    counted: BTreeMap<usize, [u64; 3]>,
}

struct Rig {
    dir: PathBuf,
    program: PathBuf,
    addresses: Vec<SocketAddr>,
    /// Address at which machine i reaches machine j.
    peer_addresses: Vec<Vec<SocketAddr>>,
    machines: Vec<Option<Process>>,
    followers: Vec<Process>,
    reports: Arc<Mutex<FollowerReports>>,
    scopes: usize,
    count: usize,
    versions: Vec<String>,
    published: u64,
    cut: Arc<AtomicBool>,
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn region(machine: usize) -> &'static str {
    if machine < MACHINES / 2 { "north" } else { "south" }
}

fn request(to: SocketAddr, head: &str, body: &str) -> Result<(u16, String), String> {
    let error_text = |error: std::io::Error| format!("{to}: {head}: {error}");
    let stream = TcpStream::connect_timeout(&to, REQUEST_TIMEOUT).map_err(error_text)?;
    let mut peer = Peer::new(stream);
    peer.set_read_timeout(Some(REQUEST_TIMEOUT));
    let length = body.len();
    let request = format!("{head} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n{body}");
    peer.write(request.as_bytes()).map_err(error_text)?;
    let answer = peer.read_response().map_err(error_text)?;
    Ok((answer.status().unwrap_or(0), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// Starts a proxy for connections between regions and returns its address. Data that a cut holds back is
/// forwarded when the cut ends.
fn start_proxy(to: SocketAddr, cut: &Arc<AtomicBool>) -> Result<SocketAddr, String> {
    let listener = bind_loopback().map_err(|error| error.to_string())?;
    let own = listener.local_addr().map_err(|error| error.to_string())?;
    let cut = cut.clone();
    thread::spawn(move || accept_connections(&listener, to, &cut));
    Ok(own)
}

fn wait_until_healed(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn accept_connections(listener: &TcpListener, to: SocketAddr, cut: &Arc<AtomicBool>) {
    for local in listener.incoming().flatten() {
        let cut = cut.clone();
        thread::spawn(move || {
            wait_until_healed(&cut);
            let Ok(remote) = TcpStream::connect(to) else { return };
            let (Ok(local_clone), Ok(remote_clone)) = (local.try_clone(), remote.try_clone()) else { return };
            let backward_cut = cut.clone();
            thread::spawn(move || forward_bytes(remote_clone, local_clone, &backward_cut));
            forward_bytes(local, remote, &cut);
        });
    }
}

fn forward_bytes(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait_until_healed(cut);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

impl Rig {
    fn start(count: usize, scopes: usize, dir: &Path) -> Result<Rig, String> {
        let addresses: Vec<SocketAddr> = (0..MACHINES)
            .map(|_| bind_loopback().and_then(|listener| listener.local_addr()))
            .collect::<Result<_, _>>()
            .map_err(|error| error.to_string())?;
        let cut = Arc::new(AtomicBool::new(false));
        let address_for = |from: usize, to: usize| {
            if region(from) == region(to) { Ok(addresses[to]) } else { start_proxy(addresses[to], &cut) }
        };
        let peer_addresses = (0..MACHINES)
            .map(|from| (0..MACHINES).map(|to| address_for(from, to)).collect())
            .collect::<Result<_, String>>()?;
        let mut rig = Rig {
            dir: dir.to_path_buf(),
            program: sidecar_program()?,
            addresses,
            peer_addresses,
            machines: (0..MACHINES).map(|_| None).collect(),
            followers: Vec::new(),
            reports: Arc::default(),
            scopes,
            count,
            versions: vec!["none".into(); scopes],
            published: 0,
            cut,
        };
        (0..MACHINES).try_for_each(|at| rig.start_machine(at))?;
        rig.wait_until("all machines are connected and agree", |rig| {
            Ok(rig.agreeing_machines()? == MACHINES)
        })?;
        rig.start_followers()?;
        Ok(rig)
    }

    fn start_machine(&mut self, at: usize) -> Result<(), String> {
        let all: Vec<String> =
            self.peer_addresses[at].iter().map(|address| format!("\"{address}\"")).collect();
        let state = self.dir.join(format!("m{at}"));
        let own = self.addresses[at];
        let text = format!("listen = \"{own}\"\nmachines = [{}]\nstate = {state:?}\n", all.join(", "));
        let file = self.dir.join(format!("m{at}.toml"));
        std::fs::write(&file, text).map_err(|error| error.to_string())?;
        let log =
            std::fs::File::options().create(true).append(true).open(self.dir.join(format!("m{at}.log")));
        let mut command = Command::new(&self.program);
        command.arg("control").arg(&file).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map_err(|error| error.to_string())?).env("NODE_LOG", "warn");
        self.machines[at] = Some(Process(command.spawn().map_err(|error| error.to_string())?));
        Ok(())
    }

    fn start_followers(&mut self) -> Result<(), String> {
        let machine = |(at, address): (usize, &SocketAddr)| format!("{address}={}", region(at));
        let list: Vec<String> = self.addresses.iter().enumerate().map(machine).collect();
        let processes = self.count.div_ceil(FOLLOWERS_PER_PROCESS);
        for number in 0..processes {
            let followers = self.count / processes + usize::from(number < self.count % processes);
            let mut command = Command::new(&self.program);
            command.args([
                "followers",
                "--count",
                &followers.to_string(),
                "--scopes",
                &self.scopes.to_string(),
            ]);
            command.args(["--prefix", &format!("p{number}-"), "--machines", &list.join(",")]);
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
            let mut child = command.env("NODE_LOG", "error").spawn().map_err(|error| error.to_string())?;
            let reports = self.reports.clone();
            if let Some(out) = child.stdout.take() {
                thread::spawn(move || read_reports(number, out, &reports));
            }
            self.followers.push(Process(child));
        }
        Ok(())
    }

    /// Polls until the condition holds, and returns the time that took.
    fn wait_until(
        &mut self,
        condition: &str,
        holds: impl Fn(&Rig) -> Result<bool, String>,
    ) -> Result<Duration, String> {
        let started_at = Instant::now();
        while !holds(self).unwrap_or(false) {
            if started_at.elapsed() > WAIT_LIMIT {
                return Err(format!("not within {WAIT_LIMIT:?}: {condition}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(started_at.elapsed())
    }

    fn running_machines(&self) -> Vec<usize> {
        (0..MACHINES).filter(|at| self.machines[*at].is_some()).collect()
    }

    fn status(&self, at: usize) -> Result<String, String> {
        request(self.addresses[at], "GET /control/v1/status", "").map(|(_, text)| text)
    }

    /// Number of running machines that are connected to all others and have the same digest as the first.
    fn agreeing_machines(&self) -> Result<usize, String> {
        let digest = |text: &str| text.lines().find(|line| line.starts_with("digest")).map(str::to_string);
        let first = digest(&self.status(self.running_machines()[0])?);
        let agrees = |at: &usize| {
            self.status(*at).is_ok_and(|text| digest(&text) == first && !text.contains("answered never"))
        };
        Ok(self.running_machines().iter().filter(|at| agrees(at)).count())
    }

    /// Number of sidecar connections at all machines.
    fn connections(&self) -> Result<usize, String> {
        let mut sum = 0;
        for at in self.running_machines() {
            let text = self.status(at)?;
            let line = text.lines().find_map(|line| line.strip_prefix("connections"));
            let count = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
            // The count includes the connections of the other machines and that of this request.
            sum += count.unwrap_or(0).saturating_sub(self.running_machines().len());
        }
        Ok(sum)
    }

    fn reports(&self) -> std::sync::MutexGuard<'_, FollowerReports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes every scope through the given machines in turn; returns when each version was published, in
    /// microseconds of Unix time.
    fn publish(&mut self, at: &[usize]) -> Result<BTreeMap<String, u64>, String> {
        self.published += 1;
        let body =
            json!({"verbs.view.goal": format!("{}ms", 100 + self.published), "tenants.acme.quota": 100});
        let mut published_versions = BTreeMap::new();
        for scope in 0..self.scopes {
            let to = self.addresses[at[scope % at.len()]];
            let head = format!("PUT /control/v1/scopes/s{scope}?base={}", self.versions[scope]);
            let published_at = unix_us();
            let (status, text) = request(to, &head, &body.to_string())?;
            let response: Value = serde_json::from_str(&text).unwrap_or_default();
            let version = response["version"].as_str().filter(|_| status == 200);
            let version = version.ok_or_else(|| format!("{head}: {status} {text}"))?.to_string();
            published_versions.insert(version.clone(), published_at);
            self.versions[scope] = version;
        }
        Ok(published_versions)
    }

    /// Waits until `count` followers have these versions in force, and prints the time since each was
    /// published. With `from`, the time since `from`, of the followers that got the version after it.
    fn measure(
        &mut self,
        label: &str,
        published_versions: &BTreeMap<String, u64>,
        from: Option<u64>,
        count: usize,
    ) -> Result<(), String> {
        let enforced_count = |rig: &Rig| {
            let reports = rig.reports();
            published_versions
                .keys()
                .map(|version| reports.enforced.get(version).map_or(0, Vec::len))
                .sum::<usize>()
        };
        let outcome = self.wait_until(label, |rig| Ok(enforced_count(rig) >= count));
        let reports = self.reports();
        let mut latencies: Vec<f64> = Vec::new();
        for (version, at) in published_versions {
            let since = from.unwrap_or(*at);
            let times = reports.enforced.get(version).into_iter().flatten().filter(|us| **us >= since);
            latencies.extend(times.map(|us| us.saturating_sub(since) as f64 / 1e6));
        }
        latencies.sort_by(f64::total_cmp);
        let percentile = |share: f64| {
            latencies
                .get(((latencies.len() as f64 * share).ceil() as usize).max(1) - 1)
                .copied()
                .unwrap_or(f64::NAN)
        };
        println!(
            "{label:<44} {:>6} of {count:<5} median {:>7.3} s  99 in 100 {:>7.3} s  last {:>7.3} s",
            latencies.len(),
            percentile(0.5),
            percentile(0.99),
            percentile(1.0)
        );
        outcome.map(drop)
    }

    /// Prints the cost of a period without changes or faults.
    fn measure_idle(&self, span: Duration) {
        let machines: Vec<&Process> = self.machines.iter().flatten().collect();
        let sum = |processes: &[&Process]| processes.iter().map(|process| process.usage().0).sum::<f64>();
        let followers: Vec<&Process> = self.followers.iter().collect();
        let traffic = |rig: &Rig| {
            rig.reports()
                .counted
                .values()
                .fold([0; 3], |sum, counts| [0, 1, 2].map(|at| sum[at] + counts[at]))
        };
        let (before, calls, started_at) = ((sum(&machines), sum(&followers)), traffic(self), Instant::now());
        thread::sleep(span);
        let (after, calls_after, span) =
            ((sum(&machines), sum(&followers)), traffic(self), started_at.elapsed().as_secs_f64());
        let each = |at: usize| (calls_after[at] - calls[at]) as f64 / span / self.count as f64;
        println!(
            "calm, {span:.1} s: a follower {:.3} calls, {:.0} bytes sent and {:.0} received a second, {:.4}% of a core, {:.1} kB; \
             a machine {:.2}% of a core, {:.1} MB",
            each(0),
            each(1),
            each(2),
            (after.1 - before.1) / span / self.count as f64 * 100.0,
            followers.iter().map(|process| process.usage().1).sum::<f64>() * 1e3 / self.count as f64,
            (after.0 - before.0) / span / machines.len() as f64 * 100.0,
            machines.iter().map(|process| process.usage().1).sum::<f64>() / machines.len() as f64,
        );
    }

    /// Waits until all followers have an open request at some machine.
    fn wait_for_connections(&mut self) -> Result<Duration, String> {
        let count = self.count;
        self.wait_until("all followers are connected", |rig| Ok(rig.connections()? >= count))
    }
}

/// Reads the output of a follower process until it ends.
fn read_reports(number: usize, out: impl Read, reports: &Mutex<FollowerReports>) {
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        let fields: Vec<&str> = line.split(' ').collect();
        let figure = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
        match fields.first() {
            Some(&"enforced") => {
                let version = fields.get(3).unwrap_or(&"").to_string();
                reports.enforced.entry(version).or_default().push(figure(1));
            }
            Some(&"counted") => _ = reports.counted.insert(number, [figure(1), figure(2), figure(3)]),
            _ => {}
        }
    }
}

/// Runs all cases.
///
/// # Errors
/// Counts out of range, processes that can't be started, and waits that exceed their limit.
pub fn run(count: usize, scopes: usize, calm: f64) -> Result<(), String> {
    if count == 0 || count > MAX_FOLLOWERS || scopes == 0 || scopes > count {
        return Err(format!(
            "{count} followers of {scopes} services: expected 1 to {MAX_FOLLOWERS} followers, and from 1 service to one per follower"
        ));
    }
    let dir = std::env::temp_dir().join(format!("landingspread-fan-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
    let outcome = run_cases(count, scopes, calm, &dir);
    if outcome.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    outcome
}

fn run_cases(count: usize, scopes: usize, calm: f64, dir: &Path) -> Result<(), String> {
    let mut rig = Rig::start(count, scopes, dir)?;
    let all: Vec<usize> = (0..MACHINES).collect();
    println!(
        "{count} followers of {scopes} services in {} processes, {MACHINES} machines",
        rig.followers.len()
    );
    let elapsed = rig.wait_for_connections()?;
    println!("all call after {:.1} s", elapsed.as_secs_f64());
    let published_versions = rig.publish(&all)?;
    rig.measure("first version (a snapshot each)", &published_versions, None, count)?;
    rig.measure_idle(Duration::from_secs_f64(calm));
    let published_versions = rig.publish(&all)?;
    rig.measure("a change of each service, in calm", &published_versions, None, count)?;

    rig.cut.store(true, Ordering::Relaxed);
    let north: Vec<usize> = (0..MACHINES / 2).collect();
    let published_versions = rig.publish(&north)?;
    rig.wait_until("a third of the followers have the north's versions", |rig| {
        let reports = rig.reports();
        Ok(published_versions
            .keys()
            .map(|version| reports.enforced.get(version).map_or(0, Vec::len))
            .sum::<usize>()
            * 3
            >= count)
    })?;
    // Longer than every timeout between machines, so that blocked requests are given up and retried.
    thread::sleep(PARTITION_TIME);
    let before: usize = {
        let reports = rig.reports();
        published_versions.keys().map(|version| reports.enforced.get(version).map_or(0, Vec::len)).sum()
    };
    rig.cut.store(false, Ordering::Relaxed);
    let healed = unix_us();
    println!("regions cut: {before} of {count} have what the north published before the cut heals");
    rig.measure("the other region, after the cut heals", &published_versions, Some(healed), count)?;

    rig.wait_for_connections()?;
    rig.machines[2] = None;
    let others: Vec<usize> = all.iter().copied().filter(|at| *at != 2).collect();
    let published_versions = rig.publish(&others)?;
    rig.measure("one of eight machines killed at the change", &published_versions, None, count)?;
    rig.wait_for_connections()?;
    (0..MACHINES - 1).for_each(|at| rig.machines[at] = None);
    let published_versions = rig.publish(&[MACHINES - 1])?;
    rig.measure("seven of eight killed at the change", &published_versions, None, count)?;
    rig.wait_for_connections()?;
    let published_versions = rig.publish(&[MACHINES - 1])?;
    rig.measure("the next change, with one machine left", &published_versions, None, count)?;
    let _ = std::io::stdout().flush();
    Ok(())
}
