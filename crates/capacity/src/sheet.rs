//! Evaluates what each role needs at a size, one row per figure. It defines which slopes and which multiplier each row
//! uses and the operators' bound next to it. Every figure is measured or derived from the protocol.
//!
//! A row reads the slopes of its role and figure. Where several match (by copies, by endpoints, ...), the first in the
//! order of [`VARIABLES`] counts in full and each other one adds only its increment per unit. At any moment except `Calm` a row
//! needs a slope by changes or lines per second, or a figure of that moment (`bytes_out_zone_lost`); without either it is
//! not measured.

use crate::size::{Case, Operators, Size};
use crate::slope::{Role, Slope, Slopes};
use crate::sums::{CaseStats, Moment};

/// The values that `Slope::by` may have, in the order in which the slopes of one figure are combined.
pub const VARIABLES: [&str; 8] = [
    "copies",
    "sidecars",
    "followers",
    "watches",
    "endpoints",
    "changes_per_s",
    "lines_per_s",
    "calls_per_s",
];

/// The variables whose values depend on the moment.
const RATE_VARIABLES: [&str; 2] = ["changes_per_s", "lines_per_s"];

/// The result of a row at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cell {
    /// The figure, in the row's unit.
    Figure(f64),
    /// No slope gives the figure at this moment.
    NotMeasured,
    /// The system has no mechanism for what the row describes.
    NoMechanism,
}

/// A row evaluated at all moments.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The role that needs the resource.
    pub role: Role,
    /// The row's name in the tables.
    pub label: &'static str,
    /// The unit of the figures and of the bound.
    pub unit: &'static str,
    /// The results, in the order of [`Moment::ALL`].
    pub cells: [Cell; 6],
    /// The operators' bound, in `unit`; for relays per call, the project's own limit.
    pub bound: Option<f64>,
    /// The part of the system that carries the load.
    pub mechanism: &'static str,
    /// The derivation of the figure, or its slopes with the range of their points.
    pub derivation: String,
    /// Whether the summary table of all roles shows the row.
    pub in_summary: bool,
}

impl Row {
    /// The largest figure with its moment; `None` where no moment has a figure.
    pub fn worst(&self) -> Option<(Moment, f64)> {
        let figure = |(moment, cell): (Moment, &Cell)| match cell {
            Cell::Figure(figure) => Some((moment, *figure)),
            _ => None,
        };
        let figures = Moment::ALL.into_iter().zip(&self.cells).filter_map(figure);
        figures.reduce(|largest, next| if next.1 > largest.1 { next } else { largest })
    }
}

/// The moment and the case at which a row is evaluated.
struct Scenario<'a> {
    moment: Moment,
    operators: &'a Operators,
    case: &'a Case,
    stats: &'a CaseStats,
}

