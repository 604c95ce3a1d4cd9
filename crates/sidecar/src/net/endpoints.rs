//! The way to the endpoints: kept connections, relays and checks. It owns the sockets to them and knows of
//! each relay whether its last byte was written; it must never send anything twice, pick an endpoint, or use
//! a connection again whose last answer was not whole.

use super::attempts::{AttemptGuard, Location};
use super::buffers::{HOLD_MOST, Place, Stock};
use super::http::{self, Bad, Coming, Marked, Piece};
use super::leaving::Asker;
use super::local_failure::{Cause, Repeated, cause};
use super::timeout::timeout;
use crate::launch::Launch;
use async_channel::Receiver;
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

/// A second copy of an answer, or noise, may come some time behind the first, and nothing in an answer tells whose it is. So a
/// connection is used again only once it has been quiet for so long, or what comes late would be read as the next
/// request's answer: at the least,
const QUIET_LEAST: Duration = Duration::from_millis(3);
/// for requests that must not run twice, and as long as few connections rest,
const QUIET: Duration = Duration::from_millis(25);
/// and as long after any server has sent more than its answer.
const QUIET_AFTER_EXTRA: Duration = Duration::from_millis(60);
const EXTRA_REMEMBERED: Duration = Duration::from_secs(60);
/// So many connections to a server may rest before the one that has rested for longest is used again sooner.
const RESTING_FEW: usize = 8;
/// An answer of unknown length is held for so long, in case it is short; past that it goes on as it comes.
const HOLD_FOR: Duration = Duration::from_millis(50);
/// An endpoint that reads nothing of a body for so long, or writes nothing of an answer, is given up.
const STALLED: Duration = Duration::from_secs(20);
/// What was written ahead of a break may hold the endpoint's word.
const LAST_WORD: Duration = Duration::from_millis(20);
/// A dial that failed on this side is tried again so soon.
const DIAL_AGAIN: Duration = Duration::from_millis(5);
/// More than this many to one endpoint are not kept.
const KEPT_MOST: usize = 32;

/// How far a relay has come. What is not written whole has never run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Not a byte of it is written.
    Unwritten,
    Begun,
    Written,
    Ended,
}

/// The bytes of a command as every relay of it sends them, but for the time left.
pub struct Outgoing {
    pub id: Id,
    pub head: Vec<u8>,
    pub body: Vec<Piece>,
    /// What is still to come of a body too long to be held.
    pub rest: Option<Rest>,
    /// A break in the middle would end it, as it is not sent again elsewhere.
    pub careful: bool,
    pub asker: Asker,
    /// Asked right before each attempt's first byte.
    pub guard: AttemptGuard,
}

/// The rest of a body, as the caller's side reads it. What is taken from it is gone: there is no other relay then.
pub struct Rest {
    pub next: Receiver<Next>,
    pub marked: Marked,
    /// How long the caller waits once its last byte has come.
    pub left: Duration,
    pub spent: Cell<bool>,
}

pub enum Next {
    Piece(Piece),
    /// The body is over, and the answer due by then.
    End(Instant),
}

impl Outgoing {
    pub fn unsent(&self) -> bool {
        self.rest.as_ref().is_none_or(|rest| !rest.spent.get())
    }
}

/// Where a relay or a check goes. The same address may be another server's later.
#[derive(Clone)]
pub struct Target {
    pub server: Id,
    pub address: SocketAddr,
    pub location: Location,
}

/// A 200 answer: whole, or as much as has come with the connection that brings the rest.
pub struct Answer {
    pub coming: Coming,
    rest: Option<Conn>,
    to: Target,
    home: Rc<Endpoints>,
}

impl Answer {
    /// Reads what comes next, once what it had is taken.
    pub async fn more(&mut self) -> Result<(), Bad> {
        let Some(conn) = &self.rest else { return Err(Bad::Ended) };
        timeout(STALLED, self.coming.more(&conn.stream)).await.unwrap_or(Err(Bad::Broken))
    }

    pub fn server(&self) -> &Id {
        &self.to.server
    }

    /// All of it has been passed on: its connection may carry another.
    pub fn finish(self) {
        if let Some(conn) = self.rest.filter(|_| self.coming.whole() && used_up(&self.coming)) {
            self.home.keep(&self.to, conn);
        }
    }
}

