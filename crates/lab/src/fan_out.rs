//! How long a change takes until every sidecar has it in force: control machines as processes of the program, many
//! followers to a process (the program's own task, on real sockets), in calm and with faults. It owns the processes and the
//! ways between regions; what it prints is what followers said and what the kernel counts of them.

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

const MACHINES: usize = 8;
/// So many followers to a process.
const EACH: usize = 2100;
const FOLLOWERS_MOST: usize = 12_000;
const ALL_WITHIN: Duration = Duration::from_secs(30);
/// How long the regions have lost each other.
const CUT_FOR: Duration = Duration::from_secs(8);
const CALL: Duration = Duration::from_secs(3);
const TICKS_A_SECOND: f64 = 100.0;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Processor seconds so far, and resident megabytes.
    fn used(&self) -> (f64, f64) {
        let read =
            |what: &str| std::fs::read_to_string(format!("/proc/{}/{what}", self.0.id())).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let pages = read("statm").split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        ((ticks(11) + ticks(12)) / TICKS_A_SECOND, pages.unwrap_or(0.0) * 4096.0 / 1e6)
    }
}

/// Who has which version in force, and since when in microseconds of Unix time; and what followers count.
#[derive(Default)]
struct Heard {
    enforced: BTreeMap<String, Vec<u64>>,
    /// Calls, bytes sent and received, by process.
    counted: BTreeMap<usize, [u64; 3]>,
}

