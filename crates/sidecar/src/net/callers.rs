//! The callers' side: takes connections, reads commands, hands them to the owner and writes the final word
//! back. It owns the callers' sockets and what is answered to bad input; it must never hold a buffer for a
//! connection that waits, answer a taken command by its own choice, or reach the module but by the queue.

use super::attempts::{AttemptGuard, RepeatRule};
use super::buffers::{Buffer, HOLD_MOST, Place, SIZE, Stock};
use super::endpoints::{Answer, Next, Outgoing, Rest};
use super::http::{self, Bad, Coming, Marked};
use super::leaving::{self, Asker};
use super::local_failure::{Cause, Repeated, cause};
use super::owner::{Came, Final, Queue, Word};
use super::pool::Pool;
use super::read_ahead::ReadAhead;
use super::request::{Asked, Reader, Rejection, Request, answer_head, rejection, rejection_of};
use super::timeout::timeout;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::counters::{self, CloseReason, RefusalReason};
use crate::invariants::must_hold;
use crate::start::Start;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use futures_lite::future::{or, yield_now};
use landingspread_decisions::host::RequestArrival;
use landingspread_decisions::settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A head that trickles in for longer is given up.
const HEAD_WITHIN: Duration = Duration::from_secs(5);
/// A client of which nothing comes for so long in the middle of a request has stopped: it is owed a word within 3 s.
const STALLED: Duration = Duration::from_millis(2300);
/// The same once a new client's time for its first request is over.
const STALLED_LATE: Duration = Duration::from_millis(500);
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
/// A connection that gives way has done so by then.
const NO_DESCRIPTOR_YET: Duration = Duration::from_millis(1);

pub struct Callers {
    clock: Clock,
    reader: Reader,
    /// Time limits by now, of commands that say none of their own.
    limits: RefCell<Vec<Duration>>,
    /// Of each verb, what its requests' further attempts go by.
    repeat_rules: Vec<RepeatRule>,
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
    pool: Rc<Pool>,
    failed_accepts: Repeated,
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

impl Callers {
    pub fn new(
        launch: &Configuration,
        stock: Rc<Stock>,
        queue: Queue,
        start: Rc<Start>,
        pool: Rc<Pool>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Callers {
        let repeat_rule = |verb: &settings::RequestClass| RepeatRule {
            repeats: verb.retry_safety,
            // What the module leaves for its own clock is left here too.
            window: verb.dedup_window.saturating_sub(launch.policy.timer_resolution),
            parallel: launch.policy.capabilities.hedging,
        };
        let reader = Reader {
            verbs: launch.classes.clone(),
            tenants: launch.tenants.clone(),
            cost_header: launch.work_header.clone(),
        };
        Callers {
            clock: launch.clock.clone(),
            reader,
            limits: RefCell::new(launch.classes.iter().map(|verb| verb.time_limit).collect()),
            repeat_rules: launch.policy.classes.iter().map(repeat_rule).collect(),
            max_open: launch.max_open_requests,
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
            pool,
            failed_accepts: Repeated::default(),
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
                Some(Err(wrong)) => self.accept_failed(&wrong).await,
                None => return,
            }
        }
    }

