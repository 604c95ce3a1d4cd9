//! The sub-command that plays fleets. It owns what is printed: the last line is `held` or `broken: WHICH`, with figures,
//! and the exit code says the same (0 or 1; 2 where the plan can't be read).

use crate::args::{Check, Fleet};
use landingspread_files::read_text;
use landingspread_lab::fleet::check::{Variant, check as checked};
use landingspread_lab::fleet::emulated::{Played, Ways, play};
use landingspread_lab::fleet::plan::{FleetPlan, read};
use landingspread_lab::fleet::zones::Figures as ZoneFigures;
use landingspread_lab::fleet::{builtin, builtins, nemesis, page, rig};
use landingspread_lab::sockets;
use rayon::iter::{IntoParallelIterator, ParallelIterator};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn plan(wanted: &Fleet) -> Result<FleetPlan, String> {
    if let Some(text) = builtin(&wanted.name) {
        return read(&wanted.name, text, wanted.processes).map_err(|wrong| wrong.to_string());
    }
    if !Path::new(&wanted.name).is_file() {
        let known: Vec<&str> = builtins().map(|(name, _)| name).collect();
        return Err(format!("{:?} is neither built in ({}) nor a file", wanted.name, known.join(", ")));
    }
    let (file, text) = read_text(Path::new(&wanted.name)).map_err(|wrong| wrong.to_string())?;
    read(&file, &text, wanted.processes).map_err(|wrong| wrong.to_string())
}

pub fn fleet(wanted: &Fleet) -> ExitCode {
    let plan = match plan(wanted) {
        Ok(plan) => plan,
        Err(wrong) => {
            eprintln!("landingspread-lab: {wrong}");
            return ExitCode::from(2);
        }
    };
    match wanted.emulated {
        Some(seeds) => emulated(wanted, &plan, seeds.max(1)),
        None => match processes(wanted, &plan) {
            Ok(code) => code,
            Err(wrong) => {
                println!("broken: the run, {wrong}");
                ExitCode::from(1)
            }
        },
    }
}

fn processes(wanted: &Fleet, plan: &FleetPlan) -> Result<ExitCode, String> {
    let plan = of_seed(wanted, plan, wanted.seed);
    let dir = rig::run_dir(&plan.name)?;
    if wanted.nemesis {
        let text = toml::to_string(&plan).map_err(|wrong| wrong.to_string())?;
        let path = dir.join("plan.toml");
        std::fs::write(&path, text).map_err(|wrong| format!("{}: {wrong}", path.display()))?;
        println!("the plan: {}", path.display());
    }
    let program = wanted.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let ways = rig::Ways {
        seed: wanted.seed,
        program: &program,
        old: wanted.old.as_deref(),
        dir: &dir,
        with_fleet: !wanted.alone,
        with_localities: !wanted.no_localities && !wanted.alone,
        look_every: Duration::from_secs_f64(wanted.look_every.clamp(0.01, 60.0)),
    };
    let played = rig::play(&plan, &ways, &mut |line| println!("{line}"))?;
    println!("logs: {}", dir.display());
    if let Some(path) = &wanted.report {
        let command = format!(
            "landingspread-lab fleet {} --seed {} --processes {}",
            wanted.name, wanted.seed, plan.processes
        );
        let page = page::page(&plan, &played, &command).map_err(|wrong| wrong.to_string())?;
        std::fs::write(path, page).map_err(|wrong| format!("{}: {wrong}", path.display()))?;
        println!("report: {}", path.display());
    }
    Ok(told(&plan, &played, wanted))
}

/// Prints what came of a run on processes; its last line is the verdict.
fn told(plan: &FleetPlan, played: &rig::Played, wanted: &Fleet) -> ExitCode {
    let figures = &played.figures;
    figures.agreed_after.iter().for_each(|(what, took)| println!("{took:5.1} s  {what}"));
    played.cold.summary().iter().for_each(|line| println!("{line}"));
    let zones = &played.zones;
    let all = figures.broken.iter().chain(&zones.broken).chain(&played.breaches);
    all.for_each(|text| println!("  {text}"));
    let sum = |what: fn(&rig::Second) -> u32| played.seconds.iter().map(what).sum::<u32>();
    let text = format!(
        "{} processes, {:.0} s; deaths seen by all after {:.1} s (median) and {:.1} s at most, all else after {:.1} s; \
         {} false deaths; {} commands came, {:.3} answered within their goals, {} declined, {} lost; rules broken \
         {:?}; {:.1} datagrams a copy and second, {:.0} us of processor time a command",
        plan.processes,
        plan.seconds,
        figures.death_median,
        figures.death_most,
        figures.agree_most,
        figures.false_deaths,
        sum(|second| second.came),
        played.kept,
        sum(|second| second.declined),
        sum(|second| second.lost),
        played.broken_rules,
        played.datagrams,
        played.cpu_us,
    );
    let text = if plan.localities { format!("{text}; {}", zones_told(zones)) } else { text };
    let rules = played.broken_rules.iter().any(|count| *count > 0);
    let views = !figures.broken.is_empty() && !wanted.alone;
    let lost = plan.localities && !zones.broken.is_empty() && !wanted.alone && !wanted.no_localities;
    let which = match () {
        () if rules => "rules",
        () if views => "views",
        () if lost => "zones",
        () => {
            println!("held: {text}");
            return ExitCode::SUCCESS;
        }
    };
    println!("broken: {which}; {text}");
    ExitCode::from(1)
}

