//! The callers' side: takes connections, reads commands, hands them to the owner and writes the final word
//! back. It owns the callers' sockets and what is answered to bad input; it must never hold a buffer for a
//! connection that waits, answer a taken command by its own choice, or reach the module but by the queue.

use super::buffers::{Buffer, HOLD_MOST, Place, SIZE, Stock};
use super::endpoints::{Answer, Next, Outgoing, Rest, Window};
use super::http::{self, Bad, Coming, Marked};
use super::leaving::{self, Asker};
use super::owner::{Came, Final, Queue, Word};
use super::within::within;
use crate::clock::Clock;
use crate::launch::{Launch, Verb};
use crate::start::Start;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use futures_lite::future::{or, yield_now};
use landingspread_decisions::host::{Arrival, Id};
use landingspread_decisions::terms::{self, Repeats};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A head that trickles in for longer is given up, and so is a body of which nothing comes for so long.
const READ_WITHIN: Duration = Duration::from_secs(5);
/// A caller who reads nothing for so long has gone.
const WRITE_WITHIN: Duration = Duration::from_secs(20);
/// A body that takes longer than this is no command's.
const BODY_WITHIN: Duration = Duration::from_secs(900);
/// A stranger, who has not brought a whole command yet, has this long from connecting on to bring one.
const STRANGER: Duration = Duration::from_millis(2300);
/// What comes after an error is read off for so long and so far before the connection is closed on it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 1024 * 1024;
/// The process ends before it is killed.
const LINGER_AT_END: Duration = Duration::from_millis(50);
const IDLE_MOST: Duration = Duration::from_secs(300);
/// A new connection's first command follows at once where it comes at all. Longer, a crowd of silent ones would
/// hold up those who come after it.
const FRESH: Duration = Duration::from_millis(20);
/// So many new ones at once that say nothing are a crowd.
const CROWD: usize = 8;
const NO_ROOM_YET: Duration = Duration::from_millis(5);
const LEFT_MOST_MS: u64 = 3_600_000;
const COST_MOST_MS: f64 = 3_600_000.0;
const ID_MOST: usize = 128;

pub struct Callers {
    clock: Clock,
    verbs: Vec<Verb>,
    /// Time limits by now, of commands that say none of their own.
    limits: RefCell<Vec<Duration>>,
    /// Of each verb, for how long repeats are dropped, if it is receipted.
    windows: Vec<Option<Duration>>,
    tenants: Vec<String>,
    cost_header: Option<String>,
    max_open: usize,
    open: Cell<usize>,
    /// Set by SIGTERM: when the last command must have its final word.
    all_due: Cell<Option<Duration>>,
    /// From now on each answer is its connection's last.
    parting: Cell<bool>,
    /// Closed once no more connections are taken, and once no more commands are.
    taking: Gate,
    reading: Gate,
    /// Connections that wait for a command, strangers first and then the longest, each with the word that
    /// closes it.
    idle: RefCell<BTreeMap<(bool, u64), Sender<()>>>,
    /// Strangers who have brought a part of their first command.
    half_way: RefCell<BTreeMap<u64, HalfWay>>,
    /// How many strangers have just come.
    fresh: Cell<usize>,
    /// Numbers given to connections that wait and to commands.
    numbers: Cell<u64>,
    stock: Rc<Stock>,
    queue: Queue,
    start: Rc<Start>,
    executor: Rc<LocalExecutor<'static>>,
}

/// Open until it is closed for good; who waits for that is told.
struct Gate(Sender<()>, Receiver<()>);

impl Gate {
    fn open() -> Gate {
        let (close, closed) = async_channel::bounded(1);
        Gate(close, closed)
    }

