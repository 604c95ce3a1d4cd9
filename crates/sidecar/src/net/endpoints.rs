//! Attempts and checks on connections to servers. It knows of each attempt whether its last byte was written, and reads what
//! came of it; it must never send anything twice, pick a server, or give back a connection whose last answer was not whole.

use super::attempts::AttemptGuard;
use super::buffers::{HOLD_MOST, Stock};
use super::http::{self, Bad, Coming, Marked, Piece};
use super::leaving::Asker;
use super::pool::{Conn, Pool, Target};
use super::timeout::timeout;
use crate::configuration::Configuration;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use landingspread_decisions::host::{Id, LoadReport, Outcome};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CHECK_WITHIN: Duration = Duration::from_millis(500);

/// An answer of unknown length is held for so long, in case it is short; past that it goes on as it comes.
const HOLD_FOR: Duration = Duration::from_millis(50);
/// An endpoint that reads nothing of a body for so long, or writes nothing of an answer, is given up.
const STALLED: Duration = Duration::from_secs(20);
/// What was written ahead of a break may hold the endpoint's word.
const LAST_WORD: Duration = Duration::from_millis(20);
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
    /// Of the whole body, where it was told.
    pub length: Option<u64>,
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

/// A 200 answer: whole, or as much as has come with the connection that brings the rest.
pub struct Answer {
    pub coming: Coming,
    rest: Option<Conn>,
    to: Target,
    home: Rc<Pool>,
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

pub struct Endpoints {
    pool: Rc<Pool>,
    stock: Rc<Stock>,
    /// What a check asks for: whether the process runs, or that and its load.
    check_path: &'static str,
}

/// How a relay ended.
pub struct End {
    pub outcome: Outcome,
    pub load: LoadReport,
    pub answer: Option<Answer>,
    /// What was sent of it cannot be sent again.
    pub spent: bool,
}

impl End {
    pub fn bare(outcome: Outcome) -> End {
        End { outcome, load: LoadReport::default(), answer: None, spent: false }
    }
}

impl Endpoints {
    pub fn new(launch: &Configuration, pool: Rc<Pool>, stock: Rc<Stock>) -> Endpoints {
        let check_path = if launch.policy.health_checks_report_load { "/_load" } else { "/ping" };
        Endpoints { pool, stock, check_path }
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
        let write = async |conn: &Conn, over: &Cell<bool>| {
            stage.set(Stage::Begun);
            let last_byte_out = || {
                over.set(true);
                stage.set(Stage::Written);
            };
            self.write(conn, &head(), cmd, until, &last_byte_out).await
        };
        // What came in pieces is due only from here on.
        let late = async || match &cmd.rest {
            None => futures_lite::future::pending().await,
            Some(_) => Timer::at(until.get()).await,
        };
        let written = async || {
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
                let answer = || Answer { coming, rest: conn, to: to.clone(), home: self.pool.clone() };
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
                    self.pool.keep(to, conn);
                } else if !coming.behind().is_empty() {
                    self.pool.extra_came(&to.server);
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
        last_byte_out: &dyn Fn(),
    ) -> Result<(), Outcome> {
        let failed = |_| Outcome::ConnectFailed;
        let held = cmd.body.iter().map(Piece::bytes);
        let Some(rest) = &cmd.rest else {
            http::write_part(&conn.stream, head, held, Marked::Plain).await.map_err(failed)?;
            last_byte_out();
            return Ok(());
        };
        let held_bytes: usize = cmd.body.iter().map(|piece| piece.bytes().len()).sum();
        let mut left = rest.length.map(|length| length.saturating_sub(held_bytes as u64));
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
                    left = left.map(|left| left.saturating_sub(piece.bytes().len() as u64));
                    // The server may answer before the caller's side says that this was the last piece.
                    if left == Some(0) {
                        last_byte_out();
                    }
                }
                Ok(Next::End(due)) => {
                    rest.spent.set(true);
                    in_time(timeout(STALLED, http::write_end(&conn.stream, rest.marked)).await)?;
                    last_byte_out();
                    until.set(due);
                    return Ok(());
                }
                // Its caller has left: this relay is about to be called off.
                Err(_) => return Err(Outcome::NotSent),
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
        write: impl AsyncFnOnce(&Conn, &Cell<bool>) -> Result<(), Outcome>,
        written: impl AsyncFnOnce() -> Outcome,
    ) -> Result<(Coming, Conn), Outcome> {
        let (conn, idle) = self.pool.connection(to, careful).await?;
        if !owed() {
            self.pool.keep(to, conn);
            return Err(Outcome::NotSent);
        }
        let buffer = self.stock.buffer().ok_or(Outcome::NotSent)?;
        let over = Cell::new(false);
        let writes = async {
            let wrong = match write(&conn, &over).await {
                Ok(()) => return Err(written().await),
                Err(wrong) => wrong,
            };
            Timer::after(LAST_WORD).await;
            // What is out whole may have run, whatever ended the attempt.
            Err(if over.get() && wrong.never_ran() { Outcome::Reset } else { wrong })
        };
        let answers = async { Ok(Coming::answer(&conn.stream, buffer).await) };
        let answer = or(writes, answers).await?;
        if let Some(idle) = idle {
            let broke = matches!(answer, Err(Bad::Ended | Bad::Broken));
            self.pool.used_after(idle, broke);
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

    pub async fn check(&self, to: &Target) -> (Outcome, LoadReport) {
        timeout(CHECK_WITHIN, self.ping(to)).await.unwrap_or((Outcome::Timeout, LoadReport::default()))
    }

    async fn ping(&self, to: &Target) -> (Outcome, LoadReport) {
        let path = self.check_path;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", to.address);
        let write = async |conn: &Conn, over: &Cell<bool>| {
            http::write(&conn.stream, head.as_bytes(), b"").await.map_err(|_| Outcome::ConnectFailed)?;
            over.set(true);
            Ok(())
        };
        let (mut answer, conn) = match self
            .once(to, false, || true, write, async || futures_lite::future::pending().await)
            .await
        {
            Ok(answer) => answer,
            Err(outcome) => return (outcome, LoadReport::default()),
        };
        if self.hold(to, &mut answer, conn, false).await.is_err() {
            return (Outcome::Reset, LoadReport::default());
        }
        let load = std::str::from_utf8(&answer.text()).map(read_load).unwrap_or_default();
        match http::status(&answer.head) {
            Some(200) => (Outcome::Ok, load),
            Some(503) => (Outcome::Overloaded, load),
            _ => (Outcome::Error, LoadReport::default()),
        }
    }
}

fn read_outcome(head: &[u8]) -> (Outcome, LoadReport) {
    let mut headers = http::no_headers();
    let mut rsp = httparse::Response::new(&mut headers);
    // It was parsed once already, when its end was looked for.
    if rsp.parse(head).is_err() {
        return (Outcome::Error, LoadReport::default());
    }
    let load = http::header(rsp.headers, "endpoint-load-metrics").map(read_load).unwrap_or_default();
    let never_ran = http::header(rsp.headers, "x-never-ran") == Some("1");
    let outcome = match rsp.code {
        Some(200) => Outcome::Ok,
        Some(503 | 504) if never_ran => Outcome::Overloaded,
        _ => Outcome::Error,
    };
    (outcome, load)
}

/// `TEXT inflight=7, queue=2, util=0.61`; the settings have other names for some of these.
fn read_load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split(',') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match key.trim() {
            "queue" | "waiting" => load.queued = value,
            "inflight" | "active" => load.in_flight = value,
            "util" | "cpu" => load.utilization = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
#[path = "endpoints_tests.rs"]
mod tests;
