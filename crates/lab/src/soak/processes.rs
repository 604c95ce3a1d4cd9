//! The sidecar processes of a run: their configurations, signals, ends and new lives.

use super::plan::Plan;
use super::record::{Records, Signal as Seen};
use crate::sockets::{Discovery, Sidecar, unused_address};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A process that was told to end must have ended by then.
pub const ENDS_WITHIN: Duration = Duration::from_millis(3700);
/// A process must be ready so soon after its start.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// New connections go on coming to one that was told to end.
const GO_ON_COMING_MS: u64 = 350;
/// Sockets that a sidecar may open, and silent clients that fill them.
const SOCKETS: usize = 200;
const CROWD: usize = 160;

/// What the rules of a run say to each sidecar.
pub mod terms {
    use std::time::Duration;

    pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
    pub const WINDOW: Duration = Duration::from_millis(1200);
    pub const COLD_SHARE: f64 = 0.2;
    pub const COLD: Duration = Duration::from_secs(5);
    pub const TIP_MULTIPLE: f64 = 1.5;
    pub const FALL: Duration = Duration::from_secs(1);
    /// What a warm server can do, over what one gets in the mean of a run.
    pub const ROOM: f64 = 1.25;

    /// Which servers drop repeats of a keyed request, by the sidecar's number.
    pub fn scope(sidecar: usize) -> &'static str {
        ["all", "zone", "cell"][sidecar % 3]
    }

    /// Whether two attempts may be out at once.
    pub fn parallel(sidecar: usize) -> bool {
        sidecar % 4 == 3
    }
}

/// A sidecar as clients find it: whether they may connect to it.
pub struct Front {
    pub address: SocketAddr,
    /// 0: it is ready; `u64::MAX`: it is not; else it was told to end at so many milliseconds of the run.
    state: AtomicU64,
    records: Arc<Records>,
}

impl Front {
    pub fn takes_connections(&self) -> bool {
        match self.state.load(Ordering::Relaxed) {
            0 => true,
            u64::MAX => false,
            told => (self.records.now().as_millis() as u64) < told + GO_ON_COMING_MS,
        }
    }
}

enum Life {
    Starting { since: Duration },
    Ready,
    Ending { since: Duration },
}

struct One {
    process: Sidecar,
    life: Life,
    front: Arc<Front>,
    config: Value,
}

pub struct Processes {
    all: Vec<One>,
    discoveries: [Arc<Discovery>; 2],
    /// Which of the two is named by the configuration now.
    named: usize,
    crowd: Vec<TcpStream>,
    crowded: Option<usize>,
    records: Arc<Records>,
    dir: PathBuf,
    crashes: Vec<String>,
}

fn config(plan: &Plan, number: usize, listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    let verb = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "KeyScope": terms::scope(number),
            "MemorySpan": terms::WINDOW.as_micros() as u64, "TimeLimit": 1_500_000, "ResponseGoal": 800_000,
            "Utility": 1.0, "OverdueUtility": 0.5})
    };
    json!({"name": format!("n{number}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", plan.seed * 131 + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": SOCKETS}, "known": known,
        "settings": {"Balancers": plan.sidecars, "Ordinal": number,
            "Discovery": if number.is_multiple_of(2) { "subscribe" } else { "automatic" },
            "Localities": ["a", "b", "c"], "MyZone": number % 3, "Tier": 0, "Resolution": 1000,
            "Verbs": [verb("view", "idempotent"), verb("hold", "deduplicated"), verb("confirm", "at_most_once")],
            "Tenants": [],
            "PolicyLimits": {"MayCancel": number % 5 != 4, "Probes": number % 3 != 2, "MostRelays": 4,
                "ParallelTries": terms::parallel(number), "ConnIdle": 3_000_000, "DialTimeout": 400_000,
                "RetryAfter": true, "MaxRetryAfter": 1_000_000, "MaxOpen": 400},
            "Rules": {"ColdShare": terms::COLD_SHARE, "Cold": terms::COLD.as_micros() as u64,
                "TipMultiple": terms::TIP_MULTIPLE, "Fall": terms::FALL.as_micros() as u64,
                "DrainGrace": terms::DRAIN_GRACE.as_micros() as u64, "AskEvery": 4_000_000,
                "AnswerSlack": 20_000}}})
}

impl Processes {
    pub fn start(
        plan: &Plan,
        program: &Path,
        dir: &Path,
        discoveries: &[Arc<Discovery>; 2],
        records: &Arc<Records>,
    ) -> Result<Processes, String> {
        let addresses = [discoveries[0].address, discoveries[1].address];
        let mut all = Vec::new();
        for number in 0..plan.sidecars {
            let address = unused_address();
            let config = config(plan, number, address, addresses[0], discoveries[0].snapshot());
            let process =
                Sidecar::launch(program, dir, &format!("n{number}.json"), &config.to_string(), address)?;
            let front = Arc::new(Front { address, state: AtomicU64::new(0), records: records.clone() });
            all.push(One { process, life: Life::Ready, front, config });
        }
        for one in &mut all {
            one.process.wait_ready()?;
        }
        Ok(Processes {
            all,
            discoveries: discoveries.clone(),
            named: 0,
            crowd: Vec::new(),
            crowded: None,
            records: records.clone(),
            dir: dir.to_path_buf(),
            crashes: Vec::new(),
        })
    }

    pub fn addresses(&self) -> Vec<Arc<Front>> {
        self.all.iter().map(|one| one.front.clone()).collect()
    }

    fn is_ready(&self, number: usize) -> bool {
        matches!(self.all[number].life, Life::Ready)
    }

