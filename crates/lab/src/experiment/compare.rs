//! Pickers against each other, seed by seed: the difference of two on the same load and faults, with a bootstrap
//! interval (Efron and Tibshirani, 1993, chapter 13: percentiles of resampled means).

use super::results::{Results, Row};
use crate::cold::ColdPeaks;
use crate::pickers::LoadBalancerKind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write;

const RESAMPLES: usize = 2_000;

/// How much more of the utility `picker` keeps than `base` in one setting.
#[derive(Clone, Debug)]
pub struct Difference {
    pub setting: String,
    pub load_balancer: LoadBalancerKind,
    pub base: LoadBalancerKind,
    pub seeds: usize,
    pub mean: f64,
    /// Nineteen in twenty resamples lie from the first to the second.
    pub interval: (f64, f64),
}

type BySeed = BTreeMap<u64, f64>;

fn kept_by_seed<'a>(rows: impl Iterator<Item = &'a Row>) -> BySeed {
    rows.map(|row| (row.seed, row.totals.utility_fraction)).collect()
}

/// Settings' names in the order of the results.
fn settings(results: &Results) -> Vec<String> {
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
    picker: LoadBalancerKind,
) -> impl Iterator<Item = &'a Row> {
    results.rows.iter().filter(move |row| row.load_balancer == picker && row.name() == setting)
}

pub fn compare(results: &Results, picker: LoadBalancerKind, base: LoadBalancerKind) -> Vec<Difference> {
    let one = |setting: String| {
        let ours = kept_by_seed(rows_of(results, &setting, picker));
        let theirs = kept_by_seed(rows_of(results, &setting, base));
        let pairs: Vec<f64> = ours.iter().filter_map(|(seed, kept)| Some(kept - theirs.get(seed)?)).collect();
        let mean = pairs.iter().sum::<f64>() / pairs.len().max(1) as f64;
        let interval = bootstrap(&pairs);
        (!pairs.is_empty()).then_some(Difference {
            setting,
            load_balancer: picker,
            base,
            seeds: pairs.len(),
            mean,
            interval,
        })
    };
    settings(results).into_iter().filter_map(one).collect()
}

/// With a fixed seed: a table made twice is the same.
fn bootstrap(pairs: &[f64]) -> (f64, f64) {
    if pairs.is_empty() {
        return (0.0, 0.0);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let drawn = (0..pairs.len()).map(|_| pairs[rng.random_range(0..pairs.len())]);
            drawn.sum::<f64>() / pairs.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[((RESAMPLES - 1) as f64 * share).round() as usize];
    (at(0.025), at(0.975))
}

/// How often each rule was broken, where any was: `[r4 x3]`.
fn broken<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut counts = [0; 4];
    for row in rows {
        counts.iter_mut().zip(&row.breach_counts).for_each(|(count, more)| *count += more);
    }
    let told = (1..).zip(counts).filter(|(_, count)| *count > 0);
    let told: Vec<String> = told.map(|(rule, count)| format!("r{rule} x{count}")).collect();
    if told.is_empty() { String::new() } else { format!(" [{}]", told.join(", ")) }
}