struct Rig {
    dir: PathBuf,
    program: PathBuf,
    addresses: Vec<SocketAddr>,
    /// Where machine i finds machine j.
    ways: Vec<Vec<SocketAddr>>,
    machines: Vec<Option<Process>>,
    followers: Vec<Process>,
    heard: Arc<Mutex<Heard>>,
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

fn call(to: SocketAddr, head: &str, body: &str) -> Result<(u16, String), String> {
    let told = |wrong: std::io::Error| format!("{to}: {head}: {wrong}");
    let stream = TcpStream::connect_timeout(&to, CALL).map_err(told)?;
    let mut peer = Peer::new(stream);
    peer.set_read_timeout(Some(CALL));
    let length = body.len();
    let text = format!("{head} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n{body}");
    peer.write(text.as_bytes()).map_err(told)?;
    let answer = peer.read_response().map_err(told)?;
    Ok((answer.status().unwrap_or(0), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// The way across the border: what a cut holds up goes on when it is over.
fn way(to: SocketAddr, cut: &Arc<AtomicBool>) -> Result<SocketAddr, String> {
    let listener = bind_loopback().map_err(|wrong| wrong.to_string())?;
    let own = listener.local_addr().map_err(|wrong| wrong.to_string())?;
    let cut = cut.clone();
    thread::spawn(move || lead(&listener, to, &cut));
    Ok(own)
}

fn wait_out(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn lead(listener: &TcpListener, to: SocketAddr, cut: &Arc<AtomicBool>) {
    for near in listener.incoming().flatten() {
        let cut = cut.clone();
        thread::spawn(move || {
            wait_out(&cut);
            let Ok(far) = TcpStream::connect(to) else { return };
            let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
            let back = cut.clone();
            thread::spawn(move || carry(far_back, near_back, &back));
            carry(near, far, &cut);
        });
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait_out(cut);
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
            .map_err(|wrong| wrong.to_string())?;
        let cut = Arc::new(AtomicBool::new(false));
        let way_of = |from: usize, to: usize| {
            if region(from) == region(to) { Ok(addresses[to]) } else { way(addresses[to], &cut) }
        };
        let ways = (0..MACHINES)
            .map(|from| (0..MACHINES).map(|to| way_of(from, to)).collect())
            .collect::<Result<_, String>>()?;
        let mut rig = Rig {
            dir: dir.to_path_buf(),
            program: sidecar_program()?,
            addresses,
            ways,
            machines: (0..MACHINES).map(|_| None).collect(),
            followers: Vec::new(),
            heard: Arc::default(),
            scopes,
            count,
            versions: vec!["none".into(); scopes],
            published: 0,
            cut,
        };
        (0..MACHINES).try_for_each(|at| rig.start_machine(at))?;
        rig.until("all machines hear each other", |rig| Ok(rig.machines_that_agree()? == MACHINES))?;
        rig.start_followers()?;
        Ok(rig)
    }

    fn start_machine(&mut self, at: usize) -> Result<(), String> {
        let all: Vec<String> = self.ways[at].iter().map(|address| format!("\"{address}\"")).collect();
        let state = self.dir.join(format!("m{at}"));
        let own = self.addresses[at];
        let text = format!("listen = \"{own}\"\nmachines = [{}]\nstate = {state:?}\n", all.join(", "));
        let file = self.dir.join(format!("m{at}.toml"));
        std::fs::write(&file, text).map_err(|wrong| wrong.to_string())?;
        let log =
            std::fs::File::options().create(true).append(true).open(self.dir.join(format!("m{at}.log")));
        let mut command = Command::new(&self.program);
        command.arg("control").arg(&file).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map_err(|wrong| wrong.to_string())?).env("NODE_LOG", "warn");
        self.machines[at] = Some(Process(command.spawn().map_err(|wrong| wrong.to_string())?));
        Ok(())
    }

    fn start_followers(&mut self) -> Result<(), String> {
        let machine = |(at, address): (usize, &SocketAddr)| format!("{address}={}", region(at));
        let list: Vec<String> = self.addresses.iter().enumerate().map(machine).collect();
        let processes = self.count.div_ceil(EACH);
        for number in 0..processes {
            let own = self.count / processes + usize::from(number < self.count % processes);
            let mut command = Command::new(&self.program);
            command.args(["followers", "--count", &own.to_string(), "--scopes", &self.scopes.to_string()]);
            command.args(["--prefix", &format!("p{number}-"), "--machines", &list.join(",")]);
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
            let mut child = command.env("NODE_LOG", "error").spawn().map_err(|wrong| wrong.to_string())?;
            let heard = self.heard.clone();
            if let Some(out) = child.stdout.take() {
                thread::spawn(move || hear(number, out, &heard));
            }
            self.followers.push(Process(child));
        }
        Ok(())
    }

    fn until(
        &mut self,
        what: &str,
        holds: impl Fn(&Rig) -> Result<bool, String>,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        while !holds(self).unwrap_or(false) {
            if began.elapsed() > ALL_WITHIN {
                return Err(format!("not within {ALL_WITHIN:?}: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(began.elapsed())
    }

    fn alive(&self) -> Vec<usize> {
        (0..MACHINES).filter(|at| self.machines[*at].is_some()).collect()
    }

    fn status(&self, at: usize) -> Result<String, String> {
        call(self.addresses[at], "GET /control/v1/status", "").map(|(_, text)| text)
    }

    /// How many machines heard all others and have what the first has.
    fn machines_that_agree(&self) -> Result<usize, String> {
        let digest = |text: &str| text.lines().find(|line| line.starts_with("digest")).map(str::to_string);
        let first = digest(&self.status(self.alive()[0])?);
        let like = |at: &usize| {
            self.status(*at).is_ok_and(|text| digest(&text) == first && !text.contains("answered never"))
        };
        Ok(self.alive().iter().filter(|at| like(at)).count())
    }

    /// Sidecars' connections at all machines.
    fn connections(&self) -> Result<usize, String> {
        let mut sum = 0;
        for at in self.alive() {
            let text = self.status(at)?;
            let line = text.lines().find_map(|line| line.strip_prefix("connections"));
            let count = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
            // Those of the other machines are not sidecars', nor is this call.
            sum += count.unwrap_or(0).saturating_sub(self.alive().len());
        }
        Ok(sum)
    }

    fn heard(&self) -> std::sync::MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A change of every scope, said to these machines in turn; when each was said.
    fn publish(&mut self, at: &[usize]) -> Result<BTreeMap<String, u64>, String> {
        self.published += 1;
        let body =
            json!({"verbs.view.goal": format!("{}ms", 100 + self.published), "tenants.acme.quota": 100});
        let mut said = BTreeMap::new();
        for scope in 0..self.scopes {
            let to = self.addresses[at[scope % at.len()]];
            let head = format!("PUT /control/v1/scopes/s{scope}?base={}", self.versions[scope]);
            let when = unix_us();
            let (status, text) = call(to, &head, &body.to_string())?;
            let told: Value = serde_json::from_str(&text).unwrap_or_default();
            let version = told["version"].as_str().filter(|_| status == 200);
            let version = version.ok_or_else(|| format!("{head}: {status} {text}"))?.to_string();
            said.insert(version.clone(), when);
            self.versions[scope] = version;
        }
        Ok(said)
    }

    /// Waits until all have these versions, and prints the time since each was published; or since `from`, of those who
    /// had it later.
    fn measure(
        &mut self,
        what: &str,
        said: &BTreeMap<String, u64>,
        from: Option<u64>,
        count: usize,
    ) -> Result<(), String> {
        let have = |rig: &Rig| {
            let heard = rig.heard();
            said.keys().map(|version| heard.enforced.get(version).map_or(0, Vec::len)).sum::<usize>()
        };
        let all = self.until(what, |rig| Ok(have(rig) >= count));
        let heard = self.heard();
        let mut took: Vec<f64> = Vec::new();
        for (version, at) in said {
            let since = from.unwrap_or(*at);
            let times = heard.enforced.get(version).into_iter().flatten().filter(|us| **us >= since);
            took.extend(times.map(|us| us.saturating_sub(since) as f64 / 1e6));
        }
        took.sort_by(f64::total_cmp);
        let part = |share: f64| {
            took.get(((took.len() as f64 * share).ceil() as usize).max(1) - 1).copied().unwrap_or(f64::NAN)
        };
        println!(
            "{what:<44} {:>6} of {count:<5} median {:>7.3} s  99 in 100 {:>7.3} s  last {:>7.3} s",
            took.len(),
            part(0.5),
            part(0.99),
            part(1.0)
        );
        all.map(drop)
    }

    /// What calm costs, over this time.
    fn calm(&self, span: Duration) {
        let machines: Vec<&Process> = self.machines.iter().flatten().collect();
        let sum = |all: &[&Process]| all.iter().map(|one| one.used().0).sum::<f64>();
        let followers: Vec<&Process> = self.followers.iter().collect();
        let count = |rig: &Rig| {
            rig.heard().counted.values().fold([0; 3], |sum, one| [0, 1, 2].map(|at| sum[at] + one[at]))
        };
        let (before, calls, began) = ((sum(&machines), sum(&followers)), count(self), Instant::now());
        thread::sleep(span);
        let (after, calls_after, span) =
            ((sum(&machines), sum(&followers)), count(self), began.elapsed().as_secs_f64());
        let each = |at: usize| (calls_after[at] - calls[at]) as f64 / span / self.count as f64;
        println!(
            "calm, {span:.1} s: a follower {:.3} calls, {:.0} bytes sent and {:.0} received a second, {:.4}% of a core, {:.1} kB; \
             a machine {:.2}% of a core, {:.1} MB",
            each(0),
            each(1),
            each(2),
            (after.1 - before.1) / span / self.count as f64 * 100.0,
            followers.iter().map(|one| one.used().1).sum::<f64>() * 1e3 / self.count as f64,
            (after.0 - before.0) / span / machines.len() as f64 * 100.0,
            machines.iter().map(|one| one.used().1).sum::<f64>() / machines.len() as f64,
        );
    }

    /// All followers' calls wait at some machine.
    fn settle(&mut self) -> Result<Duration, String> {
        let count = self.count;
        self.until("all followers call", |rig| Ok(rig.connections()? >= count))
    }
}

/// Takes down what one process of followers says, until it ends.
fn hear(number: usize, out: impl Read, heard: &Mutex<Heard>) {
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split(' ').collect();
        let figure = |at: usize| words.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let mut heard = heard.lock().unwrap_or_else(PoisonError::into_inner);
        match words.first() {
            Some(&"enforced") => {
                let version = words.get(3).unwrap_or(&"").to_string();
                heard.enforced.entry(version).or_default().push(figure(1));
            }
            Some(&"counted") => _ = heard.counted.insert(number, [figure(1), figure(2), figure(3)]),
            _ => {}
        }
    }
}

/// Plays all cases with so many followers of so many scopes.
pub fn play(count: usize, scopes: usize, calm: f64) -> Result<(), String> {
    if count == 0 || count > FOLLOWERS_MOST || scopes == 0 || scopes > count {
        return Err(format!("followers: from 1 to {FOLLOWERS_MOST}, and no more scopes than that"));
    }
    let dir = std::env::temp_dir().join(format!("landingspread-fan-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|wrong| wrong.to_string())?;
    let played = cases(count, scopes, calm, &dir);
    if played.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    played
}

fn cases(count: usize, scopes: usize, calm: f64, dir: &Path) -> Result<(), String> {
    let mut rig = Rig::start(count, scopes, dir)?;
    let all: Vec<usize> = (0..MACHINES).collect();
    println!(
        "{count} followers of {scopes} services in {} processes, {MACHINES} machines",
        rig.followers.len()
    );
    let took = rig.settle()?;
    println!("all call after {:.1} s", took.as_secs_f64());
    let said = rig.publish(&all)?;
    rig.measure("first version (a snapshot each)", &said, None, count)?;
    rig.calm(Duration::from_secs_f64(calm));
    let said = rig.publish(&all)?;
    rig.measure("a change of each service, in calm", &said, None, count)?;

    rig.cut.store(true, Ordering::Relaxed);
    let north: Vec<usize> = (0..MACHINES / 2).collect();
    let said = rig.publish(&north)?;
    rig.until("the north has it", |rig| {
        let heard = rig.heard();
        Ok(said.keys().map(|version| heard.enforced.get(version).map_or(0, Vec::len)).sum::<usize>() * 3
            >= count)
    })?;
    // For longer than anything between machines waits: what hung is given up, and begun anew.
    thread::sleep(CUT_FOR);
    let before: usize = {
        let heard = rig.heard();
        said.keys().map(|version| heard.enforced.get(version).map_or(0, Vec::len)).sum()
    };
    rig.cut.store(false, Ordering::Relaxed);
    let healed = unix_us();
    println!("regions cut: {before} of {count} have what the north published before the cut heals");
    rig.measure("the other region, after the cut heals", &said, Some(healed), count)?;

    rig.settle()?;
    rig.machines[2] = None;
    let others: Vec<usize> = all.iter().copied().filter(|at| *at != 2).collect();
    let said = rig.publish(&others)?;
    rig.measure("one of eight machines killed at the change", &said, None, count)?;
    rig.settle()?;
    (0..MACHINES - 1).for_each(|at| rig.machines[at] = None);
    let said = rig.publish(&[MACHINES - 1])?;
    rig.measure("seven of eight killed at the change", &said, None, count)?;
    rig.settle()?;
    let said = rig.publish(&[MACHINES - 1])?;
    rig.measure("the next change, with one machine left", &said, None, count)?;
    let _ = std::io::stdout().flush();
    Ok(())
}
