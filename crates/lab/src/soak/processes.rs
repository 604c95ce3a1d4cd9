//! The sidecar processes of a run: their configurations, signals, exits and restarts.

use super::plan::Plan;
use super::record::{ProcessEvent, Recorder};
use crate::sockets::{Discovery, Sidecar, unused_address};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A process must exit within this time after SIGTERM.
pub const EXIT_TIMEOUT: Duration = Duration::from_millis(3700);
/// A process must be ready within this time after its start.
pub const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Clients open new connections to a process until this many milliseconds after its SIGTERM.
const CONNECTS_AFTER_TERM_MS: u64 = 350;
/// Sockets that a sidecar may open, and idle clients that connect to it in a `Crowd` fault.
const MAX_SOCKETS: usize = 200;
const IDLE_CLIENTS: usize = 160;

/// Values of the sidecars' configurations that the rules of the soak depend on.
pub mod rule_settings {
    use std::time::Duration;

    /// Time for which attempts are still allowed after a sidecar learns that a server drains or is removed.
    pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
    /// Time during which servers of the deduplication scope drop repeats of a keyed request.
    pub const DEDUP_WINDOW: Duration = Duration::from_millis(1200);
    /// Capacity of a cold server at its start, as a fraction of its warm capacity.
    pub const INITIAL_FRACTION: f64 = 0.2;
    /// Time from the start of a server until it is warm.
    pub const WARMUP: Duration = Duration::from_secs(5);
    /// A cold server is overloaded by more than this multiple of the work that it can do in `OVERLOAD_WINDOW`.
    pub const OVERLOAD_MULTIPLE: f64 = 1.5;
    /// Length of the window in which the load of a cold server is measured.
    pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
    /// Capacity of a warm server, as a multiple of the mean request rate of a server in the run.
    pub const CAPACITY_FACTOR: f64 = 1.25;

    /// The group of servers that drop repeats of a keyed request, by the sidecar's number.
    pub fn dedup_scope(sidecar: usize) -> &'static str {
        ["all", "zone", "cell"][sidecar % 3]
    }

    /// Whether the sidecar may run two attempts of a request at the same time.
    pub fn allows_parallel_attempts(sidecar: usize) -> bool {
        sidecar % 4 == 3
    }
}

/// The address of a sidecar, and whether clients may connect to it.
pub struct ClientAccess {
    pub address: SocketAddr,
    /// 0 if the sidecar is ready, `u64::MAX` if not; otherwise the time of its SIGTERM, in milliseconds of the run.
    state: AtomicU64,
    recorder: Arc<Recorder>,
}

impl ClientAccess {
    /// Whether clients may open connections now: the sidecar is ready, or its SIGTERM is less than
    /// `CONNECTS_AFTER_TERM_MS` ago.
    pub fn accepts_connections(&self) -> bool {
        match self.state.load(Ordering::Relaxed) {
            0 => true,
            u64::MAX => false,
            term_ms => (self.recorder.now().as_millis() as u64) < term_ms + CONNECTS_AFTER_TERM_MS,
        }
    }
}

/// The phase of a process.
enum Phase {
    Starting { since: Duration },
    Ready,
    Ending { since: Duration },
}

/// A sidecar process with its phase and current configuration.
struct ManagedProcess {
    sidecar: Sidecar,
    phase: Phase,
    client_access: Arc<ClientAccess>,
    config: Value,
}

/// All sidecar processes of a run.
pub struct Processes {
    processes: Vec<ManagedProcess>,
    discoveries: [Arc<Discovery>; 2],
    /// Index of the discovery in the current configurations.
    discovery_index: usize,
    idle_connections: Vec<TcpStream>,
    /// The sidecar to which the idle connections are open.
    crowded_sidecar: Option<usize>,
    recorder: Arc<Recorder>,
    dir: PathBuf,
    crashes: Vec<String>,
}

