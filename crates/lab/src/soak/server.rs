//! Servers that misbehave: most requests are answered, and some fail, are turned away, are reset, hang, are answered twice
//! or half; whole servers hang, drain, vanish and come back cold. Each keeps account of every attempt.

use super::plan::Plan;
use super::record::{Attempt, ListChange, Records};
use crate::sockets::{Discovery, Entry, HttpMessage, Peer, bind_loopback};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

/// How often a server looks whether it is still there, and a request that hangs whether its caller is.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// A request that hangs is given up after this.
const HANGS_MOST: Duration = Duration::from_secs(4);
/// Zones in turn, and servers to a cell.
const ZONES: [&str; 3] = ["a", "b", "c"];
const CELL_OF: usize = 2;
const STACK: usize = 128 << 10;

/// What a server does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerBehavior {
    Answer,
    Fail,
    TurnAway,
    Reset,
    Hang,
    AnswerTwice,
    AnswerAndClose,
    HalfAnAnswer,
    /// Its end is the connection's.
    Unframed,
    Interim,
}

/// Each of a thousand requests, by chance that goes by the request's id, the server and the seed.
fn does(chance: u64) -> ServerBehavior {
    match chance % 1000 {
        0..15 => ServerBehavior::Fail,
        15..45 => ServerBehavior::TurnAway,
        45..65 => ServerBehavior::Reset,
        65..75 => ServerBehavior::Hang,
        75..95 => ServerBehavior::AnswerTwice,
        95..110 => ServerBehavior::AnswerAndClose,
        110..115 => ServerBehavior::HalfAnAnswer,
        115..125 => ServerBehavior::Unframed,
        125..130 => ServerBehavior::Interim,
        _ => ServerBehavior::Answer,
    }
}

/// One life of a server at one address.
struct Server {
    number: usize,
    id: String,
    seed: u64,
    zone: usize,
    cell: u32,
    hangs: AtomicBool,
    /// Set when it vanishes: its listener and all its connections end.
    gone: AtomicBool,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    records: Arc<Records>,
}

/// All servers of a run, and what the list says of them.
pub struct Servers {
    seed: u64,
    discoveries: [Arc<Discovery>; 2],
    records: Arc<Records>,
    alive: Vec<Arc<Server>>,
    addresses: Vec<SocketAddr>,
    lives: u64,
}

impl Servers {
    pub fn start(
        plan: &Plan,
        discoveries: &[Arc<Discovery>; 2],
        records: &Arc<Records>,
    ) -> io::Result<Servers> {
        let (alive, addresses) = (Vec::new(), Vec::new());
        let mut servers = Servers {
            seed: plan.seed,
            discoveries: discoveries.clone(),
            records: records.clone(),
            alive,
            addresses,
            lives: 0,
        };
        for number in 0..plan.servers {
            let listener = bind_loopback()?;
            servers.addresses.push(listener.local_addr()?);
            let server = servers.begin(number, listener, format!("s{number}"));
            servers.alive.push(server.clone());
            servers.say(&server, "ready", None);
        }
        Ok(servers)
    }

    fn begin(&mut self, number: usize, listener: TcpListener, id: String) -> Arc<Server> {
        self.lives += 1;
        let server = Arc::new(Server {
            number,
            id,
            seed: self.seed ^ self.lives << 32,
            zone: number % ZONES.len(),
            cell: (number / ZONES.len() / CELL_OF * ZONES.len() + number % ZONES.len()) as u32,
            hangs: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            streams: Mutex::default(),
            records: self.records.clone(),
        });
        let own = server.clone();
        thread::spawn(move || own.accept(&listener));
        server
    }

    fn say(&self, server: &Server, state: &'static str, started: Option<SystemTime>) {
        for discovery in &self.discoveries {
            discovery.publish(Entry {
                id: server.id.clone(),
                address: self.addresses[server.number],
                zone: ZONES[server.zone].to_string(),
                cell: server.cell,
                state,
                weight: 1.0,
                started,
            });
        }
    }

    /// These drain, and new ones under other ids and at other addresses begin.
    pub fn drain(&mut self, which: &[usize]) {
        for number in which {
            let old = self.alive[*number].clone();
            self.say(&old, "draining", None);
            self.records.list_changed(&old.id, ListChange::Draining);
            let Ok(listener) = bind_loopback() else { continue };
            let Ok(address) = listener.local_addr() else { continue };
            self.addresses[*number] = address;
            let new = self.begin(*number, listener, format!("s{number}n{}", self.lives));
            self.started(&new);
            self.alive[*number] = new;
        }
    }

    fn started(&self, server: &Server) {
        self.say(server, "ready", Some(SystemTime::now()));
        self.records.list_changed(&server.id, ListChange::Started);
    }

