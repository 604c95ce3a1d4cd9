//! What each role needs at a size, row by row. It owns which figure stands for what, at which sizes its slopes are read,
//! and the bound beside it; it must never fill in a figure that was neither measured nor derived from the protocol.
//!
//! A row reads the slopes of its role and figure. Of several (by copies, by endpoints, ...) the first of [`BY`] counts
//! whole, the others by what each one more adds. At another moment than calm a row needs a slope by changes or lines a
//! second, or a figure of that moment alone (`bytes_out_zone_lost`): without either it is not measured.

use crate::size::{Case, Operators, Size};
use crate::slope::{Role, Slope, Slopes};
use crate::sums::{Moment, Sums};

/// What may be varied, and in which order slopes of one figure are joined.
pub const BY: [&str; 8] = [
    "copies",
    "sidecars",
    "followers",
    "watches",
    "endpoints",
    "changes_per_s",
    "lines_per_s",
    "calls_per_s",
];

/// Those that differ from moment to moment.
const RATES: [&str; 2] = ["changes_per_s", "lines_per_s"];

/// What stands in a row for one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cell {
    Figure(f64),
    NotMeasured,
    /// Nothing does it.
    NoMechanism,
}

/// A row worked out.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub role: Role,
    pub what: &'static str,
    pub unit: &'static str,
    /// In the order of [`Moment::ALL`].
    pub cells: [Cell; 6],
    /// The operators'.
    pub bound: Option<f64>,
    /// The mechanism.
    pub carried: &'static str,
    /// How the figure was derived, or which slopes gave it, from where to where.
    pub from: String,
    /// Whether the table over all roles shows it.
    pub main: bool,
}

impl Line {
    /// The largest figure and its moment.
    pub fn worst(&self) -> Option<(Moment, f64)> {
        let figure = |(moment, cell): (Moment, &Cell)| match cell {
            Cell::Figure(figure) => Some((moment, *figure)),
            _ => None,
        };
        let figures = Moment::ALL.into_iter().zip(&self.cells).filter_map(figure);
        figures.reduce(|most, next| if next.1 > most.1 { next } else { most })
    }
}

/// Where a row is worked out.
struct At<'a> {
    moment: Moment,
    operators: &'a Operators,
    case: &'a Case,
    sums: &'a Sums,
}

impl At<'_> {
    fn list_changes(&self) -> f64 {
        self.sums.list_changes(self.moment, self.operators, self.case)
    }

    fn member_changes(&self) -> f64 {
        self.sums.member_changes(self.moment, self.operators, self.case)
    }

    fn configuration_changes(&self) -> f64 {
        self.sums.configuration_changes(self.moment, self.operators, self.case)
    }

    fn machines(&self) -> f64 {
        self.operators.control_machines as f64
    }

    /// Sidecars that begin to call discovery, a second.
    fn returns(&self) -> f64 {
        self.sums.returns(self.moment, self.operators, self.case)
    }

    /// Lines that discovery sends: changes to those who call the service, whole lists to those who know none.
    fn lines(&self) -> f64 {
        let (sums, moment) = (self.sums, self.moment);
        let knows = moment == Moment::RegionBack && !self.case.back_whole;
        let whole = if knows { 0.0 } else { self.returns() * sums.called * sums.listed };
        // What was missed in a cut concerns those who return alone.
        let missing = if moment == Moment::RegionBack { sums.region / sums.endpoints } else { 1.0 };
        self.list_changes() * missing * sums.hearers + whole
    }

    /// Lines of a log that a member's change is worth: a loss two (`suspected`, `dead`), a return one (`back`).
    fn log_lines(&self) -> f64 {
        match self.moment {
            Moment::RackLost | Moment::ZoneLost => 2.0,
            Moment::RegionBack => 1.0,
            Moment::Calm | Moment::BusiestMinute | Moment::Release => 1.5,
        }
    }

    /// Changes of configuration times those whom each concerns, if they were sent to those alone.
    fn sends(&self) -> f64 {
        match self.moment {
            // Those who return lack an hour's changes, each sidecar those that concern it.
            Moment::RegionBack => {
                let missed = self.operators.changes_a_day as f64 / 24.0 * self.operators.cut_hours;
                let part = self.sums.region / self.sums.endpoints;
                missed * self.sums.concerned * part / self.case.back_within_s
            }
            _ => self.configuration_changes() * self.sums.concerned,
        }
    }

    /// A watch of today calls again after this many seconds: 50 calls a second of all copies, 2 to 20 s.
    fn watch_s(&self) -> f64 {
        (self.sums.sharers / 50.0).clamp(2.0, 20.0)
    }
}