/// The connection that brought this answer may carry another, and nothing came behind it.
fn used_up(answer: &Coming) -> bool {
    answer.keep && answer.behind().is_empty()
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
    /// When a server last sent more than its answer.
    extra_seen: Cell<Option<Instant>>,
    failed_dials: Repeated,
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
    pub answer: Option<Answer>,
    /// What was sent of it cannot be sent again.
    pub spent: bool,
}

impl End {
    pub fn bare(outcome: Outcome) -> End {
        End { outcome, load: Load::default(), answer: None, spent: false }
    }
}

impl Endpoints {
    pub fn new(launch: &Launch, stock: Rc<Stock>) -> Endpoints {
        let (kept_for, dial_timeout) = (launch.conn_idle.mul_f64(KEPT_FOR), launch.dial_timeout);
        let check_path = if launch.terms.checks_tell { "/_load" } else { "/ping" };
        let (kept, breaks, extra_seen) = (RefCell::default(), RefCell::default(), Cell::default());
        let failed_dials = Repeated::default();
        Endpoints { kept, breaks, extra_seen, failed_dials, stock, kept_for, dial_timeout, check_path }
    }

    /// Sends the command once and hears how that ended, at the latest at `not_past`; where its body is still coming, at
    /// the time that the body's end brings.
    pub async fn relay(
        self: &Rc<Self>,
        to: &Target,
        cmd: &Outgoing,
        number: u32,
        not_past: Instant,
        stage: &Cell<Stage>,
    ) -> End {
        let until = Cell::new(not_past);
        let late = async {
            Timer::at(not_past).await;
            End::bare(if stage.get() == Stage::Written { Outcome::Timeout } else { Outcome::ConnectFailed })
        };
        let exchange = self.exchange(to, cmd, number, &until, stage);
        let end = if cmd.rest.is_none() { or(exchange, late).await } else { exchange.await };
        End { spent: !cmd.unsent(), ..end }
    }

    async fn exchange(
        self: &Rc<Self>,
        to: &Target,
        cmd: &Outgoing,
        number: u32,
        until: &Cell<Instant>,
        stage: &Cell<Stage>,
    ) -> End {
        let head = || {
            let left = until.get().saturating_duration_since(Instant::now());
            let left = cmd.rest.as_ref().map_or(left, |rest| rest.left).as_millis();
            [&cmd.head[..], format!("X-Expires-In-Ms: {left}\r\n\r\n").as_bytes()].concat()
        };
        // Its caller may have left in the very moment in which the connection came up, and its repeats may no longer be
        // dropped by then.
        let owed = || !cmd.asker.left() && cmd.guard.begin(&cmd.id, number, to.location).is_ok();
        let write = async |conn: &Conn| {
            stage.set(Stage::Begun);
            self.write(conn, &head(), cmd, until).await
        };
        // What came in pieces is due only from here on.
        let late = async || match &cmd.rest {
            None => futures_lite::future::pending().await,
            Some(_) => Timer::at(until.get()).await,
        };
        let written = async || {
            stage.set(Stage::Written);
            late().await;
            Outcome::Timeout
        };
        match self.once(to, cmd.careful, owed, write, written).await {
            Ok((mut coming, conn)) => {
                let (outcome, load) = read_outcome(&coming.head);
                let wanted = outcome == Outcome::Ok;
                let too_late = async {
                    late().await;
                    Err(Bad::Broken)
                };
                let conn = match or(self.hold(to, &mut coming, conn, wanted), too_late).await {
                    Ok(conn) => conn,
                    Err(wrong) => {
                        tracing::debug!("no answer from {}: {wrong:?}", to.server);
                        // An endpoint that has said what came of it has said so, whole or not.
                        return End::bare(if wanted { Outcome::Reset } else { outcome });
                    }
                };
                let answer = || Answer { coming, rest: conn, to: to.clone(), home: self.clone() };
                let answer = wanted.then(answer);
                End { load, answer, ..End::bare(outcome) }
            }
            Err(outcome) => End::bare(outcome),
        }
    }

    /// Reads an answer whole if it is short enough, and keeps its connection then. One that is wanted and longer goes on
    /// as it comes, on the connection that is handed back.
    async fn hold(
        &self,
        to: &Target,
        coming: &mut Coming,
        conn: Conn,
        wanted: bool,
    ) -> Result<Option<Conn>, Bad> {
        let long = coming.length().is_some_and(|length| length > HOLD_MOST as u64);
        let whole = match coming.length() {
            _ if long => None,
            Some(_) => Some(coming.hold(&conn.stream, &self.stock, HOLD_MOST).await),
            None => timeout(HOLD_FOR, coming.hold(&conn.stream, &self.stock, HOLD_MOST)).await,
        };
        match whole {
            Some(Ok(())) => {
                if used_up(coming) {
                    self.keep(to, conn);
                } else if !coming.behind().is_empty() {
                    self.extra_came(&to.server);
                }
                Ok(None)
            }
            Some(Err(Bad::TooLarge)) | None if wanted => Ok(Some(conn)),
            Some(Err(wrong)) => Err(wrong),
            None => Ok(None),
        }
    }