impl Scenario<'_> {
    fn list_changes(&self) -> f64 {
        self.stats.list_changes(self.moment, self.operators, self.case)
    }

    fn member_changes(&self) -> f64 {
        self.stats.member_changes(self.moment, self.operators, self.case)
    }

    fn configuration_changes(&self) -> f64 {
        self.stats.configuration_changes(self.moment, self.operators, self.case)
    }

    fn machines(&self) -> f64 {
        self.operators.control_machines as f64
    }

    /// Sidecars that start to call discovery, per second.
    fn returning_sidecars(&self) -> f64 {
        self.stats.returning_sidecars(self.moment, self.operators, self.case)
    }

    /// List lines that discovery sends per second: changes to the sidecars that call the service, and whole lists to the
    /// sidecars that have none.
    fn list_lines(&self) -> f64 {
        let (stats, moment) = (self.stats, self.moment);
        let sends_changes_only = moment == Moment::RegionBack && !self.case.back_whole;
        let whole_lists = if sends_changes_only {
            0.0
        } else {
            self.returning_sidecars() * stats.called_services * stats.listed_endpoints
        };
        // Only the returning sidecars missed the changes made during a partition.
        let share =
            if moment == Moment::RegionBack { stats.returning_endpoints / stats.endpoints } else { 1.0 };
        self.list_changes() * share * stats.notified_sidecars + whole_lists
    }

    /// Log lines per member change: two for a loss (`suspected`, `dead`), one for a return (`back`).
    fn log_lines_per_change(&self) -> f64 {
        match self.moment {
            Moment::RackLost | Moment::ZoneLost => 2.0,
            Moment::RegionBack => 1.0,
            Moment::Calm | Moment::BusiestMinute | Moment::Release => 1.5,
        }
    }

    /// Configuration changes sent per second if each is sent only to the sidecars that it concerns.
    fn configuration_sends(&self) -> f64 {
        match self.moment {
            // Each returning sidecar receives the changes that concern it and that it missed during the partition.
            Moment::RegionBack => {
                let missed = self.operators.changes_a_day as f64 / 24.0 * self.operators.cut_hours;
                let share = self.stats.returning_endpoints / self.stats.endpoints;
                missed * self.stats.affected_sidecars * share / self.case.back_within_s
            }
            _ => self.configuration_changes() * self.stats.affected_sidecars,
        }
    }

    /// The interval at which a watch polls, in seconds: between 2 and 20 s, so that all copies together poll 50 times a
    /// second.
    fn watch_interval_s(&self) -> f64 {
        (self.stats.fleet_size / 50.0).clamp(2.0, 20.0)
    }
}

/// The processes or machines that a row covers. It selects the sizes at which slopes are read and the multiplier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// A sidecar as the program works today: a process, a list and a fleet for each called service, times the mean number
    /// of called services.
    ProcessPerService,
    /// One of the fleets of `ProcessPerService`: the copies that call one service.
    OneFleet,
    /// The sidecar that calls the most services.
    LargestSidecar,
    /// One process of a system in which all copies form a single ring.
    SingleRing,
    /// One control machine when `remaining` machines share all watches; 0 means that no machine has failed.
    Machine { remaining: u64 },
    /// All control machines, with one follower per sidecar.
    FollowerPerSidecar,
    /// All control machines, with one follower per process, as the program works today.
    FollowerPerProcess,
}

impl Scope {
    fn multiplier(self, scenario: &Scenario<'_>) -> f64 {
        match self {
            Scope::ProcessPerService => scenario.stats.called_services,
            Scope::LargestSidecar => scenario.stats.called_services_max,
            Scope::OneFleet
            | Scope::SingleRing
            | Scope::Machine { .. }
            | Scope::FollowerPerSidecar
            | Scope::FollowerPerProcess => 1.0,
        }
    }

    /// The value of the variable `by` at which a slope is read; `None` if the scope does not define one.
    fn variable_value(self, role: Role, by: &str, scenario: &Scenario<'_>) -> Option<f64> {
        let stats = scenario.stats;
        let value = |machines: f64| match by {
            "copies" | "watches" if role == Role::Discovery => Some(stats.pairs / machines),
            "copies" | "watches" | "sidecars" => Some(stats.endpoints / machines),
            // The length of the list that one watch reports.
            "endpoints" => Some(stats.listed_endpoints),
            "changes_per_s" if role == Role::Configuration => Some(scenario.configuration_changes()),
            "changes_per_s" => Some(scenario.list_changes()),
            "lines_per_s" if role == Role::Configuration => Some(scenario.configuration_sends() / machines),
            "lines_per_s" => Some(scenario.list_lines() / machines),
            _ => None,
        };
        let value_over = |machines: u64| value(machines.max(1) as f64);
        match self {
            // Slopes by followers give the figure of one machine over the followers of all machines. The last remaining
            // machine serves as many followers as one of n machines does when there are n times as many.
            Scope::Machine { remaining: 1 } if by == "followers" => Some(stats.pairs * scenario.machines()),
            Scope::FollowerPerProcess | Scope::Machine { .. } if by == "followers" => Some(stats.pairs),
            Scope::FollowerPerSidecar if by == "followers" => Some(stats.endpoints),
            Scope::Machine { remaining } => {
                value_over(if remaining == 0 { scenario.operators.control_machines } else { remaining })
            }
            Scope::FollowerPerSidecar | Scope::FollowerPerProcess => value_over(1),
            Scope::SingleRing => match by {
                "copies" => Some(stats.endpoints),
                "endpoints" => Some(stats.called_services * stats.listed_endpoints),
                "changes_per_s" => Some(scenario.member_changes()),
                _ => None,
            },
            Scope::ProcessPerService | Scope::OneFleet | Scope::LargestSidecar => match by {
                "copies" => Some(stats.fleet_size),
                "endpoints" => Some(stats.listed_endpoints),
                // The cost of one follower does not grow with the number of others, so the slope is read at one per sidecar.
                "followers" => Some(stats.endpoints),
                "changes_per_s" if role == Role::Fleet => {
                    Some(scenario.member_changes() * (stats.fleet_size / stats.endpoints).min(1.0))
                }
                "changes_per_s" | "lines_per_s" => {
                    Some(scenario.list_changes() * (stats.listed_endpoints / stats.endpoints).min(1.0))
                }
                "calls_per_s" => Some(stats.calls_per_sidecar / stats.called_services),
                _ => None,
            },
        }
    }
}

