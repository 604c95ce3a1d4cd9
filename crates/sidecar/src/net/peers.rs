//! Words between sidecars, as datagrams: lost ones are not sent again. It owns the socket; it must never read a word.

use super::owner::{Queue, Word};
use async_channel::Sender;
use async_io::Async;
use landingspread_decisions::peer_messages::MAX_MESSAGE_BYTES as MAX_PEER_MESSAGE_BYTES;
use landingspread_membership::{MAGIC, MAX_MESSAGE_BYTES};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// So many of them wait for the owner at most; a flood's others are lost.
const WAITING_MOST: usize = 256;

pub struct Peers {
    /// Every copy's address by its number, this one's among them.
    addresses: Vec<SocketAddr>,
    ordinal: usize,
    socket: Async<UdpSocket>,
    dropped: Cell<u64>,
    /// Where datagrams of the fleet go that come by this socket; nowhere where the copy is one of none.
    fleet: Option<Sender<Vec<u8>>>,
}

impl Peers {
    /// None where the configuration names no peers.
    pub fn bind(
        addresses: &[SocketAddr],
        ordinal: u32,
        fleet: Option<Sender<Vec<u8>>>,
    ) -> io::Result<Option<Rc<Peers>>> {
        let ordinal = ordinal as usize;
        let Some(own) = addresses.get(ordinal) else { return Ok(None) };
        let socket = Async::<UdpSocket>::bind(*own)?;
        let addresses = addresses.to_vec();
        Ok(Some(Rc::new(Peers { addresses, ordinal, socket, dropped: Cell::new(0), fleet })))
    }

    /// Another handle on its socket, to send by.
    pub fn sending(&self) -> io::Result<UdpSocket> {
        self.socket.get_ref().try_clone()
    }

    /// To one peer or to all others; what can't be sent at once is as good as lost.
    pub fn tell(&self, peer: Option<u32>, words: &[u8]) {
        for (number, address) in self.addresses.iter().enumerate() {
            let wanted = peer.is_none_or(|peer| peer as usize == number);
            if wanted && number != self.ordinal {
                let _ = self.socket.get_ref().send_to(words, *address);
            }
        }
    }

    /// Hears peers for ever; what comes from anyone else, or is too long, is dropped.
    pub async fn hear(self: Rc<Self>, queue: Queue) {
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            // A flood is always ready to be read: the owner and the callers must have their turns.
            futures_lite::future::yield_now().await;
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else { continue };
            if let Some(fleet) = self.fleet.as_ref().filter(|_| bytes[..length].first() == Some(&MAGIC)) {
                // Past the bound they are lost, as on any way.
                let _ = fleet.try_send(bytes[..length].to_vec());
                continue;
            }
            let peer = self.addresses.iter().position(|address| *address == from);
            if let Some(peer) =
                peer.filter(|_| length <= MAX_PEER_MESSAGE_BYTES && queue.waiting() < WAITING_MOST)
            {
                queue.tell(Word::Peer(peer as u32, bytes[..length].into()));
                continue;
            }
            self.dropped.set(self.dropped.get() + 1);
            if self.dropped.get().is_power_of_two() {
                let dropped = self.dropped.get();
                tracing::warn!(dropped, %from, length, "datagrams of strangers, too long, or past the bound");
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::owner;
    use async_executor::LocalExecutor;
    use futures_lite::future::or;

    #[test]
    fn peers_hear_each_other_by_number_and_nobody_else() {
        // Held until all three are known: two binds at once would give one port twice.
        let held: Vec<UdpSocket> =
            (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
        let all: Vec<SocketAddr> =
            held.iter().map(|socket| socket.local_addr().expect("an address")).collect();
        drop(held);
        let bind = |at: u32| Peers::bind(&all, at, None).expect("it binds").expect("there are peers");
        let (first, second, third) = (bind(0), bind(1), bind(2));
        assert!(Peers::bind(&[], 0, None).expect("nothing to bind").is_none());
        let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        stranger.send_to(b"strange", all[1]).expect("it goes out");
        first.tell(None, b"one");
        third.tell(Some(0), b"not for the second");
        third.tell(Some(1), &[7; 300]);
        third.tell(Some(1), b"two");
        let (queue, words) = owner::queue();
        let executor = LocalExecutor::new();
        executor.spawn(second.clone().hear(queue)).detach();
        let heard = async {
            let mut heard = Vec::new();
            while heard.len() < 2 {
                if let Ok(Word::Peer(peer, said)) = words.recv().await {
                    heard.push((peer, said));
                }
            }
            heard
        };
        let late = async {
            async_io::Timer::after(std::time::Duration::from_secs(5)).await;
            panic!("not both were heard");
        };
        let heard = async_io::block_on(executor.run(or(heard, late)));
        assert_eq!(heard, [(0, b"one".to_vec()), (2, b"two".to_vec())]);
        assert!(words.is_empty());
        assert_eq!(second.dropped.get(), 2, "the stranger's and the long one are counted");
        // Nobody takes them off the queue: no more than its bound wait there.
        for _ in 0..2 * WAITING_MOST {
            first.tell(Some(1), b"again");
            async_io::block_on(executor.run(futures_lite::future::yield_now()));
        }
        let soon = async_io::Timer::after(std::time::Duration::from_millis(200));
        async_io::block_on(executor.run(soon));
        assert_eq!(words.len(), WAITING_MOST);
    }
}
