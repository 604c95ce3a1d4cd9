//! The command line. It owns the choice between sub-commands, the log's target and the exit code; it must
//! never read the environment or open a socket itself.

mod catalog;
mod clock;
mod console;
mod fleet;
mod handover;
mod holds;
mod launch;
mod net;
mod start;

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

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn serve(file: Option<&Path>) -> Result<(), String> {
    let start = start::Start::begin();
    let level = launch::log_level().map_err(|wrong| wrong.to_string())?;
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    let log = log.with_max_level(level);
    if launch::log_as_json().map_err(|wrong| wrong.to_string())? {
        log.json().flatten_event(true).init();
    } else {
        log.init();
    }
    let launch = launch::read(file).map_err(|wrong| wrong.to_string())?;
    start.configuration_read();
    tracing::info!(name = launch.name, listen = %launch.listen, "starting");
    net::serve(launch, file, start).map_err(|wrong| wrong.to_string())
}

fn main() -> ExitCode {
    let CommandLine { wanted } = argh::from_env();
    let done = match wanted {
        Wanted::Serve(Serve { file }) => serve(file.as_deref()),
        Wanted::Check(Check { file }) => match launch::read(file.as_deref()) {
            Ok(launch) => {
                println!("{launch}");
                Ok(())
            }
            Err(wrong) => Err(wrong.to_string()),
        },
        Wanted::Init(Init {}) => {
            print!("{}", launch::EXAMPLE);
            Ok(())
        }
        Wanted::Hold(Hold { listen, command }) => Err(handover::hold::hold(listen, &command).to_string()),
        Wanted::Version(Version {}) => {
            println!("landingspread {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("landingspread: {wrong}");
            ExitCode::FAILURE
        }
    }
}