    fn close(&self) {
        self.0.close();
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    async fn closed(&self) {
        let _ = self.1.recv().await;
    }
}

/// When the last part came, and the word that closes the connection.
struct HalfWay {
    came: Rc<Cell<Duration>>,
    close: Sender<()>,
}

/// What is said before the module hears of a command.
struct Turned(u16, &'static str);

struct Cmd {
    id: Id,
    verb: usize,
    tenant: usize,
    left: Duration,
    cost: Option<Duration>,
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
        start: Rc<Start>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Callers {
        let window = |verb: &terms::Verb| match verb.repeats {
            // What the module leaves for its own clock is left here too.
            Repeats::Receipted(_) => Some(verb.memory.saturating_sub(launch.terms.resolution)),
            Repeats::Pure | Repeats::Effectful => None,
        };
        Callers {
            clock: launch.clock.clone(),
            verbs: launch.verbs.clone(),
            limits: RefCell::new(launch.verbs.iter().map(|verb| verb.limit).collect()),
            windows: launch.terms.verbs.iter().map(window).collect(),
            tenants: launch.tenants.clone(),
            cost_header: launch.cost_header.clone(),
            max_open: launch.max_open,
            open: Cell::new(0),
            all_due: Cell::new(None),
            parting: Cell::new(false),
            taking: Gate::open(),
            reading: Gate::open(),
            idle: RefCell::default(),
            half_way: RefCell::default(),
            fresh: Cell::new(0),
            numbers: Cell::new(0),
            stock,
            queue,
            start,
            executor,
        }
    }

    /// Takes connections until it is told to end. One that is taken is never dropped unheard, and what the system has
    /// taken by then is taken too, as its clients may have written their commands already.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Some(place) = self.stock.for_callers.take() else {
                let _ = self.close_strangers() || self.close_any();
                Timer::after(NO_ROOM_YET).await;
                continue;
            };
            let ends = async {
                self.taking.closed().await;
                None
            };
            match or(async { Some(listener.accept().await) }, ends).await {
                Some(Ok((stream, _))) => {
                    // Whoever comes when only spare places are left and all others are at work is heard all
                    // the same and turned away in words: a connection left unaccepted would lose what its
                    // client has written to it.
                    let crowded = self.no_place_left().await;
                    self.fresh.set(self.fresh.get() + 1);
                    self.executor.spawn(self.clone().talk(stream, place, crowded)).detach();
                }
                Some(Err(wrong)) => {
                    tracing::warn!("accept: {wrong}");
                    Timer::after(NO_ROOM_YET).await;
                }
                None => return,
            }
        }
    }

    /// Ends `accept` once nobody waits to be taken.
    pub fn take_no_more(&self) {
        self.taking.close();
    }

    /// Makes room where only spare places are left. In a crowd that has just come it waits for who of them says
    /// nothing, rather than close callers who spoke well; for a few it must not, or taking stands still.
    async fn no_place_left(&self) -> bool {
        while self.stock.for_callers.only_spare_ones_left() {
            let crowd = self.close_strangers() || self.fresh.get() >= CROWD;
            if !crowd || self.taking.is_closed() {
                return !self.close_any();
            }
            Timer::after(NO_ROOM_YET).await;
        }
        false
    }

    /// The older half of them: a crowd comes faster than one could be closed for each that is taken.
    fn close_strangers(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let strangers: Vec<_> = idle.range(..(true, 0)).map(|(number, _)| *number).collect();
        for number in &strangers[..strangers.len().div_ceil(2)] {
            if let Some(close) = idle.remove(number) {
                let _ = close.try_send(());
            }
        }
        !strangers.is_empty()
    }

    /// Who is idle loses nothing; who is half way through a command loses that, but has most likely stopped if nothing
    /// came for longest.
    fn close_any(&self) -> bool {
        self.close_longest_idle() || self.close_half_way()
    }

    fn close_half_way(&self) -> bool {
        let mut half_way = self.half_way.borrow_mut();
        let quiet = half_way.iter().min_by_key(|(_, one)| one.came.get()).map(|(number, _)| *number);
        let quiet = quiet.and_then(|number| half_way.remove(&number));
        quiet.is_some_and(|one| one.close.try_send(()).is_ok())
    }

    fn close_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.is_some_and(|(_, close)| close.try_send(()).is_ok())
    }

    /// Another process of this sidecar shares what there is: what waits past this one's part goes.
    pub fn make_room(&self) {
        while self.stock.over_its_part() && self.close_longest_idle() {}
    }

    /// Each answer is its connection's last from now on.
    pub fn part(&self) {
        self.parting.set(true);
    }

    /// Commands are taken as before, but each is due within this span.
    pub fn begin_to_end(&self, within: Duration) {
        let at = self.clock.now() + within;
        self.all_due.set(Some(at));
        self.queue.tell(Word::EndsBy(at));
    }

    /// Closes what waits, makes each answer its connection's last and comes back when nobody is left. Once all that was
    /// taken has its final word, what has come only in part is no longer waited for.
    pub async fn ended(&self) {
        self.part();
        while self.stock.for_callers.taken() > 0 {
            while self.close_longest_idle() {}
            if self.left_to_end() == Some(Duration::ZERO) {
                self.reading.close();
            }
            Timer::after(NO_ROOM_YET).await;
        }
    }

    /// None where no end is in sight.
    fn left_to_end(&self) -> Option<Duration> {
        self.all_due.get().map(|all_due| all_due.saturating_sub(self.clock.now()))
    }

    async fn talk(self: Rc<Self>, stream: Async<TcpStream>, _place: Place, crowded: bool) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let mut since = Some(self.clock.now());
        let mut ahead = None;
        while ahead.is_some() || self.something_comes(&stream, since).await {
            let Some(behind) = self.one_message(&stream, since, crowded, ahead).await else { return };
            (ahead, since) = (behind, None);
            // One who writes ahead and reads as fast is never waited for: all others would wait instead.
            if ahead.is_some() {
                yield_now().await;
            }
        }
    }

    fn number(&self) -> u64 {
        self.numbers.replace(self.numbers.get() + 1)
    }

    /// `since`: when a stranger connected.
    async fn something_comes(&self, stream: &Async<TcpStream>, since: Option<Duration>) -> bool {
        if since.is_some() {
            // A client sends no command again that a new connection has lost: it does not count as idle yet.
            let comes = within(FRESH, stream.readable()).await;
            self.fresh.set(self.fresh.get() - 1);
            if let Some(comes) = comes {
                return comes.is_ok();
            }
        }
        let number = (since.is_none(), self.number());
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.idle.borrow_mut().insert(number, close);
        let comes = async { stream.readable().await.is_ok() };
        let ends = async {
            let _ = closed.recv().await;
            // A command may have come in this very moment.
            matches!(stream.get_ref().peek(&mut [0]), Ok(1))
        };
        let most = since.map_or(IDLE_MOST, |since| self.left_to_a_stranger(since));
        let comes = within(most, or(comes, ends)).await.unwrap_or(false);
        self.idle.borrow_mut().remove(&number);
        comes
    }

    fn left_to_a_stranger(&self, since: Duration) -> Duration {
        (since + STRANGER).saturating_sub(self.clock.now())
    }

    /// `ahead` was written behind the message before this one. What is written behind this one comes back, if the
    /// connection may carry another.
    async fn one_message(
        &self,
        stream: &Rc<Async<TcpStream>>,
        since: Option<Duration>,
        crowded: bool,
        ahead: Option<Buffer>,
    ) -> Option<Option<Buffer>> {
        let Some(buffer) = ahead.or_else(|| self.stock.buffer()) else {
            self.turn_away(stream, &Turned(503, "no buffer is free"), false).await;
            return None;
        };
        let read = async {
            match since {
                Some(since) => self.read_from_stranger(stream, buffer, since).await,
                None => self.read(stream, buffer, READ_WITHIN, &|| ()).await,
            }
        };
        let too_late = async {
            self.reading.closed().await;
            Err(Some(Turned(503, "ending")))
        };
        let read = or(read, too_late).await;
        let (coming, asked) = match read {
            Ok(read) => read,
            Err(None) => return None,
            Err(Some(turned)) => {
                self.turn_away(stream, &turned, false).await;
                return None;
            }
        };
        let ahead = Ahead::new(&self.stock);
        if coming.whole() {
            ahead.add(coming.behind());
        }
        let keep = self.may_keep(&coming, crowded);
        let keep = match asked {
            Asked::Health if self.all_due.get().is_some() => {
                self.turn_away(stream, &Turned(503, "ending"), false).await
            }
            Asked::Health => {
                let ahead = self.say(stream, 200, b"", b"ready\n", keep).await;
                self.start.health_answered();
                ahead
            }
            Asked::Cmd(_) if crowded || self.open.get() >= self.max_open => {
                self.turn_away(stream, &Turned(503, "too many commands are open"), keep).await
            }
            Asked::Cmd(cmd) => {
                self.open.set(self.open.get() + 1);
                let keep = self.carry(stream, cmd, coming, crowded, &ahead).await;
                self.open.set(self.open.get() - 1);
                keep
            }
        };
        ahead.kept(keep)
    }

    /// A stranger half way through a command may have to give way.
    async fn read_from_stranger(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        since: Duration,
    ) -> Result<(Coming, Asked), Option<Turned>> {
        let (close, closed) = async_channel::bounded(1);
        let (number, came) = (self.number(), Rc::new(Cell::new(self.clock.now())));
        self.half_way.borrow_mut().insert(number, HalfWay { came: came.clone(), close });
        let room = async {
            let _ = closed.recv().await;
            tracing::debug!("a stranger half way through a command gave way");
            Err(None)
        };
        let most = self.left_to_a_stranger(since);
        let read = or(self.read(stream, buffer, most, &|| came.set(self.clock.now())), room).await;
        self.half_way.borrow_mut().remove(&number);
        read
    }

    /// Reads a command: all of it, or the beginning of one that is too long to be held. `None`: nobody is there, or is
    /// to be there, to be told what was wrong.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        most: Duration,
        came: &dyn Fn(),
    ) -> Result<(Coming, Asked), Option<Turned>> {
        let head = within(most, Coming::command(stream, buffer, came)).await;
        let mut coming = head.unwrap_or(Err(Bad::Late)).map_err(why)?;
        let asked = self.understand(&coming.head).map_err(Some)?;
        if matches!(asked, Asked::Cmd(_)) {
            self.hold(stream, &mut coming, came).await.map_err(why)?;
        }
        Ok((coming, asked))
    }

    fn may_keep(&self, coming: &Coming, crowded: bool) -> bool {
        coming.keep && coming.whole() && !crowded && !self.parting.get()
    }

    /// Reads a body that is short enough to be held whole, and the beginning of a longer one.
    async fn hold(&self, stream: &Async<TcpStream>, coming: &mut Coming, came: &dyn Fn()) -> Result<(), Bad> {
        if coming.expects && !coming.whole() {
            let go_on = http::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"");
            within(WRITE_WITHIN, go_on).await.unwrap_or(Ok(()))?;
        }
        let long = coming.length().is_some_and(|length| length > HOLD_MOST as u64);
        let most = if long { SIZE } else { HOLD_MOST };
        while !coming.whole() && coming.room(&self.stock, most) {
            within(READ_WITHIN, coming.more(stream)).await.unwrap_or(Err(Bad::Late))?;
            came();
        }
        Ok(())
    }

    fn understand(&self, bytes: &[u8]) -> Result<Asked, Turned> {
        let mut headers = http::no_headers();
        let mut head = httparse::Request::new(&mut headers);
        if head.parse(bytes).is_err() {
            return Err(Turned(400, "this is no HTTP/1.1 message"));
        }
        let (method, path) = (head.method.unwrap_or(""), http::path_of(head.path.unwrap_or("")));
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
            None => self.limits.borrow().get(number).copied().unwrap_or(verb.limit),
            Some(Ok(ms)) if (1..=LEFT_MOST_MS).contains(&ms) => Duration::from_millis(ms),
            Some(_) => return Err(Turned(400, "X-Expires-In-Ms is odd")),
        };
        // A tenant that the settings don't name has no share of its own.
        let tenant =
            header("x-customer").and_then(|name| self.tenants.iter().position(|known| known == name));
        let tenant = tenant.unwrap_or(self.tenants.len());
        let cost = match self.cost_header.as_ref().and_then(|name| header(name)).map(str::parse::<f64>) {
            None => None,
            Some(Ok(ms)) if ms > 0.0 && ms < COST_MOST_MS => Some(Duration::from_secs_f64(ms / 1000.0)),
            Some(_) => return Err(Turned(400, "the command's cost is odd")),
        };
        let head = outgoing_head(method, path, head.headers);
        Ok(Asked::Cmd(Cmd { id, verb: number, tenant, left, cost, head }))
    }

    /// For commands whose head comes after this.
    pub fn limits_changed(&self, limits: Vec<Duration>) {
        *self.limits.borrow_mut() = limits;
    }

    fn due(&self, left: Duration) -> Duration {
        let due = self.clock.now() + left;
        self.all_due.get().map_or(due, |all_due| all_due.min(due))
    }

    /// `coming` is whole, or too long to be held: then the rest of it goes on as it comes.
    async fn carry(
        &self,
        stream: &Rc<Async<TcpStream>>,
        cmd: Cmd,
        mut coming: Coming,
        crowded: bool,
        ahead: &Ahead,
    ) -> bool {
        let Cmd { id, verb, tenant, left, cost, mut head } = cmd;
        // A command's time counts from its last byte.
        let (whole, number) = (coming.whole(), self.number());
        let due = if whole { self.due(left) } else { self.clock.now() + BODY_WITHIN };
        let arrival = Arrival { id: id.clone(), verb, due, coming: !whole, tenant, cost };
        let careful = !whole || self.verbs[verb].method != "GET";
        let (marked, framing) = match coming.length() {
            Some(0) if self.verbs[verb].method == "GET" => (Marked::Plain, String::new()),
            Some(length) => (Marked::Plain, format!("Content-Length: {length}\r\n")),
            None => (Marked::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
        };
        head.extend_from_slice(framing.as_bytes());
        let body = coming.take(&self.stock).await;
        let (give, next) = async_channel::bounded(1);
        let rest = (!whole).then(|| Rest { next, marked, left, spent: Cell::new(false) });
        let window = Window::of(self.windows.get(verb).copied().flatten());
        let outgoing = Outgoing { head, body, rest, careful, asker: Asker::of(stream), window };
        let (caller, word) = async_channel::bounded(1);
        self.queue.tell(Word::Came(Box::new(Came { number, arrival, outgoing, caller })));
        let heard = async { word.recv().await.map_err(|_| Bad::Ended) };
        let goes = async {
            if !whole {
                let too_late = async {
                    self.reading.closed().await;
                    Err(Bad::Late)
                };
                or(self.feed(stream, &mut coming, &give), too_late).await?;
                let due = self.due(left);
                self.queue.tell(Word::Whole(id.clone(), number, due));
                ahead.add(coming.behind());
                let end = async {
                    // Nobody takes it any more where the command is over.
                    let _ = give.send(Next::End(self.clock.instant(due))).await;
                    Ok(())
                };
                or(end, gone(stream)).await?;
            }
            ahead.until_gone(stream).await;
            Err(Bad::Ended)
        };
        let word = match or(heard, goes).await {
            Ok(word) => word,
            Err(wrong) => {
                self.queue.tell(Word::Left(id, number));
                if let Some(turned) = why(wrong) {
                    self.turn_away(stream, &turned, false).await;
                }
                return false;
            }
        };
        let keep = self.may_keep(&coming, crowded) && !ahead.lost.get();
        let Some(keep) = self.last_word(stream, word, verb, keep, coming.minor).await else { return false };
        if !keep {
            self.linger(stream).await;
        }
        keep
    }

    /// Hands on the rest of a body, piece by piece, as fast as it is taken.
    async fn feed(
        &self,
        stream: &Async<TcpStream>,
        coming: &mut Coming,
        give: &Sender<Next>,
    ) -> Result<(), Bad> {
        while !coming.whole() {
            within(READ_WITHIN, coming.more(stream)).await.unwrap_or(Err(Bad::Late))?;
            let hand_on = async {
                for piece in coming.take(&self.stock).await {
                    if give.send(Next::Piece(piece)).await.is_err() {
                        // The command is over, and its final word on its way.
                        futures_lite::future::pending::<()>().await;
                    }
                }
                Ok(())
            };
            // Where nothing is taken nothing is read, and the caller's leaving would go unseen.
            or(hand_on, gone(stream)).await?;
        }
        Ok(())
    }

    /// Whether the connection is kept; None where it ends in the middle of an answer.
    async fn last_word(
        &self,
        stream: &Async<TcpStream>,
        word: Final,
        verb: usize,
        keep: bool,
        minor: u8,
    ) -> Option<bool> {
        match word {
            Final::Answered(answer) => self.pass_on(stream, *answer, verb, keep, minor).await,
            Final::Declined(come_back) => {
                let come_back = come_back.map(|span| format!("Retry-After: {:.3}\r\n", span.as_secs_f64()));
                let come_back = come_back.as_deref().unwrap_or("").as_bytes();
                Some(self.say(stream, 503, come_back, b"declined\n", keep).await)
            }
            Final::Terminated => Some(self.say(stream, 502, b"", b"terminated\n", keep).await),
        }
    }

    /// Passes on an answer, and what of it is still to come as it comes.
    async fn pass_on(
        &self,
        stream: &Async<TcpStream>,
        mut answer: Answer,
        verb: usize,
        keep: bool,
        minor: u8,
    ) -> Option<bool> {
        let length = answer.coming.length();
        let (marked, framing) = match length {
            Some(length) => (Marked::Plain, format!("Content-Length: {length}\r\n")),
            None if minor > 0 => (Marked::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
            // To a caller of HTTP/1.0 the end of the connection is the end of the answer.
            None => (Marked::Plain, String::new()),
        };
        let ends_it = length.is_none() && marked == Marked::Plain;
        let keep = keep && !ends_it;
        let head = answer_head(&answer.coming.head, &framing, keep);
        let mut written = self.write(stream, &head, &answer, marked).await;
        while written && !answer.coming.whole() {
            answer.coming.drop_taken();
            if answer.more().await.is_err() {
                self.queue.tell(Word::Broke(answer.server().clone(), verb));
                if ends_it {
                    // Only a reset tells that this is not the end.
                    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
                }
                return None;
            }
            written = self.write(stream, b"", &answer, marked).await;
            // Where both sides are as fast as this one nothing here waits, and all others would.
            yield_now().await;
        }
        let ended = written && within(WRITE_WITHIN, http::write_end(stream, marked)).await.is_some();
        answer.finish();
        ended.then_some(keep)
    }

    async fn write(&self, stream: &Async<TcpStream>, head: &[u8], answer: &Answer, marked: Marked) -> bool {
        let writing = http::write_part(stream, head, answer.coming.slices(), marked);
        matches!(within(WRITE_WITHIN, writing).await, Some(Ok(())))
    }

    async fn turn_away(&self, stream: &Async<TcpStream>, turned: &Turned, keep: bool) -> bool {
        let Turned(status, why) = turned;
        tracing::debug!(status, why, "turned away");
        let keep = self.say(stream, *status, b"", format!("{why}\n").as_bytes(), keep).await;
        if !keep {
            self.linger(stream).await;
        }
        keep
    }

    /// Closing on bytes that nobody read resets the connection, and with it the answer on its way.
    async fn linger(&self, mut stream: &Async<TcpStream>) {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        let read_off = async {
            let (mut bytes, mut all) = ([0; 4096], 0);
            while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                all += count;
                if all > LINGER_MOST {
                    break;
                }
            }
        };
        let left = self.left_to_end().map_or(LINGER, |left| left + LINGER_AT_END);
        within(LINGER.min(left), read_off).await;
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
        let mut head = format!("HTTP/1.1 {status} {}\r\n{close}", http::reason(status)).into_bytes();
        head.extend_from_slice(more);
        head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        matches!(within(WRITE_WITHIN, http::write(stream, &head, body)).await, Some(Ok(()))) && keep
    }
}

