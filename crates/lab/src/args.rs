//! The subcommands and options of the command line.

use argh::FromArgs;
use landingspread_lab::pickers::LoadBalancerKind;
use std::path::PathBuf;

/// landingspread's lab: simulation and test rigs for the load balancer, with faults, rule checks and reports
#[derive(FromArgs)]
pub struct CommandLine {
    #[argh(subcommand)]
    pub subcommand: Subcommand,
}

/// The sub-commands of the program.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Subcommand {
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

/// run real processes under load and overlapping faults and check the rules; the last line is held or broken
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// the seed of the first run
    #[argh(option, default = "1")]
    pub seed: u64,
    /// count of seeds, run one after another
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// duration of the run of each seed, as in 20s
    #[argh(option, default = "std::time::Duration::from_secs(20)", from_str_fn(duration))]
    pub time: std::time::Duration,
    /// count of sidecar processes, 24 if not given
    #[argh(option)]
    pub sidecars: Option<usize>,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

fn duration(text: &str) -> Result<std::time::Duration, String> {
    let seconds = text.strip_suffix('s').unwrap_or(text).parse::<f64>().ok();
    let duration = seconds.and_then(|seconds| std::time::Duration::try_from_secs_f64(seconds).ok());
    duration.ok_or_else(|| format!("{text:?} is not a duration such as 20s"))
}

/// measure the time until a configuration change is in force at every sidecar, with control machines killed and regions
/// cut off
#[derive(FromArgs)]
#[argh(subcommand, name = "fan-out")]
pub struct FanOut {
    /// count of sidecars that follow
    #[argh(option, default = "1000")]
    pub followers: usize,
    /// count of their services
    #[argh(option, default = "1")]
    pub services: usize,
    /// seconds without changes that are measured
    #[argh(option, default = "18.0")]
    pub calm: f64,
}

/// print what each role needs at a size, from measured slopes, next to the operators' bounds, as Markdown
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// file of the size; built in if not given
    #[argh(option)]
    pub size: Option<PathBuf>,
    /// file of the slopes that scale wrote; built in if not given
    #[argh(option)]
    pub slopes: Option<PathBuf>,
    /// file of the slopes with the mechanism that was missing at first; built in if not given
    #[argh(option)]
    pub after: Option<PathBuf>,
    /// page whose tables are replaced, instead of printing them
    #[argh(option)]
    pub into: Option<PathBuf>,
    /// print the built-in size as a file to start from
    #[argh(switch)]
    pub show: bool,
}

/// check all orders of events between a few replicas and their verdicts on zones, up to a depth
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// count of replicas
    #[argh(option, default = "3")]
    pub copies: usize,
    /// count of steps that each order has
    #[argh(option, default = "4")]
    pub depth: usize,
    /// a faulty variant instead of the program's own rule: last-word, counted-often
    #[argh(option)]
    pub variant: Option<String>,
}

/// list the built-in experiments and scenarios
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {}

/// print a built-in experiment or scenario as a file to start from
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// name of the experiment or scenario
    #[argh(positional)]
    pub name: String,
}

/// simulate one case with one seed and print the result
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// an experiment or a scenario, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the case; the first one if not given
    #[argh(option)]
    pub case: Option<String>,
    /// the load balancer
    #[argh(option, default = "LoadBalancerKind::Landingspread")]
    pub picker: LoadBalancerKind,
    /// the seed of the run
    #[argh(option, default = "1")]
    pub seed: u64,
    /// a further load balancer to run for comparison in the report; may be given several times
    #[argh(option)]
    pub against: Vec<LoadBalancerKind>,
    /// file for a report with plots
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// also print each second
    #[argh(switch)]
    pub seconds: bool,
}

/// run all runs of an experiment, on all cores
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
pub struct Sweep {
    /// an experiment or a scenario, built in or a file
    #[argh(positional)]
    pub name: String,
    /// file for the results, as JSON lines
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// count of threads; one for each core if 0
    #[argh(option, default = "0")]
    pub threads: usize,
    /// count of seeds, instead of the file's
    #[argh(option)]
    pub seeds: Option<u64>,
    /// a load balancer, instead of the file's; may be given several times
    #[argh(option)]
    pub picker: Vec<LoadBalancerKind>,
}

/// compare one load balancer with the others, seed by seed, in the results of a sweep
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// the file that sweep wrote
    #[argh(positional)]
    pub results: PathBuf,
    /// the load balancer that is compared with the others
    #[argh(option, default = "LoadBalancerKind::Landingspread")]
    pub picker: LoadBalancerKind,
}

/// run one case on real sockets with real landingspread processes
#[derive(FromArgs)]
#[argh(subcommand, name = "sockets")]
pub struct Sockets {
    /// an experiment or a scenario, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the case; the first one if not given
    #[argh(option)]
    pub case: Option<String>,
    /// the seed of the run
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file for a report with plots
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

/// demonstrate two tiers and two sidecars in 30 seconds, with one server killed and one slowed
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

/// send requests to an address and print the results; latencies count from the intended time of sending
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// an address and port on loopback
    #[argh(positional)]
    pub to: std::net::SocketAddr,
    /// count of connections
    #[argh(option, default = "32")]
    pub connections: usize,
    /// requests per second; as fast as they are answered if 0
    #[argh(option, default = "0.0")]
    pub rate: f64,
    /// duration in seconds
    #[argh(option, default = "5.0")]
    pub seconds: f64,
    /// the request class, sent as GET
    #[argh(option, default = "String::from(\"view\")")]
    pub verb: String,
}

