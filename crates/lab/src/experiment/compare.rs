//! Compares load balancers seed by seed: the difference of two with the same load and faults, with a bootstrap interval
//! (Efron and Tibshirani, 1993, chapter 13: percentiles of resampled means).

use super::results::{Results, Row};
use crate::cold::ColdPeaks;
use crate::pickers::LoadBalancerKind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Count of bootstrap resamples.
const RESAMPLES: usize = 2_000;

/// The difference of the utility fraction of `load_balancer` to that of `base` in one setting.
#[derive(Clone, Debug)]
pub struct Difference {
    /// Name of the setting: its case and the values of the axes.
    pub setting: String,
    /// The compared load balancer.
    pub load_balancer: LoadBalancerKind,
    /// The load balancer that it is compared with.
    pub base: LoadBalancerKind,
    /// Number of seeds for which both load balancers have a run.
    pub seeds: usize,
    /// Mean difference over the seeds, as a fraction of the offered utility.
    pub mean: f64,
    /// Bounds of the interval that holds 95% of the resampled means.
    pub interval: (f64, f64),
}

type BySeed = BTreeMap<u64, f64>;

fn utility_by_seed<'a>(rows: impl Iterator<Item = &'a Row>) -> BySeed {
    rows.map(|row| (row.seed, row.totals.utility_fraction)).collect()
}

/// Names of the settings, in the order of the results.
fn setting_names(results: &Results) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for row in &results.rows {
        let name = row.name();
        if names.last() != Some(&name) {
            names.push(name);
        }
    }
    names.dedup();
    names
}

fn rows_of<'a>(
    results: &'a Results,
    setting: &'a str,
    load_balancer: LoadBalancerKind,
) -> impl Iterator<Item = &'a Row> {
    results.rows.iter().filter(move |row| row.load_balancer == load_balancer && row.name() == setting)
}

/// The differences of two load balancers in all settings that have results of both.
pub fn compare(
    results: &Results,
    load_balancer: LoadBalancerKind,
    base: LoadBalancerKind,
) -> Vec<Difference> {
    let difference_in = |setting: String| {
        let own_utility = utility_by_seed(rows_of(results, &setting, load_balancer));
        let base_utility = utility_by_seed(rows_of(results, &setting, base));
        let differences: Vec<f64> = own_utility
            .iter()
            .filter_map(|(seed, utility)| Some(utility - base_utility.get(seed)?))
            .collect();
        let mean = differences.iter().sum::<f64>() / differences.len().max(1) as f64;
        let interval = bootstrap(&differences);
        (!differences.is_empty()).then_some(Difference {
            setting,
            load_balancer,
            base,
            seeds: differences.len(),
            mean,
            interval,
        })
    };
    setting_names(results).into_iter().filter_map(difference_in).collect()
}

/// The 95% bootstrap interval of the mean difference. The seed is fixed, so that a table is reproducible.
fn bootstrap(differences: &[f64]) -> (f64, f64) {
    if differences.is_empty() {
        return (0.0, 0.0);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let resample =
                (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]);
            resample.sum::<f64>() / differences.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |share: f64| means[((RESAMPLES - 1) as f64 * share).round() as usize];
    (quantile(0.025), quantile(0.975))
}

/// Counts of breaches by rule, as in ` [r4 x3]`; empty without a breach.
fn breach_summary<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut counts = [0; 4];
    for row in rows {
        counts.iter_mut().zip(&row.breach_counts).for_each(|(count, more)| *count += more);
    }
    let nonzero = (1..).zip(counts).filter(|(_, count)| *count > 0);
    let nonzero: Vec<String> = nonzero.map(|(rule, count)| format!("r{rule} x{count}")).collect();
    if nonzero.is_empty() { String::new() } else { format!(" [{}]", nonzero.join(", ")) }
}

