//! One run at one size. It owns the processes, what they are told, and the bounds on both: it says what it would need and
//! starts nothing past them.

use super::process::{Spent, memory_mb, spent};
use super::results::Figure;
use crate::sockets::{
    Entry, HelperProcess, LoadPlan, Peer, Sidecar, WatchServer, bench, bind_loopback, load,
};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The zones, in turn: a process of hollow ones stands in one.
const ZONES: [&str; 3] = ["a", "b", "c"];
const SEEDS: usize = 3;
const ASK_WITHIN: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(50);
const SERVERS: usize = 4;
/// A hollow process that runs or waits for a processor for more of the time falls behind.
const BUSY_MOST: f64 = 0.9;
/// What runs of 30 to 1,000 copies took, rounded up: MB of a process, of a copy, and of a member or an endpoint known.
const MB_PROCESS: f64 = 6.0;
const MB_COPY: f64 = 0.15;
const MB_MEMBER: f64 = 0.0005;
const MB_LAB: f64 = 16.0;
/// Numbers of copies give their addresses: labs that run beside each other begin elsewhere.
const NUMBERS_EACH: u32 = 8_192;
const LABS: u32 = 31;
static RUNS: AtomicU32 = AtomicU32::new(0);

/// What the command keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub processes: usize,
    pub memory_mb: f64,
}

#[derive(Clone, Debug)]
pub struct Wanted {
    /// All of them, the real ones too.
    pub copies: usize,
    /// Copies of one fleet; all of them where it is 0.
    pub fleet_size: usize,
    pub endpoints: usize,
    /// Changes of the list a second.
    pub changes_per_s: f64,
    /// Real processes among them: the second half of them carries load.
    pub real: usize,
    /// Calls a second at each of those.
    pub rate: f64,
    /// Hollow ones to a process; 0 lets the size say.
    pub to_a_process: usize,
    /// How long after all see all figures begin to count, and for how long.
    pub settle: Duration,
    pub length: Duration,
    /// How long all may take to see all.
    pub join_within: Duration,
    /// Afterwards the hollow ones of a zone are killed, and come back together.
    pub lose_a_zone: bool,
    pub bounds: Bounds,
}

/// What a run would take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    pub processes: usize,
    pub memory_mb: f64,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Ran {
    pub figures: Vec<Figure>,
    /// Why its figures count for nothing, where they do.
    pub not_held: Option<String>,
    /// The most of both that was seen.
    pub processes: usize,
    pub memory_mb: f64,
    /// Milliseconds of the calls that went through real ones, at p50 and p99, and how many were not answered.
    pub calls: Option<(f64, f64, u64)>,
    /// Seconds until the real ones counted all: at the start, after a zone was lost, after its herd came back.
    pub joined: f64,
    pub death_known: Option<f64>,
    pub back_known: Option<f64>,
}

impl Wanted {
    fn to_a_process(&self) -> usize {
        let hollow = self.copies.saturating_sub(self.real);
        if self.to_a_process > 0 { self.to_a_process } else { hollow.div_ceil(9).clamp(10, 100) }
    }

    fn fleet(&self) -> usize {
        if self.fleet_size == 0 { self.copies } else { self.fleet_size }
    }
}

/// What a run would take; nothing is started.
///
/// # Errors
/// Sizes that don't fit each other, and what it would need where that is past the bounds.
pub fn need(wanted: &Wanted) -> Result<Need, String> {
    let hollow = wanted.copies.checked_sub(wanted.real).filter(|hollow| *hollow > 0 && wanted.real > 0);
    let Some(hollow) = hollow else {
        return Err(format!("{} copies, {} of them real: expected some of each", wanted.copies, wanted.real));
    };
    if wanted.copies as u32 > NUMBERS_EACH || !wanted.copies.is_multiple_of(wanted.fleet()) {
        return Err(format!(
            "{} copies in fleets of {}: expected whole fleets, of {NUMBERS_EACH} copies at most",
            wanted.copies,
            wanted.fleet()
        ));
    }
    let processes = hollow.div_ceil(wanted.to_a_process()) + wanted.real + 1;
    let members = wanted.fleet() as f64 * MB_MEMBER + wanted.endpoints as f64 * MB_MEMBER;
    let copies = wanted.copies as f64 * (MB_COPY + members);
    let need = Need { processes, memory_mb: MB_LAB + processes as f64 * MB_PROCESS + copies };
    let Bounds { processes, memory_mb } = wanted.bounds;
    if need.processes > processes || need.memory_mb > memory_mb {
        return Err(format!(
            "{} copies would need {} processes and some {:.0} MB; the bounds are {processes} and {memory_mb:.0} MB",
            wanted.copies, need.processes, need.memory_mb
        ));
    }
    Ok(need)
}

