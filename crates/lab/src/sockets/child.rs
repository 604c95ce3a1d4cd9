//! A real sidecar as a child process. It owns the process, its configuration file and its log: none of them
//! outlives the lab, and one that dies or is never ready is told with its log's last lines.

use super::message::Peer;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const READY_WITHIN: Duration = Duration::from_secs(5);
const LAST_LINES: usize = 12;

pub struct Sidecar {
    pub name: String,
    pub address: SocketAddr,
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    child: Child,
    read: u64,
    /// A line of the log that has not come whole.
    half: String,
}

/// The program beside this one, as a build leaves it.
pub fn sidecar_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|wrong| wrong.to_string())?;
    // Tests and benches run a folder below.
    let found =
        own.ancestors().skip(1).take(2).map(|dir| dir.join("landingspread")).find(|path| path.is_file());
    found.ok_or_else(|| {
        format!("there is no landingspread beside {}: build the whole workspace first", own.display())
    })
}

fn spawn(program: &Path, file: &Path, log: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.arg("serve").env("NODE_CONFIG", file);
    spawn_as(command, log)
}

fn spawn_as(mut command: Command, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    for variable in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"] {
        command.env_remove(variable);
    }
    let parent = rustix::process::getpid();
    // SAFETY: between fork and exec only two system calls are made, and nothing is allocated or locked.
    unsafe {
        command.pre_exec(move || {
            // A lab that is killed outright runs no drop: the kernel ends its children.
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
            if rustix::process::getppid() != Some(parent) {
                return Err(io::ErrorKind::Other.into());
            }
            Ok(())
        });
    }
    command.spawn()
}

/// Another sub-command of the program, as a child process that ends with the lab.
pub struct HelperProcess(Child);

impl HelperProcess {
    /// Starts it; what it says goes to `log`.
    pub fn start(program: &Path, words: &[String], log: &Path) -> io::Result<HelperProcess> {
        let mut command = Command::new(program);
        command.args(words).env("NODE_LOG", "warn");
        spawn_as(command, log).map(HelperProcess)
    }

    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Whether it has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for HelperProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Sidecar {
    /// Starts one and waits until it says that it is ready.
    pub fn start(program: &Path, dir: &Path, name: &str, config: &Value) -> Result<Sidecar, String> {
        let listen = config.get("listen").and_then(Value::as_str).unwrap_or("");
        let address = listen.parse().map_err(|_| format!("{name}: listen: {listen:?} is no address"))?;
        let mut sidecar =
            Sidecar::launch(program, dir, &format!("{name}.json"), &config.to_string(), address)?;
        sidecar.wait_ready()?;
        Ok(sidecar)
    }

    /// Starts one by a configuration file of this name and text, and does not wait.
    pub fn launch(
        program: &Path,
        dir: &Path,
        file: &str,
        text: &str,
        address: SocketAddr,
    ) -> Result<Sidecar, String> {
        let name = file.split('.').next().unwrap_or(file).to_string();
        let told = |wrong: io::Error| format!("{name}: {wrong}");
        let (file, log) = (dir.join(file), dir.join(format!("{name}.log")));
        fs::write(&file, text).map_err(told)?;
        let child = spawn(program, &file, &log).map_err(told)?;
        let program = program.to_path_buf();
        Ok(Sidecar { name, address, program, file, log, child, read: 0, half: String::new() })
    }

    pub fn wait_ready(&mut self) -> Result<(), String> {
        let began = Instant::now();
        loop {
            self.check_running()?;
            if self.is_ready() {
                return Ok(());
            }
            if began.elapsed() > READY_WITHIN {
                return Err(format!(
                    "{} is not ready within {READY_WITHIN:?}\n{}",
                    self.name,
                    self.last_log_lines()
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(200))?;
            let mut peer = Peer::new(stream);
            peer.set_read_timeout(Some(Duration::from_millis(500)));
            peer.write(b"GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n")?;
            Ok(peer.read_response()?.status() == Some(200))
        };
        asked().unwrap_or(false)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// An error with its log's last lines where it has ended by itself.
    pub fn check_running(&mut self) -> Result<(), String> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => {
                Err(format!("{} has ended with {status}\n{}", self.name, self.last_log_lines()))
            }
            Err(wrong) => Err(format!("{}: {wrong}", self.name)),
        }
    }

    pub fn last_log_lines(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].join("\n")
    }

    /// What its log has gained since this was last asked, in whole lines.
    pub fn new_log_lines(&mut self) -> Vec<String> {
        let mut text = String::new();
        let grown = File::open(&self.log).and_then(|mut log| {
            log.seek(SeekFrom::Start(self.read))?;
            log.read_to_string(&mut text)
        });
        self.read += grown.unwrap_or(0) as u64;
        self.half += &text;
        let whole = self.half.rfind('\n').map_or(0, |end| end + 1);
        let rest = self.half.split_off(whole);
        let lines = std::mem::replace(&mut self.half, rest);
        lines.lines().map(str::to_string).collect()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it anew under its name, address and configuration.
    pub fn restart(&mut self) -> Result<(), String> {
        self.relaunch(None)?;
        self.wait_ready()
    }

    /// The same, in another build where one is given, and does not wait.
    pub fn relaunch(&mut self, program: Option<&Path>) -> Result<(), String> {
        let program = program.unwrap_or(&self.program);
        self.child =
            spawn(program, &self.file, &self.log).map_err(|wrong| format!("{}: {wrong}", self.name))?;
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        // One that has ended hears nothing any more.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether it has ended; its exit code is taken with that.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