pub fn check(wanted: &Check) -> ExitCode {
    let variant = match wanted.variant.as_deref() {
        None => Variant::AsItIs,
        Some("last-word") => Variant::LastWordCounts,
        Some("counted-often") => Variant::CountedOften,
        Some(other) => {
            eprintln!("landingspread-lab: {other:?} is no variant; there are last-word and counted-often");
            return ExitCode::from(2);
        }
    };
    let (copies, depth) = (wanted.copies.clamp(1, 8), wanted.depth.min(12));
    let began = std::time::Instant::now();
    let found = checked(copies, depth, variant);
    found.broken.iter().for_each(|text| println!("  {text}"));
    let (figures, took) = (
        format!("{} states, {} moves, {} with the zone left", found.states, found.moves, found.left),
        began.elapsed(),
    );
    let text = format!("{copies} copies, depth {depth}: {figures}, {:.1} s", took.as_secs_f64());
    if found.broken.is_empty() {
        println!("held: {text}");
        return ExitCode::SUCCESS;
    }
    println!("broken: verdicts; {text}");
    ExitCode::from(1)
}

fn zones_told(zones: &ZoneFigures) -> String {
    format!(
        "zones: nothing sent but trials {:.2} s after a loss (median of the copies) and {:.2} s at most, {} commands sent \
         there in vain; {:.1} trials a second at most; as ever {:.1} s after at most; {} departures at most, {} false",
        zones.left_median,
        zones.left_most,
        zones.relays_in_vain,
        zones.trials_most,
        zones.back_most,
        zones.departures_most,
        zones.false_verdicts
    )
}

fn of_seed(wanted: &Fleet, plan: &FleetPlan, seed: u64) -> FleetPlan {
    if wanted.nemesis { nemesis::drawn(plan, seed) } else { plan.clone() }
}

fn emulated(wanted: &Fleet, plan: &FleetPlan, seeds: u64) -> ExitCode {
    let began = std::time::Instant::now();
    let one = |seed: u64| {
        let plan = of_seed(wanted, plan, seed);
        let (look_every, start_within) = (wanted.look_every.max(0.01), wanted.start_within.clamp(0.0, 600.0));
        let ways = Ways { seed, look_every, start_within, ..Ways::default() };
        (seed, play(&plan, ways), plan)
    };
    let all: Vec<(u64, Played, FleetPlan)> =
        (wanted.seed..wanted.seed + seeds).into_par_iter().map(one).collect();
    let mut deaths: Vec<f64> = Vec::new();
    let (mut agree, mut false_deaths, mut broken) = (0.0_f64, 0, Vec::new());
    let mut most = Played::default();
    for (seed, played, plan) in &all {
        let figures = &played.figures;
        deaths.push(figures.death_most);
        agree = agree.max(figures.agree_most);
        false_deaths += figures.false_deaths;
        most.datagrams = most.datagrams.max(played.datagrams);
        most.bytes = most.bytes.max(played.bytes);
        most.datagrams_most = most.datagrams_most.max(played.datagrams_most);
        most.bytes_most = most.bytes_most.max(played.bytes_most);
        most.suspicions += played.suspicions;
        if !figures.broken.is_empty() {
            broken.push(*seed);
            println!("seed {seed}:");
            figures.broken.iter().for_each(|text| println!("  {text}"));
            plan.faults
                .iter()
                .for_each(|fault| println!("  {:6.1} s, {:4.1} s: {}", fault.at, fault.lasts, fault.label()));
        }
    }
    deaths.sort_by(f64::total_cmp);
    if let [(_, played, _)] = all.as_slice() {
        played.figures.agreed_after.iter().for_each(|(what, took)| println!("{took:5.1} s  {what}"));
    }
    println!(
        "{} copies, {} seeds, {:.0} s each, played in {:.1} s; a copy sends {:.1} datagrams and {:.0} bytes a second, at \
         most {:.1} and {:.0}; {} suspicions",
        plan.processes,
        all.len(),
        plan.seconds,
        began.elapsed().as_secs_f64(),
        most.datagrams,
        most.bytes,
        most.datagrams_most,
        most.bytes_most,
        most.suspicions
    );
    let figures = format!(
        "deaths seen by all after {:.1} s (median of the seeds' longest) and {:.1} s at most, all else after {agree:.1} s; \
         {false_deaths} false deaths",
        deaths.get(deaths.len() / 2).copied().unwrap_or(0.0),
        deaths.last().copied().unwrap_or(0.0),
    );
    if broken.is_empty() {
        println!("held: {figures}");
        ExitCode::SUCCESS
    } else {
        println!("broken: views with seeds {broken:?}; {figures}");
        ExitCode::from(1)
    }
}