fn config(
    plan: &Plan,
    number: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    initial_endpoints: Value,
) -> Value {
    let request_class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "KeyScope": rule_settings::dedup_scope(number),
            "MemorySpan": rule_settings::DEDUP_WINDOW.as_micros() as u64, "TimeLimit": 1_500_000,
            "ResponseGoal": 800_000, "Utility": 1.0, "OverdueUtility": 0.5})
    };
    json!({"name": format!("n{number}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", plan.seed * 131 + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": MAX_SOCKETS}, "known": initial_endpoints,
        "settings": {"Balancers": plan.sidecars, "Ordinal": number,
            "Discovery": if number.is_multiple_of(2) { "subscribe" } else { "automatic" },
            "Localities": ["a", "b", "c"], "MyZone": number % 3, "Tier": 0, "Resolution": 1000,
            "Verbs": [request_class("view", "idempotent"), request_class("hold", "deduplicated"),
                request_class("confirm", "at_most_once")],
            "Tenants": [],
            "PolicyLimits": {"MayCancel": number % 5 != 4, "Probes": number % 3 != 2, "MostRelays": 4,
                "ParallelTries": rule_settings::allows_parallel_attempts(number), "ConnIdle": 3_000_000,
                "DialTimeout": 400_000, "RetryAfter": true, "MaxRetryAfter": 1_000_000, "MaxOpen": 400},
            "Rules": {"ColdShare": rule_settings::INITIAL_FRACTION, "Cold": rule_settings::WARMUP.as_micros() as u64,
                "TipMultiple": rule_settings::OVERLOAD_MULTIPLE,
                "Fall": rule_settings::OVERLOAD_WINDOW.as_micros() as u64,
                "DrainGrace": rule_settings::DRAIN_GRACE.as_micros() as u64, "AskEvery": 4_000_000,
                "AnswerSlack": 20_000}}})
}

impl Processes {
    /// Starts all sidecars of the plan and waits until they are ready; an error if one cannot start or get ready.
    pub fn start(
        plan: &Plan,
        program: &Path,
        dir: &Path,
        discoveries: &[Arc<Discovery>; 2],
        recorder: &Arc<Recorder>,
    ) -> Result<Processes, String> {
        let addresses = [discoveries[0].address, discoveries[1].address];
        let mut processes = Vec::new();
        for number in 0..plan.sidecars {
            let address = unused_address();
            let config = config(plan, number, address, addresses[0], discoveries[0].snapshot());
            let sidecar =
                Sidecar::launch(program, dir, &format!("n{number}.json"), &config.to_string(), address)?;
            let client_access =
                Arc::new(ClientAccess { address, state: AtomicU64::new(0), recorder: recorder.clone() });
            processes.push(ManagedProcess { sidecar, phase: Phase::Ready, client_access, config });
        }
        for process in &mut processes {
            process.sidecar.wait_ready()?;
        }
        Ok(Processes {
            processes,
            discoveries: discoveries.clone(),
            discovery_index: 0,
            idle_connections: Vec::new(),
            crowded_sidecar: None,
            recorder: recorder.clone(),
            dir: dir.to_path_buf(),
            crashes: Vec::new(),
        })
    }

    /// The access of clients to each sidecar, in order of the sidecars' numbers.
    pub fn client_access(&self) -> Vec<Arc<ClientAccess>> {
        self.processes.iter().map(|process| process.client_access.clone()).collect()
    }

    fn is_ready(&self, number: usize) -> bool {
        matches!(self.processes[number].phase, Phase::Ready)
    }

    /// Sends SIGTERM to those of these sidecars that are ready.
    pub fn terminate(&mut self, numbers: &[usize]) {
        let now = self.recorder.now();
        for number in numbers.iter().copied().filter(|number| self.is_ready(*number)).collect::<Vec<_>>() {
            let process = &mut self.processes[number];
            self.recorder.record_process_event(number, ProcessEvent::Term);
            process.client_access.state.store(now.as_millis() as u64, Ordering::Relaxed);
            process.sidecar.signal(Signal::TERM);
            process.phase = Phase::Ending { since: now };
        }
    }

    /// Kills those of these sidecars that are ready with SIGKILL and starts them again.
    pub fn kill(&mut self, numbers: &[usize]) {
        for number in numbers.iter().copied().filter(|number| self.is_ready(*number)).collect::<Vec<_>>() {
            self.processes[number].client_access.state.store(u64::MAX, Ordering::Relaxed);
            self.recorder.record_process_event(number, ProcessEvent::Kill);
            self.processes[number].sidecar.kill();
            self.relaunch(number);
        }
    }

    fn relaunch(&mut self, number: usize) {
        // A new process starts with the current endpoint list, as the platform would configure it.
        self.processes[number].config["known"] = self.discoveries[self.discovery_index].snapshot();
        self.write_config(number);
        let process = &mut self.processes[number];
        process.client_access.state.store(u64::MAX, Ordering::Relaxed);
        match process.sidecar.relaunch(None) {
            Ok(()) => process.phase = Phase::Starting { since: self.recorder.now() },
            Err(error) => self.crashes.push(error),
        }
    }

