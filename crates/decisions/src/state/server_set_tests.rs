//! Compares sums and indexes with a recount of all servers, after seeded random changes.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed, TestRunner};

/// Checks each sum and index against a recount of all servers.
fn check_against_recount(set: &ServerSet) -> Result<(), TestCaseError> {
    let servers: Vec<&Server> = set.slots.values().map(|slot| &set[*slot]).collect();
    let available = servers.iter().filter(|server| server.ready && server.ejection.is_none());
    prop_assert_eq!(set.available_count(), available.clone().count());
    let in_flight = available.map(|server| u64::from(server.in_flight)).sum::<u64>();
    prop_assert_eq!(set.available_in_flight(), in_flight);
    let ready: Vec<&&Server> = servers.iter().filter(|server| server.ready).collect();
    prop_assert_eq!(set.ready_count(), ready.len());
    let sizes: f64 = ready.iter().map(|server| server.nominal_size).sum();
    prop_assert!((set.mean_size() - sizes / ready.len().max(1) as f64).abs() < 1e-9);
    let reports: Vec<f64> = servers.iter().filter_map(|server| Some(server.load_report?.load)).collect();
    let mean = reports.iter().sum::<f64>() / reports.len().max(1) as f64;
    prop_assert!((set.mean_load_report() - mean).abs() < 1e-9);
    let ejected: Vec<Slot> = set.slots.values().copied().filter(|s| set[*s].ejection.is_some()).collect();
    prop_assert_eq!(set.ejected().collect::<Vec<_>>(), ejected);
    prop_assert!(set.window().iter().all(|slot| set[*slot].ready && set[*slot].in_window));
    prop_assert_eq!(set.cells.len(), servers.len());
    // A server is kept while attempts are in flight there, and dropped afterwards.
    prop_assert!(servers.iter().all(|server| server.ready || server.in_flight > 0));
    prop_assert_eq!(servers.len() + set.free_slots.len(), set.servers.len());
    Ok(())
}

fn id(number: u8) -> Id {
    Id::from(format!("s{number}"))
}

fn entry(number: &u8, lifecycle: Lifecycle) -> ListedServer {
    ListedServer {
        server: id(*number),
        zone: u32::from(number % 2),
        cell: u32::from(number % 3),
        lifecycle,
        nominal_capacity: f64::from(number % 4),
        started_at: None,
    }
}

fn apply_change(set: &mut ServerSet, now: Duration, kind: u8, servers: &[u8]) {
    let slots: Vec<Slot> = servers.iter().filter_map(|number| set.slot(&id(*number))).collect();
    match kind {
        0 | 1 => {
            let entries: Vec<ListedServer> =
                servers.iter().map(|number| entry(number, Lifecycle::Ready)).collect();
            if kind == 0 {
                set.retain_listed(&entries);
            }
            for entry in &entries {
                set.set_ready(entry, 0, || Server::new(entry, 1, 0.5, 5.0, now));
            }
        }
        2 => servers.iter().for_each(|number| set.remove(&id(*number))),
        3 => slots.iter().for_each(|slot| set.change_in_flight(*slot, 1)),
        4 => {
            let busy = slots.iter().filter(|slot| set[**slot].in_flight > 0).copied().collect::<Vec<_>>();
            busy.into_iter().for_each(|slot| set.change_in_flight(slot, -1));
        }
        5 => slots.iter().for_each(|slot| set.eject(*slot, Ejection::new(now))),
        6 => slots.iter().for_each(|slot| {
            set.end_ejection(*slot);
            set.begin_slow_start(*slot, now);
        }),
        7 => slots.iter().for_each(|slot| {
            set.set_load_report(*slot, Some(ReportedLoad { load: f64::from(*slot), at: now }));
        }),
        _ => set.visit_slow_start(now, |server| server.in_flight > 0),
    }
    set.finish_list_update();
    set.choose_window(0.3, 2.0, 1.0, |server| if server.ejection.is_some() { 0.0 } else { 1.0 });
}

#[test]
fn sums_and_indexes_match_a_recount_after_each_change() {
    let config = ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let changes = prop::collection::vec((0u8..9, prop::collection::vec(0u8..24, 0..8)), 1..60);
    TestRunner::new(config)
        .run(&changes, |changes| {
            let mut set = ServerSet::default();
            for (second, (kind, servers)) in (1u64..).zip(changes) {
                apply_change(&mut set, Duration::from_secs(second), kind, &servers);
                check_against_recount(&set)?;
            }
            Ok(())
        })
        .expect("sums and indexes match a recount of all servers");
}
