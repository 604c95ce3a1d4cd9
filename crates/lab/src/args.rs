//! The command line's words.

use argh::FromArgs;
use landingspread_lab::pickers::LoadBalancerKind;
use std::path::PathBuf;

/// landingspread's lab: an emulated world for the decisions, with faults, a referee and reports
#[derive(FromArgs)]
pub struct CommandLine {
    #[argh(subcommand)]
    pub wanted: Wanted,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Wanted {
    List(List),
    Show(Show),
    Run(Run),
    Sweep(Sweep),
    Compare(Compare),
    Sockets(Sockets),
    Demo(Demo),
    Load(Load),
    Bench(Bench),
    Added(Added),
    Fleet(Fleet),
    Check(Check),
    Scale(Scale),
    Soak(Soak),
    FanOut(FanOut),
    Capacity(Capacity),
}

/// real processes under load and overlapping troubles, judged by the rules; the last line is held or broken
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// the first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds, one after another
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// how long each is played, as in 20s
    #[argh(option, default = "std::time::Duration::from_secs(20)", from_str_fn(span))]
    pub time: std::time::Duration,
    /// sidecar processes, in place of 24
    #[argh(option)]
    pub sidecars: Option<usize>,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

fn span(text: &str) -> Result<std::time::Duration, String> {
    let seconds = text.strip_suffix('s').unwrap_or(text).parse::<f64>().ok();
    let span = seconds.and_then(|seconds| std::time::Duration::try_from_secs_f64(seconds).ok());
    span.ok_or_else(|| format!("{text:?} is no span such as 20s"))
}

/// time until every sidecar has a change of configuration in force, with control machines killed and regions cut
#[derive(FromArgs)]
#[argh(subcommand, name = "fan-out")]
pub struct FanOut {
    /// how many sidecars follow
    #[argh(option, default = "1000")]
    pub followers: usize,
    /// of how many services
    #[argh(option, default = "1")]
    pub services: usize,
    /// seconds of calm that are measured
    #[argh(option, default = "18.0")]
    pub calm: f64,
}

/// what each role needs at a size, from measured slopes, beside the operators' bounds; as Markdown
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// the size; the built-in one where it is not given
    #[argh(option)]
    pub size: Option<PathBuf>,
    /// the slopes that scale wrote; the built-in ones where it is not given
    #[argh(option)]
    pub slopes: Option<PathBuf>,
    /// slopes with the mechanism that was missing first; the built-in ones where it is not given
    #[argh(option)]
    pub after: Option<PathBuf>,
    /// a page whose tables are to be replaced, in place of printing them
    #[argh(option)]
    pub into: Option<PathBuf>,
    /// print the built-in size as a file to start from
    #[argh(switch)]
    pub show: bool,
}

/// try everything that can come between a few copies and their verdicts on zones, up to a depth
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// how many copies
    #[argh(option, default = "3")]
    pub copies: usize,
    /// how many moments
    #[argh(option, default = "4")]
    pub depth: usize,
    /// a way that is wrong, in place of the program's own: last-word, counted-often
    #[argh(option)]
    pub variant: Option<String>,
}

/// list the built-in experiments and worlds
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {}

/// print a built-in experiment or world as a file to start from
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// its name
    #[argh(positional)]
    pub name: String,
}

/// play one case with one seed and say what came of it
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the case; the first where none is named
    #[argh(option)]
    pub case: Option<String>,
    /// the picker
    #[argh(option, default = "LoadBalancerKind::Landingspread")]
    pub picker: LoadBalancerKind,
    /// the seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// a further picker to play beside it, for the report; may be given several times
    #[argh(option)]
    pub against: Vec<LoadBalancerKind>,
    /// where a page with plots goes
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// print each second too
    #[argh(switch)]
    pub seconds: bool,
}

/// make all runs of an experiment, on all cores
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
pub struct Sweep {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    pub name: String,
    /// where the results go, as JSON lines
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// threads; as many as cores where it is not given
    #[argh(option, default = "0")]
    pub threads: usize,
    /// seeds, in place of the file's count
    #[argh(option)]
    pub seeds: Option<u64>,
    /// a picker, in place of the file's; may be given several times
    #[argh(option)]
    pub picker: Vec<LoadBalancerKind>,
}

/// hold one picker against the others, seed by seed, in results of a sweep
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// the file that sweep wrote
    #[argh(positional)]
    pub results: PathBuf,
    /// the picker that the others are held against
    #[argh(option, default = "LoadBalancerKind::Landingspread")]
    pub picker: LoadBalancerKind,
}

/// play one case on real sockets, round real landingspread processes
#[derive(FromArgs)]
#[argh(subcommand, name = "sockets")]
pub struct Sockets {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the case; the first where none is named
    #[argh(option)]
    pub case: Option<String>,
    /// the seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// where a page with plots goes
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

/// see it work: two tiers, two sidecars, one server killed and one slowed, in 30 seconds
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

/// send commands to an address and print the figures; latencies count from the intended send
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// an address and port on loopback
    #[argh(positional)]
    pub to: std::net::SocketAddr,
    /// connections
    #[argh(option, default = "32")]
    pub connections: usize,
    /// commands a second; as fast as they are answered where it is not given
    #[argh(option, default = "0.0")]
    pub rate: f64,
    /// seconds
    #[argh(option, default = "5.0")]
    pub seconds: f64,
    /// the verb, sent as GET
    #[argh(option, default = "String::from(\"view\")")]
    pub verb: String,
}