    /// Stops these processes with SIGSTOP until `resume`.
    pub fn pause(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.recorder.record_process_event(*number, ProcessEvent::Stop);
            self.processes[*number].sidecar.signal(Signal::STOP);
        }
    }

    /// Continues these processes with SIGCONT.
    pub fn resume(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.processes[*number].sidecar.signal(Signal::CONT);
            self.recorder.record_process_event(*number, ProcessEvent::Cont);
        }
    }

    /// Limits these processes to the descriptors that they have open, or lifts the limit.
    pub fn limit_descriptors(&mut self, numbers: &[usize], limited: bool) {
        for number in numbers {
            let pid = self.processes[*number].sidecar.pid();
            let maximum = getrlimit(Resource::Nofile).maximum;
            let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let current = if limited { Some(open as u64) } else { maximum };
            // This fails for a process that has exited, which needs no limit.
            let _ = prlimit(Pid::from_raw(pid as i32), Resource::Nofile, Rlimit { current, maximum });
        }
    }

    /// Writes configurations with the other discovery and sends SIGHUP to the processes that are ready.
    pub fn reload(&mut self) {
        self.discovery_index = 1 - self.discovery_index;
        for number in 0..self.processes.len() {
            let address = self.discoveries[self.discovery_index].address.to_string();
            self.processes[number].config["discovery"] = json!(address);
            self.write_config(number);
            let process = &self.processes[number];
            if matches!(process.phase, Phase::Ready) {
                process.sidecar.signal(Signal::HUP);
            }
        }
    }

    /// Writes the file under another name first, so that a process that starts meanwhile never reads a partial file.
    fn write_config(&mut self, number: usize) {
        let file = self.dir.join(format!("n{number}.json"));
        let temporary_file = file.with_extension("new");
        let text = self.processes[number].config.to_string();
        if let Err(error) =
            std::fs::write(&temporary_file, text).and_then(|()| std::fs::rename(&temporary_file, &file))
        {
            self.crashes.push(format!("test setup: {}: {error}", file.display()));
        }
    }

    /// Opens idle client connections to one sidecar.
    pub fn open_idle_connections(&mut self, number: usize) {
        self.recorder.record_process_event(number, ProcessEvent::IdleClientsConnected);
        let address = self.processes[number].client_access.address;
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
        self.idle_connections.extend((0..IDLE_CLIENTS).filter_map(connect));
        self.crowded_sidecar = Some(number);
    }

    /// Closes the connections that `open_idle_connections` opened.
    pub fn close_idle_connections(&mut self) {
        self.idle_connections.clear();
        if let Some(number) = self.crowded_sidecar.take() {
            self.recorder.record_process_event(number, ProcessEvent::IdleClientsLeft);
        }
    }

    /// Checks which processes have exited or are ready, and restarts those that have exited.
    pub fn update(&mut self) -> Result<(), String> {
        let now = self.recorder.now();
        for number in 0..self.processes.len() {
            let process = &mut self.processes[number];
            match process.phase {
                Phase::Ready => {
                    if let Err(error) = process.sidecar.check_running() {
                        self.crashes.push(error);
                        self.relaunch(number);
                    }
                }
                Phase::Starting { since } => {
                    if let Err(error) = process.sidecar.check_running() {
                        self.crashes.push(error);
                        self.relaunch(number);
                    } else if process.sidecar.is_ready() {
                        process.phase = Phase::Ready;
                        process.client_access.state.store(0, Ordering::Relaxed);
                        self.recorder.record_process_event(number, ProcessEvent::Ready);
                    } else if now > since + READY_TIMEOUT {
                        self.crashes.push(format!("n{number} is not ready after {READY_TIMEOUT:?}"));
                        process.phase = Phase::Ready;
                    }
                }
                Phase::Ending { since } => {
                    if process.sidecar.has_exited() {
                        self.recorder.record_process_event(number, ProcessEvent::Exited);
                        self.relaunch(number);
                    } else if now > since + EXIT_TIMEOUT {
                        self.crashes.push(format!("n{number} has not exited {EXIT_TIMEOUT:?} after SIGTERM"));
                        self.recorder.record_process_event(number, ProcessEvent::Kill);
                        process.sidecar.kill();
                        self.relaunch(number);
                    }
                }
            }
        }
        Ok(())
    }

    /// Stops all processes. Returns the crashes of the run, and the log lines about panics and violated invariants.
    pub fn stop_all(&mut self) -> Vec<String> {
        self.idle_connections.clear();
        for process in &mut self.processes {
            process.sidecar.signal(Signal::CONT);
            if let Err(error) = process.sidecar.check_running()
                && matches!(process.phase, Phase::Ready)
            {
                self.crashes.push(error);
            }
            process.sidecar.kill();
            let is_failure = |line: &String| line.contains("invariant violated") || line.contains("panicked");
            let lines = process.sidecar.new_log_lines();
            let failures = lines
                .iter()
                .filter(|line| is_failure(line))
                .map(|line| format!("{}: {line}", process.sidecar.name));
            self.crashes.extend(failures);
        }
        std::mem::take(&mut self.crashes)
    }
}