/// The origin of a row's figures.
enum Origin {
    /// Computed from the protocol or the program; the text describes the formula.
    Derived(fn(&Scenario<'_>) -> f64, &'static str),
    /// The sum of these measured figures.
    Measured(&'static [&'static str], Scope),
    /// Like `Measured`, but without any slope the system has no mechanism for it.
    MeasuredOrNoMechanism(&'static [&'static str], Scope),
}

/// The definition of a row.
struct RowSpec {
    role: Role,
    label: &'static str,
    unit: &'static str,
    origin: Origin,
    bound: Option<fn(&Operators) -> f64>,
    mechanism: &'static str,
    in_summary: bool,
}

/// Retries of commands that may have run, as a fraction of the commands accepted: the retry budget of one tier.
const RETRY_BUDGET: f64 = 0.1;
/// The project's own limit for relays at the bottom tier per call at the top tier, at any depth; the operators state none.
const RELAY_RATIO_GOAL: f64 = 1.1;
/// The default budget of the membership protocol per process, in bytes per second; `[fleet]` may set another.
pub const BUDGET_BYTES_PER_S: f64 = 98_304.0;

const PROCESS_PER_SERVICE: &str = "a process, a list and a fleet for each service called";
const REQUEST_PATH: &str = "the sidecar's own path, by its one owner";
const SINGLE_RING: &str = "membership: one ring of all, if it were so";
const WATCH_PER_PAIR: &str =
    "discovery: a watch for each pair; eight machines share them by no mechanism of ours";
const NO_MECHANISM: &str = "none: SIGHUP reads `discovery` only";
const UNAGGREGATED_LOGS: &str = "a line for each at each copy; nothing gathers or thins them";

const fn row(
    role: Role,
    label: &'static str,
    unit: &'static str,
    origin: Origin,
    mechanism: &'static str,
) -> RowSpec {
    RowSpec { role, label, unit, origin, bound: None, mechanism, in_summary: false }
}

/// Adds the row to the summary table, with a bound.
const fn bounded(mut row: RowSpec, bound: fn(&Operators) -> f64) -> RowSpec {
    row.bound = Some(bound);
    row.in_summary = true;
    row
}

/// Adds the row to the summary table without a bound.
const fn summarized(mut row: RowSpec) -> RowSpec {
    row.in_summary = true;
    row
}

const BYTES_BOUND: fn(&Operators) -> f64 = |operators| operators.sidecar_bytes_per_s;
const CORES_BOUND: fn(&Operators) -> f64 = |operators| operators.sidecar_cores;
const IN_FORCE_BOUND: fn(&Operators) -> f64 = |operators| operators.in_force_s;
const MEMORY_BOUND: fn(&Operators) -> f64 = |operators| operators.sidecar_mb;

