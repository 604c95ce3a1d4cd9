//! The operators' door: a thread with a listener, buffers and time of its own. It parses a call, asks the owner, has the
//! word recorded and answers. It must never wait for the data path but for the owner's word, nor decide anything.

mod calls;

use crate::clock::unix_ms;
use crate::control::said::Shared;
use crate::counters;
use crate::fleet;
use crate::handover::CHECK_INTERVAL;
use crate::handover::maintenance_record::{
    MAXIMUM_ENTRIES, MaintenanceEntries, MaintenanceEntry, MaintenanceRecord,
};
use crate::net::buffers::{Buffer, Stock};
use crate::net::http::{self, Coming};
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use calls::Call;
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Callers at a time; past that the one that has waited longest goes.
pub const CALLERS: usize = 16;
/// A call has so long to come whole.
const CALL_WITHIN: Duration = Duration::from_secs(5);
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
const LINGER: Duration = Duration::from_millis(200);
/// The owner takes an operator's word before all that waits. Past this the answer is a no, though the word may still be
/// taken: said again it does no harm.
const OWNER_WITHIN: Duration = Duration::from_millis(800);
const BIND_AGAIN: Duration = Duration::from_millis(200);

/// What an operator says of one endpoint, for the owner.
pub struct Order {
    pub server: String,
    pub out: bool,
    /// For how long it has been so, where it was said to another process and recorded.
    pub recorded: Option<Duration>,
    /// Told whether a list ever named the endpoint.
    pub known: Sender<bool>,
}

pub struct Console {
    /// Whether this process can serve.
    pub serving: Arc<AtomicBool>,
    pub orders: Sender<Order>,
    /// None where nothing outlives the process.
    pub record: Option<MaintenanceRecord>,
    /// None where this copy is one of no fleet.
    pub fleet: Option<fleet::Door>,
    /// None where configuration comes from the file alone.
    pub control: Option<Shared>,
}

struct Door {
    serving: Arc<AtomicBool>,
    orders: Sender<Order>,
    record: RefCell<Option<MaintenanceRecord>>,
    fleet: Option<fleet::Door>,
    control: Option<Shared>,
    /// What this process goes by.
    words: RefCell<MaintenanceEntries>,
    stock: Rc<Stock>,
    /// Those who have not finished a call, each with the word that closes it.
    waiting: RefCell<BTreeMap<u64, Sender<()>>>,
    callers: Cell<usize>,
    numbers: Cell<u64>,
}

impl Console {
    pub fn open(self, at: SocketAddr) -> io::Result<()> {
        let serve = move || {
            let executor = Rc::new(LocalExecutor::new());
            let Console { serving, orders, record, fleet, control } = self;
            let words = record.as_ref().map(|record| record.entries.clone()).unwrap_or_default();
            let door = Rc::new(Door {
                serving,
                orders,
                record: RefCell::new(record),
                fleet,
                control,
                words: RefCell::new(words),
                stock: Stock::small(CALLERS),
                waiting: RefCell::default(),
                callers: Cell::new(0),
                numbers: Cell::new(0),
            });
            executor.spawn(door.clone().follow_record()).detach();
            async_io::block_on(executor.run(door.accept(at, executor.clone())));
        };
        std::thread::Builder::new().name("console".into()).spawn(serve).map(drop)
    }
}

