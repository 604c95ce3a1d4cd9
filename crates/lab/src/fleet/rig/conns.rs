//! The paths of connections from copies to servers: a listener for each pair, so that who calls whom is known. What a cut
//! holds up goes on when it is over; a new connection through a cut is taken by the lab and led nowhere until then.

use super::Sky;
use crate::fleet::weather::Party;
use crate::fleet::zones::Hit;
use crate::sockets::{bind_loopback, read};
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
const CHUNK: usize = 16 << 10;
const LOOK: Duration = Duration::from_millis(20);
const DIAL: Duration = Duration::from_millis(200);

/// What copies sent to servers, and when.
#[derive(Clone, Default)]
pub struct Sent(Arc<Mutex<Vec<(Instant, Hit)>>>);

/// So much is remembered of a run.
const HITS_MOST: usize = 4_000_000;

impl Sent {
    fn note(&self, from: Party, to: Party, bytes: &[u8]) {
        let (Party::Copy(copy), Party::Server(server)) = (from, to) else { return };
        let check = bytes.starts_with(b"GET /ping") || bytes.starts_with(b"GET /_load");
        let mut hits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if hits.len() < HITS_MOST {
            hits.push((Instant::now(), Hit { at: 0.0, copy, server, check }));
        }
    }

    /// All of it, by the seconds since a moment.
    pub fn since(&self, began: Instant) -> Vec<Hit> {
        let hits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |at: &Instant| at.saturating_duration_since(began).as_secs_f64();
        hits.iter().map(|(when, hit)| Hit { at: at(when), ..*hit }).collect()
    }
}

/// One way between a copy and a server, for as long as the run goes.
#[derive(Clone)]
struct Way {
    from: Party,
    to: Party,
    sky: Sky,
    over: Arc<AtomicBool>,
    sent: Sent,
}

/// The address by which a copy reaches a server.
pub fn path(
    copy: usize,
    server: usize,
    behind: SocketAddr,
    sky: &Sky,
    over: &Arc<AtomicBool>,
    sent: &Sent,
) -> io::Result<SocketAddr> {
    let listener = bind_loopback()?;
    let address = listener.local_addr()?;
    let (from, to) = (Party::Copy(copy), Party::Server(server));
    let way = Way { from, to, sky: sky.clone(), over: over.clone(), sent: sent.clone() };
    thread::Builder::new().stack_size(STACK).spawn(move || way.listen(&listener, behind))?;
    Ok(address)
}

/// Ends whoever waits for a connection at the address.
pub fn wake(address: SocketAddr) {
    let _ = TcpStream::connect_timeout(&address, DIAL);
}

impl Way {
    fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn listen(&self, listener: &TcpListener, behind: SocketAddr) {
        while let Ok((near, _)) = listener.accept() {
            if self.over() {
                return;
            }
            let way = self.clone();
            let lead = move || way.lead(near, behind);
            // Without memory for a thread the connection ends.
            let _ = thread::Builder::new().stack_size(STACK).spawn(lead);
        }
    }

    fn lead(&self, near: TcpStream, behind: SocketAddr) {
        // What a copy writes into a new connection is sent when it is written, though nobody reads it yet.
        let noted = self.sky.fate(self.from, self.to).cut && self.note_first(&near);
        if !self.passes(self.from, self.to, &near) {
            return;
        }
        let Ok(far) = TcpStream::connect_timeout(&behind, DIAL) else { return reset(&near) };
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let way = self.clone();
        let back = move || way.pump(far_too, near_too, (way.to, way.from), true);
        if thread::Builder::new().stack_size(STACK).spawn(back).is_ok() {
            self.pump(near, far, (self.from, self.to), noted);
        }
    }

    /// Whether anything was written soon after the connection began.
    fn note_first(&self, near: &TcpStream) -> bool {
        let mut first = [0; 16];
        let _ = near.set_read_timeout(Some(LOOK * 5));
        match near.peek(&mut first) {
            Ok(length) if length > 0 => {
                self.sent.note(self.from, self.to, &first[..length]);
                true
            }
            _ => false,
        }
    }

    /// Waits out a cut and a delay; false where the connection is over meanwhile.
    fn passes(&self, from: Party, to: Party, stream: &TcpStream) -> bool {
        loop {
            let fate = self.sky.fate(from, to);
            if fate.reset || self.over() {
                reset(stream);
                return false;
            }
            if !fate.cut {
                thread::sleep(fate.delay);
                return true;
            }
            thread::sleep(LOOK);
        }
    }

    /// `noted`: the first that comes has been noted.
    fn pump(
        &self,
        mut source: TcpStream,
        mut target: TcpStream,
        (from, to): (Party, Party),
        mut noted: bool,
    ) {
        let mut bytes = vec![0; CHUNK];
        let _ = source.set_read_timeout(Some(LOOK * 5));
        loop {
            match read(&mut source, &mut bytes) {
                Ok(0) => break,
                Ok(length) => {
                    if !std::mem::take(&mut noted) {
                        self.sent.note(from, to, &bytes[..length]);
                    }
                    if !self.passes(from, to, &target) || target.write_all(&bytes[..length]).is_err() {
                        break;
                    }
                }
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {
                    if self.over() || self.sky.fate(from, to).reset {
                        reset(&target);
                        break;
                    }
                }
                Err(_) => {
                    reset(&target);
                    break;
                }
            }
        }
        // An end is a word like any other, and crosses no cut.
        if self.passes(from, to, &target) {
            let _ = target.shutdown(Shutdown::Write);
        }
        let _ = source.shutdown(Shutdown::Read);
    }
}

/// The other side sees a reset and no orderly end.
fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