fn sidecar_rows() -> Vec<RowSpec> {
    use Origin::{Derived, Measured};
    let spec = |label, unit, origin| row(Role::Sidecar, label, unit, origin, PROCESS_PER_SERVICE);
    let per_sidecar = |figures| Measured(figures, Scope::ProcessPerService);
    let largest_sidecar = |figures| Measured(figures, Scope::LargestSidecar);
    let called_derivation = "services called, on average; a process each";
    vec![
        spec(
            "state: services called",
            "services",
            Derived(|scenario| scenario.stats.called_services, called_derivation),
        ),
        spec(
            "state: endpoints known",
            "endpoints",
            Derived(
                |scenario| scenario.stats.called_services * scenario.stats.listed_endpoints,
                "services called times their endpoints",
            ),
        ),
        spec("messages out", "messages/s", per_sidecar(&["messages_out"])),
        spec("messages in", "messages/s", per_sidecar(&["messages_in"])),
        bounded(spec("bytes out", "bytes/s", per_sidecar(&["bytes_out"])), BYTES_BOUND),
        bounded(spec("bytes out and in", "bytes/s", per_sidecar(&["bytes_out", "bytes_in"])), BYTES_BOUND),
        bounded(spec("bytes out, calling most", "bytes/s", largest_sidecar(&["bytes_out"])), BYTES_BOUND),
        bounded(spec("processor time", "cores", per_sidecar(&["cpu"])), CORES_BOUND),
        bounded(spec("processor time, calling most", "cores", largest_sidecar(&["cpu"])), CORES_BOUND),
        bounded(spec("memory", "MB", per_sidecar(&["memory"])), MEMORY_BOUND),
        bounded(spec("memory, calling most", "MB", largest_sidecar(&["memory"])), MEMORY_BOUND),
        spec("wake-ups", "wake-ups/s", per_sidecar(&["wake_ups"])),
        bounded(
            row(
                Role::Sidecar,
                "relays at the bottom over calls at the top, as each tier may repeat",
                "relays/call",
                Derived(
                    |scenario| (1.0 + RETRY_BUDGET).powf(scenario.operators.deep as f64),
                    "1.1 a tier for relays that may have run, to the power of the depth; those that never ran come on top",
                ),
                "a budget of repeats at each tier, none over the depth",
            ),
            |_| RELAY_RATIO_GOAL,
        ),
        spec("processor time of its calls", "cores", per_sidecar(&["calls_cpu"])),
        row(
            Role::Sidecar,
            "added to a call, median",
            "ms",
            Measured(&["added_p50"], Scope::OneFleet),
            REQUEST_PATH,
        ),
        bounded(
            row(
                Role::Sidecar,
                "added to a call, 99 in 100",
                "ms",
                Measured(&["added_p99"], Scope::OneFleet),
                REQUEST_PATH,
            ),
            |operators| operators.added_ms,
        ),
    ]
}