impl Door {
    async fn accept(self: Rc<Self>, at: SocketAddr, executor: Rc<LocalExecutor<'static>>) {
        let listener = bind(at).await;
        tracing::info!("operators are heard at {at}");
        loop {
            while self.callers.get() >= CALLERS {
                let longest = self.waiting.borrow_mut().pop_first();
                if let Some((_, close)) = longest {
                    let _ = close.try_send(());
                }
                Timer::after(Duration::from_millis(1)).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.callers.set(self.callers.get() + 1);
                    let door = self.clone();
                    let one = async move {
                        door.one_call(stream).await;
                        door.callers.set(door.callers.get() - 1);
                    };
                    executor.spawn(one).detach();
                }
                Err(wrong) => {
                    tracing::warn!("console: {wrong}");
                    Timer::after(BIND_AGAIN).await;
                }
            }
        }
    }

    async fn one_call(&self, stream: Async<TcpStream>) {
        // There is one for each caller that is let in.
        let Some(buffer) = self.stock.buffer() else { return };
        let number = self.numbers.replace(self.numbers.get() + 1);
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(number, close);
        let comes = async { timeout(CALL_WITHIN, self.read(&stream, buffer)).await };
        let ends = async {
            let _ = closed.recv().await;
            // Its place is wanted at once: there is no time for a word.
            Some(Err(http::Bad::Ended))
        };
        let message = or(comes, ends).await;
        self.waiting.borrow_mut().remove(&number);
        let said = match message {
            None | Some(Err(http::Bad::Late)) => calls::turned(408, "the call did not come whole in time"),
            Some(Err(http::Bad::Ended | http::Bad::Broken)) => return,
            Some(Err(http::Bad::TooLarge)) => calls::turned(413, "the call is too large"),
            Some(Err(http::Bad::Malformed)) => calls::turned(400, "this is no HTTP/1.1 message"),
            Some(Ok(message)) => match calls::understand(&message.head, &message.text()) {
                Err(said) => said,
                Ok(call) => self.answer(call).await,
            },
        };
        tracing::debug!(status = said.status, "console: {}", said.text.trim_end());
        let _ = timeout(ANSWER_WITHIN, http::write(&stream, &said.head(), said.text.as_bytes())).await;
        linger(&stream).await;
    }

    async fn read(&self, stream: &Async<TcpStream>, buffer: Buffer) -> Result<Coming, http::Bad> {
        let mut coming = Coming::command(stream, buffer, &|| ()).await?;
        if coming.expects && !coming.whole() {
            http::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"").await?;
        }
        coming.hold(stream, &self.stock, 0).await?;
        Ok(coming)
    }

    async fn answer(&self, call: Call) -> calls::Said {
        match call {
            Call::Status if self.serving.load(Ordering::Acquire) => calls::said(200, "serving\n"),
            Call::Status => calls::said(503, "not serving\n"),
            Call::Counters => calls::said(200, &counters::text()),
            Call::WhoIsOut => {
                let words = self.words.borrow();
                let out = words
                    .iter()
                    .filter(|(_, word)| word.in_maintenance)
                    .map(|(server, _)| format!("{server}\n"));
                calls::said(200, &out.collect::<String>())
            }
            Call::Members { json } => match &self.fleet {
                None => calls::turned(404, "this copy is one of no fleet"),
                Some(fleet) => match fleet.members(json, OWNER_WITHIN).await {
                    Some(text) => calls::figures(&text, json),
                    None => calls::turned(503, "the fleet's thread does not answer"),
                },
            },
            Call::Zones { json } => match &self.fleet {
                None => calls::turned(404, "this copy is one of no fleet"),
                Some(fleet) => match fleet.zones(json, OWNER_WITHIN).await {
                    Some(text) if text.is_empty() => calls::turned(404, "the fleet leaves no zones"),
                    Some(text) => calls::figures(&text, json),
                    None => calls::turned(503, "the fleet's thread does not answer"),
                },
            },
            Call::Control { json } => match &self.control {
                None => calls::turned(404, "configuration comes from the file alone"),
                Some(shared) => calls::figures(&shared.said(json), json),
            },
            Call::Zone { zone, leave } => self.zone_said(zone, leave).await,
            Call::Maintenance { server, out } => self.maintenance(server, out).await,
        }
    }

    /// The word is the fleet's from here on: whether this copy lives or not.
    async fn zone_said(&self, zone: String, leave: bool) -> calls::Said {
        let Some(fleet) = &self.fleet else { return calls::turned(404, "this copy is one of no fleet") };
        match fleet.zone_said(zone.clone(), leave, OWNER_WITHIN).await {
            None => calls::turned(503, "the fleet's thread does not answer"),
            Some(None) => calls::turned(404, "the fleet leaves no zones"),
            Some(Some(false)) => calls::turned(404, "there is no such zone"),
            Some(Some(true)) => {
                tracing::info!("operators {} zone {zone}", if leave { "leave" } else { "take back" });
                calls::said(200, "yes\n")
            }
        }
    }

    async fn maintenance(&self, server: String, out: bool) -> calls::Said {
        if out && self.words.borrow().len() >= MAXIMUM_ENTRIES {
            return calls::turned(507, "too many endpoints are out");
        }
        match self.tell(&server, out, None).await {
            None => return calls::turned(503, "the sidecar does not answer"),
            Some(false) => return calls::turned(404, "no list ever named this endpoint"),
            Some(true) => {}
        }
        if let Some(record) = &mut *self.record.borrow_mut()
            && let Err(wrong) = record.set(&server, out)
        {
            tracing::error!("console: {wrong}");
            return calls::turned(500, "it holds for this process alone: it could not be recorded");
        }
        tracing::info!("operators {} {server}", if out { "leave out" } else { "use again" });
        let at_unix_ms = unix_ms();
        let mut words = self.words.borrow_mut();
        words.insert(server, MaintenanceEntry { in_maintenance: out, at_unix_ms });
        words.retain(|_, word| word.counts());
        calls::said(200, "yes\n")
    }

    /// Whether a list ever named the endpoint; None where the owner does not answer.
    async fn tell(&self, server: &str, out: bool, recorded: Option<Duration>) -> Option<bool> {
        let (known, heard) = async_channel::bounded(1);
        let order = Order { server: server.to_string(), out, recorded, known };
        self.orders.send(order).await.ok()?;
        timeout(OWNER_WITHIN, heard.recv()).await?.ok()
    }

    /// What was said to the other process of an upgrade counts here too.
    async fn follow_record(self: Rc<Self>) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let new = {
                let mut record = self.record.borrow_mut();
                let Some(record) = &mut *record else { return };
                if !record.refresh() {
                    continue;
                }
                record.entries.clone()
            };
            let old = std::mem::replace(&mut *self.words.borrow_mut(), new.clone());
            for (server, word) in new {
                if old.get(&server).is_none_or(|old| old.in_maintenance != word.in_maintenance) {
                    let _ = self.tell(&server, word.in_maintenance, Some(word.age())).await;
                }
            }
        }
    }
}

/// The process that this one takes over from may have the address still.
async fn bind(at: SocketAddr) -> Async<TcpListener> {
    let mut told = false;
    loop {
        match Async::<TcpListener>::bind(at) {
            Ok(listener) => return listener,
            Err(wrong) if !std::mem::replace(&mut told, true) => {
                tracing::warn!("console: {at}: {wrong}; trying again");
            }
            Err(_) => {}
        }
        Timer::after(BIND_AGAIN).await;
    }
}

/// Closing on bytes that nobody read resets the connection, and with it the answer on its way.
async fn linger(mut stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut bytes = [0; 1024];
    let read_off = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
    timeout(LINGER, read_off).await;
}