/// Whose slopes a row reads, and how often each counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    /// As the program stands: a process, a list and a fleet for each service called; times the services called.
    Processes,
    /// The same, of one of those fleets.
    OneFleet,
    /// The same at the sidecar that calls most.
    MostCalling,
    /// One process in one ring of all copies.
    Ring,
    /// One machine of so many that are left, before all watches; 0 where all are.
    Machine { left: u64 },
    /// All of the eight machines, with one follower for each sidecar.
    AllMachines,
    /// The same with one for each process, as the program stands.
    AllProcesses,
}

impl Shape {
    fn times(self, at: &At<'_>) -> f64 {
        match self {
            Shape::Processes => at.sums.called,
            Shape::MostCalling => at.sums.called_most,
            Shape::OneFleet
            | Shape::Ring
            | Shape::Machine { .. }
            | Shape::AllMachines
            | Shape::AllProcesses => 1.0,
        }
    }

    /// The size at which a slope is read; none for what is varied in no known way.
    fn size(self, role: Role, by: &str, at: &At<'_>) -> Option<f64> {
        let sums = at.sums;
        let of_all = |left: f64| match by {
            "copies" | "watches" if role == Role::Discovery => Some(sums.pairs / left),
            "copies" | "watches" | "sidecars" => Some(sums.endpoints / left),
            // Of the list that one watch tells of.
            "endpoints" => Some(sums.listed),
            "changes_per_s" if role == Role::Configuration => Some(at.configuration_changes()),
            "changes_per_s" => Some(at.list_changes()),
            "lines_per_s" if role == Role::Configuration => Some(at.sends() / left),
            "lines_per_s" => Some(at.lines() / left),
            _ => None,
        };
        let all = |left: u64| of_all(left.max(1) as f64);
        match self {
            // Followers are counted over all eight machines: one that is left alone has eight times its part.
            Shape::Machine { left: 1 } if by == "followers" => Some(sums.pairs * at.machines()),
            Shape::AllProcesses | Shape::Machine { .. } if by == "followers" => Some(sums.pairs),
            Shape::AllMachines if by == "followers" => Some(sums.endpoints),
            Shape::Machine { left } => all(if left == 0 { at.operators.control_machines } else { left }),
            Shape::AllMachines | Shape::AllProcesses => all(1),
            Shape::Ring => match by {
                "copies" => Some(sums.endpoints),
                "endpoints" => Some(sums.called * sums.listed),
                "changes_per_s" => Some(at.member_changes()),
                _ => None,
            },
            Shape::Processes | Shape::OneFleet | Shape::MostCalling => match by {
                "copies" => Some(sums.sharers),
                "endpoints" => Some(sums.listed),
                // What one follower costs does not grow with the others: read where there is one for each sidecar.
                "followers" => Some(sums.endpoints),
                "changes_per_s" if role == Role::Fleet => {
                    Some(at.member_changes() * (sums.sharers / sums.endpoints).min(1.0))
                }
                "changes_per_s" | "lines_per_s" => {
                    Some(at.list_changes() * (sums.listed / sums.endpoints).min(1.0))
                }
                "calls_per_s" => Some(sums.calls_a_sidecar / sums.called),
                _ => None,
            },
        }
    }
}

/// Where a row's figures come from.
enum Need {
    /// By reading the protocol or the program; and how.
    Derived(fn(&At<'_>) -> f64, &'static str),
    /// By slopes of these figures, added up.
    Measured(&'static [&'static str], Shape),
    /// As measured; where nothing was, nothing does it.
    NothingUnless(&'static [&'static str], Shape),
}

struct Row {
    role: Role,
    what: &'static str,
    unit: &'static str,
    need: Need,
    bound: Option<fn(&Operators) -> f64>,
    carried: &'static str,
    main: bool,
}

/// Further relays of commands that may have run, as a share of the commands taken: what the decisions allow a tier.
const REPEATS: f64 = 0.1;
/// Our own goal for relays at the bottom over calls at the top, whatever the depth.
const DEPTH_GOAL: f64 = 1.1;
/// What `[fleet]` lets a process send a second where its configuration says nothing else: the budget of the membership.
pub const BUDGET_BYTES_PER_S: f64 = 98_304.0;

