//! The paths of datagrams between copies. Each copy is known to the others by an address of the lab's, where a thread
//! reads for it; who sent is told by the address that it came from. It owns what happens to a datagram on its way.

use super::Sky;
use crate::fleet::weather::{Fate, Party};
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

const DATAGRAM_MOST: usize = 2048;
/// What is late waits in this number at most; more are lost.
const LATE_MOST: usize = 20_000;
const LOOK: Duration = Duration::from_millis(50);

type Later = Reverse<(Instant, u64, usize, Vec<u8>)>;

/// What is still on its way.
#[derive(Default)]
struct Late {
    heap: Mutex<BinaryHeap<Later>>,
    changed: Condvar,
}

pub struct Words {
    /// Where each copy is reached by the others, and where it hears.
    pub fronts: Vec<SocketAddrV4>,
    pub own: Vec<SocketAddrV4>,
    over: Arc<AtomicBool>,
    pub carried: Arc<AtomicU64>,
}

struct Front {
    to: usize,
    socket: UdpSocket,
    own: Arc<Vec<SocketAddrV4>>,
    senders: Arc<BTreeMap<SocketAddr, usize>>,
    sky: Sky,
    late: Arc<Late>,
    over: Arc<AtomicBool>,
    carried: Arc<AtomicU64>,
}

impl Words {
    pub fn start(copies: usize, sky: &Sky, seed: u64) -> io::Result<Words> {
        let own: Vec<SocketAddrV4> = (0..copies).map(|_| unused_address_v4()).collect();
        let fronts: Vec<(UdpSocket, SocketAddrV4)> =
            (0..copies).map(|_| bind_loopback_udp()).collect::<io::Result<_>>()?;
        let senders = own.iter().enumerate().map(|(copy, address)| (SocketAddr::V4(*address), copy));
        let senders = Arc::new(senders.collect::<BTreeMap<_, _>>());
        let shared_own = Arc::new(own.clone());
        let (over, carried, late) =
            (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::<Late>::default());
        let addresses = fronts.iter().map(|(_, address)| *address).collect();
        let (sender, _) = bind_loopback_udp()?;
        let (carry_late, carry_own, carry_over) = (late.clone(), shared_own.clone(), over.clone());
        thread::spawn(move || carry(&carry_late, &sender, &carry_own, &carry_over));
        for (to, (socket, _)) in fronts.into_iter().enumerate() {
            socket.set_read_timeout(Some(LOOK))?;
            let front = Front {
                to,
                socket,
                own: shared_own.clone(),
                senders: senders.clone(),
                sky: sky.clone(),
                late: late.clone(),
                over: over.clone(),
                carried: Arc::clone(&carried),
            };
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (to as u64) << 32);
            thread::spawn(move || front.read(rng));
        }
        Ok(Words { fronts: addresses, own, over, carried })
    }
}

impl Drop for Words {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

impl Front {
    fn read(self, mut rng: ChaCha8Rng) {
        let mut bytes = [0; DATAGRAM_MOST];
        while !self.over.load(Ordering::Relaxed) {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { continue };
            let Some(from) = self.senders.get(&from).copied() else { continue };
            self.carried.fetch_add(1, Ordering::Relaxed);
            let fate = self.sky.fate(Party::Copy(from), Party::Copy(self.to));
            self.pass(&bytes[..length], fate, &mut rng);
        }
    }

    fn pass(&self, bytes: &[u8], fate: Fate, rng: &mut ChaCha8Rng) {
        if fate.cut || rng.random::<f64>() < fate.loss {
            return;
        }
        let mut bytes = bytes.to_vec();
        if rng.random::<f64>() < fate.garble && !bytes.is_empty() {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes.truncate(at),
                1 => bytes[at] ^= 1 << rng.random_range(0..8),
                _ => bytes.extend_from_within(at..),
            }
        }
        let twice = rng.random::<f64>() < fate.double;
        if fate.delay.is_zero() {
            for _ in 0..if twice { 2 } else { 1 } {
                let _ = self.socket.send_to(&bytes, self.own[self.to]);
            }
            return;
        }
        for _ in 0..if twice { 2 } else { 1 } {
            // Between once and twice the delay: some overtake others.
            let at = Instant::now() + fate.delay.mul_f64(1.0 + rng.random::<f64>());
            let mut heap = self.late.heap.lock().unwrap_or_else(PoisonError::into_inner);
            if heap.len() < LATE_MOST {
                heap.push(Reverse((at, rng.random(), self.to, bytes.clone())));
                self.late.changed.notify_one();
            }
        }
    }
}

/// Sends what was held up when its time has come.
fn carry(late: &Late, socket: &UdpSocket, own: &[SocketAddrV4], over: &AtomicBool) {
    let mut heap = late.heap.lock().unwrap_or_else(PoisonError::into_inner);
    while !over.load(Ordering::Relaxed) {
        let now = Instant::now();
        while heap.peek().is_some_and(|Reverse((at, _, _, _))| *at <= now) {
            if let Some(Reverse((_, _, to, bytes))) = heap.pop() {
                let _ = socket.send_to(&bytes, own[to]);
            }
        }
        let next = heap.peek().map_or(LOOK, |Reverse((at, _, _, _))| at.saturating_duration_since(now));
        heap = late.changed.wait_timeout(heap, next.min(LOOK)).unwrap_or_else(PoisonError::into_inner).0;
    }
}
