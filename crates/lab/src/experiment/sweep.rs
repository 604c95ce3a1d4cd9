//! Makes all runs of an experiment on all cores. Each run is single-threaded and owns its world; rows come out in
//! the order of the plan, whatever the threads did.

use super::ready::{PreparedExperiment, check_virtual_time, run_one};
use super::results::{Results, Row};
use rayon::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Hears of each run that ends: how many have, of how many.
pub type Progress<'a> = &'a (dyn Fn(usize, usize) + Sync);

/// `threads` 0 takes as many as there are cores.
pub fn sweep(ready: &PreparedExperiment, threads: usize, progress: Progress) -> Result<Results, String> {
    ready.settings.iter().try_for_each(check_virtual_time)?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(|wrong| wrong.to_string())?;
    let done = AtomicUsize::new(0);
    let all = ready.runs.len();
    let one = |number: usize| {
        let planned = &ready.runs[number];
        let run = run_one(&ready.settings[planned.setting].scenario, planned.load_balancer, planned.seed);
        progress(done.fetch_add(1, Ordering::Relaxed) + 1, all);
        Row::new(ready, number, &run)
    };
    let rows = pool.install(|| (0..all).into_par_iter().map(one).collect());
    Ok(Results { header: Results::header_of(ready), rows })
}