    async fn write(
        &self,
        conn: &Conn,
        head: &[u8],
        cmd: &Outgoing,
        until: &Cell<Instant>,
    ) -> Result<(), Outcome> {
        let failed = |_| Outcome::ConnectFailed;
        let held = cmd.body.iter().map(Piece::bytes);
        let Some(rest) = &cmd.rest else {
            return http::write_part(&conn.stream, head, held, Marked::Plain).await.map_err(failed);
        };
        let in_time = |written: Option<io::Result<()>>| match written {
            Some(Ok(())) => Ok(()),
            _ => Err(Outcome::ConnectFailed),
        };
        in_time(timeout(STALLED, http::write_part(&conn.stream, head, held, rest.marked)).await)?;
        loop {
            match rest.next.recv().await {
                Ok(Next::Piece(piece)) => {
                    rest.spent.set(true);
                    let bytes = std::iter::once(piece.bytes());
                    in_time(timeout(STALLED, http::write_part(&conn.stream, b"", bytes, rest.marked)).await)?;
                }
                Ok(Next::End(due)) => {
                    rest.spent.set(true);
                    in_time(timeout(STALLED, http::write_end(&conn.stream, rest.marked)).await)?;
                    until.set(due);
                    return Ok(());
                }
                // Its caller has left: this relay is about to be called off.
                Err(_) => return Err(Outcome::Moot),
            }
        }
    }

    /// Writes one message to the endpoint, once, and reads its answer's head. The message is made when there is a
    /// connection, as the time left goes on while one comes up. An endpoint may answer before the message is over: then
    /// nothing has run, and the connection is of no more use.
    async fn once(
        &self,
        to: &Target,
        careful: bool,
        owed: impl FnOnce() -> bool,
        write: impl AsyncFnOnce(&Conn) -> Result<(), Outcome>,
        written: impl AsyncFnOnce() -> Outcome,
    ) -> Result<(Coming, Conn), Outcome> {
        let (conn, idle) = self.connection(to, careful).await?;
        if !owed() {
            self.keep(to, conn);
            return Err(Outcome::Moot);
        }
        let buffer = self.stock.buffer().ok_or(Outcome::Moot)?;
        let over = Cell::new(false);
        let writes = async {
            let wrong = match write(&conn).await {
                Ok(()) => {
                    over.set(true);
                    return Err(written().await);
                }
                Err(wrong) => wrong,
            };
            Timer::after(LAST_WORD).await;
            Err(wrong)
        };
        let answers = async { Ok(Coming::answer(&conn.stream, buffer).await) };
        let answer = or(writes, answers).await?;
        if let Some(idle) = idle {
            let broke = matches!(answer, Err(Bad::Ended | Bad::Broken));
            self.breaks.borrow_mut().add(idle, broke);
        }
        match answer {
            // It began before there was anything to answer: a late copy of another command's.
            Ok(coming) if !over.get() && http::status(&coming.head) == Some(200) => {
                Err(Outcome::ConnectFailed)
            }
            Ok(mut coming) => {
                coming.keep &= over.get();
                Ok((coming, conn))
            }
            Err(wrong) => {
                tracing::debug!("no answer from {}: {wrong:?}", to.server);
                Err(if over.get() { Outcome::Reset } else { Outcome::ConnectFailed })
            }
        }
    }

    pub async fn check(&self, to: &Target) -> (Outcome, Load) {
        timeout(CHECK_WITHIN, self.ping(to)).await.unwrap_or((Outcome::Timeout, Load::default()))
    }