struct Group {
    words: Vec<String>,
    count: usize,
    log: std::path::PathBuf,
    zone: usize,
    helper: Option<HelperProcess>,
}

struct Real {
    sidecar: Sidecar,
    console: SocketAddr,
    with_calls: bool,
}

/// A real one's books at a moment.
#[derive(Clone, Copy, Default)]
struct Look {
    spent: Spent,
    datagrams_out: f64,
    bytes_out: f64,
    datagrams_in: f64,
    bytes_in: f64,
    live: usize,
}

fn ask(console: SocketAddr) -> Option<Value> {
    let mut peer = Peer::new(TcpStream::connect_timeout(&console, ASK_WITHIN).ok()?);
    peer.set_read_timeout(Some(ASK_WITHIN));
    peer.write(b"GET /fleet HTTP/1.1\r\nHost: lab\r\nAccept: application/json\r\n\r\n").ok()?;
    let heard = peer.read_response().ok().filter(|heard| heard.status() == Some(200))?;
    serde_json::from_slice(&heard.body).ok()
}

impl Real {
    fn live(&self) -> Option<usize> {
        ask(self.console)?.get("live")?.as_u64().map(|live| live as usize)
    }

    fn look(&self) -> Result<Look, String> {
        let spent = spent(self.sidecar.pid(), "fleet");
        let told = ask(self.console).ok_or("a real sidecar's console does not answer")?;
        let figure = |key: &str| told.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        Ok(Look {
            spent,
            datagrams_out: figure("sent_datagrams"),
            bytes_out: figure("sent_bytes"),
            datagrams_in: figure("heard_datagrams"),
            bytes_in: figure("heard_bytes"),
            live: figure("live") as usize,
        })
    }
}

const TEMPLATE: &str = "\
name = \"h{n}\"
listen = \"{listen}\"
{console}
copies = 6
zones = [\"a\", \"b\", \"c\"]
zone = \"{zone}\"
{learnt}
[discovery]
address = \"{discovery}\"
[fleet]
name = \"f{fleet}\"
listen = \"{at}:7946\"
seeds = [{seeds}]
[localities]
[[verbs]]
name = \"view\"
repeats = \"pure\"
goal = \"400ms\"
limit = \"1s\"
";

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from_be_bytes([127, 251, 0, 0]) + number as u32)
}

struct Rig<'a> {
    wanted: &'a Wanted,
    program: &'a Path,
    dir: &'a Path,
    base: usize,
    watches: WatchServer,
    groups: Vec<Group>,
    reals: Vec<Real>,
    most: Need,
}

fn told(wrong: std::io::Error) -> String {
    wrong.to_string()
}

/// Runs one size once.
///
/// # Errors
/// Past the bounds, a process that does not start or ends by itself, or copies that never see each other.
pub fn run(wanted: &Wanted, program: &Path, dir: &Path) -> Result<Ran, String> {
    need(wanted)?;
    let servers = bench::start_servers(SERVERS)?;
    let watches = WatchServer::start().map_err(told)?;
    let entries: Vec<Entry> = (0..wanted.endpoints.max(1))
        .map(|place| Entry {
            id: format!("s{place:05}"),
            address: servers.servers[place % SERVERS].address,
            zone: ZONES[place % ZONES.len()].into(),
            cell: 0,
            state: "ready",
            weight: 1.0,
            started: None,
        })
        .collect();
    watches.publish_all(&entries);
    // Two runs of one process may go at once, as tests do.
    let lab = std::process::id().wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed)) % LABS;
    let base = (lab * NUMBERS_EACH) as usize;
    let most = Need { processes: 0, memory_mb: 0.0 };
    let mut rig = Rig { wanted, program, dir, base, watches, groups: Vec::new(), reals: Vec::new(), most };
    let began = Instant::now();
    rig.start_hollow()?;
    rig.start_real()?;
    let mut ran = Ran { joined: rig.until_all_count(wanted.fleet(), began)?, ..Ran::default() };
    thread::sleep(wanted.settle);
    rig.measure(&entries, &mut ran)?;
    if wanted.lose_a_zone && ran.not_held.is_none() {
        rig.lose_a_zone(&mut ran)?;
    }
    (ran.processes, ran.memory_mb) = (rig.most.processes, rig.most.memory_mb);
    Ok(ran)
}