fn fleet_rows() -> Vec<RowSpec> {
    use Origin::{Derived, Measured};
    let spec = |label, unit, origin| row(Role::Fleet, label, unit, origin, PROCESS_PER_SERVICE);
    let single_ring = |label, unit, figures| {
        row(Role::Fleet, label, unit, Measured(figures, Scope::SingleRing), SINGLE_RING)
    };
    let per_sidecar = |figures| Measured(figures, Scope::ProcessPerService);
    let known_derivation = "services called times the copies that call each";
    let changes_derivation = "deaths and returns a second, in all fleets";
    vec![
        spec(
            "state: members known",
            "members",
            Derived(|scenario| scenario.stats.called_services * scenario.stats.fleet_size, known_derivation),
        ),
        spec(
            "state: members of the largest fleet",
            "members",
            Derived(
                |scenario| scenario.stats.fleet_size_max,
                "copies that call the service that is called most",
            ),
        ),
        spec(
            "members' changes",
            "changes/s",
            Derived(|scenario| scenario.member_changes(), changes_derivation),
        ),
        spec("messages out", "messages/s", per_sidecar(&["messages_out"])),
        spec("messages in", "messages/s", per_sidecar(&["messages_in"])),
        bounded(spec("bytes out", "bytes/s", per_sidecar(&["bytes_out"])), BYTES_BOUND),
        bounded(spec("bytes out and in", "bytes/s", per_sidecar(&["bytes_out", "bytes_in"])), BYTES_BOUND),
        bounded(spec("processor time", "cores", per_sidecar(&["cpu"])), CORES_BOUND),
        bounded(spec("memory", "MB", per_sidecar(&["memory"])), MEMORY_BOUND),
        bounded(
            spec(
                "bytes out, as the budget allows",
                "bytes/s",
                Derived(
                    |scenario| scenario.stats.called_services * BUDGET_BYTES_PER_S,
                    "96 KiB a process, times services called",
                ),
            ),
            BYTES_BOUND,
        ),
        row(
            Role::Fleet,
            "until all know of a death",
            "s",
            Measured(&["death_known"], Scope::OneFleet),
            PROCESS_PER_SERVICE,
        ),
        single_ring("one ring: messages out", "messages/s", &["messages_out"]),
        bounded(single_ring("one ring: bytes out", "bytes/s", &["bytes_out"]), BYTES_BOUND),
        bounded(
            single_ring("one ring: bytes out and in", "bytes/s", &["bytes_out", "bytes_in"]),
            BYTES_BOUND,
        ),
        bounded(single_ring("one ring: processor time", "cores", &["cpu"]), CORES_BOUND),
        bounded(single_ring("one ring: memory", "MB", &["memory"]), MEMORY_BOUND),
        single_ring("one ring: until all know of a death", "s", &["death_known"]),
    ]
}

fn discovery_rows() -> Vec<RowSpec> {
    use Origin::{Derived, Measured};
    let spec = |label, unit, origin| row(Role::Discovery, label, unit, origin, WATCH_PER_PAIR);
    let one_machine = |figures| Measured(figures, Scope::Machine { remaining: 0 });
    let last_machine = |figures| Measured(figures, Scope::Machine { remaining: 1 });
    let calls_derivation = "watches over 2 to 20 s (copies / 50) each; returns beside";
    let lines_derivation = "changes times those who call the service; whole lists at returns";
    let bytes_derivation = "lines times bytes of one, without heads; over the machines";
    vec![
        summarized(spec(
            "state: watches, all machines",
            "watches",
            Derived(|scenario| scenario.stats.pairs, "sidecars times services called"),
        )),
        spec(
            "state: watches, one of eight",
            "watches",
            Derived(|scenario| scenario.stats.pairs / scenario.machines(), "the same over the machines"),
        ),
        spec(
            "endpoints' changes",
            "changes/s",
            Derived(|scenario| scenario.list_changes(), "failed and replaced, away and back"),
        ),
        spec(
            "messages in, one of eight",
            "calls/s",
            Derived(
                |scenario| {
                    let from_returns = scenario.returning_sidecars() * scenario.stats.called_services;
                    (scenario.stats.pairs / scenario.watch_interval_s() + from_returns) / scenario.machines()
                },
                calls_derivation,
            ),
        ),
        spec(
            "list lines out, all machines",
            "lines/s",
            Derived(|scenario| scenario.list_lines(), lines_derivation),
        ),
        summarized(spec(
            "bytes of list lines out, one of eight",
            "bytes/s",
            Derived(
                |scenario| scenario.list_lines() * scenario.case.line_bytes as f64 / scenario.machines(),
                bytes_derivation,
            ),
        )),
        spec("messages out, one of eight", "messages/s", one_machine(&["messages_out"])),
        spec("bytes out, one of eight", "bytes/s", one_machine(&["bytes_out"])),
        summarized(spec("processor time, one of eight", "cores", one_machine(&["cpu"]))),
        summarized(spec("processor time, one left of eight", "cores", last_machine(&["cpu"]))),
        summarized(spec("memory, one of eight", "MB", one_machine(&["memory"]))),
        spec("memory, one left of eight", "MB", last_machine(&["memory"])),
    ]
}