    /// Whoever waits at the listener has most likely written a request, and nobody has it yet: what rests gives way.
    async fn accept_failed(&self, wrong: &std::io::Error) {
        self.failed_accepts.add("accept", wrong);
        match cause(wrong) {
            Cause::Passing => yield_now().await,
            Cause::Descriptors => {
                // Who is half way through a request is no more to blame than who waits.
                let gives_way =
                    self.pool.close_longest_kept() || self.close_strangers() || self.close_longest_idle();
                Timer::after(if gives_way { NO_DESCRIPTOR_YET } else { NO_ROOM_YET }).await;
            }
            Cause::Machine | Cause::Elsewhere => {
                Timer::after(NO_ROOM_YET).await;
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
        let ahead = ReadAhead::new(&self.stock, &self.clock);
        let why = loop {
            if ahead.is_empty()
                && let Err(why) = self.something_comes(&stream, since).await
            {
                break why;
            }
            if let Err(why) = self.one_message(&stream, since, crowded, &ahead).await {
                break why;
            }
            since = None;
            // One who writes ahead and reads as fast is never waited for: all others would wait instead.
            if !ahead.is_empty() {
                yield_now().await;
            }
        };
        // Whoever has left or has asked for the end wants no answer; what stands behind half an answer cannot have one.
        let owed = !matches!(
            why,
            CloseReason::ClientLeft
                | CloseReason::ClientAsked
                | CloseReason::BadRequest
                | CloseReason::AnswerBroken
        );
        must_hold!(
            Closing,
            !(owed && ahead.holds_whole_request()),
            "closed as {} over a request",
            why.name()
        );
        counters::connection_closed(why);
    }

    fn number(&self) -> u64 {
        self.numbers.replace(self.numbers.get() + 1)
    }

    /// `since`: when a stranger connected. An error is why the connection ends instead.
    async fn something_comes(
        &self,
        stream: &Async<TcpStream>,
        since: Option<Duration>,
    ) -> Result<(), CloseReason> {
        if since.is_some() {
            // A client sends no command again that a new connection has lost: it does not count as idle yet.
            let comes = timeout(FRESH, stream.readable()).await;
            self.fresh.set(self.fresh.get() - 1);
            if let Some(comes) = comes {
                return comes.map_err(|_| CloseReason::ClientLeft);
            }
        }
        let number = (since.is_none(), self.number());
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.idle.borrow_mut().insert(number, close);
        let comes = async { stream.readable().await.is_ok() };
        let ends = async {
            let _ = closed.recv().await;
            false
        };
        let most = since.map_or(IDLE_MOST, |since| self.left_to_a_stranger(since));
        let comes = timeout(most, or(comes, ends)).await.unwrap_or(false);
        self.idle.borrow_mut().remove(&number);
        // A request may have come in the very moment in which its connection was to end.
        if comes || leaving::has_unread(stream) {
            return Ok(());
        }
        Err(if self.parting.get() { CloseReason::Shutdown } else { CloseReason::Idle })
    }

    fn left_to_a_stranger(&self, since: Duration) -> Duration {
        (since + STRANGER).saturating_sub(self.clock.now())
    }

    /// Answers the next message. An error is why the connection ends with it.
    async fn one_message(
        &self,
        stream: &Rc<Async<TcpStream>>,
        since: Option<Duration>,
        crowded: bool,
        ahead: &ReadAhead,
    ) -> Result<(), CloseReason> {
        let Some(buffer) = ahead.take().or_else(|| self.stock.buffer()) else {
            let _ = self.reject(stream, &rejection(503, "no buffer is free"), false).await;
            counters::refused("", RefusalReason::NoBuffer);
            return Err(CloseReason::Crowded);
        };
        let read = async {
            match since {
                Some(since) => self.read_from_stranger(stream, buffer, since).await,
                None => self.read(stream, buffer, None, &Cell::new(self.clock.now())).await,
            }
        };
        let too_late = async {
            self.reading.closed().await;
            Err(Unread::Rejected(rejection(503, "ending")))
        };
        let (mut coming, asked) = match or(read, too_late).await {
            Ok(read) => read,
            Err(Unread::Nobody(why)) => return Err(why),
            Err(Unread::Rejected(rejected)) => {
                let ends = self.reading.is_closed();
                counters::refused("", if ends { RefusalReason::Shutdown } else { RefusalReason::BadRequest });
                let _ = self.reject(stream, &rejected, false).await;
                return Err(if ends { CloseReason::Shutdown } else { CloseReason::BadRequest });
            }
        };
        let came =
            ahead.message_came(coming.take_read(), if coming.whole() { coming.behind().len() } else { 0 });
        if coming.whole() {
            ahead.add(coming.behind());
            coming.drop_behind();
        }
        let keep = self.may_keep(&coming, crowded, ahead);
        let kept = match asked {
            Asked::Health if self.all_due.get().is_some() => {
                let _ = self.reject(stream, &rejection(503, "ending"), false).await;
                Err(CloseReason::Shutdown)
            }
            Asked::Health => {
                let said = self.say(stream, 200, b"", b"ready\n", keep.is_ok()).await;
                self.start.health_check_answered();
                said.and(keep)
            }
            Asked::Request(request) if crowded || self.open.get() >= self.max_open => {
                counters::refused(&request.id, RefusalReason::Crowded);
                let said =
                    self.reject(stream, &rejection(503, "too many commands are open"), keep.is_ok()).await;
                said.and(keep)
            }
            Asked::Request(request) => {
                self.open.set(self.open.get() + 1);
                let kept = self.carry(stream, request, coming, came, crowded, ahead).await;
                self.open.set(self.open.get() - 1);
                kept
            }
        };
        if ahead.is_lost() { kept.and(Err(CloseReason::Crowded)) } else { kept }
    }

    /// A stranger half way through a command may have to give way.
    async fn read_from_stranger(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        since: Duration,
    ) -> Result<(Coming, Asked), Unread> {
        let (close, closed) = async_channel::bounded(1);
        let (number, came) = (self.number(), Rc::new(Cell::new(self.clock.now())));
        self.half_way.borrow_mut().insert(number, HalfWay { came: came.clone(), close });
        let room = async {
            let _ = closed.recv().await;
            tracing::debug!("a stranger half way through a command gave way");
            Err(Unread::Nobody(CloseReason::Crowded))
        };
        let read = or(self.read(stream, buffer, Some(since), &came), room).await;
        self.half_way.borrow_mut().remove(&number);
        read
    }

    /// Reads a command: all of it, or the beginning of one that is too long to be held. `since`: when a stranger connected;
    /// `came`: when the last part of it came.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        since: Option<Duration>,
        came: &Cell<Duration>,
    ) -> Result<(Coming, Asked), Unread> {
        let comes = || came.set(self.clock.now());
        let head = async {
            let most = since.map_or(HEAD_WITHIN, |since| self.left_to_a_stranger(since));
            timeout(most, Coming::command(stream, buffer, &comes)).await.unwrap_or(Err(Bad::Late))
        };
        let mut coming = or(head, self.stalls(came, since)).await?;
        let asked = self.reader.read(&coming.head, &self.limits.borrow()).map_err(Unread::Rejected)?;
        if matches!(asked, Asked::Request(_)) {
            or(self.hold(stream, &mut coming, &comes), self.stalls(came, since)).await?;
        }
        Ok((coming, asked))
    }

    /// Comes back when nothing has come for so long that the client counts as one that has stopped.
    async fn stalls<T>(&self, came: &Cell<Duration>, since: Option<Duration>) -> Result<T, Bad> {
        loop {
            let stalled = came.get() + STALLED;
            // A new client's request is awaited within its time, and a little longer as long as it goes on.
            let until =
                since.map_or(stalled, |since| stalled.min((since + STRANGER).max(came.get() + STALLED_LATE)));
            let left = until.saturating_sub(self.clock.now());
            if left.is_zero() {
                return Err(Bad::Late);
            }
            Timer::after(left).await;
        }
    }

    /// An error is why the connection ends with this message's answer. One that holds a whole request more does not, but
    /// where the client asked for it.
    fn may_keep(&self, coming: &Coming, crowded: bool, ahead: &ReadAhead) -> Result<(), CloseReason> {
        match () {
            () if !coming.whole() => Err(CloseReason::BadRequest),
            () if !coming.keep => Err(CloseReason::ClientAsked),
            () if ahead.holds_whole_request() => Ok(()),
            () if self.parting.get() => Err(CloseReason::Shutdown),
            () if crowded || ahead.is_lost() => Err(CloseReason::Crowded),
            () => Ok(()),
        }
    }

    /// Reads a body that is short enough to be held whole, and the beginning of a longer one.
    async fn hold(&self, stream: &Async<TcpStream>, coming: &mut Coming, came: &dyn Fn()) -> Result<(), Bad> {
        if coming.expects && !coming.whole() {
            let go_on = http::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"");
            timeout(WRITE_WITHIN, go_on).await.unwrap_or(Ok(()))?;
        }
        let long = coming.length().is_some_and(|length| length > HOLD_MOST as u64);
        let most = if long { SIZE } else { HOLD_MOST };
        while !coming.whole() && coming.room(&self.stock, most) {
            coming.more(stream).await?;
            came();
        }
        Ok(())
    }