    pub fn terminate(&mut self, which: &[usize]) {
        let now = self.records.now();
        for number in which.iter().copied().filter(|number| self.is_ready(*number)).collect::<Vec<_>>() {
            let one = &mut self.all[number];
            self.records.signalled(number, Seen::Term);
            one.front.state.store(now.as_millis() as u64, Ordering::Relaxed);
            one.process.signal(Signal::TERM);
            one.life = Life::Ending { since: now };
        }
    }

    pub fn kill(&mut self, which: &[usize]) {
        for number in which.iter().copied().filter(|number| self.is_ready(*number)).collect::<Vec<_>>() {
            self.all[number].front.state.store(u64::MAX, Ordering::Relaxed);
            self.records.signalled(number, Seen::Kill);
            self.all[number].process.kill();
            self.begin_again(number);
        }
    }

    fn begin_again(&mut self, number: usize) {
        // A new process begins with the list as its platform has it by then.
        self.all[number].config["known"] = self.discoveries[self.named].snapshot();
        self.write_config(number);
        let one = &mut self.all[number];
        one.front.state.store(u64::MAX, Ordering::Relaxed);
        match one.process.relaunch(None) {
            Ok(()) => one.life = Life::Starting { since: self.records.now() },
            Err(wrong) => self.crashes.push(wrong),
        }
    }

    pub fn pause(&mut self, which: &[usize]) {
        for number in which {
            self.records.signalled(*number, Seen::Stop);
            self.all[*number].process.signal(Signal::STOP);
        }
    }

    pub fn go_on(&mut self, which: &[usize]) {
        for number in which {
            self.all[*number].process.signal(Signal::CONT);
            self.records.signalled(*number, Seen::Cont);
        }
    }

    /// These may open no descriptor past those that they have, or as many as ever.
    pub fn limit_descriptors(&mut self, which: &[usize], limited: bool) {
        for number in which {
            let pid = self.all[*number].process.pid();
            let maximum = getrlimit(Resource::Nofile).maximum;
            let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let current = if limited { Some(open as u64) } else { maximum };
            // One that has ended has no limits.
            let _ = prlimit(Pid::from_raw(pid as i32), Resource::Nofile, Rlimit { current, maximum });
        }
    }

    /// Writes configurations that name the other discovery. SIGHUP goes to those that are ready.
    pub fn reload(&mut self) {
        self.named = 1 - self.named;
        for number in 0..self.all.len() {
            let address = self.discoveries[self.named].address.to_string();
            self.all[number].config["discovery"] = json!(address);
            self.write_config(number);
            let one = &self.all[number];
            if matches!(one.life, Life::Ready) {
                one.process.signal(Signal::HUP);
            }
        }
    }

    /// Aside first: one that starts meanwhile must not find half of it.
    fn write_config(&mut self, number: usize) {
        let file = self.dir.join(format!("n{number}.json"));
        let aside = file.with_extension("new");
        let text = self.all[number].config.to_string();
        if let Err(wrong) = std::fs::write(&aside, text).and_then(|()| std::fs::rename(&aside, &file)) {
            self.crashes.push(format!("the rig: {}: {wrong}", file.display()));
        }
    }

    /// Silent clients connect to one sidecar.
    pub fn crowd(&mut self, number: usize) {
        self.records.signalled(number, Seen::Crowd);
        let address = self.all[number].front.address;
        let dial = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
        self.crowd.extend((0..CROWD).filter_map(dial));
        self.crowded = Some(number);
    }

    pub fn crowd_leaves(&mut self) {
        self.crowd.clear();
        if let Some(number) = self.crowded.take() {
            self.records.signalled(number, Seen::CrowdLeft);
        }
    }

    /// Looks who has ended or is ready. An error is the rig's.
    pub fn step(&mut self) -> Result<(), String> {
        let now = self.records.now();
        for number in 0..self.all.len() {
            let one = &mut self.all[number];
            match one.life {
                Life::Ready => {
                    if let Err(wrong) = one.process.check_running() {
                        self.crashes.push(wrong);
                        self.begin_again(number);
                    }
                }
                Life::Starting { since } => {
                    if let Err(wrong) = one.process.check_running() {
                        self.crashes.push(wrong);
                        self.begin_again(number);
                    } else if one.process.is_ready() {
                        one.life = Life::Ready;
                        one.front.state.store(0, Ordering::Relaxed);
                        self.records.signalled(number, Seen::Ready);
                    } else if now > since + READY_WITHIN {
                        self.crashes.push(format!("n{number} is not ready after {READY_WITHIN:?}"));
                        one.life = Life::Ready;
                    }
                }
                Life::Ending { since } => {
                    if one.process.has_exited() {
                        self.records.signalled(number, Seen::Ended);
                        self.begin_again(number);
                    } else if now > since + ENDS_WITHIN {
                        self.crashes.push(format!("n{number} has not ended {ENDS_WITHIN:?} after SIGTERM"));
                        self.records.signalled(number, Seen::Kill);
                        one.process.kill();
                        self.begin_again(number);
                    }
                }
            }
        }
        Ok(())
    }

    /// Ends all, and says what of them crashed or counted a violation.
    pub fn finish(&mut self) -> Vec<String> {
        self.crowd.clear();
        for one in &mut self.all {
            one.process.signal(Signal::CONT);
            if let Err(wrong) = one.process.check_running()
                && matches!(one.life, Life::Ready)
            {
                self.crashes.push(wrong);
            }
            one.process.kill();
            let wrong = |line: &String| line.contains("invariant violated") || line.contains("panicked");
            let lines = one.process.new_log_lines();
            let told =
                lines.iter().filter(|line| wrong(line)).map(|line| format!("{}: {line}", one.process.name));
            self.crashes.extend(told);
        }
        std::mem::take(&mut self.crashes)
    }
}
