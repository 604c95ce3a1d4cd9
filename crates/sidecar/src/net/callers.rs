//! The callers' side: takes connections, reads commands, hands them to the owner and writes the final word
//! back. It owns the callers' sockets and what is answered to bad input; it must never hold a buffer for a
//! connection that waits, answer a taken command by its own choice, or reach the module but by the queue.

use super::buffers::{Buffer, Place, Stock};
use super::discovery::Clock;
use super::endpoints::Outgoing;
use super::http::{self, Bad, Message};
use super::owner::{Came, Final, Queue, Word};
use super::within;
use crate::launch::{Launch, Verb};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use landingspread_decisions::host::{Arrival, Id};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A command whose bytes trickle in for longer is given up.
const READ_WITHIN: Duration = Duration::from_secs(10);
const WRITE_WITHIN: Duration = Duration::from_secs(5);
const LINGER: Duration = Duration::from_secs(1);
const IDLE_MOST: Duration = Duration::from_secs(300);
const FRESH: Duration = Duration::from_millis(500);
const NO_ROOM_YET: Duration = Duration::from_millis(5);
const LEFT_MOST_MS: u64 = 3_600_000;
const ID_MOST: usize = 128;

pub struct Callers {
    clock: Clock,
    verbs: Vec<Verb>,
    tenants: Vec<String>,
    max_open: usize,
    open: Cell<usize>,
    /// Set by SIGTERM: when the last command must have its final word.
    all_due: Cell<Option<Duration>>,
    /// From now on each answer is its connection's last.
    parting: Cell<bool>,
    /// Connections that wait for a command, longest first, each with the word that closes it.
    idle: RefCell<BTreeMap<u64, Sender<()>>>,
    idled: Cell<u64>,
    stock: Rc<Stock>,
    queue: Queue,
    executor: Rc<LocalExecutor<'static>>,
}