fn configuration_rows() -> Vec<RowSpec> {
    use Origin::{Derived, MeasuredOrNoMechanism};
    let spec = |label, unit, origin| row(Role::Configuration, label, unit, origin, NO_MECHANISM);
    let one_machine = |figures| MeasuredOrNoMechanism(figures, Scope::Machine { remaining: 0 });
    let last_machine = |figures| MeasuredOrNoMechanism(figures, Scope::Machine { remaining: 1 });
    let all_machines = |figures| MeasuredOrNoMechanism(figures, Scope::FollowerPerSidecar);
    let per_sidecar = |figures| MeasuredOrNoMechanism(figures, Scope::ProcessPerService);
    let sends_derivation = "changes times sidecars that call what each concerns, if sent to those alone";
    let bytes_derivation = "the same times bytes of one change, over the machines";
    vec![
        spec(
            "changes",
            "changes/s",
            Derived(|scenario| scenario.configuration_changes(), "a day's, at that moment"),
        ),
        spec(
            "changes out, all machines",
            "changes/s",
            Derived(|scenario| scenario.configuration_sends(), sends_derivation),
        ),
        spec(
            "bytes of changes out, one of eight",
            "bytes/s",
            Derived(
                |scenario| {
                    scenario.configuration_sends() * scenario.case.change_bytes as f64 / scenario.machines()
                },
                bytes_derivation,
            ),
        ),
        bounded(spec("until in force everywhere", "s", all_machines(&["in_force_last"])), IN_FORCE_BOUND),
        spec("until in force, median", "s", all_machines(&["in_force_median"])),
        spec("until in force, 99 in 100", "s", all_machines(&["in_force_p99"])),
        bounded(
            spec(
                "until in force everywhere, a follower for each process",
                "s",
                MeasuredOrNoMechanism(&["in_force_last"], Scope::FollowerPerProcess),
            ),
            IN_FORCE_BOUND,
        ),
        bounded(
            spec(
                "until in force everywhere, one of eight killed",
                "s",
                all_machines(&["in_force_one_killed"]),
            ),
            IN_FORCE_BOUND,
        ),
        bounded(
            spec(
                "until in force everywhere, seven of eight killed",
                "s",
                all_machines(&["in_force_seven_killed"]),
            ),
            IN_FORCE_BOUND,
        ),
        bounded(
            spec(
                "bytes out and in, a sidecar",
                "bytes/s",
                per_sidecar(&["follower_bytes_out", "follower_bytes_in"]),
            ),
            BYTES_BOUND,
        ),
        bounded(spec("processor time, a sidecar", "cores", per_sidecar(&["follower_cpu"])), CORES_BOUND),
        bounded(spec("memory, a sidecar", "MB", per_sidecar(&["follower_memory"])), MEMORY_BOUND),
        spec("messages in, one of eight", "messages/s", one_machine(&["messages_in"])),
        spec("messages out, one of eight", "messages/s", one_machine(&["messages_out"])),
        summarized(spec("bytes out, one of eight", "bytes/s", one_machine(&["bytes_out"]))),
        summarized(spec("processor time, one of eight", "cores", one_machine(&["cpu"]))),
        spec("processor time, one left of eight", "cores", last_machine(&["cpu"])),
        summarized(spec("memory, one of eight", "MB", one_machine(&["memory"]))),
        spec("memory, one left of eight", "MB", last_machine(&["memory"])),
    ]
}

