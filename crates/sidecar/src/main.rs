//! The command line.
//!
//! It owns the choice between sub-commands, the log's target and the exit code; it must never read the environment or
//! open a socket itself.

mod catalog;
mod clock;
mod configuration;
mod console;
mod control;
mod counters;
mod fleet;
mod handover;
mod hollow;
mod invariants;
mod net;
mod start;
mod storage;

use argh::FromArgs;
use configuration::ConfigError;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// landingspread: a load balancer for services that call services
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Serve(Serve),
    Check(Check),
    Init(Init),
    Hold(Hold),
    Control(Control),
    Followers(Followers),
    Version(Version),
}

/// balance until SIGTERM, as the environment's NODE_ variables say
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file, in place of the one that NODE_CONFIG names; TOML where its name ends so
    #[argh(option)]
    file: Option<PathBuf>,
}

/// read the configuration as serve would, say what it holds or which key is at fault, and end
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file, in place of the one that NODE_CONFIG names
    #[argh(option)]
    file: Option<PathBuf>,
}

/// open the callers' socket and run a command whose processes inherit it, for upgrades by hand
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
struct Hold {
    /// the address that callers connect to
    #[argh(option)]
    listen: SocketAddr,

    /// the command, such as a shell
    #[argh(positional, greedy)]
    command: Vec<String>,
}

/// print a commented configuration that starts as it is
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
struct Init {}

/// run a control machine until SIGTERM, as its file says
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// the machine's file, in TOML
    #[argh(positional)]
    file: PathBuf,
}

/// play many sidecars that follow configuration and do nothing else, for measurements: a line for each version in force
#[derive(FromArgs)]
#[argh(subcommand, name = "followers")]
struct Followers {
    /// how many
    #[argh(option)]
    count: u32,

    /// over how many services they spread: s0, s1 and so on
    #[argh(option, default = "1")]
    scopes: u32,

    /// what their names begin with
    #[argh(option, default = "String::from(\"f\")")]
    prefix: String,

    /// the machines as ADDRESS=REGION, with commas between
    #[argh(option)]
    machines: String,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command fails; the text is its last word on standard error.
enum CommandError {
    Configuration(ConfigError),
    Io(std::io::Error),
    ControlMachine(control::machine::MachineError),
    Followers(control::followers::FollowersError),
    Hollow(hollow::HollowError),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Configuration(error) => error.fmt(f),
            CommandError::Io(error) => error.fmt(f),
            CommandError::ControlMachine(error) => error.fmt(f),
            CommandError::Followers(error) => error.fmt(f),
            CommandError::Hollow(error) => error.fmt(f),
        }
    }
}

impl From<ConfigError> for CommandError {
    fn from(error: ConfigError) -> CommandError {
        CommandError::Configuration(error)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> CommandError {
        CommandError::Io(error)
    }
}

impl From<control::machine::MachineError> for CommandError {
    fn from(error: control::machine::MachineError) -> CommandError {
        CommandError::ControlMachine(error)
    }
}

impl From<control::followers::FollowersError> for CommandError {
    fn from(error: control::followers::FollowersError) -> CommandError {
        CommandError::Followers(error)
    }
}

impl From<hollow::HollowError> for CommandError {
    fn from(error: hollow::HollowError) -> CommandError {
        CommandError::Hollow(error)
    }
}

fn start_log() -> Result<(), CommandError> {
    let level = configuration::log_level()?;
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    let log = log.with_max_level(level);
    if configuration::log_as_json()? {
        log.json().flatten_event(true).init();
    } else {
        log.init();
    }
    Ok(())
}

fn serve(file: Option<&Path>) -> Result<(), CommandError> {
    let start = start::StartupTimes::begin();
    start_log()?;
    let configuration = configuration::read(file)?;
    start.configuration_read();
    tracing::info!(name = configuration.name, listen = %configuration.listen, "starting");
    net::serve(configuration, file, start)?;
    Ok(())
}

fn check(file: Option<&Path>) -> Result<(), CommandError> {
    println!("{}", configuration::read(file)?);
    Ok(())
}

fn run_control_machine(file: &Path) -> Result<(), CommandError> {
    start_log()?;
    control::machine::run(file)?;
    Ok(())
}

fn play_followers(command: Followers) -> Result<(), CommandError> {
    start_log()?;
    let Followers { count, scopes, prefix, machines } = command;
    control::followers::run(count, scopes, &prefix, &machines)?;
    Ok(())
}

fn run(command: Subcommand) -> Result<(), CommandError> {
    match command {
        Subcommand::Serve(Serve { file }) => serve(file.as_deref()),
        Subcommand::Check(Check { file }) => check(file.as_deref()),
        Subcommand::Init(Init {}) => {
            print!("{}", configuration::EXAMPLE);
            Ok(())
        }
        Subcommand::Hold(Hold { listen, command }) => {
            Err(handover::hold::bind_and_exec(listen, &command).into())
        }
        Subcommand::Control(Control { file }) => run_control_machine(&file),
        Subcommand::Followers(followers) => play_followers(followers),
        Subcommand::Version(Version {}) => {
            println!("landingspread {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// control sides of many sidecars in one process, without callers: for the lab's tests of size
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
struct Hollow {
    /// an operators' configuration with places for what differs: {{n}} the number, {{at}} an address of its own, {{zone}}
    /// and {{seeds}}
    #[argh(positional)]
    template: PathBuf,
    /// how many sidecars
    #[argh(option)]
    count: u32,
    /// the number of the first; numbers give addresses from 127.251.0.0 on
    #[argh(option, default = "0")]
    first: u32,
    /// the number from which fleets are counted
    #[argh(option, default = "0")]
    base: u32,
    /// how many copies are one fleet; all of them where it is 0
    #[argh(option, default = "0")]
    fleet_size: u32,
    /// the names of zones, with commas between them, in turn
    #[argh(option, default = "String::from(\"a\")")]
    zones: String,
}

fn hollow(command: &Hollow) -> Result<(), CommandError> {
    start_log()?;
    let Hollow { template, count, first, base, fleet_size, zones } = command;
    let zones = zones.split(',').map(str::to_string).collect();
    let numbers =
        hollow::SidecarRange { first: *first, count: *count, base: *base, fleet_size: *fleet_size, zones };
    net::serve_without_clients(numbers.configurations(template)?)?;
    Ok(())
}

/// Runs the hollow command where it is asked for. It is a testing aid, and so not among those that help shows.
fn hollow_command() -> Option<ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (command, rest) = arguments.split_first()?;
    if command != "hollow" {
        return None;
    }
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    match Hollow::from_args(&["landingspread hollow"], &rest) {
        Ok(command) => Some(exit_code(hollow(&command))),
        Err(argh::EarlyExit { output, status }) => {
            eprintln!("{output}");
            Some(if status.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
    }
}

fn main() -> ExitCode {
    if let Some(code) = hollow_command() {
        return code;
    }
    let CommandLine { command } = argh::from_env();
    exit_code(run(command))
}

fn exit_code(outcome: Result<(), CommandError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("landingspread: {error}");
            ExitCode::FAILURE
        }
    }
}