    /// These are gone without a word.
    pub fn vanish(&mut self, which: &[usize]) {
        which.iter().for_each(|number| self.alive[*number].end());
    }

    /// Those that vanished are back at their addresses under their ids, cold.
    pub fn come_back(&mut self, which: &[usize]) {
        for number in which {
            if !self.alive[*number].gone.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.addresses[*number]) else { continue };
            let id = self.alive[*number].id.clone();
            let new = self.begin(*number, listener, id);
            self.started(&new);
            self.alive[*number] = new;
        }
    }

    pub fn hang(&mut self, which: &[usize], hangs: bool) {
        which.iter().for_each(|number| self.alive[*number].hangs.store(hangs, Ordering::Relaxed));
    }
}

impl Server {
    fn accept(self: Arc<Self>, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut count = 0u64;
        while !self.gone.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            count += 1;
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.streams().insert(count, copy);
            }
            let own = self.clone();
            let talk = move || {
                own.talk(stream);
                own.streams().remove(&count);
            };
            // Without memory for a thread the connection ends.
            let _ = thread::Builder::new().stack_size(STACK).spawn(talk);
        }
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self) {
        self.gone.store(true, Ordering::Relaxed);
        for stream in self.streams().values() {
            let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn chance(&self, request: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.id, request).hash(&mut hasher);
        hasher.finish()
    }

    fn talk(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        loop {
            // The first byte's time is the attempt's.
            if !matches!(peer.stream.peek(&mut [0]), Ok(1..)) || self.gone.load(Ordering::Relaxed) {
                return;
            }
            let began = self.records.now();
            let Ok(Some(heard)) = peer.read_request() else { return };
            if heard.path() == "/ping" {
                if self.hangs.load(Ordering::Relaxed) {
                    return self.hang(&mut peer);
                }
                if peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            if !self.attempt(&mut peer, &heard, began) {
                return;
            }
        }
    }

    /// Whether the connection goes on.
    fn attempt(&self, peer: &mut Peer, heard: &HttpMessage, began: Duration) -> bool {
        let request = heard.header("x-trace-id").unwrap_or("").to_string();
        let chance = self.chance(&request);
        let does = if self.hangs.load(Ordering::Relaxed) { ServerBehavior::Hang } else { does(chance) };
        let number = self.records.attempt_began(Attempt {
            request: request.clone(),
            server: self.id.clone(),
            zone: self.zone,
            cell: self.cell,
            began,
            told_ms: heard.header("x-expires-in-ms").and_then(|text| text.trim().parse().ok()),
            ended: None,
            ran: does != ServerBehavior::TurnAway,
        });
        if matches!(does, ServerBehavior::Hang | ServerBehavior::Reset) {
            if does == ServerBehavior::Hang {
                self.hang(peer);
            } else {
                let _ = rustix::net::sockopt::set_socket_linger(&peer.stream, Some(Duration::ZERO));
            }
            self.records.attempt_ended(number, true);
            return false;
        }
        if does != ServerBehavior::TurnAway {
            thread::sleep(Duration::from_millis(2 + chance / 1000 % 20));
        }
        // Noted before it is out: what the sidecar does next comes later.
        self.records.attempt_ended(number, does != ServerBehavior::TurnAway);
        self.answer(peer, &request, does, chance)
    }

    fn answer(&self, peer: &mut Peer, request: &str, does: ServerBehavior, chance: u64) -> bool {
        let framed = |head: &str, body: &str| {
            format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        let ok = framed("200 OK", request);
        let text = match does {
            ServerBehavior::Fail => framed("500 Failed", ""),
            ServerBehavior::TurnAway => framed("503 Busy\r\nX-Never-Ran: 1", ""),
            ServerBehavior::HalfAnAnswer => ok[..ok.len() - 2].to_string(),
            ServerBehavior::Unframed => format!("HTTP/1.1 200 OK\r\n\r\n{request}"),
            ServerBehavior::Interim => format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{ok}"),
            _ => ok.clone(),
        };
        if peer.write(text.as_bytes()).is_err() {
            return false;
        }
        match does {
            ServerBehavior::AnswerTwice => {
                if let Ok(mut later) = peer.stream.try_clone() {
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(chance / 7 % 20));
                        let _ = later.write_all(ok.as_bytes());
                    });
                }
                true
            }
            ServerBehavior::AnswerAndClose | ServerBehavior::HalfAnAnswer | ServerBehavior::Unframed => false,
            _ => true,
        }
    }

    /// Says nothing until the other side has gone.
    fn hang(&self, peer: &mut Peer) {
        let until = self.records.now() + HANGS_MOST;
        peer.set_read_timeout(Some(LOOK_EVERY));
        while self.records.now() < until && !self.gone.load(Ordering::Relaxed) {
            match peer.stream.peek(&mut [0]) {
                Err(wrong) if matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                _ => return,
            }
        }
    }
}