/// measure the throughput of one sidecar by connections and servers, with stand-in servers that answer at once
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// seconds before the measurement; 0 includes the start of the sidecar
    #[argh(option, default = "3.0")]
    pub settle: f64,
    /// count of servers behind the sidecar; may be given several times; 8 and 200 if not given
    #[argh(option)]
    pub servers: Vec<usize>,
    /// count of connections to it; may be given several times; 1, 8, 32 and 128 if not given
    #[argh(option)]
    pub connections: Vec<usize>,
    /// seconds for each measurement
    #[argh(option, default = "5.0")]
    pub seconds: f64,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
}

/// measure the latency that one sidecar adds: the same calls directly to stand-in servers and through it, in turn
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
pub struct Added {
    /// calls per second; may be given several times; 65 and 650 if not given
    #[argh(option)]
    pub rate: Vec<f64>,
    /// count of pairs for each rate
    #[argh(option, default = "10")]
    pub pairs: usize,
    /// seconds for each half of a pair
    #[argh(option, default = "6.0")]
    pub seconds: f64,
    /// count of connections to the sidecar or to the stand-in servers
    #[argh(option, default = "4")]
    pub connections: usize,
    /// count of stand-in servers
    #[argh(option, default = "2")]
    pub servers: usize,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// a build to compare with: calls go directly, through the one and through the other, in turn
    #[argh(option)]
    pub against: Option<PathBuf>,
}

/// run a plan of faults with a fleet of processes; the last line says held or broken
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    /// a plan of a fleet, built in or a file
    #[argh(positional)]
    pub name: String,
    /// the seed of the run
    #[argh(option, default = "1")]
    pub seed: u64,
    /// count of replicas, instead of the plan's
    #[argh(option)]
    pub processes: Option<usize>,
    /// simulate only the membership of the replicas in virtual time, with this count of seeds from --seed on
    #[argh(option)]
    pub emulated: Option<u64>,
    /// seconds between checks of all views
    #[argh(option, default = "0.1")]
    pub look_every: f64,
    /// seconds within which replicas start, in virtual time
    #[argh(option, default = "1.0")]
    pub start_within: f64,
    /// draw the faults from the seed and write them as a plan that replays them
    #[argh(switch)]
    pub nemesis: bool,
    /// file for a report with a row for each process
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// an older build of landingspread, for faults that start it
    #[argh(option)]
    pub old: Option<PathBuf>,
    /// configure the replicas without [fleet], so that each uses its configured count of replicas
    #[argh(switch)]
    pub alone: bool,
    /// configure the replicas without [localities], so that no zone is left
    #[argh(switch)]
    pub no_localities: bool,
}

/// measure the cost of the control side by size, with emulated sidecars and some real ones, and fit slopes
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    /// the varied quantity: copies, endpoints, changes_per_s or calls_per_s
    #[argh(option, default = "String::from(\"copies\")")]
    pub by: String,
    /// a value of the varied quantity; may be given several times
    #[argh(option)]
    pub at: Vec<f64>,
    /// count of replicas, if not varied, including the real ones
    #[argh(option, default = "30")]
    pub copies: usize,
    /// count of endpoints, if not varied
    #[argh(option, default = "6")]
    pub endpoints: usize,
    /// changes of the list per second, if not varied
    #[argh(option, default = "0.0")]
    pub changes: f64,
    /// replicas per fleet; all in one fleet if 0
    #[argh(option, default = "0")]
    pub fleet_size: usize,
    /// count of real sidecars; half of them carry calls
    #[argh(option, default = "4")]
    pub real: usize,
    /// calls per second at each sidecar that carries calls
    #[argh(option, default = "65.0")]
    pub rate: f64,
    /// count of runs of each size
    #[argh(option, default = "1")]
    pub runs: usize,
    /// seconds of measurement
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// seconds between full views at all replicas and the measurement
    #[argh(option, default = "3.0")]
    pub settle: f64,
    /// emulated sidecars per process; chosen by the size if 0
    #[argh(option, default = "0")]
    pub each: usize,
    /// kill the emulated sidecars of one zone afterwards and start them again together
    #[argh(switch)]
    pub lose_a_zone: bool,
    /// file that collects runs as JSON lines; earlier runs in it are fitted too
    #[argh(option)]
    pub keep: Option<PathBuf>,
    /// a size left out of the fit, whose prediction is printed; may be given several times
    #[argh(option)]
    pub left_out: Vec<f64>,
    /// file for the slopes, for capacity
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// bound on the memory of all processes together in MB
    #[argh(option, default = "12_000.0")]
    pub memory_mb: f64,
    /// bound on the count of processes
    #[argh(option, default = "300")]
    pub processes: usize,
    /// the git hash of the measured build
    #[argh(option, default = "String::from(\"unknown\")")]
    pub build: String,
    /// the landingspread program; the one next to this program if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// the short form for CI: 120 and 240 replicas once, 4 s each
    #[argh(switch)]
    pub short: bool,
}