fn console_rows() -> Vec<RowSpec> {
    use Origin::{Derived, Measured};
    let spec = |label, unit, origin| row(Role::Console, label, unit, origin, UNAGGREGATED_LOGS);
    let lines_derivation =
        "a loss is two lines (`suspected`, `dead`) and a return one at each copy of its fleets";
    let ring_derivation = "the same in one ring of all";
    vec![
        summarized(spec(
            "log lines, all sidecars",
            "lines/s",
            Derived(
                |scenario| {
                    scenario.member_changes()
                        * scenario.log_lines_per_change()
                        * scenario.stats.called_services
                        * scenario.stats.fleet_size
                },
                lines_derivation,
            ),
        )),
        spec(
            "log lines, all sidecars, one ring",
            "lines/s",
            Derived(
                |scenario| {
                    scenario.member_changes() * scenario.log_lines_per_change() * scenario.stats.endpoints
                },
                ring_derivation,
            ),
        ),
        spec("bytes of logs, one sidecar", "bytes/s", Measured(&["log_bytes"], Scope::ProcessPerService)),
        spec("processor time of a look at a sidecar", "cores", Measured(&["cpu"], Scope::ProcessPerService)),
        spec("bytes of a look at a sidecar", "bytes/s", Measured(&["bytes_out"], Scope::ProcessPerService)),
    ]
}

/// The definitions of all rows, grouped by role.
fn row_specs() -> Vec<RowSpec> {
    [sidecar_rows(), fleet_rows(), discovery_rows(), configuration_rows(), console_rows()]
        .into_iter()
        .flatten()
        .collect()
}

/// Evaluates all rows of a case at all moments.
pub fn sheet(size: &Size, case: &Case, slopes: &Slopes) -> Vec<Row> {
    let stats = CaseStats::new(&size.operators, case);
    let evaluated = |row: RowSpec| {
        let scenario_at = |moment| Scenario { moment, operators: &size.operators, case, stats: &stats };
        let cells = Moment::ALL.map(|moment| evaluate(&row, &scenario_at(moment), slopes));
        Row {
            role: row.role,
            label: row.label,
            unit: row.unit,
            cells,
            bound: row.bound.map(|bound| bound(&size.operators)),
            mechanism: row.mechanism,
            derivation: describe_derivation(&row, &scenario_at(Moment::Calm), slopes),
            in_summary: row.in_summary,
        }
    };
    row_specs().into_iter().map(evaluated).collect()
}

/// The result of a row at the scenario's moment.
fn evaluate(row: &RowSpec, scenario: &Scenario<'_>, slopes: &Slopes) -> Cell {
    let (figures, scope, missing) = match row.origin {
        Origin::Derived(figure, _) => return Cell::Figure(figure(scenario)),
        Origin::Measured(figures, scope) => (figures, scope, Cell::NotMeasured),
        Origin::MeasuredOrNoMechanism(figures, scope) => (figures, scope, Cell::NoMechanism),
    };
    // A row that has a slope at calm has a mechanism, so a missing figure means that this moment was not measured.
    let has_calm_slope = figures
        .iter()
        .any(|figure| !matching_slopes(row, figure, scope, &at_calm(scenario), slopes).is_empty());
    let sum: Option<f64> =
        figures.iter().map(|figure| evaluate_figure(row, figure, scope, scenario, slopes)).sum();
    match sum {
        // A negative sum only shows that a slope was extrapolated too far.
        Some(sum) if sum < 0.0 => Cell::NotMeasured,
        Some(sum) => Cell::Figure(sum * scope.multiplier(scenario)),
        None if has_calm_slope => Cell::NotMeasured,
        None => missing,
    }
}

fn at_calm<'a>(scenario: &Scenario<'a>) -> Scenario<'a> {
    Scenario { moment: Moment::Calm, ..*scenario }
}

/// One measured figure of a row, or `None` if no slope gives it at the scenario's moment.
fn evaluate_figure(
    row: &RowSpec,
    figure: &str,
    scope: Scope,
    scenario: &Scenario<'_>,
    slopes: &Slopes,
) -> Option<f64> {
    let combined = |matching: Vec<(&Slope, f64)>| {
        let mut matching = matching.into_iter();
        let (first, value) = matching.next()?;
        Some(matching.fold(first.at(value), |sum, (slope, value)| sum + slope.each * value))
    };
    if scenario.moment == Moment::Calm {
        return combined(matching_slopes(row, figure, scope, scenario, slopes));
    }
    let moment_slopes =
        matching_slopes(row, &format!("{figure}_{}", scenario.moment.key()), scope, scenario, slopes);
    if !moment_slopes.is_empty() {
        return combined(moment_slopes);
    }
    let figure_slopes = matching_slopes(row, figure, scope, scenario, slopes);
    let has_rate_slope = figure_slopes.iter().any(|(slope, _)| RATE_VARIABLES.contains(&slope.by.as_str()));
    has_rate_slope.then(|| combined(figure_slopes)).flatten()
}