/// What a caller writes ahead of its answer: the beginning of its next command, a buffer of it at most.
struct Ahead {
    stock: Rc<Stock>,
    bytes: RefCell<Option<Buffer>>,
    /// No buffer was free for it.
    lost: Cell<bool>,
}

impl Ahead {
    fn new(stock: &Rc<Stock>) -> Ahead {
        Ahead { stock: stock.clone(), bytes: RefCell::default(), lost: Cell::new(false) }
    }

    fn add(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut held = self.bytes.borrow_mut();
        if held.is_none() {
            *held = self.stock.buffer();
        }
        let room = held.as_mut().and_then(|buffer| buffer.spare().get_mut(..bytes.len()));
        match room {
            Some(room) => room.copy_from_slice(bytes),
            None => return self.lost.set(true),
        }
        held.iter_mut().for_each(|buffer| buffer.fill(bytes.len()));
    }

    /// How much more may be read; nothing where what is held is full, or there is no buffer to hold it.
    fn room(&self) -> usize {
        let mut held = self.bytes.borrow_mut();
        if held.is_none() {
            *held = self.stock.buffer();
        }
        held.as_mut().filter(|_| !self.lost.get()).map_or(0, |held| held.spare().len())
    }

    /// Comes back when the caller has left. What it writes ahead would hide that, so it is read as far as there is room;
    /// past that the end is looked for behind what is not read.
    async fn until_gone(&self, mut stream: &Async<TcpStream>) {
        let mut bytes = [0; 1024];
        while matches!(stream.peek(&mut [0]).await, Ok(1..)) {
            let most = self.room().min(bytes.len());
            if most == 0 {
                if leaving::ended(stream) {
                    return;
                }
                Timer::after(leaving::LOOK_EVERY).await;
                continue;
            }
            match stream.read(&mut bytes[..most]).await {
                Ok(count @ 1..) => self.add(&bytes[..count]),
                _ => return,
            }
        }
    }

