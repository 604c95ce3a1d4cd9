//! The channels and shared values between the fleet's thread and the decision engine's thread.

use async_channel::Receiver;
use landingspread_decisions::host::ReplicaView;
use landingspread_decisions::zones::{ZoneObservation, ZoneTraffic};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The decision engine's request rate in requests per second, shared between threads.
#[derive(Clone, Default)]
pub struct SharedRequestRate(Arc<AtomicU64>);

impl SharedRequestRate {
    /// The request rate that was set last, in requests per second.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    fn set(&self, per_s: f64) {
        self.0.store(per_s.to_bits(), Ordering::Relaxed);
    }
}

/// The decision engine's latest observations of the zones and their time, shared between threads.
#[derive(Clone, Default)]
pub struct SharedObservations(Arc<Mutex<(Duration, Vec<ZoneObservation>)>>);

impl SharedObservations {
    /// Calls `read` with the time of the latest observations, and the observations.
    pub fn read<T>(&self, read: impl FnOnce(Duration, &[ZoneObservation]) -> T) -> T {
        let observations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        read(observations.0, &observations.1)
    }

    /// Replaces the observations by those made at time `at`.
    pub fn set(&self, at: Duration, observations: Vec<ZoneObservation>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = (at, observations);
    }
}

/// The decision engine's connection to the fleet's thread.
pub struct DecisionLink {
    /// Updates of the fleet size.
    pub fleet_sizes: Receiver<ReplicaView>,
    /// Updates of the zones' traffic fractions; `None` if zone failover is off.
    pub zone_traffic: Option<Receiver<Vec<ZoneTraffic>>>,
    pub(super) request_rate: SharedRequestRate,
    pub(super) observations: SharedObservations,
}

impl DecisionLink {
    /// Sets the rate of requests that this process receives, in requests per second.
    pub fn set_request_rate(&self, per_s: f64) {
        self.request_rate.set(per_s);
    }

    /// Sets the observations of the zones made at time `at`.
    pub fn set_observations(&self, at: Duration, observations: Vec<ZoneObservation>) {
        self.observations.set(at, observations);
    }
}
