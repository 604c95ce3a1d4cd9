//! The command line of the sidecar.
//!
//! This module owns the sub-commands, the log's target and the exit code. It never reads environment variables or opens
//! sockets itself.

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

/// run the load balancer until SIGTERM, configured by the NODE_ environment variables
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file, overriding NODE_CONFIG; TOML if its name ends in .toml
    #[argh(option)]
    file: Option<PathBuf>,
}

/// read the configuration as serve does, print it or the key at fault, and exit
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file, overriding NODE_CONFIG
    #[argh(option)]
    file: Option<PathBuf>,
}

/// bind the listening socket and run a command whose processes inherit it, for manual upgrades
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
struct Hold {
    /// the address that clients connect to
    #[argh(option)]
    listen: SocketAddr,

    /// the command to run, such as a shell
    #[argh(positional, greedy)]
    command: Vec<String>,
}

/// print a commented example configuration that is valid as printed
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
struct Init {}

/// run a control machine until SIGTERM, configured by its file
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// the control machine's configuration file, in TOML
    #[argh(positional)]
    file: PathBuf,
}

/// emulate many sidecars that only follow the configuration, for measurements; prints a line for each version in force
#[derive(FromArgs)]
#[argh(subcommand, name = "followers")]
struct Followers {
    /// the number of followers
    #[argh(option)]
    count: u32,

    /// the number of services that they are spread over, named s0, s1 and so on
    #[argh(option, default = "1")]
    scopes: u32,

    /// the prefix of their names
    #[argh(option, default = "String::from(\"f\")")]
    prefix: String,

    /// the control machines as ADDRESS=REGION, separated by commas
    #[argh(option)]
    machines: String,
}

/// print the version of the program
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command failed; `main` prints the text to standard error.
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

fn init_log() -> Result<(), CommandError> {
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
    init_log()?;
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
    init_log()?;
    control::machine::run(file)?;
    Ok(())
}

fn run_followers(command: Followers) -> Result<(), CommandError> {
    init_log()?;
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
        Subcommand::Followers(followers) => run_followers(followers),
        Subcommand::Version(Version {}) => {
            println!("landingspread {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// run the control side of many sidecars in one process, without clients, for scale tests
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
struct Hollow {
    /// an operators' configuration with placeholders: {n} is the number of the sidecar, {fleet} the number of its fleet,
    /// {at} its address, {zone} its zone and {seeds} the seeds of its fleet
    #[argh(positional)]
    template: PathBuf,
    /// the number of sidecars
    #[argh(option)]
    count: u32,
    /// the number of the first sidecar; sidecar 0 has the address 127.251.0.0
    #[argh(option, default = "0")]
    first: u32,
    /// the number of the first sidecar of the first fleet
    #[argh(option, default = "0")]
    base: u32,
    /// the number of sidecars in one fleet; 0 puts all of them into one fleet
    #[argh(option, default = "0")]
    fleet_size: u32,
    /// the names of the zones, separated by commas, assigned to the sidecars in turn
    #[argh(option, default = "String::from(\"a\")")]
    zones: String,
}

fn run_hollow(command: &Hollow) -> Result<(), CommandError> {
    init_log()?;
    let Hollow { template, count, first, base, fleet_size, zones } = command;
    let zones = zones.split(',').map(str::to_string).collect();
    let sidecars =
        hollow::SidecarRange { first: *first, count: *count, base: *base, fleet_size: *fleet_size, zones };
    net::serve_without_clients(sidecars.configurations(template)?)?;
    Ok(())
}

/// Runs the `hollow` command if the arguments name it; otherwise returns None. The command is a testing aid, and so the
/// help does not list it.
fn run_if_hollow() -> Option<ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (command, rest) = arguments.split_first()?;
    if command != "hollow" {
        return None;
    }
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    match Hollow::from_args(&["landingspread hollow"], &rest) {
        Ok(command) => Some(exit_code(run_hollow(&command))),
        Err(argh::EarlyExit { output, status }) => {
            eprintln!("{output}");
            Some(if status.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
    }
}

fn main() -> ExitCode {
    if let Some(code) = run_if_hollow() {
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
