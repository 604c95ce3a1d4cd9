//! Stand-in servers: they read the platform's commands, take the time that the plan gives, and fail as told.
//! A thread to each connection, a count of cores and a bounded queue to each server.

use super::ledger::Ledger;
use super::message::{Heard, Peer, answer};
use super::ports::free;
use crate::cold::{ColdPeaks, OfferedWork, OverloadBound};
use crate::plan::{RetrySafety, WorkDistribution};
use crate::world::work_multiple;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A thread that serves a connection needs little; there may be thousands.
const STACK: usize = 256 << 10;
/// How often what waits looks whether it still should.
const LOOK: Duration = Duration::from_millis(20);

/// A verb as a server does it.
#[derive(Clone, Debug)]
pub struct Doing {
    pub name: String,
    pub repeats: RetrySafety,
    /// Mean seconds of a core.
    pub work: f64,
    pub spread: WorkDistribution,
    /// Calls to the next tier.
    pub calls: u32,
}

pub type Verbs = Arc<Vec<Doing>>;

/// By which address servers call the next tier.
pub type Behind = Option<SocketAddr>;

/// How a server does by now; changed while it runs.
#[derive(Clone, Debug)]
pub struct Serving {
    pub slow: f64,
    /// The share of commands that fails at once, and of which verb alone.
    pub errors: f64,
    pub errors_of: Option<String>,
    pub heavy: f64,
    pub heavy_share: f64,
    pub paused: bool,
    /// Reads and says nothing.
    pub silent: bool,
    /// Its process is down: connections are refused.
    pub down: bool,
    /// Connections older than this moment get no answer any more.
    pub half_open_before: Option<Instant>,
    pub cold_from: Option<Instant>,
    pub draining_since: Option<Instant>,
    pub says: Option<crate::plan::FalseLoad>,
}

impl Default for Serving {
    fn default() -> Serving {
        Serving {
            slow: 1.0,
            errors: 0.0,
            errors_of: None,
            heavy: 1.0,
            heavy_share: 0.0,
            paused: false,
            silent: false,
            down: false,
            half_open_before: None,
            cold_from: None,
            draining_since: None,
            says: None,
        }
    }
}

/// What a server is from its start on.
#[derive(Clone, Debug)]
pub struct Make {
    pub name: String,
    pub cores: usize,
    pub queue: usize,
    pub speed: f64,
    pub cold_share: f64,
    pub warm_after: Duration,
    /// A cold one is pushed over by more than so many times the work that it can do within the window; by any where the
    /// rule does not hold here.
    pub cold_most: Option<ColdMost>,
    pub grace: Duration,
    pub reports: bool,
    pub behind: Behind,
    pub seed: u64,
}

/// Rule 4 as a server knows it.
#[derive(Clone, Copy, Debug)]
pub struct ColdMost {
    pub multiple: f64,
    pub window: Duration,
    /// Fewer commands than this within a window never push it over.
    pub least: usize,
}

pub struct Server {
    pub make: Make,
    pub address: SocketAddr,
    serving: Mutex<Serving>,
    /// Free cores.
    cores: Mutex<usize>,
    freed: Condvar,
    /// What was brought to it while it was cold, and over all its lives before.
    brought: Mutex<(Option<Instant>, OfferedWork, ColdPeaks)>,
    waiting: AtomicU32,
    inside: AtomicU32,
    pub taken: AtomicU64,
    /// What it reported last while it told the truth: in flight above, queue below.
    told: AtomicU64,
    verbs: Verbs,
    ledger: Arc<Ledger>,
    over: AtomicBool,
}

/// All servers of a scene.
pub struct Fleet {
    pub servers: Vec<Arc<Server>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // What a panicking thread leaves behind here is still whole.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    pub fn empty() -> Fleet {
        Fleet { servers: Vec::new() }
    }

    pub fn add(&mut self, make: Make, verbs: Verbs, ledger: Arc<Ledger>) -> io::Result<Arc<Server>> {
        let listener = free()?;
        let server = Arc::new(Server {
            address: listener.local_addr()?,
            cores: Mutex::new(make.cores),
            make,
            serving: Mutex::default(),
            freed: Condvar::new(),
            brought: Mutex::default(),
            waiting: AtomicU32::new(0),
            inside: AtomicU32::new(0),
            taken: AtomicU64::new(0),
            told: AtomicU64::new(0),
            verbs,
            ledger,
            over: AtomicBool::new(false),
        });
        let own = server.clone();
        thread::Builder::new().stack_size(STACK).spawn(move || own.listen(listener))?;
        self.servers.push(server.clone());
        Ok(server)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.servers.iter().for_each(|server| server.end());
    }
}