/// A table of the mean utility fraction by setting and load balancer. Each base also shows the difference of
/// `load_balancer` to it with its interval, and each cell the mean count of attempts at unreachable servers.
pub fn table(results: &Results, load_balancer: LoadBalancerKind) -> String {
    let load_balancers = &results.header.experiment.load_balancers;
    let mut text = String::from("| case |");
    load_balancers.iter().for_each(|kind| text += &format!(" {} |", kind.name()));
    text += "\n| --- |";
    load_balancers.iter().for_each(|_| text += " --- |");
    let differences: BTreeMap<(String, LoadBalancerKind), Difference> = load_balancers
        .iter()
        .filter(|base| **base != load_balancer)
        .flat_map(|base| compare(results, load_balancer, *base))
        .map(|difference| ((difference.setting.clone(), difference.base), difference))
        .collect();
    for setting in setting_names(results) {
        let _ = write!(text, "\n| {setting} |");
        for kind in load_balancers {
            let utility = utility_by_seed(rows_of(results, &setting, *kind));
            let mean = utility.values().sum::<f64>() / utility.len().max(1) as f64;
            let _ = write!(text, " {mean:.3}");
            if let Some(difference) = differences.get(&(setting.clone(), *kind)) {
                let (low, high) = difference.interval;
                let _ = write!(text, " ({:+.3}: {low:+.3} to {high:+.3})", difference.mean);
            }
            let unreachable_attempts: u64 =
                rows_of(results, &setting, *kind).map(|row| row.totals.unreachable_attempts).sum();
            if unreachable_attempts > 0 {
                let _ = write!(
                    text,
                    ", {:.0} relays in vain",
                    unreachable_attempts as f64 / utility.len().max(1) as f64
                );
            }
            text += &breach_summary(rows_of(results, &setting, *kind));
            text += " |";
        }
    }
    text + "\n"
}

/// Summaries of the load on cold servers, a line for each setting and load balancer with any.
pub fn cold_lines(results: &Results) -> Vec<String> {
    let mut lines = Vec::new();
    for setting in setting_names(results) {
        for kind in &results.header.experiment.load_balancers {
            let mut total = ColdPeaks::default();
            rows_of(results, &setting, *kind).for_each(|row| total.merge(&row.cold_peaks));
            lines.extend(total.summary().map(|summary| format!("{setting}, {}: {summary}", kind.name())));
        }
    }
    lines
}

/// For scenarios with several tiers: attempts at the last tier divided by operations of clients, as mean, minimum and
/// maximum over the seeds, and the tier with the largest ratio of retries to first attempts, with their main cause.
pub fn depth_table(results: &Results) -> Option<String> {
    let has_tiers = results.header.settings.iter().any(|setting| setting.scenario.tiers.len() > 1);
    if !has_tiers {
        return None;
    }
    let load_balancers = &results.header.experiment.load_balancers;
    let mut text = String::from("| relays at the bottom over calls at the top |");
    load_balancers.iter().for_each(|kind| text += &format!(" {} |", kind.name()));
    text += "\n| --- |";
    load_balancers.iter().for_each(|_| text += " --- |");
    for setting in setting_names(results) {
        let _ = write!(text, "\n| {setting} |");
        for kind in load_balancers {
            let rows: Vec<&Row> = rows_of(results, &setting, *kind).collect();
            let amplifications: Vec<f64> =
                rows.iter().map(|row| row.totals.attempt_amplification()).collect();
            let mean = amplifications.iter().sum::<f64>() / amplifications.len().max(1) as f64;
            let min = amplifications.iter().copied().fold(f64::MAX, f64::min);
            let max = amplifications.iter().copied().fold(0.0, f64::max);
            let _ = write!(text, " {mean:.3} ({min:.3} to {max:.3}){} |", worst_tier(&rows));
        }
    }
    Some(text + "\n")
}

/// The tier with the most retries, as in `; tier 15 +0.12 failed`; empty if none retries one in a thousand requests.
fn worst_tier(rows: &[&Row]) -> String {
    let tiers = rows.iter().map(|row| row.totals.tiers.len()).max().unwrap_or(0);
    let sums = (0..tiers).map(|tier| {
        let tier_attempts = rows.iter().filter_map(|row| row.totals.tiers.get(tier));
        tier_attempts.fold([0u64; 4], |[first, never_ran, failed, cancelled], attempts| {
            [
                first + attempts.first,
                never_ran + attempts.after_never_ran,
                failed + attempts.after_failed,
                cancelled + attempts.after_cancelled,
            ]
        })
    });
    let share = |sums: &[u64; 4]| sums[1..].iter().sum::<u64>() as f64 / sums[0].max(1) as f64;
    let most_retried = sums.enumerate().max_by(|a, b| share(&a.1).total_cmp(&share(&b.1)));
    let Some((tier, sums)) = most_retried.filter(|(_, sums)| share(sums) >= 0.001) else {
        return String::new();
    };
    let reasons = ["never ran", "failed", "called off"];
    let reason = (0..3).max_by_key(|index| sums[index + 1]).map_or("", |index| reasons[index]);
    format!("; tier {tier} +{:.3} {reason}", share(&sums))
}
