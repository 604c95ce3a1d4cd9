//! The socket between copies: a thread of its own, so that a full data path is no silence. It owns the address at which
//! copies hear each other and the log of what becomes of them; it must never decide who is a member, nor anything of a
//! command.

#[cfg(test)]
mod fixture_tests;
mod said;
mod zones;

use crate::clock::{Clock, unix_time};
use crate::configuration::FleetSettings as Told;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use landingspread_decisions::host::ReplicaView;
use landingspread_decisions::zones::{ZoneObservation, ZoneTraffic};
use landingspread_localities::Paces;
use landingspread_membership::{About, Address, Counted, Host, MESSAGE_MOST, Member, Membership};
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
pub use zones::SEEN_EVERY;
use zones::Zones;

/// Calls from other threads wait in this number at most.
const CALLS_MOST: usize = 64;
/// Datagrams that came by the peers' socket wait in this number at most; others are lost.
const PASSED_MOST: usize = 256;
const BIND_AGAIN: Duration = Duration::from_millis(200);
const READ_AGAIN: Duration = Duration::from_millis(20);
/// The decisions hear of an unchanged fleet this often, as traffic moves.
const TELL_EVERY: Duration = Duration::from_millis(500);
/// How long a process that ends waits until its leaving has gone out.
const LEAVE_WITHIN: Duration = Duration::from_millis(100);

/// All that the fleet's thread goes by.
struct Parts {
    membership: Membership<Wire>,
    zones: Option<Zones>,
    heard: Heard,
}

/// What came, whether it could be read or not.
#[derive(Clone, Copy, Default)]
struct Heard {
    datagrams: u64,
    bytes: u64,
}

impl Heard {
    fn add(&mut self, bytes: usize) {
        (self.datagrams, self.bytes) = (self.datagrams + 1, self.bytes + bytes as u64);
    }
}

impl Parts {
    fn hear(&mut self, now: Duration, bytes: &[u8]) {
        self.heard.add(bytes.len());
        self.membership.heard(now, bytes);
    }
}

type Call = Box<dyn FnOnce(&mut Parts, Duration) + Send>;

/// How other threads reach the fleet's.
#[derive(Clone)]
pub struct Door(Sender<Call>);

/// The decisions' side: what they hear, and where they say how much comes to them.
pub struct Link {
    pub copies: Receiver<ReplicaView>,
    /// The shares of zones, where the fleet leaves any.
    pub zones: Option<Receiver<Vec<ZoneTraffic>>>,
    traffic: Arc<AtomicU64>,
    seen: zones::Seen,
}

impl Link {
    /// Commands a second that come to this copy.
    pub fn say_traffic(&self, per_s: f64) {
        self.traffic.store(per_s.to_bits(), Ordering::Relaxed);
    }

    /// How zones look to the decisions at that time.
    pub fn say_seen(&self, at: Duration, seen: Vec<ZoneObservation>) {
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner) = (at, seen);
    }
}

/// What the membership does to the outside.
pub struct Wire {
    socket: Option<UdpSocket>,
}

impl Host for Wire {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        // What can't be sent at once is as good as lost.
        if let Some(socket) = &self.socket {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn joined(&mut self, member: &Member) {
        let (address, zone, life) = (member.address(), member.zone(), member.life());
        tracing::info!(member = member.name(), %address, zone, life, "fleet: joined");
    }

    fn suspected(&mut self, member: &Member) {
        let address = member.address();
        tracing::info!(member = member.name(), %address, "fleet: suspected");
    }

    fn refuted(&mut self, member: &Member) {
        let address = member.address();
        tracing::info!(member = member.name(), %address, epoch = member.affirmed(), "fleet: alive after all");
    }

    fn died(&mut self, member: &Member, agreed: bool) {
        let address = member.address();
        tracing::warn!(member = member.name(), %address, zone = member.zone(), agreed, "fleet: dead");
    }

    fn returned(&mut self, member: &Member) {
        let (address, life) = (member.address(), member.life());
        tracing::info!(member = member.name(), %address, life, "fleet: back");
    }

    fn left(&mut self, member: &Member) {
        let address = member.address();
        tracing::info!(member = member.name(), %address, "fleet: left");
    }

    fn twins(&mut self, one: &Member, other: &Member) {
        let (first, second) = (one.address(), other.address());
        tracing::warn!(name = one.name(), %first, %second, "fleet: two members have one name");
    }

    fn taken_for_dead(&mut self) {
        tracing::warn!("fleet: others held this copy for dead");
    }

    fn full(&mut self, refused: usize) {
        tracing::warn!(refused, "fleet: no more members can be known");
    }
}

impl Door {
    /// The members as text, or as JSON; none where the fleet's thread does not answer.
    pub async fn members(&self, json: bool, within: Duration) -> Option<String> {
        let (reply, told) = async_channel::bounded(1);
        let ask: Call = Box::new(move |parts, now| {
            let (membership, heard) = (&parts.membership, parts.heard);
            let text = if json { said::json(membership, heard, now) } else { said::text(membership, now) };
            let _ = reply.try_send(text);
        });
        self.0.try_send(ask).ok()?;
        crate::net::timeout::timeout(within, told.recv()).await?.ok()
    }