    /// For commands whose head comes after this.
    pub fn limits_changed(&self, limits: Vec<Duration>) {
        *self.limits.borrow_mut() = limits;
    }

    /// When a request is due whose last byte was there at `came`.
    fn due(&self, came: Duration, left: Duration) -> Duration {
        let due = came + left;
        self.all_due.get().map_or(due, |all_due| all_due.min(due))
    }

    /// `coming` is whole, or too long to be held: then the rest of it goes on as it comes.
    async fn carry(
        &self,
        stream: &Rc<Async<TcpStream>>,
        request: Request,
        mut coming: Coming,
        came: Duration,
        crowded: bool,
        ahead: &ReadAhead,
    ) -> Result<(), CloseReason> {
        let Request { id, verb, tenant, left, cost, mut head } = request;
        counters::request_taken();
        // A command's time counts from its last byte.
        let (whole, number) = (coming.whole(), self.number());
        let due = if whole { self.due(came, left) } else { self.clock.now() + BODY_WITHIN };
        let arrival = RequestArrival {
            id: id.clone(),
            class: verb,
            deadline: due,
            body_incomplete: !whole,
            tenant,
            declared_work: cost,
        };
        let careful = !whole || self.reader.verbs[verb].method != "GET";
        let (marked, framing) = match coming.length() {
            Some(0) if self.reader.verbs[verb].method == "GET" => (Marked::Plain, String::new()),
            Some(length) => (Marked::Plain, format!("Content-Length: {length}\r\n")),
            None => (Marked::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
        };
        head.extend_from_slice(framing.as_bytes());
        let body = coming.take(&self.stock).await;
        let (give, next) = async_channel::bounded(1);
        let rest =
            (!whole).then(|| Rest { next, marked, length: coming.length(), left, spent: Cell::new(false) });
        let guard = AttemptGuard::new(self.repeat_rules[verb]);
        let outgoing =
            Outgoing { id: id.clone(), head, body, rest, careful, asker: Asker::of(stream), guard };
        let (caller, word) = async_channel::bounded(1);
        self.queue.tell(Word::Came(Box::new(Came { number, arrival, outgoing, caller })));
        let heard = async { word.recv().await.map_err(|_| Bad::Ended) };
        let goes = async {
            if !whole {
                let too_late = async {
                    self.reading.closed().await;
                    Err(Bad::Late)
                };
                let came = or(self.feed(stream, &mut coming, &give, ahead), too_late).await?;
                let due = self.due(came, left);
                self.queue.tell(Word::Whole(id.clone(), number, due));
                let end = async {
                    // Nobody takes it any more where the command is over.
                    let _ = give.send(Next::End(self.clock.instant(due))).await;
                    Ok(())
                };
                or(end, gone(stream)).await?;
            }
            // Past the shutdown what is read more would have to be answered too.
            ahead.until_gone(stream, || !self.parting.get()).await;
            Err(Bad::Ended)
        };
        let word = match or(heard, goes).await {
            Ok(word) => word,
            Err(wrong) => {
                self.queue.tell(Word::Left(id.clone(), number));
                let Some(rejected) = rejection_of(wrong) else { return Err(CloseReason::ClientLeft) };
                counters::refused(&id, RefusalReason::BadRequest);
                let _ = self.reject(stream, &rejected, false).await;
                return Err(CloseReason::BadRequest);
            }
        };
        let keep = self.may_keep(&coming, crowded, ahead);
        let kept = self.final_answer(stream, word, verb, keep, coming.minor).await.and(keep);
        // Behind half an answer, or to nobody, there is nothing that a reset could take along.
        if !matches!(kept, Ok(()) | Err(CloseReason::AnswerBroken | CloseReason::ClientLeft)) {
            self.linger(stream).await;
        }
        kept
    }

    /// Hands on the rest of a body, piece by piece, as fast as it is taken. When its last byte was there.
    async fn feed(
        &self,
        stream: &Async<TcpStream>,
        coming: &mut Coming,
        give: &Sender<Next>,
        ahead: &ReadAhead,
    ) -> Result<Duration, Bad> {
        let mut came = self.clock.now();
        while !coming.whole() {
            timeout(STALLED, coming.more(stream)).await.unwrap_or(Err(Bad::Late))?;
            let behind = if coming.whole() { coming.behind().len() } else { 0 };
            came = ahead.message_came(coming.take_read(), behind);
            if coming.whole() {
                ahead.add(coming.behind());
                coming.drop_behind();
            }
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
        Ok(came)
    }

    /// Writes the final answer. An error is why the connection ends here, in the middle of an answer or behind it.
    async fn final_answer(
        &self,
        stream: &Async<TcpStream>,
        word: Final,
        verb: usize,
        keep: Result<(), CloseReason>,
        minor: u8,
    ) -> Result<(), CloseReason> {
        match word {
            Final::Answered(answer) => self.pass_on(stream, *answer, verb, keep, minor).await,
            Final::Declined(come_back) => {
                let come_back = come_back.map(|span| format!("Retry-After: {:.3}\r\n", span.as_secs_f64()));
                let come_back = come_back.as_deref().unwrap_or("").as_bytes();
                self.say(stream, 503, come_back, b"declined\n", keep.is_ok()).await
            }
            Final::Terminated => self.say(stream, 502, b"", b"terminated\n", keep.is_ok()).await,
        }
    }

    /// Passes on an answer, and what of it is still to come as it comes.
    async fn pass_on(
        &self,
        stream: &Async<TcpStream>,
        mut answer: Answer,
        verb: usize,
        keep: Result<(), CloseReason>,
        minor: u8,
    ) -> Result<(), CloseReason> {
        let length = answer.coming.length();
        let (marked, framing) = match length {
            Some(length) => (Marked::Plain, format!("Content-Length: {length}\r\n")),
            None if minor > 0 => (Marked::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
            // To a caller of HTTP/1.0 the end of the connection is the end of the answer.
            None => (Marked::Plain, String::new()),
        };
        let ends_it = length.is_none() && marked == Marked::Plain;
        let head = answer_head(&answer.coming.head, &framing, keep.is_ok() && !ends_it);
        let mut written = self.write(stream, &head, &answer, marked).await;
        while written && !answer.coming.whole() {
            answer.coming.drop_taken();
            if answer.more().await.is_err() {
                self.queue.tell(Word::Broke(answer.server().clone(), verb));
                if ends_it {
                    // Only a reset tells that this is not the end.
                    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
                }
                return Err(CloseReason::AnswerBroken);
            }
            written = self.write(stream, b"", &answer, marked).await;
            // Where both sides are as fast as this one nothing here waits, and all others would.
            yield_now().await;
        }
        let ended = written && timeout(WRITE_WITHIN, http::write_end(stream, marked)).await.is_some();
        answer.finish();
        match ended {
            false => Err(CloseReason::AnswerBroken),
            true if ends_it => Err(CloseReason::ClientAsked),
            true => Ok(()),
        }
    }

    async fn write(&self, stream: &Async<TcpStream>, head: &[u8], answer: &Answer, marked: Marked) -> bool {
        let writing = http::write_part(stream, head, answer.coming.slices(), marked);
        matches!(timeout(WRITE_WITHIN, writing).await, Some(Ok(())))
    }

    /// Answers a message that the decisions do not hear of. An error: the answer could not be written.
    async fn reject(
        &self,
        stream: &Async<TcpStream>,
        rejected: &Rejection,
        keep: bool,
    ) -> Result<(), CloseReason> {
        let Rejection { status, why } = rejected;
        tracing::debug!(status, why, "rejected");
        let said = self.say(stream, *status, b"", format!("{why}\n").as_bytes(), keep).await;
        if !keep {
            self.linger(stream).await;
        }
        said
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
        timeout(LINGER.min(left), read_off).await;
    }

    /// Writes a short answer. An error: it could not be written.
    async fn say(
        &self,
        stream: &Async<TcpStream>,
        status: u16,
        more: &[u8],
        body: &[u8],
        keep: bool,
    ) -> Result<(), CloseReason> {
        let close = if keep { "" } else { "Connection: close\r\n" };
        let length = body.len();
        let mut head = format!("HTTP/1.1 {status} {}\r\n{close}", http::reason(status)).into_bytes();
        head.extend_from_slice(more);
        head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        match timeout(WRITE_WITHIN, http::write(stream, &head, body)).await {
            Some(Ok(())) => Ok(()),
            _ => Err(CloseReason::ClientLeft),
        }
    }
}

/// Why there is no request to be answered by the decisions.
enum Unread {
    /// Nobody is there, or is to be there, to be told what was wrong.
    Nobody(CloseReason),
    Rejected(Rejection),
}

impl From<Bad> for Unread {
    fn from(bad: Bad) -> Unread {
        rejection_of(bad).map_or(Unread::Nobody(CloseReason::ClientLeft), Unread::Rejected)
    }
}

/// Ends with the caller's connection, seen without reading from it.
async fn gone(stream: &Async<TcpStream>) -> Result<(), Bad> {
    leaving::until_ended(stream).await;
    Err(Bad::Ended)
}
