//! Runs all runs of an experiment in parallel. Each run is single-threaded with its own simulation, and rows are in the
//! order of the plan with any count of threads.

use super::ready::{PreparedExperiment, check_virtual_time, run_one};
use super::results::{Results, Row};
use rayon::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Called when a run ends, with the count of ended runs and the count of all runs.
pub type Progress<'a> = &'a (dyn Fn(usize, usize) + Sync);

/// Runs an experiment on `threads` threads, or on one for each core if it is 0.
pub fn sweep(experiment: &PreparedExperiment, threads: usize, progress: Progress) -> Result<Results, String> {
    experiment.settings.iter().try_for_each(check_virtual_time)?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(|error| error.to_string())?;
    let ended = AtomicUsize::new(0);
    let total = experiment.runs.len();
    let run_at = |index: usize| {
        let planned = &experiment.runs[index];
        let run =
            run_one(&experiment.settings[planned.setting].scenario, planned.load_balancer, planned.seed);
        progress(ended.fetch_add(1, Ordering::Relaxed) + 1, total);
        Row::new(experiment, index, &run)
    };
    let rows = pool.install(|| (0..total).into_par_iter().map(run_at).collect());
    Ok(Results { header: Results::header_of(experiment), rows })
}