    /// How zones stand; none where the fleet's thread does not answer, an empty text where the fleet leaves none.
    pub async fn zones(&self, json: bool, within: Duration) -> Option<String> {
        let (reply, told) = async_channel::bounded(1);
        let ask: Call = Box::new(move |parts, now| {
            let text = parts.zones.as_ref().map(|zones| zones.told(json, now)).unwrap_or_default();
            let _ = reply.try_send(text);
        });
        self.0.try_send(ask).ok()?;
        crate::net::timeout::timeout(within, told.recv()).await?.ok()
    }

    /// Operators take a zone out of use for the fleet, or put it back. Whether there is such a zone, and whether the fleet
    /// leaves any; none where its thread does not answer.
    pub async fn zone_said(&self, zone: String, leave: bool, within: Duration) -> Option<Option<bool>> {
        let (reply, told) = async_channel::bounded(1);
        let say: Call = Box::new(move |parts, now| {
            let known = parts.zones.as_mut().map(|zones| zones.operators_say(now, &zone, leave));
            let _ = reply.try_send(known);
        });
        self.0.try_send(say).ok()?;
        crate::net::timeout::timeout(within, told.recv()).await?.ok()
    }

    /// The process ends: told to others, and not waited for.
    pub async fn leave(&self) {
        let (done, gone) = async_channel::bounded(1);
        let leave: Call = Box::new(move |parts, now| {
            parts.membership.leave(now);
            let _ = done.try_send(());
        });
        if self.0.try_send(leave).is_ok() {
            let _ = crate::net::timeout::timeout(LEAVE_WITHIN, gone.recv()).await;
        }
    }
}

/// Where datagrams of the fleet come from that reach the process by another socket.
pub struct Passed {
    pub socket: UdpSocket,
    pub datagrams: Receiver<Vec<u8>>,
}

/// The sending side of `Passed`, for whoever reads that socket.
pub fn passing() -> (Sender<Vec<u8>>, Receiver<Vec<u8>>) {
    async_channel::bounded(PASSED_MOST)
}

/// Starts the fleet's thread, or its task where an executor is given. Errors are those of starting a thread: an address that is taken is tried again.
pub fn open(
    told: Told,
    name: &str,
    seed: u64,
    clock: Clock,
    passed: Option<Passed>,
    localities: Option<(Paces, Vec<String>)>,
    on: Option<&LocalExecutor<'static>>,
) -> io::Result<(Door, Link)> {
    let (calls, called) = async_channel::bounded(CALLS_MOST);
    let (tell, copies) = async_channel::bounded(1);
    let traffic = Arc::new(AtomicU64::new(0));
    let since_1970 = unix_time();
    let about = About {
        address: told.advertise,
        name: name.to_string(),
        zone: told.zone,
        fleet: told.name,
        life: since_1970.as_millis() as u64,
        seeds: told.seeds,
        budget: told.budget,
        configured: told.configured_replicas,
    };
    let seen = zones::Seen::default();
    let (zones, shares) = match localities {
        Some((paces, zones)) => {
            let (tell, shares) = async_channel::bounded(1);
            (Some(Zones::start(paces, zones, &about, seen.clone(), tell)), Some(shares))
        }
        None => (None, None),
    };
    let own_traffic = traffic.clone();
    let listen = told.listen;
    let run = async move || {
        let (own, by_others) = match passed {
            Some(Passed { socket, datagrams }) => (None, Some((socket, datagrams))),
            None => (Some(listen), None),
        };
        let socket = match own {
            Some(at) => Some(bind(at).await),
            None => None,
        };
        let sending = match (&socket, &by_others) {
            (Some(socket), _) => socket.get_ref().try_clone().ok(),
            (None, Some((socket, _))) => socket.try_clone().ok(),
            (None, None) => None,
        };
        let membership = Membership::start(Wire { socket: sending }, about, seed, clock.now());
        let passed = by_others.map(|(_, datagrams)| datagrams);
        let parts = Parts { membership, zones, heard: Heard::default() };
        let thread = Thread { parts, clock, called, tell, traffic: own_traffic };
        thread.run(socket, passed).await;
    };
    match on {
        Some(executor) => executor.spawn(run()).detach(),
        None => {
            let run = move || async_io::block_on(run());
            std::thread::Builder::new().name("fleet".into()).spawn(run)?;
        }
    }
    Ok((Door(calls), Link { copies, zones: shares, traffic, seen }))
}

struct Thread {
    parts: Parts,
    clock: Clock,
    called: Receiver<Call>,
    tell: Sender<ReplicaView>,
    traffic: Arc<AtomicU64>,
}

enum Came {
    Datagram(usize),
    Passed(Vec<u8>),
    Call(Call),
    Time,
}

impl Thread {
    async fn run(mut self, socket: Option<Async<UdpSocket>>, passed: Option<Receiver<Vec<u8>>>) {
        let mut bytes = [0; MESSAGE_MOST + 1];
        let mut tick_at = self.clock.now();
        let (mut said, mut said_at) = (None, Duration::ZERO);
        loop {
            let came = self.wait(tick_at, socket.as_ref(), passed.as_ref(), &mut bytes).await;
            let now = self.clock.now();
            match came {
                Came::Datagram(length) => self.parts.hear(now, &bytes[..length]),
                Came::Passed(bytes) => self.parts.hear(now, &bytes),
                Came::Call(call) => call(&mut self.parts, now),
                Came::Time => {}
            }
            // A flood is always ready to be read: time goes on through it.
            if tick_at <= now {
                tick_at = now + Membership::<Wire>::TICK;
                let Parts { membership, zones, .. } = &mut self.parts;
                membership.traffic(f64::from_bits(self.traffic.load(Ordering::Relaxed)));
                zones.iter_mut().for_each(|zones| zones.tick(now, membership));
                membership.tick(now);
                let copies = copies_of(&membership.counted());
                if said != Some(copies) || said_at + TELL_EVERY <= now {
                    // One that still waits is older: the next tick tells it anew.
                    if self.tell.try_send(copies).is_ok() {
                        (said, said_at) = (Some(copies), now);
                    }
                }
            }
        }
    }

