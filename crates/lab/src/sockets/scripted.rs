//! A stand-in server that does one thing to each command, by script: for tests that cause a single fault and look at
//! what comes of it. `fleet.rs` has the servers that behave as ones do.

use super::message::{HttpMessage, Peer, response_bytes};
use super::ports::bind_loopback;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What it does with a command.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedBehavior {
    /// Answers with the command's id in `X-Kept` and `ok:` before its body.
    Respond,
    RespondAndClose,
    /// Answers after so many milliseconds, or notes that the other side has gone.
    RespondAfterMs(u64),
    Disconnect,
    /// Answers, and says that it holds so many commands when its load is asked for.
    ReportInFlight(u32),
    Fail,
    Reject,
    /// Answers, but lets go without a word of a connection that was idle for so many milliseconds.
    CloseAfterIdleMs(u64),
    /// Answers, and a little later once more.
    RespondTwice,
    /// One of the others for each command, by chance that goes by the command's id and this.
    Random(u64),
}

impl ScriptedBehavior {
    /// What it comes to for one command.
    pub fn resolve(self, request: &HttpMessage) -> ScriptedBehavior {
        let ScriptedBehavior::Random(seed) = self else { return self };
        let mut hasher = DefaultHasher::new();
        (seed, request.header("x-trace-id")).hash(&mut hasher);
        match hasher.finish() % 12 {
            0 => ScriptedBehavior::Disconnect,
            1 => ScriptedBehavior::Fail,
            2 => ScriptedBehavior::Reject,
            3 => ScriptedBehavior::RespondAfterMs(2500),
            4 => ScriptedBehavior::RespondAfterMs(60),
            5 => ScriptedBehavior::RespondAndClose,
            _ => ScriptedBehavior::Respond,
        }
    }
}

/// What it has seen.
#[derive(Debug, Default)]
pub struct ServerRecord {
    pub requests: Vec<HttpMessage>,
    pub connections: usize,
    /// Commands whose caller left while they waited.
    pub cancelled: usize,
}

pub struct ScriptedServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<ServerRecord>>,
}

fn locked(seen: &Mutex<ServerRecord>) -> MutexGuard<'_, ServerRecord> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ScriptedServer {
    pub fn start(does: ScriptedBehavior) -> io::Result<ScriptedServer> {
        let listener = bind_loopback()?;
        let address = listener.local_addr()?;
        let seen = Arc::<Mutex<ServerRecord>>::default();
        let shared = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = shared.clone();
                thread::spawn(move || talk(stream, does, &seen));
            }
        });
        Ok(ScriptedServer { address, seen })
    }

    pub fn record(&self) -> MutexGuard<'_, ServerRecord> {
        locked(&self.seen)
    }

    /// Commands that came whole.
    pub fn request_count(&self) -> usize {
        self.record().requests.len()
    }
}

fn talk(stream: TcpStream, does: ScriptedBehavior, seen: &Mutex<ServerRecord>) {
    locked(seen).connections += 1;
    let mut peer = Peer::new(stream);
    let mut answered = Instant::now();
    while let Ok(Some(heard)) = peer.read_request() {
        let idle = answered.elapsed();
        if matches!(does, ScriptedBehavior::CloseAfterIdleMs(most) if idle > Duration::from_millis(most)) {
            return;
        }
        let checked = matches!(heard.path(), "/ping" | "/_load");
        let does = if checked && !matches!(does, ScriptedBehavior::ReportInFlight(_)) {
            ScriptedBehavior::Respond
        } else {
            does.resolve(&heard)
        };
        let bytes = word(does, &heard, &mut peer, seen, checked);
        let Some(bytes) = bytes else { return };
        if peer.write(&bytes).is_err() || matches!(does, ScriptedBehavior::RespondAndClose) {
            return;
        }
        answered = Instant::now();
    }
}

/// None where the connection ends instead.
fn word(
    does: ScriptedBehavior,
    heard: &HttpMessage,
    peer: &mut Peer,
    seen: &Mutex<ServerRecord>,
    checked: bool,
) -> Option<Vec<u8>> {
    if !checked {
        locked(seen).requests.push(heard.clone());
    }
    let kept = format!("X-Kept: {}\r\n", heard.header("x-trace-id").unwrap_or(""));
    let ok = match does {
        ScriptedBehavior::ReportInFlight(held) if checked => {
            response_bytes(200, "", format!("TEXT inflight={held}").as_bytes())
        }
        _ => response_bytes(200, &kept, &[b"ok:", &heard.body[..]].concat()),
    };
    match does {
        ScriptedBehavior::Respond
        | ScriptedBehavior::RespondAndClose
        | ScriptedBehavior::ReportInFlight(_)
        | ScriptedBehavior::CloseAfterIdleMs(_)
        | ScriptedBehavior::Random(_) => Some(ok),
        ScriptedBehavior::RespondTwice => {
            let _ = peer.write(&ok);
            thread::sleep(Duration::from_millis(1));
            Some(ok)
        }
        ScriptedBehavior::Disconnect => None,
        ScriptedBehavior::Fail => Some(response_bytes(500, "", b"")),
        ScriptedBehavior::Reject => Some(response_bytes(503, "X-Never-Ran: 1\r\n", b"")),
        ScriptedBehavior::RespondAfterMs(span) => {
            if left_within(peer, Duration::from_millis(span)) {
                locked(seen).cancelled += 1;
                return None;
            }
            Some(ok)
        }
    }
}

/// Whether the other side leaves within a span.
fn left_within(peer: &mut Peer, span: Duration) -> bool {
    peer.set_read_timeout(Some(span));
    let left = loop {
        match peer.stream.peek(&mut [0]) {
            Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
            looked => break matches!(looked, Ok(0)),
        }
    };
    peer.set_read_timeout(None);
    left
}