const A_PROCESS: &str = "a process, a list and a fleet for each service called";
const PATH: &str = "the sidecar's own path, by its one owner";
const RING: &str = "membership: one ring of all, if it were so";
const WATCH: &str = "discovery: a watch for each pair; eight machines share them by no mechanism of ours";
const NONE: &str = "none: SIGHUP reads `discovery` only";
const LOGS: &str = "a line for each at each copy; nothing gathers or thins them";

const fn row(role: Role, what: &'static str, unit: &'static str, need: Need, carried: &'static str) -> Row {
    Row { role, what, unit, need, bound: None, carried, main: false }
}

/// One of the table over all roles, with the operators' bound.
const fn held(mut row: Row, bound: fn(&Operators) -> f64) -> Row {
    row.bound = Some(bound);
    row.main = true;
    row
}

/// One of the table over all roles for which the operators state no bound.
const fn shown(mut row: Row) -> Row {
    row.main = true;
    row
}

const BYTES: fn(&Operators) -> f64 = |operators| operators.sidecar_bytes_per_s;
const CORES: fn(&Operators) -> f64 = |operators| operators.sidecar_cores;
const SOON: fn(&Operators) -> f64 = |operators| operators.in_force_s;
const MEMORY: fn(&Operators) -> f64 = |operators| operators.sidecar_mb;

fn sidecar() -> Vec<Row> {
    use Need::{Derived, Measured};
    let of = |what, unit, need| row(Role::Sidecar, what, unit, need, A_PROCESS);
    let each = |figures| Measured(figures, Shape::Processes);
    let most = |figures| Measured(figures, Shape::MostCalling);
    let called = "services called, on average; a process each";
    vec![
        of("state: services called", "services", Derived(|at| at.sums.called, called)),
        of(
            "state: endpoints known",
            "endpoints",
            Derived(|at| at.sums.called * at.sums.listed, "services called times their endpoints"),
        ),
        of("messages out", "messages/s", each(&["messages_out"])),
        of("messages in", "messages/s", each(&["messages_in"])),
        held(of("bytes out", "bytes/s", each(&["bytes_out"])), BYTES),
        held(of("bytes out and in", "bytes/s", each(&["bytes_out", "bytes_in"])), BYTES),
        held(of("bytes out, calling most", "bytes/s", most(&["bytes_out"])), BYTES),
        held(of("processor time", "cores", each(&["cpu"])), CORES),
        held(of("processor time, calling most", "cores", most(&["cpu"])), CORES),
        held(of("memory", "MB", each(&["memory"])), MEMORY),
        held(of("memory, calling most", "MB", most(&["memory"])), MEMORY),
        of("wake-ups", "wake-ups/s", each(&["wake_ups"])),
        held(
            row(
                Role::Sidecar,
                "relays at the bottom over calls at the top, as each tier may repeat",
                "relays/call",
                Derived(
                    |at| (1.0 + REPEATS).powf(at.operators.deep as f64),
                    "1.1 a tier for relays that may have run, to the power of the depth; those that never ran come on top",
                ),
                "a budget of repeats at each tier, none over the depth",
            ),
            |_| DEPTH_GOAL,
        ),
        of("processor time of its calls", "cores", each(&["calls_cpu"])),
        row(Role::Sidecar, "added to a call, median", "ms", Measured(&["added_p50"], Shape::OneFleet), PATH),
        held(
            row(
                Role::Sidecar,
                "added to a call, 99 in 100",
                "ms",
                Measured(&["added_p99"], Shape::OneFleet),
                PATH,
            ),
            |operators| operators.added_ms,
        ),
    ]
}