    async fn ping(&self, to: &Target) -> (Outcome, Load) {
        let path = self.check_path;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", to.address);
        let write = async |conn: &Conn| {
            http::write(&conn.stream, head.as_bytes(), b"").await.map_err(|_| Outcome::ConnectFailed)
        };
        let (mut answer, conn) = match self
            .once(to, false, || true, write, async || futures_lite::future::pending().await)
            .await
        {
            Ok(answer) => answer,
            Err(outcome) => return (outcome, Load::default()),
        };
        if self.hold(to, &mut answer, conn, false).await.is_err() {
            return (Outcome::Reset, Load::default());
        }
        let load = std::str::from_utf8(&answer.text()).map(read_load).unwrap_or_default();
        match http::status(&answer.head) {
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
        let stream = self.dial(to).await?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok((Conn { stream, _place: place }, None))
    }

    /// What fails on this side is tried again for as long as a dial may take, and is held against no server.
    async fn dial(&self, to: &Target) -> Result<Async<TcpStream>, Outcome> {
        let until = Instant::now() + self.dial_timeout;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Some(dialled) = timeout(left, Async::<TcpStream>::connect(to.address)).await else {
                return Err(Outcome::ConnectFailed);
            };
            let wrong = match dialled {
                Ok(stream) => return Ok(stream),
                Err(wrong) => wrong,
            };
            let why = cause(&wrong);
            if why == Cause::Elsewhere {
                return Err(Outcome::ConnectFailed);
            }
            self.failed_dials.add("dial", &wrong);
            if Instant::now() + DIAL_AGAIN >= until {
                return Err(Outcome::Moot);
            }
            if why != Cause::Descriptors || !self.close_longest_kept() {
                Timer::after(DIAL_AGAIN).await;
            }
        }
    }

    /// One that has been quiet for long enough: the one that was used last, as it is the least likely to have ended. Only those
    /// tried are looked at, as each look is a system call in the way of a request; `reap` finds the others.
    fn kept_one(&self, to: &Target, careful: bool) -> Option<Kept> {
        let mut kept = self.kept.borrow_mut();
        let all = kept.get_mut(&to.server)?;
        for at in (0..all.len()).rev() {
            let idle = all[at].since.elapsed();
            if idle < self.quiet_needed() {
                continue;
            }
            // Those before it have been idle for longer still.
            if careful && self.breaks.borrow().often_after(idle) {
                return None;
            }
            let kept = all.remove(at);
            if self.fits(to, &kept) {
                return Some(kept);
            }
        }
        let sooner = !careful && all.len() >= RESTING_FEW && self.quiet_needed() == QUIET;
        let rested = all.first().is_some_and(|first| first.since.elapsed() >= QUIET_LEAST);
        let longest = (sooner && rested).then(|| all.remove(0));
        longest.filter(|kept| self.fits(to, kept))
    }

    fn fits(&self, to: &Target, kept: &Kept) -> bool {
        kept.address == to.address && self.usable(&to.server, kept)
    }

    /// How long a connection must have been quiet to be used again, where others may be opened.
    fn quiet_needed(&self) -> Duration {
        match self.extra_seen.get() {
            Some(at) if at.elapsed() < EXTRA_REMEMBERED => QUIET_AFTER_EXTRA,
            _ => QUIET,
        }
    }

    /// A server has sent what no request asked for.
    fn extra_came(&self, server: &Id) {
        if self.extra_seen.replace(Some(Instant::now())).is_none_or(|at| at.elapsed() > EXTRA_REMEMBERED) {
            tracing::warn!(
                "{server} sent more than its answer; connections are used again after {QUIET_AFTER_EXTRA:?}"
            );
        }
    }

    /// A server that is gone needs its connections no more, and its id never comes back.
    pub fn forget(&self, server: &Id) {
        self.kept.borrow_mut().remove(server);
    }

    /// An endpoint that died or closed its side shows on the idle connection before anything is risked on it, and so does
    /// what it has sent without being asked.
    fn usable(&self, server: &Id, kept: &Kept) -> bool {
        match kept.conn.stream.get_ref().peek(&mut [0]) {
            Ok(1..) => {
                self.extra_came(server);
                false
            }
            Err(wrong) => wrong.kind() == io::ErrorKind::WouldBlock && kept.since.elapsed() < self.kept_for,
            Ok(_) => false,
        }
    }

    fn keep(&self, to: &Target, conn: Conn) {
        let mut kept = self.kept.borrow_mut();
        let all = kept.entry(to.server.clone()).or_default();
        if all.len() >= KEPT_MOST {
            all.remove(0);
        }
        all.push(Kept { conn, address: to.address, since: Instant::now() });
    }

    /// Closes the connection that has rested for longest, of any server. `false`: none rests.
    pub fn close_longest_kept(&self) -> bool {
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
            self.kept.borrow_mut().retain(|server, all| {
                all.retain(|kept| self.usable(server, kept));
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