/// What is said before the module hears of a command.
struct Turned(u16, &'static str);

struct Cmd {
    id: Id,
    verb: usize,
    tenant: usize,
    left: Duration,
    head: Vec<u8>,
}

/// What a message asks for.
enum Asked {
    Health,
    Cmd(Cmd),
}

impl Callers {
    pub fn new(
        launch: &Launch,
        stock: Rc<Stock>,
        queue: Queue,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Callers {
        Callers {
            clock: launch.clock.clone(),
            verbs: launch.verbs.clone(),
            tenants: launch.tenants.clone(),
            max_open: launch.max_open,
            open: Cell::new(0),
            all_due: Cell::new(None),
            parting: Cell::new(false),
            idle: RefCell::default(),
            idled: Cell::new(0),
            stock,
            queue,
            executor,
        }
    }

    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Some(place) = self.stock.for_callers.take() else {
                self.close_longest_idle();
                Timer::after(NO_ROOM_YET).await;
                continue;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Whoever comes when only spare places are left and all others are at work is heard all
                    // the same and turned away in words: a connection left unaccepted would lose what its
                    // client has written to it.
                    let crowded = self.stock.for_callers.only_spare_ones_left() && !self.close_longest_idle();
                    self.executor.spawn(self.clone().talk(stream, place, crowded)).detach();
                }
                Err(wrong) => {
                    tracing::warn!("accept: {wrong}");
                    Timer::after(NO_ROOM_YET).await;
                }
            }
        }
    }

    fn close_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.is_some_and(|(_, close)| close.try_send(()).is_ok())
    }

    /// Commands are taken as before, but each is due within this span.
    pub fn begin_to_end(&self, within: Duration) {
        self.all_due.set(Some(self.clock.now() + within));
    }

    /// Closes what waits, makes each answer its connection's last and comes back when nobody is left.
    pub async fn ended(&self) {
        self.parting.set(true);
        while self.stock.for_callers.taken() > 0 {
            while self.close_longest_idle() {}
            Timer::after(NO_ROOM_YET).await;
        }
    }

    async fn talk(self: Rc<Self>, stream: Async<TcpStream>, _place: Place, crowded: bool) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut fresh = true;
        while self.something_comes(&stream, fresh).await && self.one_message(&stream, crowded).await {
            fresh = false;
        }
    }

    async fn something_comes(&self, stream: &Async<TcpStream>, fresh: bool) -> bool {
        if fresh {
            // Its first command is most likely on its way already, and a client sends no command again that a
            // new connection has lost: such a one does not count as idle yet.
            if let Some(comes) = within(FRESH, stream.readable()).await {
                return comes.is_ok();
            }
        }
        let number = self.idled.get();
        self.idled.set(number + 1);
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.idle.borrow_mut().insert(number, close);
        let comes = async { stream.readable().await.is_ok() };
        let ends = async {
            let _ = closed.recv().await;
            // A command may have come in this very moment.
            matches!(stream.get_ref().peek(&mut [0]), Ok(1))
        };
        let comes = within(IDLE_MOST, or(comes, ends)).await.unwrap_or(false);
        self.idle.borrow_mut().remove(&number);
        comes
    }

    /// Whether the connection may carry another.
    async fn one_message(&self, stream: &Async<TcpStream>, crowded: bool) -> bool {
        let came = self.clock.now();
        let Some(buffer) = self.stock.buffer() else {
            return self.turn_away(stream, &Turned(503, "no buffer is free"), false).await;
        };
        let message = match self.read(stream, buffer).await {
            Ok(message) => message,
            Err(Some(turned)) => {
                self.turn_away(stream, &turned, false).await;
                linger(stream).await;
                return false;
            }
            Err(None) => return false,
        };
        let keep = message.keep && !crowded && !self.parting.get();
        match self.understand(&message) {
            Err(turned) => self.turn_away(stream, &turned, keep).await,
            Ok(Asked::Health) if self.all_due.get().is_some() => {
                self.turn_away(stream, &Turned(503, "ending"), false).await
            }
            Ok(Asked::Health) => self.say(stream, 200, b"", b"ready\n", keep).await,
            Ok(Asked::Cmd(_)) if crowded || self.open.get() >= self.max_open => {
                self.turn_away(stream, &Turned(503, "too many commands are open"), keep).await
            }
            Ok(Asked::Cmd(cmd)) => {
                self.open.set(self.open.get() + 1);
                let keep = self.carry(stream, cmd, message, came).await;
                self.open.set(self.open.get() - 1);
                keep
            }
        }
    }

    /// `None`: nobody is there to be told what was wrong.
    async fn read(&self, stream: &Async<TcpStream>, buffer: Buffer) -> Result<Message, Option<Turned>> {
        match within(READ_WITHIN, http::read_command(stream, buffer)).await {
            Some(Ok(message)) => Ok(message),
            Some(Err(Bad::Malformed)) => Err(Some(Turned(400, "this is no HTTP/1.1 message"))),
            Some(Err(Bad::TooLarge)) => Err(Some(Turned(413, "a head or body is too large"))),
            Some(Err(Bad::Ended | Bad::Broken)) => Err(None),
            None => Err(Some(Turned(408, "it took too long to come"))),
        }
    }

    fn understand(&self, message: &Message) -> Result<Asked, Turned> {
        let mut headers = http::no_headers();
        let mut head = httparse::Request::new(&mut headers);
        if head.parse(message.head()).is_err() {
            return Err(Turned(400, "this is no HTTP/1.1 message"));
        }
        let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
        let first = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        if method == "GET" && path == "/_health" {
            return Ok(Asked::Health);
        }
        let Some((number, verb)) = self.verbs.iter().enumerate().find(|(_, verb)| verb.name == first) else {
            return Err(Turned(404, "no such verb"));
        };
        if method != verb.method {
            return Err(Turned(405, "the verb takes another method"));
        }
        let header = |name: &str| http::header(head.headers, name);
        if verb.receipted && header("idempotency-key").is_none_or(str::is_empty) {
            return Err(Turned(400, "a receipted verb needs an Idempotency-Key"));
        }
        let plain = |id: &&str| (1..=ID_MOST).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
        let id = header("x-trace-id").filter(plain);
        let id = id.ok_or(Turned(400, "X-Trace-Id is missing or odd"))?.into();
        let left = match header("x-expires-in-ms").map(str::parse::<u64>) {
            None => verb.limit,
            Some(Ok(ms)) if (1..=LEFT_MOST_MS).contains(&ms) => Duration::from_millis(ms),
            Some(_) => return Err(Turned(400, "X-Expires-In-Ms is odd")),
        };
        // A tenant that the settings don't name has no share of its own.
        let tenant =
            header("x-customer").and_then(|name| self.tenants.iter().position(|known| known == name));
        let tenant = tenant.unwrap_or(self.tenants.len());
        let head = outgoing_head(method, path, head.headers, message.body().len());
        Ok(Asked::Cmd(Cmd { id, verb: number, tenant, left, head }))
    }

    async fn carry(&self, stream: &Async<TcpStream>, cmd: Cmd, message: Message, came: Duration) -> bool {
        let keep = message.keep;
        let Cmd { id, verb, tenant, left, head } = cmd;
        let due = self.all_due.get().map_or(came + left, |all_due| all_due.min(came + left));
        let arrival = Arrival { id: id.clone(), verb, due, tenant };
        let (caller, word) = async_channel::bounded(1);
        let outgoing = Outgoing { head, message };
        self.queue.tell(Word::Came(Box::new(Came { arrival, outgoing, caller })));
        let heard = async { word.recv().await.ok() };
        let left = async {
            gone(stream).await;
            None
        };
        let Some(word) = or(heard, left).await else {
            self.queue.tell(Word::Left(id));
            return false;
        };
        let keep = keep && !self.parting.get();
        match word {
            Final::Answered(answer) => self.pass_on(stream, &answer, keep).await,
            Final::Declined(come_back) => {
                let come_back = come_back.map(|span| format!("Retry-After: {:.3}\r\n", span.as_secs_f64()));
                self.say(stream, 503, come_back.as_deref().unwrap_or("").as_bytes(), b"declined\n", keep)
                    .await
            }
            Final::Terminated => self.say(stream, 502, b"", b"terminated\n", keep).await,
        }
    }

    async fn pass_on(&self, stream: &Async<TcpStream>, answer: &Message, keep: bool) -> bool {
        let mut headers = http::no_headers();
        let mut rsp = httparse::Response::new(&mut headers);
        let mut passed = Vec::new();
        if rsp.parse(answer.head()).is_ok() {
            for header in rsp.headers.iter().filter(|header| http::passes_on(header.name)) {
                add_header(&mut passed, header);
            }
        }
        self.say(stream, 200, &passed, answer.body(), keep).await
    }

    async fn turn_away(&self, stream: &Async<TcpStream>, turned: &Turned, keep: bool) -> bool {
        let Turned(status, why) = turned;
        tracing::debug!(status, why, "turned away");
        self.say(stream, *status, b"", format!("{why}\n").as_bytes(), keep).await
    }

    async fn say(
        &self,
        stream: &Async<TcpStream>,
        status: u16,
        more: &[u8],
        body: &[u8],
        keep: bool,
    ) -> bool {
        let close = if keep { "" } else { "Connection: close\r\n" };
        let length = body.len();
        let mut head = format!("HTTP/1.1 {status} {}\r\n{close}", reason(status)).into_bytes();
        head.extend_from_slice(more);
        head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        matches!(within(WRITE_WITHIN, http::write(stream, &head, body)).await, Some(Ok(()))) && keep
    }
}

async fn gone(stream: &Async<TcpStream>) {
    if let Ok(1) = stream.peek(&mut [0]).await {
        // It has written ahead; its end cannot be seen past that.
        futures_lite::future::pending::<()>().await;
    }
}

/// Closing on bytes that nobody read resets the connection, and with it the answer on its way.
async fn linger(mut stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let read_off = async {
        let mut bytes = [0; 4096];
        while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
    };
    within(LINGER, read_off).await;
}

fn add_header(to: &mut Vec<u8>, header: &httparse::Header<'_>) {
    to.extend_from_slice(header.name.as_bytes());
    to.extend_from_slice(b": ");
    to.extend_from_slice(header.value);
    to.extend_from_slice(b"\r\n");
}

fn outgoing_head(method: &str, path: &str, headers: &[httparse::Header<'_>], length: usize) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    // Each relay tells the time that it has itself.
    let passed = |header: &&httparse::Header<'_>| {
        http::passes_on(header.name) && !header.name.eq_ignore_ascii_case("x-expires-in-ms")
    };
    headers.iter().filter(passed).for_each(|header| add_header(&mut head, header));
    if method != "GET" || length > 0 {
        head.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    head
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}