fn fleet() -> Vec<Row> {
    use Need::{Derived, Measured};
    let of = |what, unit, need| row(Role::Fleet, what, unit, need, A_PROCESS);
    let ring = |what, unit, figures| row(Role::Fleet, what, unit, Measured(figures, Shape::Ring), RING);
    let each = |figures| Measured(figures, Shape::Processes);
    let known = "services called times the copies that call each";
    let changes = "deaths and returns a second, in all fleets";
    vec![
        of("state: members known", "members", Derived(|at| at.sums.called * at.sums.sharers, known)),
        of(
            "state: members of the largest fleet",
            "members",
            Derived(|at| at.sums.sharers_most, "copies that call the service that is called most"),
        ),
        of("members' changes", "changes/s", Derived(|at| at.member_changes(), changes)),
        of("messages out", "messages/s", each(&["messages_out"])),
        of("messages in", "messages/s", each(&["messages_in"])),
        held(of("bytes out", "bytes/s", each(&["bytes_out"])), BYTES),
        held(of("bytes out and in", "bytes/s", each(&["bytes_out", "bytes_in"])), BYTES),
        held(of("processor time", "cores", each(&["cpu"])), CORES),
        held(of("memory", "MB", each(&["memory"])), MEMORY),
        held(
            of(
                "bytes out, as the budget allows",
                "bytes/s",
                Derived(|at| at.sums.called * BUDGET_BYTES_PER_S, "96 KiB a process, times services called"),
            ),
            BYTES,
        ),
        row(
            Role::Fleet,
            "until all know of a death",
            "s",
            Measured(&["death_known"], Shape::OneFleet),
            A_PROCESS,
        ),
        ring("one ring: messages out", "messages/s", &["messages_out"]),
        held(ring("one ring: bytes out", "bytes/s", &["bytes_out"]), BYTES),
        held(ring("one ring: bytes out and in", "bytes/s", &["bytes_out", "bytes_in"]), BYTES),
        held(ring("one ring: processor time", "cores", &["cpu"]), CORES),
        held(ring("one ring: memory", "MB", &["memory"]), MEMORY),
        ring("one ring: until all know of a death", "s", &["death_known"]),
    ]
}

fn discovery() -> Vec<Row> {
    use Need::{Derived, Measured};
    let of = |what, unit, need| row(Role::Discovery, what, unit, need, WATCH);
    let a_machine = |figures| Measured(figures, Shape::Machine { left: 0 });
    let alone = |figures| Measured(figures, Shape::Machine { left: 1 });
    let calls = "watches over 2 to 20 s (copies / 50) each; returns beside";
    let lines = "changes times those who call the service; whole lists at returns";
    let bytes = "lines times bytes of one, without heads; over the machines";
    vec![
        shown(of(
            "state: watches, all machines",
            "watches",
            Derived(|at| at.sums.pairs, "sidecars times services called"),
        )),
        of(
            "state: watches, one of eight",
            "watches",
            Derived(|at| at.sums.pairs / at.machines(), "the same over the machines"),
        ),
        of(
            "endpoints' changes",
            "changes/s",
            Derived(|at| at.list_changes(), "failed and replaced, away and back"),
        ),
        of(
            "messages in, one of eight",
            "calls/s",
            Derived(
                |at| {
                    let anew = at.returns() * at.sums.called;
                    (at.sums.pairs / at.watch_s() + anew) / at.machines()
                },
                calls,
            ),
        ),
        of("list lines out, all machines", "lines/s", Derived(|at| at.lines(), lines)),
        shown(of(
            "bytes of list lines out, one of eight",
            "bytes/s",
            Derived(|at| at.lines() * at.case.line_bytes as f64 / at.machines(), bytes),
        )),
        of("messages out, one of eight", "messages/s", a_machine(&["messages_out"])),
        of("bytes out, one of eight", "bytes/s", a_machine(&["bytes_out"])),
        shown(of("processor time, one of eight", "cores", a_machine(&["cpu"]))),
        shown(of("processor time, one left of eight", "cores", alone(&["cpu"]))),
        shown(of("memory, one of eight", "MB", a_machine(&["memory"]))),
        of("memory, one left of eight", "MB", alone(&["memory"])),
    ]
}

