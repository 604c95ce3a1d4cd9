//! A server behind a gate that opens on order, and the ways in which a caller leaves while its command waits there.

use super::*;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// A command whose caller has left is not sent on so long after.
pub const LATE: Duration = Duration::from_millis(100);
/// A dial that was not let through is tried again by the system after 1 s: this much later it would be there.
pub const LOOKED_FOR: Duration = Duration::from_millis(1400);
pub const VERBS: [&str; 3] = ["view", "hold", "confirm"];

/// Checks have no id.
const CHECK: &str = "a check";
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A server whose system takes no connection until the gate is opened: dials to it hang.
pub struct Gate {
    pub address: SocketAddr,
    listener: TcpListener,
    /// They take up the system's queue.
    fillers: Vec<TcpStream>,
    /// When the first byte of each command was there, with its id.
    pub came: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Nothing is answered until it is set.
    pub answers: Arc<AtomicBool>,
    /// What it answers; with nothing it ends the connection.
    pub word: Arc<Mutex<&'static [u8]>>,
}

impl Gate {
    pub fn closed() -> Gate {
        let listener = free();
        rustix::net::listen(&listener, 0).expect("a short queue");
        let address = listener.local_addr().expect("an address");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, ms(60)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue is never full");
        }
        Gate { fillers, ..Gate::shut(listener) }
    }

    /// One that has been open from the start.
    pub fn opened() -> Gate {
        let mut gate = Gate::shut(free());
        gate.open();
        gate
    }

    fn shut(listener: TcpListener) -> Gate {
        let address = listener.local_addr().expect("an address");
        let (answers, word) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(OK)));
        Gate { address, listener, fillers: Vec::new(), came: Arc::default(), answers, word }
    }

    /// Lets all through from now on, and answers each command.
    pub fn open(&mut self) {
        self.fillers.clear();
        let listener = self.listener.try_clone().expect("a listener");
        rustix::net::listen(&listener, 1024).expect("a long queue");
        let (came, answers, word) = (self.came.clone(), self.answers.clone(), self.word.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (came, answers, word) = (came.clone(), answers.clone(), word.clone());
                thread::spawn(move || talk(stream, &came, &answers, &word));
            }
        });
    }

    /// Of commands, whole or not.
    pub fn came(&self) -> Vec<(String, Instant)> {
        let came = self.came.lock().expect("a lock");
        came.iter().filter(|(id, _)| id != CHECK).cloned().collect()
    }
}

fn talk(
    stream: TcpStream,
    came: &Mutex<Vec<(String, Instant)>>,
    answers: &AtomicBool,
    word: &Mutex<&'static [u8]>,
) {
    let mut peer = Peer::new(stream);
    // Noted at its first byte, named once it is whole.
    while matches!(peer.stream.peek(&mut [0]), Ok(1)) {
        let at = {
            let mut came = came.lock().expect("a lock");
            came.push((String::new(), Instant::now()));
            came.len() - 1
        };
        let Ok(Some(heard)) = peer.command() else { return };
        let name = if heard.path() == "/ping" { CHECK } else { heard.header("x-trace-id").unwrap_or("") };
        came.lock().expect("a lock")[at].0 = name.to_string();
        while !answers.load(Ordering::Relaxed) {
            thread::sleep(ms(5));
        }
        let word = if name == CHECK { OK } else { *word.lock().expect("a lock") };
        if word.is_empty() || peer.write(word).is_err() {
            return;
        }
    }
}

/// How many connections from this machine to there wait to come up, as the system tells it.
pub fn dialling(to: SocketAddr) -> usize {
    let SocketAddr::V4(to) = to else { return 0 };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let waits = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&remote) && fields.next() == Some("02")
    };
    table.lines().filter(waits).count()
}

pub fn stop(sidecar: &Sidecar) {
    sidecar.signal("-STOP");
}

pub fn go_on(sidecar: &Sidecar) {
    sidecar.signal("-CONT");
}

/// So many servers at one address, so that the commands out at each stay few.
pub fn many_at(address: SocketAddr, count: usize) -> Value {
    let names: Vec<String> = (0..count).map(|number| format!("g{number}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (name.as_str(), address, "ready")).collect();
    catalog(1, &entries)
}

pub fn roomy(config: &mut Value, cancel: bool) {
    config["limits"]["sockets"] = json!(1000);
    config["settings"]["PolicyLimits"]["MayCancel"] = json!(cancel);
    config["settings"]["PolicyLimits"]["DialTimeout"] = json!(4_000_000);
    for verb in config["settings"]["Verbs"].as_array_mut().expect("verbs") {
        (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(4_000_000), json!(3_900_000));
    }
}

/// The ways in which a caller leaves while its command waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Closes,
    /// It ends its sending only.
    HalfCloses,
    Resets,
    /// It has written so much ahead that not all of it is read.
    FullAhead,
    /// In the middle of a long body of which nothing is taken.
    MidBody,
    /// The program stands still while it leaves and the connection to the server comes up.
    Crosses,
    /// It has come, written and left before the program looks.
    Unread,
}

pub fn write_as(way: Way, stream: &mut TcpStream, verb: &str, id: &str) {
    let _ = stream.set_nonblocking(true);
    let mut text = cmd(verb, id, 3900);
    match way {
        Way::FullAhead => {
            let next = cmd("view", &format!("{id}n"), 3900);
            text.extend(std::iter::repeat_n(next.as_str(), 40_000 / next.len()));
        }
        // A pure command has no body by its method, and may have one all the same.
        Way::MidBody => {
            text = text.replace("Content-Length: 4\r\n", "").replace("\r\n\r\nbody", "\r\n\r\n");
            text = text.replace("\r\n\r\n", "\r\nContent-Length: 200000\r\n\r\n") + &"b".repeat(90_000);
        }
        _ => {}
    }
    stream.write_all(text.as_bytes()).expect("it goes into the socket");
}

pub fn leave(way: Way, stream: TcpStream) {
    match way {
        Way::HalfCloses => {
            let _ = stream.shutdown(Shutdown::Write);
            // The connection stays: only the end of the sending tells.
            thread::spawn(move || {
                thread::sleep(ms(4000));
                drop(stream);
            });
        }
        Way::Resets => {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("linger");
        }
        _ => drop(stream),
    }
}