    fn kept(self, keep: bool) -> Option<Option<Buffer>> {
        (keep && !self.lost.get()).then(|| self.bytes.into_inner())
    }
}

/// Ends with the caller's connection, seen without reading from it.
async fn gone(stream: &Async<TcpStream>) -> Result<(), Bad> {
    leaving::until_ended(stream).await;
    Err(Bad::Ended)
}

/// What is said of a message that is none; None where its sender has gone.
fn why(bad: Bad) -> Option<Turned> {
    match bad {
        Bad::Malformed => Some(Turned(400, "this is no HTTP/1.1 message")),
        Bad::TooLarge => Some(Turned(413, "a head is too large")),
        Bad::Late => Some(Turned(408, "it took too long to come")),
        Bad::Ended | Bad::Broken => None,
    }
}

fn add_header(to: &mut Vec<u8>, header: &httparse::Header<'_>) {
    to.extend_from_slice(header.name.as_bytes());
    to.extend_from_slice(b": ");
    to.extend_from_slice(header.value);
    to.extend_from_slice(b"\r\n");
}

fn outgoing_head(method: &str, path: &str, headers: &[httparse::Header<'_>]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    // Each relay tells the time that it has itself.
    let passed = |header: &&httparse::Header<'_>| {
        http::passes_on(header.name) && !header.name.eq_ignore_ascii_case("x-expires-in-ms")
    };
    headers.iter().filter(passed).for_each(|header| add_header(&mut head, header));
    head
}

fn answer_head(of: &[u8], framing: &str, keep: bool) -> Vec<u8> {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let mut head = format!("HTTP/1.1 200 OK\r\n{close}").into_bytes();
    let mut headers = http::no_headers();
    let mut rsp = httparse::Response::new(&mut headers);
    // It was parsed once already, when its end was looked for.
    if rsp.parse(of).is_ok() {
        let passed = rsp.headers.iter().filter(|header| http::passes_on(header.name));
        passed.for_each(|header| add_header(&mut head, header));
    }
    head.extend_from_slice(framing.as_bytes());
    head.extend_from_slice(b"\r\n");
    head
}