impl Rig<'_> {
    fn text(&self, differs: &[(&str, String)]) -> String {
        differs.iter().fold(TEMPLATE.to_string(), |text, (place, with)| text.replace(place, with))
    }

    fn start_hollow(&mut self) -> Result<(), String> {
        let wanted = self.wanted;
        let learnt = self.dir.join("h{n}.learnt");
        let template = self.text(&[
            ("{listen}", "127.0.0.1:1".into()),
            ("{console}", String::new()),
            ("{learnt}", format!("learnt = {:?}", learnt.display().to_string())),
            ("{discovery}", self.watches.address.to_string()),
        ]);
        let path = self.dir.join("hollow.toml");
        std::fs::write(&path, template).map_err(told)?;
        let (hollow, each) = (wanted.copies - wanted.real, wanted.to_a_process());
        for (number, first) in (0..hollow).step_by(each).enumerate() {
            let zone = number % ZONES.len();
            let count = each.min(hollow - first);
            let words: Vec<String> = format!(
                "hollow {} --first {} --count {count} --base {} --fleet-size {} --zones {}",
                path.display(),
                self.base + first,
                self.base,
                wanted.fleet_size,
                ZONES[zone]
            )
            .split(' ')
            .map(str::to_string)
            .collect();
            let log = self.dir.join(format!("hollow{number}.log"));
            let helper = HelperProcess::start(self.program, &words, &log).map_err(told)?;
            self.groups.push(Group { words, count, log, zone, helper: Some(helper) });
        }
        Ok(())
    }

    fn start_real(&mut self) -> Result<(), String> {
        let wanted = self.wanted;
        for place in 0..wanted.real {
            let number = wanted.copies - wanted.real + place;
            let fleet = number / wanted.fleet();
            let first = self.base + fleet * wanted.fleet();
            let seeds: Vec<String> = (first..first + wanted.fleet().min(SEEDS))
                .map(|seed| format!("\"{}:7946\"", address(seed)))
                .collect();
            let at = || bind_loopback().and_then(|listener| listener.local_addr()).map_err(told);
            let (listen, console) = (at()?, at()?);
            let text = self.text(&[
                ("{listen}", listen.to_string()),
                ("{console}", format!("console = \"{console}\"")),
                ("{learnt}", String::new()),
                ("{discovery}", self.watches.address.to_string()),
                ("{n}", number.to_string()),
                ("{zone}", ZONES[place % ZONES.len()].into()),
                ("{fleet}", fleet.to_string()),
                ("{at}", address(self.base + number).to_string()),
                ("{seeds}", seeds.join(", ")),
            ]);
            let name = format!("real{place}.toml");
            let sidecar = Sidecar::launch(self.program, self.dir, &name, &text, listen)?;
            self.reals.push(Real {
                sidecar,
                console,
                with_calls: place * 2 >= wanted.real && wanted.rate > 0.0,
            });
        }
        self.reals.iter_mut().try_for_each(|real| real.sidecar.wait_ready())
    }

    /// All that runs, and what it holds; past the bounds it is an error.
    fn weigh(&mut self) -> Result<(), String> {
        let own = std::process::id();
        let helpers = self.groups.iter().filter_map(|group| group.helper.as_ref()).map(HelperProcess::pid);
        let pids: Vec<u32> =
            helpers.chain(self.reals.iter().map(|real| real.sidecar.pid())).chain([own]).collect();
        let memory_mb = pids.iter().map(|pid| memory_mb(*pid)).sum::<f64>();
        self.most.processes = self.most.processes.max(pids.len());
        self.most.memory_mb = self.most.memory_mb.max(memory_mb);
        let Bounds { processes, memory_mb: most } = self.wanted.bounds;
        if pids.len() > processes || memory_mb > most {
            return Err(format!(
                "stopped: {} processes hold {memory_mb:.0} MB; the bounds are {processes} and {most:.0} MB",
                pids.len()
            ));
        }
        Ok(())
    }

    fn all_run(&mut self) -> Result<(), String> {
        for group in &mut self.groups {
            if group.helper.as_mut().is_some_and(HelperProcess::has_exited) {
                let log = std::fs::read_to_string(&group.log).unwrap_or_default();
                return Err(format!("a process of hollow ones has ended\n{log}"));
            }
        }
        self.reals.iter_mut().try_for_each(|real| real.sidecar.check_running())
    }

    /// Until every real one counts so many; seconds since then.
    fn until_all_count(&mut self, count: usize, since: Instant) -> Result<f64, String> {
        loop {
            self.all_run()?;
            let live: Vec<Option<usize>> = self.reals.iter().map(Real::live).collect();
            if live.iter().all(|live| *live == Some(count)) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > self.wanted.join_within {
                return Err(format!("real ones count {live:?} and not {count} after {:?}", since.elapsed()));
            }
            self.weigh()?;
            thread::sleep(LOOK);
        }
    }

    fn measure(&mut self, entries: &[Entry], ran: &mut Ran) -> Result<(), String> {
        let wanted = self.wanted;
        let targets: Vec<SocketAddr> =
            self.reals.iter().filter(|real| real.with_calls).map(|real| real.sidecar.address).collect();
        let rate = wanted.rate * targets.len() as f64;
        let connections = 4 * targets.len();
        let plan = LoadPlan {
            targets,
            request_class: "view".into(),
            connections,
            rate,
            time_limit: Duration::from_secs(1),
            warmup: Duration::from_millis(500),
            duration: wanted.length,
            seed: 1,
        };
        self.weigh()?;
        let over = AtomicBool::new(false);
        let (watches, length) = (&self.watches, wanted.length);
        let (reals, groups) = (&self.reals, &self.groups);
        let outcome = thread::scope(|scope| -> Result<_, String> {
            let calls = (rate > 0.0).then(|| scope.spawn(|| load(&plan)));
            if wanted.changes_per_s > 0.0 {
                scope.spawn(|| change(watches, entries, wanted.changes_per_s, &over));
            }
            thread::sleep(Duration::from_millis(500));
            let hollow = |groups: &[Group]| -> Vec<Spent> {
                let pids = groups.iter().filter_map(|group| group.helper.as_ref()).map(HelperProcess::pid);
                pids.map(|pid| spent(pid, "")).collect()
            };
            let look = || reals.iter().map(Real::look).collect::<Result<Vec<Look>, String>>();
            let looked = (look(), watches.counts(), hollow(groups), Instant::now());
            thread::sleep(length.saturating_sub(Duration::from_millis(500)));
            let (first, source, group, began) = looked;
            let (seconds, second) = (began.elapsed().as_secs_f64(), look());
            let (source_then, group_then) = (watches.counts(), hollow(groups));
            over.store(true, Ordering::Relaxed);
            let calls = calls.and_then(|calls| calls.join().ok());
            Ok((first?, second?, source, source_then, group, group_then, seconds, calls))
        })?;
        let (first, second, source, source_then, group, group_then, seconds, calls) = outcome;
        self.weigh()?;
        self.all_run()?;
        let busy = group.iter().zip(&group_then).map(|(before, after)| {
            let used = |spent: &Spent| (spent.cpu + spent.queued).as_secs_f64();
            (used(after) - used(before)) / seconds
        });
        let busy = busy.fold(0.0, f64::max);
        let count = wanted.fleet();
        if busy > BUSY_MOST {
            ran.not_held =
                Some(format!("a process of hollow ones ran or waited for a processor {busy:.2} of the time"));
        } else if first.iter().chain(&second).any(|look| look.live != count) {
            ran.not_held = Some("a real one did not count all".into());
        }
        ran.calls = calls.map(|calls| (calls.p50, calls.p99, calls.declined + calls.terminated + calls.lost));
        let add = &mut |role: &str, figure: &str, unit: &str, value: f64| {
            ran.figures.push(Figure { role: role.into(), figure: figure.into(), unit: unit.into(), value });
        };
        let pairs: Vec<(Look, Look, &Real)> =
            first.into_iter().zip(second).zip(&self.reals).map(|((a, b), real)| (a, b, real)).collect();
        // Those without calls say what control costs; the others, what calls add.
        let mean = |with_calls: bool, of: &dyn Fn(&Look, &Look) -> f64| {
            let all: Vec<f64> = pairs
                .iter()
                .filter(|pair| pair.2.with_calls == with_calls)
                .map(|(a, b, _)| of(a, b))
                .collect();
            (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
        };
        let cpu = |a: &Look, b: &Look| (b.spent.cpu.saturating_sub(a.spent.cpu)).as_secs_f64() / seconds;
        let of_fleet =
            |a: &Look, b: &Look| b.spent.named.saturating_sub(a.spent.named).as_secs_f64() / seconds;
        let wakes = |a: &Look, b: &Look| b.spent.wake_ups.saturating_sub(a.spent.wake_ups) as f64 / seconds;
        let idle = mean(false, &cpu).unwrap_or(0.0);
        add("sidecar", "cpu", "cores", idle);
        add("sidecar", "wake_ups", "wake-ups/s", mean(false, &wakes).unwrap_or(0.0));
        let quiet: Vec<f64> = pairs
            .iter()
            .filter(|pair| !pair.2.with_calls)
            .map(|pair| memory_mb(pair.2.sidecar.pid()))
            .collect();
        let memory = quiet.iter().sum::<f64>() / quiet.len().max(1) as f64;
        add("sidecar", "memory", "MB", memory);
        if let Some(with) = mean(true, &cpu) {
            add("sidecar", "calls_cpu", "cores", (with - idle).max(0.0));
        }
        let fleet: [(&str, &str, Of); 5] = [
            ("cpu", "cores", &of_fleet),
            ("messages_out", "messages/s", &|a, b| (b.datagrams_out - a.datagrams_out) / seconds),
            ("messages_in", "messages/s", &|a, b| (b.datagrams_in - a.datagrams_in) / seconds),
            ("bytes_out", "bytes/s", &|a, b| (b.bytes_out - a.bytes_out) / seconds),
            ("bytes_in", "bytes/s", &|a, b| (b.bytes_in - a.bytes_in) / seconds),
        ];
        let copies = wanted.copies as f64;
        let per_s = |then: u64, now: u64| now.saturating_sub(then) as f64 / seconds;
        let calls = per_s(source.requests, source_then.requests);
        let answers = per_s(source.responses, source_then.responses);
        let (bytes_in, bytes_out) =
            (per_s(source.bytes_in, source_then.bytes_in), per_s(source.bytes_out, source_then.bytes_out));
        // What a sidecar says on its watch is what the source hears of it, and the other way round.
        let on_watch = [0.0, calls, answers, bytes_in, bytes_out].map(|all| all / copies);
        for ((figure, unit, of), watch) in fleet.into_iter().zip(on_watch) {
            let value = mean(false, of).unwrap_or(0.0);
            add("fleet", figure, unit, value);
            if figure != "cpu" {
                add("sidecar", figure, unit, value + watch);
            }
        }
        add("discovery", "messages_out", "messages/s", answers);
        add("discovery", "bytes_out", "bytes/s", bytes_out);
        add("discovery", "cpu", "cores", per_s(source.cpu_ns, source_then.cpu_ns) / 1e9);
        add("discovery", "open_watches", "watches", source_then.open_connections as f64);
        add("discovery", "list_bytes", "bytes", self.watches.list_bytes() as f64);
        Ok(())
    }

    /// The hollow ones of a zone are killed, and then start again together.
    fn lose_a_zone(&mut self, ran: &mut Ran) -> Result<(), String> {
        let lost = ZONES.len() - 1;
        if self.wanted.fleet_size != 0 {
            return Err("a zone is lost in one fleet alone".into());
        }
        let before = self.wanted.fleet();
        let mut gone = 0;
        for group in self.groups.iter_mut().filter(|group| group.zone == lost) {
            group.helper = None;
            gone += group.count;
        }
        ran.death_known = Some(self.until_all_count(before - gone, Instant::now())?);
        let (source, began) = (self.watches.counts(), Instant::now());
        for group in self.groups.iter_mut().filter(|group| group.zone == lost) {
            group.helper = Some(HelperProcess::start(self.program, &group.words, &group.log).map_err(told)?);
        }
        ran.back_known = Some(self.until_all_count(before, began)?);
        let then = self.watches.counts();
        let add = |role: &str, figure: &str, unit: &str, value: f64| Figure {
            role: role.into(),
            figure: figure.into(),
            unit: unit.into(),
            value,
        };
        let each = |all: u64| all as f64 / gone.max(1) as f64;
        ran.figures.push(add("fleet", "death_known", "s", ran.death_known.unwrap_or(0.0)));
        ran.figures.push(add("fleet", "back_known", "s", ran.back_known.unwrap_or(0.0)));
        let (bytes, cpu) = (then.bytes_out - source.bytes_out, then.cpu_ns - source.cpu_ns);
        ran.figures.push(add("discovery", "herd_bytes_each", "bytes", each(bytes)));
        ran.figures.push(add("discovery", "herd_cpu_us_each", "us", each(cpu) / 1e3));
        Ok(())
    }
}

/// A figure of a real one, by its books at two moments.
type Of<'a> = &'a dyn Fn(&Look, &Look) -> f64;

/// Weights go up and down, one entry after another.
fn change(watches: &WatchServer, entries: &[Entry], per_s: f64, over: &AtomicBool) {
    let (began, mut done) = (Instant::now(), 0_usize);
    while !over.load(Ordering::Relaxed) {
        let due = (began.elapsed().as_secs_f64() * per_s) as usize;
        for number in done..due {
            let weight = if (number / entries.len()).is_multiple_of(2) { 2.0 } else { 1.0 };
            watches.publish(&Entry { weight, ..entries[number % entries.len()].clone() });
        }
        done = due;
        thread::sleep(Duration::from_millis(5));
    }
}