/// how much one sidecar carries, by connections and servers, before stand-ins that answer at once
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// seconds before the figures count; 0 shows what a copy does that has just started
    #[argh(option, default = "3.0")]
    pub settle: f64,
    /// servers behind the sidecar; may be given several times, 8 and 200 where it is not
    #[argh(option)]
    pub servers: Vec<usize>,
    /// connections to it; may be given several times, 1, 8, 32 and 128 where it is not
    #[argh(option)]
    pub connections: Vec<usize>,
    /// seconds for each figure
    #[argh(option, default = "5.0")]
    pub seconds: f64,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

/// how much time one sidecar adds to a call: the same calls straight to stand-ins and through it, in turn
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
pub struct Added {
    /// calls a second; may be given several times, 65 and 650 where it is not
    #[argh(option)]
    pub rate: Vec<f64>,
    /// pairs for each rate
    #[argh(option, default = "10")]
    pub pairs: usize,
    /// seconds for each half of a pair
    #[argh(option, default = "6.0")]
    pub seconds: f64,
    /// connections to the sidecar, or to the stand-ins
    #[argh(option, default = "4")]
    pub connections: usize,
    /// stand-ins
    #[argh(option, default = "2")]
    pub servers: usize,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// a build to hold against it: calls go straight, through the one and through the other, in turn
    #[argh(option)]
    pub against: Option<PathBuf>,
}

/// play a plan of faults round a fleet of processes; the last line says held or broken
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    /// a plan of a fleet, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many copies, in place of the plan's
    #[argh(option)]
    pub processes: Option<usize>,
    /// play the copies' membership alone, in virtual time, with as many seeds from --seed on
    #[argh(option)]
    pub emulated: Option<u64>,
    /// seconds between looks at all views
    #[argh(option, default = "0.1")]
    pub look_every: f64,
    /// seconds within which copies start, in virtual time
    #[argh(option, default = "1.0")]
    pub start_within: f64,
    /// draw the faults from the seed; they are written out as a plan that replays them
    #[argh(switch)]
    pub nemesis: bool,
    /// where a page with a lane for each process goes
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// an older build, for faults that start it
    #[argh(option)]
    pub old: Option<PathBuf>,
    /// leave the fleet part out of the copies' configuration: each goes by its configured count for ever
    #[argh(switch)]
    pub alone: bool,
    /// leave the part out by which the fleet leaves zones
    #[argh(switch)]
    pub no_localities: bool,
}

/// measure what the control side costs by size: hollow sidecars with real ones among them; slopes are fitted
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    /// what is varied: copies, endpoints, changes_per_s or calls_per_s
    #[argh(option, default = "String::from(\"copies\")")]
    pub by: String,
    /// a value of it; may be given several times
    #[argh(option)]
    pub at: Vec<f64>,
    /// copies, where they are not varied; the real ones are among them
    #[argh(option, default = "30")]
    pub copies: usize,
    /// endpoints, where they are not varied
    #[argh(option, default = "6")]
    pub endpoints: usize,
    /// changes of the list a second, where they are not varied
    #[argh(option, default = "0.0")]
    pub changes: f64,
    /// copies of one fleet; all in one where it is 0
    #[argh(option, default = "0")]
    pub fleet_size: usize,
    /// real sidecars among them; half of them carry calls
    #[argh(option, default = "4")]
    pub real: usize,
    /// calls a second at each that carries calls
    #[argh(option, default = "65.0")]
    pub rate: f64,
    /// runs of each size
    #[argh(option, default = "1")]
    pub runs: usize,
    /// seconds that count
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// seconds after all see all before figures count
    #[argh(option, default = "3.0")]
    pub settle: f64,
    /// hollow ones to a process; by the size where it is 0
    #[argh(option, default = "0")]
    pub each: usize,
    /// a zone's hollow ones are killed afterwards, and come back together
    #[argh(switch)]
    pub lose_a_zone: bool,
    /// where runs are kept as JSON lines; those that it has are fitted too
    #[argh(option)]
    pub keep: Option<PathBuf>,
    /// a size that is no part of the fit, which is told what it predicts there; may be given several times
    #[argh(option)]
    pub left_out: Vec<f64>,
    /// where the slopes go, for capacity
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// MB that all processes may hold together
    #[argh(option, default = "12_000.0")]
    pub memory_mb: f64,
    /// processes at most
    #[argh(option, default = "300")]
    pub processes: usize,
    /// the git hash of what is measured
    #[argh(option, default = "String::from(\"unknown\")")]
    pub build: String,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// the form of CI: 120 and 240 copies once, 4 s each
    #[argh(switch)]
    pub short: bool,
}
