//! How soon a change of the endpoint list is in force around an outage of discovery. Counted from when discovery has the
//! change and is reachable again, requests must go to the new server, and no longer to the old one, in time. Each process
//! has its own discovery, which fails and recovers at random times.

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

/// A change has to be in force 6 s after discovery has it and is reachable; one second is kept in reserve.
const LONGEST_DELAY: Duration = Duration::from_secs(5);
/// Runs with each failure mode of discovery.
const RUNS_PER_MODE: usize = 4;
/// Tests that measure time run one at a time.
static TURN: Mutex<()> = Mutex::new(());

fn assert_in_force_in_time(replicas: u64, seed: u64) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let plans =
        FailureMode::ALL.into_iter().flat_map(|mode| (0..RUNS_PER_MODE).map(move |_| mode)).zip(seed..);
    let measurements: Vec<_> = plans
        .map(|(mode, seed)| {
            // Starts are spread out, as each takes processor time.
            thread::sleep(ms(30));
            thread::spawn(move || measure(Plan::drawn(mode, replicas, seed)))
        })
        .collect();
    let mut timings: Vec<Timing> = measurements
        .into_iter()
        .map(|measurement| measurement.join().expect("measuring thread panicked"))
        .collect();
    timings.sort_by_key(|timing| timing.in_force);
    for mode in FailureMode::ALL {
        let of_mode: Vec<_> = timings.iter().filter(|timing| timing.plan.mode == mode).collect();
        let (least, middle, most) = (of_mode[0], of_mode[of_mode.len() / 2], of_mode[of_mode.len() - 1]);
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
fn list_changes_are_in_force_in_time_after_each_failure_mode() {
    assert_in_force_in_time(1, 0x7014);
}

#[test]
fn list_changes_are_in_force_in_time_with_300_replicas() {
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
    let timings: Vec<_> = measurements
        .into_iter()
        .map(|measurement| measurement.join().expect("measuring thread panicked"))
        .collect();
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
