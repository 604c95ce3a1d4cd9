//! The way to the endpoints: kept connections, relays and checks. It owns the sockets to them and knows of
//! each relay whether its last byte was written; it must never send anything twice, pick an endpoint, or use
//! a connection again whose last answer was not whole.

use super::buffers::{Place, Stock};
use super::http::{self, Bad, Message};
use super::within::within;
use crate::launch::Launch;
use async_io::{Async, Timer};
use futures_lite::future::or;
use landingspread_decisions::host::{Id, Load, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The part of the endpoint's own idle time after which a kept connection is closed here: what is written to
/// one that the endpoint has just closed ends as a reset.
const KEPT_FOR: f64 = 0.6;
const REAP_EVERY: Duration = Duration::from_secs(1);
const CHECK_WITHIN: Duration = Duration::from_millis(500);

/// A second copy of an answer, or noise, comes right behind the first: a connection is used again only once it
/// has been quiet for so long, or what comes late would be read as the next command's answer.
const QUIET: Duration = Duration::from_millis(3);
/// More than this many to one endpoint are not kept.
const KEPT_MOST: usize = 16;

/// How far a relay has come. What is not written whole has never run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    Unwritten,
    Written,
    Ended,
}

/// The bytes of a command as every relay of it sends them, but for the time left.
pub struct Outgoing {
    pub head: Vec<u8>,
    pub message: Message,
    /// A break in the middle would end it, as it is not sent again elsewhere.
    pub careful: bool,
}

/// Where a relay or a check goes. The same address may be another server's later.
#[derive(Clone)]
pub struct Target {
    pub server: Id,
    pub address: SocketAddr,
}

struct Conn {
    stream: Async<TcpStream>,
    _place: Place,
}

struct Kept {
    conn: Conn,
    address: SocketAddr,
    since: Instant,
}

/// How often kept connections broke without a word when they were used again, by how long they had been idle.
/// Endpoints may let go of idle ones sooner than they say, and not all say so by closing.
#[derive(Default)]
struct Breaks {
    bins: [(u32, u32); Breaks::BINS],
}

impl Breaks {
    const BINS: usize = 12;
    const FIRST_MS: u64 = 25;
    const FULL: u32 = 128;
    /// One in so many is too often.
    const BORNE: u32 = 24;

    fn bin(idle: Duration) -> usize {
        let steps = idle.as_millis() as u64 / Self::FIRST_MS;
        ((u64::BITS - steps.leading_zeros()) as usize).min(Self::BINS - 1)
    }

    fn add(&mut self, idle: Duration, broke: bool) {
        let (all, broken) = &mut self.bins[Self::bin(idle)];
        (*all, *broken) = (*all + 1, *broken + u32::from(broke));
        if *all >= Self::FULL {
            (*all, *broken) = (*all / 2, *broken / 2);
        }
    }

    /// What is often broken after some time is so after more.
    fn often_after(&self, idle: Duration) -> bool {
        let often = |(all, broken): &(u32, u32)| *broken >= 2 && broken * Self::BORNE > *all;
        self.bins[..=Self::bin(idle)].iter().any(often)
    }
}

pub struct Endpoints {
    kept: RefCell<BTreeMap<Id, Vec<Kept>>>,
    breaks: RefCell<Breaks>,
    stock: Rc<Stock>,
    kept_for: Duration,
    dial_timeout: Duration,
    /// What a check asks for: whether the process runs, or that and its load.
    check_path: &'static str,
}

/// How a relay ended.
pub struct End {
    pub outcome: Outcome,
    pub load: Load,
    pub answer: Option<Message>,
}

impl End {
    pub fn bare(outcome: Outcome) -> End {
        End { outcome, load: Load::default(), answer: None }
    }
}

impl Endpoints {
    pub fn new(launch: &Launch, stock: Rc<Stock>) -> Endpoints {
        let (kept_for, dial_timeout) = (launch.conn_idle.mul_f64(KEPT_FOR), launch.dial_timeout);
        let check_path = if launch.terms.checks_tell { "/_load" } else { "/ping" };
        let (kept, breaks) = (RefCell::default(), RefCell::default());
        Endpoints { kept, breaks, stock, kept_for, dial_timeout, check_path }
    }

    /// Sends the command once and hears how that ended, at the latest at `not_past`.
    pub async fn relay(&self, to: &Target, cmd: &Outgoing, not_past: Instant, stage: &Cell<Stage>) -> End {
        let late = async {
            Timer::at(not_past).await;
            End::bare(if stage.get() == Stage::Written { Outcome::Timeout } else { Outcome::ConnectFailed })
        };
        or(self.exchange(to, cmd, not_past, stage), late).await
    }

    async fn exchange(&self, to: &Target, cmd: &Outgoing, not_past: Instant, stage: &Cell<Stage>) -> End {
        let head = || {
            let left = not_past.saturating_duration_since(Instant::now()).as_millis();
            [&cmd.head[..], format!("X-Expires-In-Ms: {left}\r\n\r\n").as_bytes()].concat()
        };
        match self.once(to, cmd.careful, head, cmd.message.body(), || stage.set(Stage::Written)).await {
            Ok(answer) => {
                let (outcome, load) = read_outcome(answer.head());
                End { outcome, load, answer: (outcome == Outcome::Ok).then_some(answer) }
            }
            Err(outcome) => End::bare(outcome),
        }
    }

