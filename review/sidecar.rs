//! Starts sidecars by the command of the deploy file, and ends them.

use crate::http;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The ids of the running processes, for the watchdog; 0 for a free place.
static RUNNING: [AtomicU32; 32] = [const { AtomicU32::new(0) }; 32];

/// Kills all processes that were started and not ended.
pub fn kill_all() {
    for place in &RUNNING {
        let pid = place.load(Ordering::SeqCst);
        if pid != 0 {
            unsafe { kill(pid as i32, SIGKILL) };
        }
    }
}

fn root() -> PathBuf {
    // The working directory is the folder of the case, `review/N`.
    Path::new("../..").canonicalize().expect("the project's root exists")
}

/// The command `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next()).map(str::to_string);
    command.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

/// A private folder for one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("landingspread-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub struct Sidecar {
    child: Child,
    place: usize,
    exited: Option<ExitStatus>,
}

/// What a process is started with.
pub struct Start<'a> {
    pub config: &'a str,
    pub folder: &'a Path,
    /// The name of the process, for its files.
    pub name: &'a str,
    /// `$TMPDIR`, which both processes of an upgrade share.
    pub tmpdir: &'a Path,
    /// The clients' listening socket, which the process inherits as descriptor 7.
    pub listener: Option<&'a TcpListener>,
    pub console: Option<SocketAddr>,
}

impl Sidecar {
    pub fn start(start: &Start) -> io::Result<Sidecar> {
        let file = start.folder.join(format!("{}.json", start.name));
        std::fs::write(&file, start.config)?;
        std::fs::create_dir_all(start.tmpdir)?;
        let mut run = run_command()?;
        let mut command = Command::new("/bin/sh");
        match start.listener {
            Some(listener) => {
                // The socket comes in as standard input and moves to descriptor 7.
                run = format!("exec 7<&0 </dev/null; {run}");
                command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("NODE_FD", "7");
            }
            None => _ = command.stdin(Stdio::null()),
        }
        if let Some(console) = start.console {
            command.env("NODE_CONSOLE", console.to_string());
        }
        let log = File::create(start.folder.join(format!("{}.log", start.name)))?;
        command.args(["-c", &run]).current_dir(root());
        command.env("NODE_CONFIG", &file).env("TMPDIR", start.tmpdir).env("NODE_LOG", "info");
        command.stdout(Stdio::null()).stderr(log);
        let child = command.spawn()?;
        let place = RUNNING.iter().position(|place| {
            place.compare_exchange(0, child.id(), Ordering::SeqCst, Ordering::SeqCst).is_ok()
        });
        Ok(Sidecar { child, place: place.expect("few processes are running"), exited: None })
    }

    /// Waits until `GET /_health` is answered with 200.
    pub fn wait_ready(&mut self, listen: SocketAddr) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline && self.ended().is_none() {
            let request = "GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
            let health = http::call(listen, request, Duration::from_millis(500));
            if health.is_ok_and(|message| message.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other("the sidecar is not ready"))
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.exited.is_none() {
            self.exited = self.child.try_wait().ok().flatten();
            if self.exited.is_some() {
                RUNNING[self.place].store(0, Ordering::SeqCst);
            }
        }
        self.exited
    }

    pub fn signal(&mut self, signal: i32) {
        if self.ended().is_none() {
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        if self.exited.is_none() {
            let _ = self.child.wait();
            RUNNING[self.place].store(0, Ordering::SeqCst);
        }
    }
}

/// A free address. The platform gives fixed addresses; the port is found by binding it for a moment.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
