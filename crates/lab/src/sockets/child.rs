//! A real sidecar as a child process, with its configuration file and its log. The process ends with the lab. Errors
//! about a process that has exited or does not get ready contain the last lines of its log.

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

const READY_TIMEOUT: Duration = Duration::from_secs(5);
const LOG_LINES_IN_ERRORS: usize = 12;

/// A sidecar process; dropping it kills the process.
pub struct Sidecar {
    pub name: String,
    pub address: SocketAddr,
    program: PathBuf,
    config_file: PathBuf,
    log_file: PathBuf,
    child: Child,
    /// Number of bytes of the log that were read.
    log_bytes_read: u64,
    /// The beginning of a log line whose end has not been read yet.
    partial_line: String,
}

/// The `landingspread` program that was built together with this one.
pub fn sidecar_program() -> Result<PathBuf, String> {
    let executable = std::env::current_exe().map_err(|error| error.to_string())?;
    // Executables of tests and benches are one directory below.
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join("landingspread"))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        format!("no landingspread program beside {}: build the whole workspace first", executable.display())
    })
}

fn spawn(program: &Path, file: &Path, log: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.arg("serve").env("NODE_CONFIG", file);
    spawn_with_log(command, log)
}

fn spawn_with_log(mut command: Command, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    for variable in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"] {
        command.env_remove(variable);
    }
    let parent = rustix::process::getpid();
    // SAFETY: between fork and exec, the closure makes two system calls and neither allocates nor locks.
    unsafe {
        command.pre_exec(move || {
            // A lab that is killed by SIGKILL runs no destructors: the kernel must kill its children.
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
            if rustix::process::getppid() != Some(parent) {
                return Err(io::ErrorKind::Other.into());
            }
            Ok(())
        });
    }
    command.spawn()
}

/// A child process that runs another sub-command of the program and ends with the lab.
pub struct HelperProcess(Child);

impl HelperProcess {
    /// Starts the process; its log is appended to the file `log`.
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<HelperProcess> {
        let mut command = Command::new(program);
        command.args(arguments).env("NODE_LOG", "warn");
        spawn_with_log(command, log).map(HelperProcess)
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Whether the process has exited.
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
    /// Starts a sidecar with this configuration and waits until it is ready.
    pub fn start(program: &Path, dir: &Path, name: &str, config: &Value) -> Result<Sidecar, String> {
        let listen = config.get("listen").and_then(Value::as_str).unwrap_or("");
        let address = listen.parse().map_err(|_| format!("{name}: listen: {listen:?} is not an address"))?;
        let mut sidecar =
            Sidecar::launch(program, dir, &format!("{name}.json"), &config.to_string(), address)?;
        sidecar.wait_ready()?;
        Ok(sidecar)
    }

    /// Starts a sidecar with a configuration file of this name and text, without waiting until it is ready.
    pub fn launch(
        program: &Path,
        dir: &Path,
        file: &str,
        text: &str,
        address: SocketAddr,
    ) -> Result<Sidecar, String> {
        let name = file.split('.').next().unwrap_or(file).to_string();
        let describe = |error: io::Error| format!("{name}: {error}");
        let (config_file, log_file) = (dir.join(file), dir.join(format!("{name}.log")));
        fs::write(&config_file, text).map_err(describe)?;
        let child = spawn(program, &config_file, &log_file).map_err(describe)?;
        let program = program.to_path_buf();
        Ok(Sidecar {
            name,
            address,
            program,
            config_file,
            log_file,
            child,
            log_bytes_read: 0,
            partial_line: String::new(),
        })
    }

    /// Waits until the sidecar is ready; an error if it exits or is not ready within `READY_TIMEOUT`.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let began = Instant::now();
        loop {
            self.check_running()?;
            if self.is_ready() {
                return Ok(());
            }
            if began.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "{} is not ready within {READY_TIMEOUT:?}\n{}",
                    self.name,
                    self.last_log_lines()
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether the health check answers 200.
    pub fn is_ready(&self) -> bool {
        let health_check = || -> io::Result<bool> {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(200))?;
            let mut peer = Peer::new(stream);
            peer.set_read_timeout(Some(Duration::from_millis(500)));
            peer.write(b"GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n")?;
            Ok(peer.read_response()?.status() == Some(200))
        };
        health_check().unwrap_or(false)
    }

    /// Returns the id of the current process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// An error with the last lines of the log if the process has exited.
    pub fn check_running(&mut self) -> Result<(), String> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => {
                Err(format!("{} has ended with {status}\n{}", self.name, self.last_log_lines()))
            }
            Err(error) => Err(format!("{}: {error}", self.name)),
        }
    }

    /// Returns the last lines of the log, at most `LOG_LINES_IN_ERRORS`; empty if it cannot be read.
    pub fn last_log_lines(&self) -> String {
        let text = fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES_IN_ERRORS)..].join("\n")
    }

    /// The complete lines that were added to the log since the last call.
    pub fn new_log_lines(&mut self) -> Vec<String> {
        let mut text = String::new();
        let added = File::open(&self.log_file).and_then(|mut log| {
            log.seek(SeekFrom::Start(self.log_bytes_read))?;
            log.read_to_string(&mut text)
        });
        self.log_bytes_read += added.unwrap_or(0) as u64;
        self.partial_line += &text;
        let complete = self.partial_line.rfind('\n').map_or(0, |end| end + 1);
        let rest = self.partial_line.split_off(complete);
        let lines = std::mem::replace(&mut self.partial_line, rest);
        lines.lines().map(str::to_string).collect()
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a new process with the same name, address and configuration, and waits until it is ready.
    pub fn restart(&mut self) -> Result<(), String> {
        self.relaunch(None)?;
        self.wait_ready()
    }

    /// Starts a new process of the given build, or of the previous one, without waiting until it is ready.
    pub fn relaunch(&mut self, program: Option<&Path>) -> Result<(), String> {
        let program = program.unwrap_or(&self.program);
        self.child = spawn(program, &self.config_file, &self.log_file)
            .map_err(|error| format!("{}: {error}", self.name))?;
        Ok(())
    }

    /// Sends a signal to the process; does nothing if it has exited.
    pub fn signal(&self, signal: Signal) {
        // Signalling fails if the process has exited, which needs no handling.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited; its exit status is collected then.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
