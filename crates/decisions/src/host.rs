//! What the decisions ask of whoever hosts them, and the plain types that pass between the two.

use std::rc::Rc;
use std::time::Duration;

/// Commands and servers keep the ids that their front gives them.
pub type Id = Rc<str>;

pub trait Host {
    fn relay(&mut self, cmd: &Id, server: &Id, not_past: Duration);
    fn decline(&mut self, cmd: &Id, come_back: Option<Duration>);
    fn terminate(&mut self, cmd: &Id);
    fn cancel(&mut self, cmd: &Id, relay: u32);
    fn check(&mut self, server: &Id);
    fn wake_in(&mut self, span: Duration);
    fn subscribe(&mut self);
    /// Closes this copy's idle connections to the server.
    fn let_go(&mut self, server: &Id);
    /// Tells one peer, or all of them, at most 256 bytes.
    fn tell(&mut self, peer: Option<u32>, words: &[u8]);
    fn note(&mut self, text: &str);
    /// An attempt goes to a server in slow start without a credit: a rule of this module is broken.
    fn slow_start_violated(&mut self, server: &Id) {
        self.note(&format!("invariant violated: slow start of {server}"));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Listed {
    pub server: Id,
    pub zone: u32,
    pub cell: u32,
    pub state: State,
    pub nominal: f64,
    pub up_since: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: Id,
    pub verb: usize,
    pub due: Duration,
    /// Its last byte is still to come, and only then will be told by when it is due.
    pub coming: bool,
    pub tenant: usize,
    /// The work that it is said to take, as time on a standard core.
    pub cost: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub cmd: Id,
    pub closed: bool,
    /// What was sent of the command cannot be sent again.
    pub spent: bool,
    pub outcome: Outcome,
    pub relay: u32,
    pub latency: Duration,
    pub server: Id,
    pub load: Load,
}

/// A server's own word on its load; what it does not report stays empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub queue: Option<f64>,
    pub in_flight: Option<f64>,
    /// How busy its cores are.
    pub util: Option<f64>,
}

/// What is known by now of the copies that share the servers. Smaller parts hold at once; whoever tells it lets larger
/// ones come slowly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copies {
    /// How many there are, this one among them: at least 1, a fraction while the part of one is taken over.
    pub count: f64,
    /// How many may be alive, whether they are heard or not: their sum must not push over a cold server.
    pub may_live: f64,
    /// This copy's number among them; none while it has none.
    pub place: Option<u32>,
    /// Commands a second that a copy has on average; none where it is not known.
    pub traffic: Option<f64>,
}
