//! How long after a failure of discovery a change of its list is in force: once discovery has the change and can be
//! reached, requests go to the new server and no more to the old one. Each process has a discovery of its own that fails
//! and comes back at drawn moments.

mod crowd;
#[path = "../helpers/mod.rs"]
mod helpers;
mod measure;
mod plan;
mod stand_in;

use crowd::measure_beside_a_crowd;
use helpers::ms;
use measure::{Timing, measure};
use plan::{FailureMode, Plan};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A change has to be in force 6 s after discovery had it and could be reached; one of them is kept in reserve.
const LONGEST_DELAY: Duration = Duration::from_secs(5);
/// Runs with each way in which discovery fails.
const RUNS_PER_MODE: usize = 4;
/// Tests that measure time run one after the other.
static TURN: Mutex<()> = Mutex::new(());

fn assert_in_force_in_time(replicas: u64, seed: u64) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let plans =
        FailureMode::ALL.into_iter().flat_map(|mode| (0..RUNS_PER_MODE).map(move |_| mode)).zip(seed..);
    let measurements: Vec<_> = plans
        .map(|(mode, seed)| {
            // Not all at once: a start takes processor time.
            thread::sleep(ms(30));
            thread::spawn(move || measure(Plan::drawn(mode, replicas, seed)))
        })
        .collect();
    let mut timings: Vec<Timing> =
        measurements.into_iter().map(|measurement| measurement.join().expect("a measurement")).collect();
    timings.sort_by_key(|timing| timing.in_force);
    for mode in FailureMode::ALL {
        let of: Vec<_> = timings.iter().filter(|timing| timing.plan.mode == mode).collect();
        let (least, middle, most) = (of[0], of[of.len() / 2], of[of.len() - 1]);
        println!(
            "{mode:?}, {replicas} replicas: {:.2?} {:.2?} {:.2?}, list written by {:.2?}",
            least.in_force, middle.in_force, most.in_force, most.list_written
        );
    }
    let (middle, most) = (&timings[timings.len() / 2], &timings[timings.len() - 1]);
    println!(
        "{replicas} replicas, all: {:.2?} {:.2?} {:.2?}",
        timings[0].in_force, middle.in_force, most.in_force
    );
    assert!(most.in_force <= LONGEST_DELAY, "{:.2?}, {:?}", most.in_force, most.plan);
}

#[test]
fn list_changes_are_in_force_in_time_after_every_failure_of_discovery() {
    assert_in_force_in_time(1, 0x7014);
}

#[test]
fn list_changes_are_in_force_in_time_with_the_spaced_polls_of_three_hundred_replicas() {
    assert_in_force_in_time(300, 0x3007);
}

fn assert_in_force_beside_a_crowd(sockets: u64, memory_mb: u64, half_sent: bool, seed: u64) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let modes = [FailureMode::RefusesConnections, FailureMode::Silent, FailureMode::Answers503];
    let plans = modes.into_iter().zip(seed..);
    let measure = move |(mode, seed)| {
        thread::spawn(move || measure_beside_a_crowd(mode, sockets, memory_mb, half_sent, seed))
    };
    let measurements: Vec<_> = plans.map(measure).collect();
    let timings: Vec<_> =
        measurements.into_iter().map(|measurement| measurement.join().expect("a measurement")).collect();
    assert!(timings.iter().all(|timing| *timing <= LONGEST_DELAY), "{timings:.2?}");
}

#[test]
fn idle_clients_on_every_descriptor_delay_no_list_change() {
    assert_in_force_beside_a_crowd(80, 64, false, 0x4001);
}

#[test]
fn half_sent_requests_in_every_buffer_delay_no_list_change() {
    assert_in_force_beside_a_crowd(1024, 16, true, 0x4002);
}
