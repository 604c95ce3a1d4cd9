//! What can happen in the emulated world. These words pass between the world and its own agenda only: the
//! decisions hear of each by one method.

use landingspread_decisions::host::{ListedServer, LoadReport, Outcome};
use std::rc::Rc;

/// A relay of a command, by the command's number and its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leg {
    pub cmd: u64,
    pub relay: u32,
}

/// A job in a server; the serial tells it from a later one in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobKey {
    pub slot: usize,
    pub serial: u64,
}

/// A copy in one of its lives: what was meant for an earlier one is not heard by the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alive {
    pub copy: usize,
    pub life: u32,
}

pub enum Happening {
    /// The next client sends.
    Arrival,
    /// A client tries again.
    Again(u64),
    /// A command has come to its copy.
    Come(u64),
    /// A client goes away.
    Quit(u64),
    /// The time limit of a command and the slack after it are over.
    Due(u64),
    /// The last byte of a relay comes to its server.
    Reach(Leg),
    /// A core has done its part of a job.
    Worked(JobKey),
    /// A call to the next tier has come to its end.
    CallEnded(JobKey, bool),
    /// What became of a relay comes to its copy.
    Ended(Leg, Outcome, LoadReport),
    /// A copy waits no longer.
    OutOfTime(Leg),
    /// A server sees that a relay was given up.
    CalledOff(Leg),
    Checked(Alive, usize, Outcome),
    Wake(Alive),
    /// A list, or changes to it, come to a copy.
    Told(Alive, bool, Rc<[ListedServer]>),
    /// A copy's call to the list source has come to nothing.
    ListCallFailed(Alive),
    /// A copy's call comes to the list source.
    ListCall(Alive),
    /// The list source hears how a server stands by now.
    ListHears(usize),
    FaultBegins(usize),
    FaultStep(usize, u32),
    FaultEnds(usize),
    /// A server that was away starts, if it is still in this life.
    ServerUp(usize, u32),
    /// A server that drains is gone.
    ServerLeaves(usize),
    /// A pause is over.
    GoesOn(usize),
    CopyUp(usize),
    /// What another copy says comes to a copy: for its decisions, by the other's number, or for its fleet.
    Word(Alive, u32, Rc<[u8]>),
    Datagram(Alive, Rc<[u8]>),
    Sample,
}