    /// Writes one message to the endpoint, once, and reads its whole answer. The head is made when there is a
    /// connection, as the time left goes on while one comes up.
    async fn once(
        &self,
        to: &Target,
        careful: bool,
        head: impl FnOnce() -> Vec<u8>,
        body: &[u8],
        written: impl FnOnce(),
    ) -> Result<Message, Outcome> {
        let (conn, idle) = self.connection(to, careful).await?;
        let buffer = self.stock.buffer().ok_or(Outcome::Moot)?;
        http::write(&conn.stream, &head(), body).await.map_err(|_| Outcome::ConnectFailed)?;
        written();
        let answer = http::read_answer(&conn.stream, buffer).await;
        if let Some(idle) = idle {
            let broke = matches!(answer, Err(Bad::Ended | Bad::Broken));
            self.breaks.borrow_mut().add(idle, broke);
        }
        let answer = answer.map_err(|wrong| {
            tracing::debug!("no answer from {}: {wrong:?}", to.server);
            Outcome::Reset
        })?;
        if answer.keep {
            self.keep(to, conn);
        }
        Ok(answer)
    }

    pub async fn check(&self, to: &Target) -> (Outcome, Load) {
        within(CHECK_WITHIN, self.ping(to)).await.unwrap_or((Outcome::Timeout, Load::default()))
    }

    async fn ping(&self, to: &Target) -> (Outcome, Load) {
        let path = self.check_path;
        let head = || format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", to.address).into_bytes();
        let answer = match self.once(to, false, head, b"", || {}).await {
            Ok(answer) => answer,
            Err(outcome) => return (outcome, Load::default()),
        };
        let load = std::str::from_utf8(answer.body()).map(read_load).unwrap_or_default();
        match http::status(answer.head()) {
            Some(200) => (Outcome::Ok, load),
            Some(503) => (Outcome::Full, load),
            _ => (Outcome::Error, Load::default()),
        }
    }

    /// A connection, and how long it was idle if it was kept. Where this sidecar itself has no place left,
    /// nothing is held against the endpoint: the relay is moot.
    async fn connection(&self, to: &Target, careful: bool) -> Result<(Conn, Option<Duration>), Outcome> {
        if let Some(kept) = self.kept_one(to, careful) {
            return Ok((kept.conn, Some(kept.since.elapsed())));
        }
        let place = loop {
            match self.stock.for_endpoints.take() {
                Some(place) => break place,
                None if self.close_longest_kept() => {}
                None => return Err(Outcome::Moot),
            }
        };
        let Some(Ok(stream)) = within(self.dial_timeout, Async::<TcpStream>::connect(to.address)).await
        else {
            return Err(Outcome::ConnectFailed);
        };
        let _ = stream.get_ref().set_nodelay(true);
        Ok((Conn { stream, _place: place }, None))
    }

    /// The one idle for the shortest time that will do. Only those tried are looked at, as each look is a system
    /// call in the way of a command; `reap` finds the others.
    fn kept_one(&self, to: &Target, careful: bool) -> Option<Kept> {
        let mut kept = self.kept.borrow_mut();
        let all = kept.get_mut(&to.server)?;
        for at in (0..all.len()).rev() {
            let idle = all[at].since.elapsed();
            if idle < QUIET {
                continue;
            }
            // Those before it have been idle for longer still.
            if careful && self.breaks.borrow().often_after(idle) {
                return None;
            }
            let kept = all.remove(at);
            if kept.address == to.address && self.usable(&kept) {
                return Some(kept);
            }
        }
        None
    }

    /// A server that is gone needs its connections no more, and its id never comes back.
    pub fn forget(&self, server: &Id) {
        self.kept.borrow_mut().remove(server);
    }

    /// An endpoint that died or closed its side shows on the idle connection before anything is risked on it.
    fn usable(&self, kept: &Kept) -> bool {
        let silent = |peeked: io::Result<usize>| peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        kept.since.elapsed() < self.kept_for && silent(kept.conn.stream.get_ref().peek(&mut [0]))
    }

    fn keep(&self, to: &Target, conn: Conn) {
        let mut kept = self.kept.borrow_mut();
        let all = kept.entry(to.server.clone()).or_default();
        if all.len() >= KEPT_MOST {
            all.remove(0);
        }
        all.push(Kept { conn, address: to.address, since: Instant::now() });
    }

    fn close_longest_kept(&self) -> bool {
        let mut kept = self.kept.borrow_mut();
        let first = |all: &&mut Vec<Kept>| all.first().map(|kept| kept.since);
        let oldest = kept.values_mut().filter(|all| !all.is_empty()).min_by_key(first);
        oldest.map(|all| all.remove(0)).is_some()
    }

    pub fn make_room(&self) {
        while self.stock.over_its_part() && self.close_longest_kept() {}
    }

    pub async fn reap(self: Rc<Self>) {
        loop {
            Timer::after(REAP_EVERY).await;
            self.kept.borrow_mut().retain(|_, all| {
                all.retain(|kept| self.usable(kept));
                !all.is_empty()
            });
        }
    }
}

fn read_outcome(head: &[u8]) -> (Outcome, Load) {
    let mut headers = http::no_headers();
    let mut rsp = httparse::Response::new(&mut headers);
    // It was parsed once already, when its end was looked for.
    if rsp.parse(head).is_err() {
        return (Outcome::Error, Load::default());
    }
    let load = http::header(rsp.headers, "endpoint-load-metrics").map(read_load).unwrap_or_default();
    let never_ran = http::header(rsp.headers, "x-never-ran") == Some("1");
    let outcome = match rsp.code {
        Some(200) => Outcome::Ok,
        Some(503 | 504) if never_ran => Outcome::Full,
        _ => Outcome::Error,
    };
    (outcome, load)
}

/// `TEXT inflight=7, queue=2, util=0.61`; the settings have other names for some of these.
fn read_load(text: &str) -> Load {
    let mut load = Load::default();
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split(',') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match key.trim() {
            "queue" | "waiting" => load.queue = value,
            "inflight" | "active" => load.in_flight = value,
            "util" | "cpu" => load.util = value,
            _ => {}
        }
    }
    load
}