fn configuration() -> Vec<Row> {
    use Need::{Derived, NothingUnless};
    let of = |what, unit, need| row(Role::Configuration, what, unit, need, NONE);
    let a_machine = |figures| NothingUnless(figures, Shape::Machine { left: 0 });
    let alone = |figures| NothingUnless(figures, Shape::Machine { left: 1 });
    let all = |figures| NothingUnless(figures, Shape::AllMachines);
    let each = |figures| NothingUnless(figures, Shape::Processes);
    let sends = "changes times sidecars that call what each concerns, if sent to those alone";
    let bytes = "the same times bytes of one change, over the machines";
    vec![
        of("changes", "changes/s", Derived(|at| at.configuration_changes(), "a day's, at that moment")),
        of("changes out, all machines", "changes/s", Derived(|at| at.sends(), sends)),
        of(
            "bytes of changes out, one of eight",
            "bytes/s",
            Derived(|at| at.sends() * at.case.change_bytes as f64 / at.machines(), bytes),
        ),
        held(of("until in force everywhere", "s", all(&["in_force_last"])), SOON),
        of("until in force, median", "s", all(&["in_force_median"])),
        of("until in force, 99 in 100", "s", all(&["in_force_p99"])),
        held(
            of(
                "until in force everywhere, a follower for each process",
                "s",
                NothingUnless(&["in_force_last"], Shape::AllProcesses),
            ),
            SOON,
        ),
        held(of("until in force everywhere, one of eight killed", "s", all(&["in_force_one_killed"])), SOON),
        held(
            of("until in force everywhere, seven of eight killed", "s", all(&["in_force_seven_killed"])),
            SOON,
        ),
        held(
            of("bytes out and in, a sidecar", "bytes/s", each(&["follower_bytes_out", "follower_bytes_in"])),
            BYTES,
        ),
        held(of("processor time, a sidecar", "cores", each(&["follower_cpu"])), CORES),
        held(of("memory, a sidecar", "MB", each(&["follower_memory"])), MEMORY),
        of("messages in, one of eight", "messages/s", a_machine(&["messages_in"])),
        of("messages out, one of eight", "messages/s", a_machine(&["messages_out"])),
        shown(of("bytes out, one of eight", "bytes/s", a_machine(&["bytes_out"]))),
        shown(of("processor time, one of eight", "cores", a_machine(&["cpu"]))),
        of("processor time, one left of eight", "cores", alone(&["cpu"])),
        shown(of("memory, one of eight", "MB", a_machine(&["memory"]))),
        of("memory, one left of eight", "MB", alone(&["memory"])),
    ]
}

fn console() -> Vec<Row> {
    use Need::{Derived, Measured};
    let of = |what, unit, need| row(Role::Console, what, unit, need, LOGS);
    let lines = "a loss is two lines (`suspected`, `dead`) and a return one at each copy of its fleets";
    let ring = "the same in one ring of all";
    vec![
        shown(of(
            "log lines, all sidecars",
            "lines/s",
            Derived(|at| at.member_changes() * at.log_lines() * at.sums.called * at.sums.sharers, lines),
        )),
        of(
            "log lines, all sidecars, one ring",
            "lines/s",
            Derived(|at| at.member_changes() * at.log_lines() * at.sums.endpoints, ring),
        ),
        of("bytes of logs, one sidecar", "bytes/s", Measured(&["log_bytes"], Shape::Processes)),
        of("processor time of a look at a sidecar", "cores", Measured(&["cpu"], Shape::Processes)),
        of("bytes of a look at a sidecar", "bytes/s", Measured(&["bytes_out"], Shape::Processes)),
    ]
}

fn rows() -> Vec<Row> {
    [sidecar(), fleet(), discovery(), configuration(), console()].into_iter().flatten().collect()
}

/// All rows of a case.
pub fn sheet(size: &Size, case: &Case, slopes: &Slopes) -> Vec<Line> {
    let sums = Sums::of(&size.operators, case);
    let line = |row: Row| {
        let at = |moment| At { moment, operators: &size.operators, case, sums: &sums };
        let cells = Moment::ALL.map(|moment| cell(&row, &at(moment), slopes));
        Line {
            role: row.role,
            what: row.what,
            unit: row.unit,
            cells,
            bound: row.bound.map(|bound| bound(&size.operators)),
            carried: row.carried,
            from: from(&row, &at(Moment::Calm), slopes),
            main: row.main,
        }
    };
    rows().into_iter().map(line).collect()
}

fn cell(row: &Row, at: &At<'_>, slopes: &Slopes) -> Cell {
    let (figures, shape, none) = match row.need {
        Need::Derived(figure, _) => return Cell::Figure(figure(at)),
        Need::Measured(figures, shape) => (figures, shape, Cell::NotMeasured),
        Need::NothingUnless(figures, shape) => (figures, shape, Cell::NoMechanism),
    };
    // With a slope of another moment the row is measured, though not here.
    let any = figures.iter().any(|figure| !read(row, figure, shape, &calm(at), slopes).is_empty());
    let sum: Option<f64> = figures.iter().map(|figure| measured(row, figure, shape, at, slopes)).sum();
    match sum {
        // A line that falls below nothing says no more than that it was read too far out.
        Some(sum) if sum < 0.0 => Cell::NotMeasured,
        Some(sum) => Cell::Figure(sum * shape.times(at)),
        None if any => Cell::NotMeasured,
        None => none,
    }
}

