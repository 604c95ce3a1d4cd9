//! The command line. It owns the choice between sub-commands, the log's target and the exit code; it must
//! never read the environment or open a socket itself.

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
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// landingspread: a load balancer for services that call services
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    wanted: Wanted,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Wanted {
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

fn begin_log() -> Result<(), String> {
    let level = configuration::log_level().map_err(|wrong| wrong.to_string())?;
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    let log = log.with_max_level(level);
    if configuration::log_as_json().map_err(|wrong| wrong.to_string())? {
        log.json().flatten_event(true).init();
    } else {
        log.init();
    }
    Ok(())
}

fn serve(file: Option<&Path>) -> Result<(), String> {
    let start = start::Start::begin();
    begin_log()?;
    let launch = configuration::read(file).map_err(|wrong| wrong.to_string())?;
    start.configuration_read();
    tracing::info!(name = launch.name, listen = %launch.listen, "starting");
    net::serve(launch, file, start).map_err(|wrong| wrong.to_string())
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

fn hollow(wanted: &Hollow) -> Result<(), String> {
    begin_log()?;
    let Hollow { template, count, first, base, fleet_size, zones } = wanted;
    let zones = zones.split(',').map(str::to_string).collect();
    let numbers =
        hollow::Numbers { first: *first, count: *count, base: *base, fleet_size: *fleet_size, zones };
    net::hollow(numbers.launches(template)?).map_err(|wrong| wrong.to_string())
}

fn main() -> ExitCode {
    // No part of what operators are told: a testing aid.
    let words: Vec<String> = std::env::args().collect();
    if let ["hollow", rest @ ..] = &words.iter().skip(1).map(String::as_str).collect::<Vec<_>>()[..] {
        return match Hollow::from_args(&["landingspread hollow"], rest) {
            Ok(wanted) => ended(hollow(&wanted)),
            Err(argh::EarlyExit { output, status }) => {
                eprintln!("{output}");
                if status.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
            }
        };
    }
    let CommandLine { wanted } = argh::from_env();
    let done = match wanted {
        Wanted::Serve(Serve { file }) => serve(file.as_deref()),
        Wanted::Check(Check { file }) => match configuration::read(file.as_deref()) {
            Ok(launch) => {
                println!("{launch}");
                Ok(())
            }
            Err(wrong) => Err(wrong.to_string()),
        },
        Wanted::Init(Init {}) => {
            print!("{}", configuration::EXAMPLE);
            Ok(())
        }
        Wanted::Hold(Hold { listen, command }) => Err(handover::hold::hold(listen, &command).to_string()),
        Wanted::Control(Control { file }) => begin_log().and_then(|()| control::machine::run(&file)),
        Wanted::Followers(wanted) => begin_log().and_then(|()| {
            let Followers { count, scopes, prefix, machines } = wanted;
            control::followers::play(count, scopes, &prefix, &machines)
        }),
        Wanted::Version(Version {}) => {
            println!("landingspread {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    ended(done)
}

fn ended(done: Result<(), String>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("landingspread: {wrong}");
            ExitCode::FAILURE
        }
    }
}
