//! The events of the simulation and the keys that they refer to. Events stay within the simulation: load balancers are
//! notified by the methods of `LoadBalancer`.

use landingspread_decisions::host::{ListedServer, LoadReport, Outcome};
use std::rc::Rc;

/// Identifies an attempt by the number of its request and its index among the request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    pub request: u64,
    pub attempt: u32,
}

/// Identifies a job at a server. The serial tells it from a later job in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobKey {
    pub slot: usize,
    pub serial: u64,
}

/// One process of a replica. Events for an earlier process of the same replica are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaProcess {
    pub replica: usize,
    pub generation: u32,
}

/// An event of the simulation. Numbers identify operations, requests, servers, faults or replicas.
pub enum SimEvent {
    /// A client sends its first try of an operation, unless thinning drops it.
    ClientArrival,
    /// A client retries an operation, by its number.
    ClientRetry(u64),
    /// A request, by its number, arrives at its replica.
    RequestArrived(u64),
    /// The client of a request, by its number, disconnects.
    ClientDisconnected(u64),
    /// The deadline of a request, by its number, and the slack after it have passed.
    DeadlinePassed(u64),
    /// The last byte of an attempt arrives at its server.
    AttemptArrived(AttemptKey),
    /// A core has finished the own work of a job.
    CoreFinished(JobKey),
    /// A call of a job to the next tier has ended; the flag says whether it succeeded.
    DownstreamCallEnded(JobKey, bool),
    /// The outcome of an attempt and its load report arrive at the replica.
    AttemptEnded(AttemptKey, Outcome, LoadReport),
    /// The deadline of an attempt has passed at the replica.
    AttemptTimedOut(AttemptKey),
    /// The server learns that the replica gave up an attempt.
    AttemptCancelled(AttemptKey),
    /// A health check of a server, by its number, has ended.
    HealthCheckEnded(ReplicaProcess, usize, Outcome),
    /// The load balancer's timer fires.
    TimerFired(ReplicaProcess),
    /// A full list, where the flag is set, or changes to it arrive at a replica.
    ListDelivered(ReplicaProcess, bool, Rc<[ListedServer]>),
    /// A replica's poll of the list source has failed or its watch has ended.
    DiscoveryPollFailed(ReplicaProcess),
    /// A replica's poll arrives at the list source.
    DiscoveryPolled(ReplicaProcess),
    /// The list source learns the current status of a server, by its number.
    ListSourceUpdated(usize),
    /// A fault begins, by its index in the plan.
    FaultBegins(usize),
    /// The next step of a fault that acts repeatedly: its index and the number of the step.
    FaultStep(usize, u32),
    /// A fault ends, by its index in the plan.
    FaultEnds(usize),
    /// A server that is down starts again, unless its generation has changed since.
    ServerStarts(usize, u32),
    /// A draining server ends for good.
    ServerRemoved(usize),
    /// A pause of a server ends.
    PauseEnded(usize),
    /// A replica that is down starts again, by its number.
    ReplicaStarts(usize),
    /// A message of another replica's decisions arrives, with the ordinal of the sender.
    PeerMessageReceived(ReplicaProcess, u32, Rc<[u8]>),
    /// A datagram of fleet membership arrives.
    DatagramReceived(ReplicaProcess, Rc<[u8]>),
    /// A second of the run is over and its statistics are closed.
    SecondEnded,
}
