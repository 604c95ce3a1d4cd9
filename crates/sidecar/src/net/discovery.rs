//! Discovery: the one watch on it. It owns the list's generation and the connection to discovery; it must never
//! call discovery unasked, but for the next call of a watch that stands or has moved, nor change what the module
//! was told.

use super::buffers::Stock;
use super::http;
use super::owner::{Queue, Word};
use super::timeout::timeout;
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::start::Start;
use async_channel::Receiver;
use async_io::Async;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection that has gone silent shows only when a call's time is over: until then drains are not heard
/// of. So calls wait briefly, longer where all copies together would make more of them than so many a second; but a
/// change counts as told 6 s after discovery had it, and a call that waits for 2.5 s is given up and made again by 4 s.
const WATCH_LEAST: Duration = Duration::from_secs(2);
const WATCH_MOST: Duration = Duration::from_millis(2500);
const CALLS_A_SECOND: f64 = 50.0;
const UP_IN: Duration = Duration::from_secs(1);
/// A call that is refused so late stood in discovery's queue: it has more of them than it can work through, from how many
/// copies of how many tiers nobody knows. Then each call waits twice as long, up to this, and by answers less again.
const QUEUED: Duration = Duration::from_millis(500);
const WATCH_LONGEST: Duration = Duration::from_secs(8);
const SHORTER: f64 = 0.75;
/// Discovery works through calls in turn: how much later than it waits an answer may come.
const IN_TURN: Duration = Duration::from_secs(1);

/// Why there is no list.
enum Unheard {
    /// Discovery has too many calls.
    Refused,
    Failed(String),
}

impl From<String> for Unheard {
    fn from(why: String) -> Unheard {
        Unheard::Failed(why)
    }
}

#[derive(Clone)]
pub struct Discovery {
    address: SocketAddr,
    /// What the list in hand is; none of what this discovery counts by, then its whole list is due.
    generation: Option<u64>,
    /// How long a call waits for a change: at the least, and now.
    least: Duration,
    wait: Duration,
    zones: Vec<String>,
    clock: Clock,
    stock: Rc<Stock>,
    queue: Queue,
    start: Rc<Start>,
}

impl Discovery {
    /// None where the configuration names no discovery: the servers it lists are all there are.
    pub fn new(
        launch: &Configuration,
        stock: Rc<Stock>,
        queue: Queue,
        start: Rc<Start>,
    ) -> Option<Discovery> {
        let address = launch.discovery?;
        let (zones, clock) = (launch.zones.clone(), launch.clock.clone());
        // A process that takes over is told the whole list at once, and need not wait for a change to know that it
        // stands.
        let generation =
            Some(launch.initial_catalog.generation).filter(|_| launch.inherited_listener.is_none());
        let share = Duration::from_secs_f64(launch.policy.replicas / CALLS_A_SECOND);
        let wait = share.clamp(WATCH_LEAST, WATCH_MOST);
        Some(Discovery { address, generation, least: wait, wait, zones, clock, stock, queue, start })
    }

    /// Another discovery may count its generations from elsewhere, and may have heard of drains that the old
    /// one never told.
    pub fn move_to(&mut self, address: SocketAddr) {
        (self.address, self.generation, self.wait) = (address, None, self.least);
    }

    /// One watch for each time that the module asks; it lasts until a call fails.
    pub async fn follow(mut self, asked: Receiver<()>) {
        while asked.recv().await.is_ok() {
            let wrong = match self.watch().await {
                Err(wrong) => wrong,
                Ok(never) => match never {},
            };
            // What was asked for while the watch stood is answered by the word that it has ended.
            while asked.try_recv().is_ok() {}
            match wrong {
                Unheard::Refused => {
                    self.wait = (self.wait * 2).min(WATCH_LONGEST);
                    tracing::warn!(discovery = %self.address, "watch ended: refused, it has too many calls");
                    self.queue.tell(Word::ListRefused);
                }
                Unheard::Failed(why) => {
                    tracing::warn!(discovery = %self.address, "watch ended: {why}");
                    self.queue.tell(Word::ListFailed);
                }
            }
        }
    }

    async fn watch(&mut self) -> Result<std::convert::Infallible, Unheard> {
        let mut conn = None;
        // The next call comes at once: later than 0.2 s after an answer it would begin a new watch.
        loop {
            let catalog = self.call(&mut conn).await?;
            let (generation, entries) = (catalog.generation, catalog.entries.len());
            tracing::debug!(generation, whole = catalog.complete, entries, "a list");
            self.generation = Some(generation);
            self.wait = self.wait.mul_f64(SHORTER).max(self.least);
            self.start.list_received();
            self.queue.tell(Word::Listed(catalog));
        }
    }

    async fn call(&self, kept: &mut Option<Async<TcpStream>>) -> Result<Catalog, Unheard> {
        // A dial that takes long is not to make the call longer.
        let begun = Instant::now();
        let conn = match kept.take() {
            Some(conn) => conn,
            None => in_time(UP_IN, Async::<TcpStream>::connect(self.address)).await?,
        };
        let _ = conn.get_ref().set_nodelay(true);
        let wait = self.wait.saturating_sub(begun.elapsed());
        let query = |after: u64| format!("?after={after}&wait_ms={}", wait.as_millis());
        let query = self.generation.map(query).unwrap_or_default();
        let head = format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        in_time(UP_IN, http::write(&conn, head.as_bytes(), b"")).await?;
        self.start.discovery_polled();
        // Of its own, and given back with the list: callers half way through a command may hold all others.
        let most = self.stock.buffers_for_a_list();
        let buffers = Stock::small(most + 1);
        let answer = http::read_long(&conn, &buffers, most);
        let (status, keep, mut rsp) = in_time(wait + IN_TURN, answer).await?;
        if status == Some(503) && begun.elapsed() >= QUEUED {
            return Err(Unheard::Refused);
        }
        if status != Some(200) {
            return Err(format!("status {status:?}").into());
        }
        let value = serde_json::from_reader(BufReader::new(&mut rsp)).map_err(|wrong| wrong.to_string())?;
        let catalog = Catalog::parse(&value, &self.zones, &self.clock)?;
        *kept = keep.then_some(conn);
        Ok(catalog)
    }
}

async fn in_time<T, E: std::fmt::Debug>(
    span: Duration,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    let done = timeout(span, work).await.ok_or_else(|| format!("nothing within {span:?}"))?;
    done.map_err(|wrong| format!("{wrong:?}"))
}