/// Mean kept utility of each picker in each setting, and the relays of a run to servers that could not be reached; behind each base, `picker`'s difference and its interval.
pub fn table(results: &Results, picker: LoadBalancerKind) -> String {
    let pickers = &results.header.experiment.load_balancers;
    let mut text = String::from("| case |");
    pickers.iter().for_each(|named| text += &format!(" {} |", named.name()));
    text += "\n| --- |";
    pickers.iter().for_each(|_| text += " --- |");
    let differences: BTreeMap<(String, LoadBalancerKind), Difference> = pickers
        .iter()
        .filter(|base| **base != picker)
        .flat_map(|base| compare(results, picker, *base))
        .map(|difference| ((difference.setting.clone(), difference.base), difference))
        .collect();
    for setting in settings(results) {
        let _ = write!(text, "\n| {setting} |");
        for named in pickers {
            let kept = kept_by_seed(rows_of(results, &setting, *named));
            let mean = kept.values().sum::<f64>() / kept.len().max(1) as f64;
            let _ = write!(text, " {mean:.3}");
            if let Some(difference) = differences.get(&(setting.clone(), *named)) {
                let (low, high) = difference.interval;
                let _ = write!(text, " ({:+.3}: {low:+.3} to {high:+.3})", difference.mean);
            }
            let vain: u64 =
                rows_of(results, &setting, *named).map(|row| row.totals.unreachable_attempts).sum();
            if vain > 0 {
                let _ = write!(text, ", {:.0} relays in vain", vain as f64 / kept.len().max(1) as f64);
            }
            text += &broken(rows_of(results, &setting, *named));
            text += " |";
        }
    }
    text + "\n"
}

/// What cold servers were brought by all copies together, a line for each setting and picker that had any.
pub fn cold_lines(results: &Results) -> Vec<String> {
    let mut lines = Vec::new();
    for setting in settings(results) {
        for named in &results.header.experiment.load_balancers {
            let mut all = ColdPeaks::default();
            rows_of(results, &setting, *named).for_each(|row| all.merge(&row.cold_peaks));
            lines.extend(all.summary().map(|told| format!("{setting}, {}: {told}", named.name())));
        }
    }
    lines
}

/// Where commands go through several tiers: relays to the last tier over the commands that clients wanted, as a mean with the least and the
/// most over the seeds; then the tier at which further relays are the largest share of the first ones, and why they were sent.
pub fn depth_table(results: &Results) -> Option<String> {
    let deep = results.header.settings.iter().any(|told| told.scenario.tiers.len() > 1);
    if !deep {
        return None;
    }
    let pickers = &results.header.experiment.load_balancers;
    let mut text = String::from("| relays at the bottom over calls at the top |");
    pickers.iter().for_each(|named| text += &format!(" {} |", named.name()));
    text += "\n| --- |";
    pickers.iter().for_each(|_| text += " --- |");
    for setting in settings(results) {
        let _ = write!(text, "\n| {setting} |");
        for named in pickers {
            let of: Vec<&Row> = rows_of(results, &setting, *named).collect();
            let ratios: Vec<f64> = of.iter().map(|row| row.totals.attempt_amplification()).collect();
            let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
            let least = ratios.iter().copied().fold(f64::MAX, f64::min);
            let most = ratios.iter().copied().fold(0.0, f64::max);
            let _ = write!(text, " {mean:.3} ({least:.3} to {most:.3}){} |", worst_tier(&of));
        }
    }
    Some(text + "\n")
}

/// `; tier 15 +0.12 failed`: nothing where no tier repeats as much as one in a thousand.
fn worst_tier(rows: &[&Row]) -> String {
    let tiers = rows.iter().map(|row| row.totals.tiers.len()).max().unwrap_or(0);
    let sums = (0..tiers).map(|tier| {
        let of_tier = rows.iter().filter_map(|row| row.totals.tiers.get(tier));
        of_tier.fold([0u64; 4], |[first, never_ran, failed, cancelled], more| {
            [
                first + more.first,
                never_ran + more.after_never_ran,
                failed + more.after_failed,
                cancelled + more.after_cancelled,
            ]
        })
    });
    let share = |sums: &[u64; 4]| sums[1..].iter().sum::<u64>() as f64 / sums[0].max(1) as f64;
    let worst = sums.enumerate().max_by(|a, b| share(&a.1).total_cmp(&share(&b.1)));
    let Some((tier, sums)) = worst.filter(|(_, sums)| share(sums) >= 0.001) else { return String::new() };
    let reasons = ["never ran", "failed", "called off"];
    let reason = (0..3).max_by_key(|at| sums[at + 1]).map_or("", |at| reasons[at]);
    format!("; tier {tier} +{:.3} {reason}", share(&sums))
}
