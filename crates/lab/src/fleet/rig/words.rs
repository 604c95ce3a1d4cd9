//! Proxies for the datagrams between replicas. Each replica advertises the address of its proxy, where a thread
//! receives its datagrams and applies the faults on the path; the source address identifies the sender.

use super::SharedFaults;
use crate::fleet::weather::{Node, PathEffects};
use crate::sockets::{bind_loopback_udp, unused_address_v4};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Bound on delayed datagrams; more are lost.
const MAX_DELAYED: usize = 20_000;
/// Longest wait before a thread checks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Due time, a random tie-breaker, the receiver and the bytes, earliest first.
type DelayedDatagram = Reverse<(Instant, u64, usize, Vec<u8>)>;

/// Datagrams that wait for their delay to pass.
#[derive(Default)]
struct DelayedDatagrams {
    queue: Mutex<BinaryHeap<DelayedDatagram>>,
    changed: Condvar,
}

/// The proxies of all replicas; their threads end when it is dropped.
pub struct DatagramProxies {
    /// Address that each replica advertises, and the one that it listens on.
    pub advertised_addresses: Vec<SocketAddrV4>,
    pub listen_addresses: Vec<SocketAddrV4>,
    stopped: Arc<AtomicBool>,
    /// Number of datagrams received by the proxies.
    pub received: Arc<AtomicU64>,
}

/// Receives the datagrams for one replica.
struct DatagramProxy {
    to: usize,
    socket: UdpSocket,
    targets: Arc<Vec<SocketAddrV4>>,
    senders: Arc<BTreeMap<SocketAddr, usize>>,
    faults: SharedFaults,
    delayed: Arc<DelayedDatagrams>,
    stopped: Arc<AtomicBool>,
    received: Arc<AtomicU64>,
}

impl DatagramProxies {
    /// Starts a proxy per replica, and a thread that sends delayed datagrams.
    pub fn start(replicas: usize, faults: &SharedFaults, seed: u64) -> io::Result<DatagramProxies> {
        let listen_addresses: Vec<SocketAddrV4> = (0..replicas).map(|_| unused_address_v4()).collect();
        let advertised_addresses: Vec<(UdpSocket, SocketAddrV4)> =
            (0..replicas).map(|_| bind_loopback_udp()).collect::<io::Result<_>>()?;
        let senders =
            listen_addresses.iter().enumerate().map(|(replica, address)| (SocketAddr::V4(*address), replica));
        let senders = Arc::new(senders.collect::<BTreeMap<_, _>>());
        let targets = Arc::new(listen_addresses.clone());
        let (stopped, received, delayed) =
            (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::<DelayedDatagrams>::default());
        let addresses = advertised_addresses.iter().map(|(_, address)| *address).collect();
        let (sender, _) = bind_loopback_udp()?;
        let (delayed_clone, targets_clone, stopped_clone) =
            (delayed.clone(), targets.clone(), stopped.clone());
        thread::spawn(move || send_delayed(&delayed_clone, &sender, &targets_clone, &stopped_clone));
        for (to, (socket, _)) in advertised_addresses.into_iter().enumerate() {
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            let proxy = DatagramProxy {
                to,
                socket,
                targets: targets.clone(),
                senders: senders.clone(),
                faults: faults.clone(),
                delayed: delayed.clone(),
                stopped: stopped.clone(),
                received: Arc::clone(&received),
            };
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (to as u64) << 32);
            thread::spawn(move || proxy.receive(rng));
        }
        Ok(DatagramProxies { advertised_addresses: addresses, listen_addresses, stopped, received })
    }
}

impl Drop for DatagramProxies {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

impl DatagramProxy {
    fn receive(self, mut rng: ChaCha8Rng) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while !self.stopped.load(Ordering::Relaxed) {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { continue };
            let Some(from) = self.senders.get(&from).copied() else { continue };
            self.received.fetch_add(1, Ordering::Relaxed);
            let effects = self.faults.path_effects(Node::Replica(from), Node::Replica(self.to));
            self.forward(&bytes[..length], effects, &mut rng);
        }
    }

    fn forward(&self, bytes: &[u8], effects: PathEffects, rng: &mut ChaCha8Rng) {
        if effects.cut || rng.random::<f64>() < effects.loss {
            return;
        }
        let mut bytes = bytes.to_vec();
        if rng.random::<f64>() < effects.corruption && !bytes.is_empty() {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes.truncate(at),
                1 => bytes[at] ^= 1 << rng.random_range(0..8),
                _ => bytes.extend_from_within(at..),
            }
        }
        let twice = rng.random::<f64>() < effects.duplication;
        if effects.delay.is_zero() {
            for _ in 0..if twice { 2 } else { 1 } {
                let _ = self.socket.send_to(&bytes, self.targets[self.to]);
            }
            return;
        }
        for _ in 0..if twice { 2 } else { 1 } {
            // Between once and twice the delay, so that some datagrams overtake others.
            let at = Instant::now() + effects.delay.mul_f64(1.0 + rng.random::<f64>());
            let mut queue = self.delayed.queue.lock().unwrap_or_else(PoisonError::into_inner);
            if queue.len() < MAX_DELAYED {
                queue.push(Reverse((at, rng.random(), self.to, bytes.clone())));
                self.delayed.changed.notify_one();
            }
        }
    }
}

/// Sends each delayed datagram when its time has come.
fn send_delayed(
    delayed: &DelayedDatagrams,
    socket: &UdpSocket,
    targets: &[SocketAddrV4],
    stopped: &AtomicBool,
) {
    let mut queue = delayed.queue.lock().unwrap_or_else(PoisonError::into_inner);
    while !stopped.load(Ordering::Relaxed) {
        let now = Instant::now();
        while queue.peek().is_some_and(|Reverse((at, _, _, _))| *at <= now) {
            if let Some(Reverse((_, _, to, bytes))) = queue.pop() {
                let _ = socket.send_to(&bytes, targets[to]);
            }
        }
        let next =
            queue.peek().map_or(POLL_INTERVAL, |Reverse((at, _, _, _))| at.saturating_duration_since(now));
        queue = delayed
            .changed
            .wait_timeout(queue, next.min(POLL_INTERVAL))
            .unwrap_or_else(PoisonError::into_inner)
            .0;
    }
}