fn calm<'a>(at: &At<'a>) -> At<'a> {
    At { moment: Moment::Calm, ..*at }
}

fn measured(row: &Row, figure: &str, shape: Shape, at: &At<'_>, slopes: &Slopes) -> Option<f64> {
    let joined = |read: Vec<(&Slope, f64)>| {
        let mut read = read.into_iter();
        let (first, size) = read.next()?;
        Some(read.fold(first.at(size), |sum, (slope, size)| sum + slope.each * size))
    };
    if at.moment == Moment::Calm {
        return joined(read(row, figure, shape, at, slopes));
    }
    let own = read(row, &format!("{figure}_{}", at.moment.key()), shape, at, slopes);
    if !own.is_empty() {
        return joined(own);
    }
    let all = read(row, figure, shape, at, slopes);
    let follows = all.iter().any(|(slope, _)| RATES.contains(&slope.by.as_str()));
    follows.then(|| joined(all)).flatten()
}

/// The slopes of a figure in the order of [`BY`], each with the size at which it is read.
fn read<'a>(row: &Row, figure: &str, shape: Shape, at: &At<'_>, slopes: &'a Slopes) -> Vec<(&'a Slope, f64)> {
    let of = |by: &&str| {
        let slope = slopes.of(row.role, figure, by).filter(|slope| slope.unit == row.unit)?;
        Some((slope, shape.size(row.role, by, at)?))
    };
    BY.iter().filter_map(of).collect()
}

/// How a row came about, for its last column.
fn from(row: &Row, at: &At<'_>, slopes: &Slopes) -> String {
    let (figures, shape) = match row.need {
        Need::Derived(_, how) => return format!("derived: {how}"),
        Need::Measured(figures, shape) | Need::NothingUnless(figures, shape) => (figures, shape),
    };
    let mut parts = Vec::new();
    for figure in figures {
        for (slope, size) in read(row, figure, shape, at, slopes) {
            let rate = RATES.contains(&slope.by.as_str());
            let most = Moment::ALL.map(|moment| shape.size(row.role, &slope.by, &At { moment, ..*at }));
            let most = most.into_iter().flatten().fold(size, f64::max);
            let size = if rate { most } else { size };
            let how = if slope.is_extrapolated(size) { "extrapolated" } else { "within" };
            parts.push(format!(
                "`{figure}` by {}, {} to {}, {how}: {}",
                slope.by,
                crate::page::figure(slope.from),
                crate::page::figure(slope.to),
                crate::page::figure(size)
            ));
        }
    }
    match shape {
        Shape::Processes | Shape::MostCalling if !parts.is_empty() => {
            format!("{}; times {}", parts.join("; "), crate::page::figure(shape.times(at)))
        }
        _ => parts.join("; "),
    }
}

/// The names that rows read: role, figure and unit, each once, in the order of the rows.
pub fn figures() -> Vec<(Role, &'static str, &'static str)> {
    let mut all = Vec::new();
    for row in rows() {
        let (Need::Measured(figures, _) | Need::NothingUnless(figures, _)) = row.need else { continue };
        for figure in figures {
            if !all.contains(&(row.role, *figure, row.unit)) {
                all.push((row.role, *figure, row.unit));
            }
        }
    }
    all
}

/// The slopes that no row reads, by their place in the file: of a figure or unit that no row has, or over something that
/// none knows.
pub fn unread(slopes: &Slopes) -> Vec<usize> {
    let names = figures();
    let fits = |slope: &Slope, (role, figure, unit): &(Role, &str, &str)| {
        let rest = slope.figure.strip_prefix(figure);
        let moment = |rest: &str| Moment::ALL.iter().any(|moment| rest == format!("_{}", moment.key()));
        slope.role == *role && slope.unit == *unit && rest.is_some_and(|rest| rest.is_empty() || moment(rest))
    };
    let known = |slope: &Slope| BY.contains(&slope.by.as_str()) && names.iter().any(|name| fits(slope, name));
    slopes.slopes.iter().enumerate().filter(|(_, slope)| !known(slope)).map(|(at, _)| at).collect()
}