/// The slopes of a figure in the order of [`VARIABLES`], each with the value of its variable.
fn matching_slopes<'a>(
    row: &RowSpec,
    figure: &str,
    scope: Scope,
    scenario: &Scenario<'_>,
    slopes: &'a Slopes,
) -> Vec<(&'a Slope, f64)> {
    let matching = |by: &&str| {
        let slope = slopes.find(row.role, figure, by).filter(|slope| slope.unit == row.unit)?;
        Some((slope, scope.variable_value(row.role, by, scenario)?))
    };
    VARIABLES.iter().filter_map(matching).collect()
}

/// The text of a row's last column: its derivation, or its slopes with their ranges.
fn describe_derivation(row: &RowSpec, scenario: &Scenario<'_>, slopes: &Slopes) -> String {
    let (figures, scope) = match row.origin {
        Origin::Derived(_, how) => return format!("derived: {how}"),
        Origin::Measured(figures, scope) | Origin::MeasuredOrNoMechanism(figures, scope) => (figures, scope),
    };
    let mut parts = Vec::new();
    for figure in figures {
        for (slope, size) in matching_slopes(row, figure, scope, scenario, slopes) {
            let is_rate = RATE_VARIABLES.contains(&slope.by.as_str());
            let values = Moment::ALL
                .map(|moment| scope.variable_value(row.role, &slope.by, &Scenario { moment, ..*scenario }));
            let largest = values.into_iter().flatten().fold(size, f64::max);
            let size = if is_rate { largest } else { size };
            let range = if slope.is_extrapolated(size) { "extrapolated" } else { "within" };
            parts.push(format!(
                "`{figure}` by {}, {} to {}, {range}: {}",
                slope.by,
                crate::page::format_figure(slope.from),
                crate::page::format_figure(slope.to),
                crate::page::format_figure(size)
            ));
        }
    }
    match scope {
        Scope::ProcessPerService | Scope::LargestSidecar if !parts.is_empty() => {
            format!("{}; times {}", parts.join("; "), crate::page::format_figure(scope.multiplier(scenario)))
        }
        _ => parts.join("; "),
    }
}

/// The figures that rows read as role, name and unit, without duplicates, in the order of the rows.
pub fn figure_names() -> Vec<(Role, &'static str, &'static str)> {
    let mut names = Vec::new();
    for row in row_specs() {
        let (Origin::Measured(figures, _) | Origin::MeasuredOrNoMechanism(figures, _)) = row.origin else {
            continue;
        };
        for figure in figures {
            if !names.contains(&(row.role, *figure, row.unit)) {
                names.push((row.role, *figure, row.unit));
            }
        }
    }
    names
}

/// The indices of the slopes that no row reads because of their figure, unit or variable.
pub fn unused_slopes(slopes: &Slopes) -> Vec<usize> {
    let names = figure_names();
    let matches = |slope: &Slope, (role, figure, unit): &(Role, &str, &str)| {
        let suffix = slope.figure.strip_prefix(figure);
        let is_moment =
            |suffix: &str| Moment::ALL.iter().any(|moment| suffix == format!("_{}", moment.key()));
        slope.role == *role
            && slope.unit == *unit
            && suffix.is_some_and(|suffix| suffix.is_empty() || is_moment(suffix))
    };
    let is_used = |slope: &Slope| {
        VARIABLES.contains(&slope.by.as_str()) && names.iter().any(|name| matches(slope, name))
    };
    slopes.slopes.iter().enumerate().filter(|(_, slope)| !is_used(slope)).map(|(index, _)| index).collect()
}
