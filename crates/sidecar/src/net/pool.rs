//! Connections to servers: dialled, kept between requests, and used again once they are known to be quiet. It owns every socket
//! to a server that no attempt is using; it must never write or read a message.

use super::attempts::Location;
use super::buffers::{Place, Stock};
use super::local_failure::{Cause, Repeated, cause};
use super::timeout::timeout;
use crate::configuration::Configuration;
use async_io::{Async, Timer};
use landingspread_decisions::host::{Id, Outcome};
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
/// A dial that failed on this side is tried again so soon.
const DIAL_AGAIN: Duration = Duration::from_millis(5);
/// More than this many to one endpoint are not kept.
const KEPT_MOST: usize = 32;

/// Where a relay or a check goes. The same address may be another server's later.
#[derive(Clone)]
pub struct Target {
    pub server: Id,
    pub address: SocketAddr,
    pub location: Location,
}

/// An open connection to a server.
pub struct Conn {
    pub stream: Async<TcpStream>,
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

/// The connections to all servers.
pub struct Pool {
    kept: RefCell<BTreeMap<Id, Vec<Kept>>>,
    breaks: RefCell<Breaks>,
    /// When a server last sent more than its answer.
    extra_seen: Cell<Option<Instant>>,
    failed_dials: Repeated,
    stock: Rc<Stock>,
    kept_for: Duration,
    dial_timeout: Duration,
}

impl Pool {
    pub fn new(launch: &Configuration, stock: Rc<Stock>) -> Pool {
        Pool::with(launch.idle_connection_timeout.mul_f64(KEPT_FOR), launch.connect_timeout, stock)
    }

    /// One that keeps idle connections, and goes on with dials, for so long.
    pub fn with(kept_for: Duration, dial_timeout: Duration, stock: Rc<Stock>) -> Pool {
        Pool {
            kept: RefCell::default(),
            breaks: RefCell::default(),
            extra_seen: Cell::default(),
            failed_dials: Repeated::default(),
            stock,
            kept_for,
            dial_timeout,
        }
    }

    /// A kept connection that had been idle for so long broke when it was used again, or did not.
    pub fn used_after(&self, idle: Duration, broke: bool) {
        self.breaks.borrow_mut().add(idle, broke);
    }

    /// A connection, and how long it was idle if it was kept. Where this sidecar itself has no place left,
    /// nothing is held against the endpoint: the relay is moot.
    pub async fn connection(&self, to: &Target, careful: bool) -> Result<(Conn, Option<Duration>), Outcome> {
        if let Some(kept) = self.kept_one(to, careful) {
            return Ok((kept.conn, Some(kept.since.elapsed())));
        }
        let place = loop {
            match self.stock.for_endpoints.take() {
                Some(place) => break place,
                None if self.close_longest_kept() => {}
                None => return Err(Outcome::NotSent),
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
                return Err(Outcome::NotSent);
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
    pub fn extra_came(&self, server: &Id) {
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

    /// Keeps a connection whose last answer was whole.
    pub fn keep(&self, to: &Target, conn: Conn) {
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

    /// Another process of this sidecar shares what there is: what is past this one's part goes.
    pub fn make_room(&self) {
        while self.stock.over_its_part() && self.close_longest_kept() {}
    }

    /// Closes what has ended or rested for too long, as long as the process runs.
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