    async fn wait(
        &self,
        until: Duration,
        socket: Option<&Async<UdpSocket>>,
        passed: Option<&Receiver<Vec<u8>>>,
        bytes: &mut [u8],
    ) -> Came {
        let heard = async {
            match socket {
                Some(socket) => loop {
                    match socket.recv_from(bytes).await {
                        Ok((length, _)) => return Came::Datagram(length),
                        // A socket that fails at each read must not take all of the thread's time.
                        Err(_) => Timer::after(READ_AGAIN).await,
                    };
                },
                None => futures_lite::future::pending().await,
            }
        };
        let passed = async {
            match passed {
                Some(passed) => match passed.recv().await {
                    Ok(bytes) => Came::Passed(bytes),
                    Err(_) => futures_lite::future::pending().await,
                },
                None => futures_lite::future::pending().await,
            }
        };
        let called = async {
            match self.called.recv().await {
                Ok(call) => Came::Call(call),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let time = async {
            Timer::at(self.clock.instant(until)).await;
            Came::Time
        };
        or(called, or(time, or(heard, passed))).await
    }
}

fn copies_of(counted: &Counted) -> ReplicaView {
    ReplicaView {
        count: counted.copies,
        max_alive: counted.may_live,
        ordinal: counted.place().map(u32::from),
        mean_request_rate: counted.traffic,
    }
}

/// The process that this one takes over from may have the address still.
async fn bind(at: Address) -> Async<UdpSocket> {
    let mut told = false;
    loop {
        match Async::<UdpSocket>::bind(at) {
            Ok(socket) => {
                tracing::info!("fleet: copies are heard at {at}");
                return socket;
            }
            Err(wrong) if !std::mem::replace(&mut told, true) => {
                tracing::warn!("fleet: {at}: {wrong}; trying again");
            }
            Err(_) => {}
        }
        Timer::after(BIND_AGAIN).await;
    }
}