impl Server {
    pub fn change(&self, what: impl FnOnce(&mut Serving)) {
        what(&mut locked(&self.serving));
        self.freed.notify_all();
        if locked(&self.serving).down {
            self.wake_listener();
        }
    }

    pub fn serving(&self) -> Serving {
        locked(&self.serving).clone()
    }

    /// Commands in it for each core.
    pub fn load(&self) -> f64 {
        f64::from(self.inside.load(Ordering::Relaxed)) / self.make.cores as f64
    }

    fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
        self.wake_listener();
    }

    /// A thread that waits for a connection looks around when one comes.
    fn wake_listener(&self) {
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        while !self.over.load(Ordering::Relaxed) {
            if self.serving().down {
                // Closed, so that connections are refused.
                listening = None;
                thread::sleep(LOOK);
                continue;
            }
            let Some(listener) = listening.take().or_else(|| TcpListener::bind(self.address).ok()) else {
                thread::sleep(LOOK);
                continue;
            };
            if let Ok((stream, _)) = listener.accept()
                && !self.serving().down
                && !self.over.load(Ordering::Relaxed)
            {
                let own = self.clone();
                let _ = thread::Builder::new().stack_size(STACK).spawn(move || own.talk(stream));
            }
            listening = Some(listener);
        }
    }

    fn talk(&self, stream: TcpStream) {
        let opened = Instant::now();
        let mut peer = Peer::new(stream);
        let mut rng = ChaCha8Rng::seed_from_u64(self.make.seed ^ u64::from(self.address.port()));
        let mut next: Option<Peer> = None;
        // A connection must not outlive the scene for ever.
        peer.patience(Some(Duration::from_secs(300)));
        while let Ok(Some(heard)) = peer.command() {
            let forgotten = self.serving().half_open_before.is_some_and(|before| opened < before);
            if forgotten || self.serving().silent {
                self.stay_silent(&peer, forgotten);
                return;
            }
            let Some(bytes) = self.answer_to(&heard, &mut rng, &mut next) else { return };
            if self.serving().down || peer.write(&bytes).is_err() {
                return;
            }
        }
    }

    /// Open and silent until the other side closes or the silence is over.
    fn stay_silent(&self, peer: &Peer, for_good: bool) {
        peer.patience(Some(Duration::from_millis(100)));
        while !self.over.load(Ordering::Relaxed) && (for_good || self.serving().silent) {
            match peer.stream.peek(&mut [0]) {
                Ok(0) => return,
                Ok(_) => thread::sleep(LOOK),
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// None where its process dies meanwhile: the connection breaks.
    fn answer_to(&self, heard: &Heard, rng: &mut ChaCha8Rng, next: &mut Option<Peer>) -> Option<Vec<u8>> {
        match heard.path() {
            "/ping" => return Some(answer(200, "", b"")),
            "/_load" => return Some(answer(200, "", self.report().as_bytes())),
            _ => {}
        }
        let Some(doing) = self.verbs.iter().find(|doing| doing.name == heard.verb()) else {
            return Some(answer(404, "", b"no such verb"));
        };
        self.taken.fetch_add(1, Ordering::Relaxed);
        let cmd = heard.header("x-trace-id").unwrap_or("");
        let serving = self.serving();
        if let Some(late) =
            serving.draining_since.map(|since| since.elapsed()).filter(|late| *late > self.make.grace)
        {
            self.ledger.after_grace(cmd, &self.make.name, late);
        }
        if let Some(from) = serving.cold_from {
            self.bring(from, doing.work, &serving);
        }
        if self.inside.load(Ordering::Relaxed) as usize >= self.make.queue + self.make.cores {
            return Some(self.said(503, "X-Never-Ran: 1\r\n", b"full"));
        }
        self.inside.fetch_add(1, Ordering::Relaxed);
        let done = self.work_on(heard, doing, cmd, rng, next);
        self.inside.fetch_sub(1, Ordering::Relaxed);
        done
    }

    fn work_on(
        &self,
        heard: &Heard,
        doing: &Doing,
        cmd: &str,
        rng: &mut ChaCha8Rng,
        next: &mut Option<Peer>,
    ) -> Option<Vec<u8>> {
        if !self.take_core() {
            return None;
        }
        self.ledger.began(cmd, &self.make.name, doing.repeats);
        let serving = self.serving();
        let hit = serving.errors_of.as_ref().is_none_or(|verb| *verb == doing.name);
        let fails = hit && serving.errors > 0.0 && rng.random::<f64>() < serving.errors;
        if !fails && doing.work > 0.0 {
            let heavy = serving.heavy_share > 0.0 && rng.random::<f64>() < serving.heavy_share;
            let work =
                doing.work * work_multiple(doing.spread, rng) * if heavy { serving.heavy } else { 1.0 };
            thread::sleep(Duration::from_secs_f64(work * serving.slow / self.speed(&serving)));
        }
        self.give_core();
        if self.serving().down {
            return None;
        }
        let well = !fails && (0..doing.calls).all(|call| self.call(heard, doing, cmd, call, next));
        Some(if well { self.said(200, "", b"done") } else { self.said(500, "", b"failed") })
    }

    /// Work is brought to it while it may be cold, also what it turns away: too much pushes it over, whoever sent it. It
    /// goes on here all the same.
    fn bring(&self, from: Instant, work: f64, serving: &Serving) {
        let Some(rule) = self.make.cold_most.filter(|_| from.elapsed() < self.make.warm_after) else {
            return;
        };
        let mean = self.verbs.iter().map(|doing| doing.work).sum::<f64>() / self.verbs.len().max(1) as f64;
        let (mut brought, mean) = (locked(&self.brought), mean.max(1e-9));
        let (life, brought, peaks) = &mut *brought;
        if life.replace(from) != Some(from) {
            brought.finish_process(peaks);
        }
        let able = self.make.cores as f64 * self.speed(serving) * rule.window.as_secs_f64();
        let bound = OverloadBound {
            window: rule.window,
            budget: rule.multiple * able / mean,
            min_requests: rule.least,
        };
        if brought.record(&self.make.name, self.ledger.now(), work / mean, bound) {
            self.ledger.pushed_over(&self.make.name, brought.total() * mean, able);
            brought.clear();
        }
    }

    /// What it was brought in its cold lives until now, which ends here.
    pub fn cold_peaks(&self) -> ColdPeaks {
        let mut brought = locked(&self.brought);
        let (_, brought, peaks) = &mut *brought;
        brought.finish_process(peaks);
        peaks.clone()
    }

    fn speed(&self, serving: &Serving) -> f64 {
        let Make { speed, cold_share, warm_after, .. } = &self.make;
        let Some(from) = serving.cold_from else { return *speed };
        let done = from.elapsed().as_secs_f64() / warm_after.as_secs_f64().max(1e-3);
        speed * (cold_share + (1.0 - cold_share) * done).min(1.0)
    }

    /// Waits for a core; false where the process dies meanwhile.
    fn take_core(&self) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut free = locked(&self.cores);
        let taken = loop {
            if self.over.load(Ordering::Relaxed) || self.serving().down {
                break false;
            }
            if *free > 0 && !self.serving().paused {
                *free -= 1;
                break true;
            }
            free = self.freed.wait_timeout(free, LOOK).unwrap_or_else(PoisonError::into_inner).0;
        };
        drop(free);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        taken
    }

    fn give_core(&self) {
        *locked(&self.cores) += 1;
        self.freed.notify_one();
    }

    /// A call to the next tier, with an id of its own and what is left of the time.
    fn call(&self, heard: &Heard, doing: &Doing, cmd: &str, call: u32, next: &mut Option<Peer>) -> bool {
        let Some(behind) = self.make.behind else { return true };
        let left: u64 = heard.header("x-expires-in-ms").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let method = heard.method();
        let key = match doing.repeats {
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => String::new(),
            _ => format!("Idempotency-Key: {cmd}.{call}\r\n"),
        };
        let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
        let bytes = format!(
            "{method} /{} HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: {cmd}.{}.{call}\r\nX-Customer: lab\r\n\
             X-Expires-In-Ms: {left}\r\n{key}{length}\r\n",
            doing.name, self.make.name
        );
        for _ in 0..2 {
            let kept = next.is_some();
            let peer = match next.take() {
                Some(peer) => Some(peer),
                None => TcpStream::connect_timeout(&behind, Duration::from_millis(200)).ok().map(Peer::new),
            };
            let Some(mut peer) = peer else { return false };
            peer.patience(Some(Duration::from_millis(left + 100)));
            let heard = peer.write(bytes.as_bytes()).and_then(|()| peer.answer());
            match heard {
                Ok(heard) => {
                    let ends =
                        heard.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    *next = (!ends).then_some(peer);
                    return heard.status() == Some(200);
                }
                // A kept connection may have been closed meanwhile, and what crosses that was not read.
                Err(wrong) if kept && wrong.kind() != io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        false
    }

    fn report(&self) -> String {
        use crate::plan::FalseLoad;
        let (queue, inside) = match self.serving().says {
            Some(FalseLoad::Idle) => (0, 0),
            Some(FalseLoad::Frozen) => {
                let told = self.told.load(Ordering::Relaxed);
                (told as u32, (told >> 32) as u32)
            }
            Some(FalseLoad::Busy) => (self.make.queue as u32, self.make.queue as u32),
            None => {
                let (queue, inside) =
                    (self.waiting.load(Ordering::Relaxed), self.inside.load(Ordering::Relaxed));
                self.told.store(u64::from(inside) << 32 | u64::from(queue), Ordering::Relaxed);
                (queue, inside)
            }
        };
        format!("TEXT inflight={inside}, queue={queue}")
    }

    fn said(&self, status: u16, more: &str, body: &[u8]) -> Vec<u8> {
        if self.make.reports {
            answer(status, &format!("{more}Endpoint-Load-Metrics: {}\r\n", self.report()), body)
        } else {
            answer(status, more, body)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn brought(commands: usize, cold: bool) -> [u64; 4] {
        let ledger = Arc::new(Ledger::new(Instant::now()));
        let make = Make {
            name: "s".into(),
            cores: 1,
            queue: 64,
            speed: 1.0,
            cold_share: 0.3,
            warm_after: Duration::from_secs(60),
            cold_most: Some(ColdMost { multiple: 3.0, window: Duration::from_secs(2), least: 8 }),
            grace: Duration::ZERO,
            reports: false,
            behind: None,
            seed: 1,
        };
        let doing = Doing {
            name: "view".into(),
            repeats: RetrySafety::Idempotent,
            work: 0.05,
            spread: WorkDistribution::Fixed,
            calls: 0,
        };
        let mut fleet = Fleet::empty();
        let server = fleet.add(make, Arc::new(vec![doing]), ledger.clone()).expect("a port");
        if cold {
            server.change(|serving| serving.cold_from = Some(Instant::now()));
        }
        let asks = || {
            let mut peer = Peer::new(TcpStream::connect(server.address).expect("a connection"));
            peer.write(b"GET /view HTTP/1.1\r\nHost: x\r\n\r\n").expect("it is written");
            peer
        };
        // All are there before any is answered: a core takes a sixth of a second for one.
        let asked: Vec<Peer> = (0..commands).map(|_| asks()).collect();
        let begun = Instant::now();
        while (server.taken.load(Ordering::Relaxed) as usize) < commands {
            assert!(begun.elapsed() < Duration::from_secs(5), "all come");
            thread::yield_now();
        }
        drop(asked);
        ledger.close().1
    }

    /// It can do 0.6 s of work in the window, and stands 1.8 s of it: 36 commands.
    #[test]
    fn a_cold_server_is_pushed_over_by_too_much_and_a_warm_one_is_not() {
        assert_eq!(brought(30, true), [0; 4]);
        assert_eq!(brought(45, true), [0, 0, 0, 1]);
        assert_eq!(brought(45, false), [0; 4]);
    }
}
