//! Many followers in one process, for measurements: sidecars that do nothing but follow the configuration, by the program's
//! own task on real sockets. Standard output tells when each has which version in force; the lab reads these lines.

use super::FollowTask;
use super::host::AsyncConfigHost;
use super::status::{ControlStatus, Traffic};
use super::task::ANSWER_BUFFERS;
use crate::clock::Clock;
use crate::net::buffers::ResourcePool;
use async_executor::LocalExecutor;
use async_io::Timer;
use landingspread_control::{ConfigError, ConfigHost, Contents, ControlMachine, Follower, Version};
use std::fmt;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// The followers start over this time: a fleet does not start in one moment.
const START_OVER: Duration = Duration::from_secs(4);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_FOLLOWERS: u32 = 20_000;
/// Followers that can read an answer at a time; the rest wait for their turn, as they would in processes of their own.
const CONCURRENT_ANSWERS: usize = 64;
/// Tells the followers' seeds apart from those of sidecars.
const SEED_MASK: u64 = 0x51;
/// A version with this key is refused.
const REFUSED_KEY: &str = "refuse";

/// Why the followers don't start.
#[derive(Debug)]
pub enum FollowersError {
    /// The counts are out of bounds.
    Counts,
    /// This machine is no address.
    Machine(String),
}

impl fmt::Display for FollowersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FollowersError::Counts => {
                write!(f, "count, scopes: at most {MAX_FOLLOWERS}, and at least one")
            }
            FollowersError::Machine(text) => write!(f, "machines: {text:?} is no address with a port"),
        }
    }
}

impl std::error::Error for FollowersError {}

/// Applies every version but those with the refused key, and prints when.
struct PrintingHost {
    number: u32,
}

impl ConfigHost for PrintingHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        match contents.contains_key(REFUSED_KEY) {
            true => Err(ConfigError::new(REFUSED_KEY, "as it says")),
            false => Ok(()),
        }
    }

    fn apply(&mut self, version: &Version, _contents: &Contents) {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        println!("enforced {} {} {version}", since.as_micros(), self.number);
    }
}

impl AsyncConfigHost for PrintingHost {
    async fn settled(&mut self) {
        // All of those that come together are written together.
        let _ = std::io::stdout().flush();
    }
}

/// Parses `ADDRESS=REGION`, with commas between machines.
fn parse_machines(text: &str) -> Result<Vec<ControlMachine>, FollowersError> {
    let machine = |text: &str| {
        let (address, region) = text.split_once('=').unwrap_or((text, ""));
        let address = address.parse().map_err(|_| FollowersError::Machine(address.into()))?;
        Ok(ControlMachine { address, region: region.into() })
    };
    text.split(',').map(machine).collect()
}

fn regions_of(machines: &[ControlMachine]) -> Vec<String> {
    let mut regions: Vec<String> = machines.iter().map(|machine| machine.region.clone()).collect();
    regions.sort();
    regions.dedup();
    regions
}

/// Runs this many followers until standard input ends.
pub fn run(count: u32, scopes: u32, prefix: &str, machines: &str) -> Result<(), FollowersError> {
    if count > MAX_FOLLOWERS || scopes == 0 {
        return Err(FollowersError::Counts);
    }
    let machines = parse_machines(machines)?;
    let regions = regions_of(&machines);
    let executor = LocalExecutor::new();
    let (clock, mut statuses) = (Clock::start(), Vec::new());
    let resources = ResourcePool::buffers_only(CONCURRENT_ANSWERS * ANSWER_BUFFERS);
    for number in 0..count {
        let (scope, name) = (format!("s{}", number % scopes), format!("{prefix}{number}"));
        let region = &regions[(number / scopes) as usize % regions.len()];
        let seed = u64::from(number) ^ SEED_MASK;
        let status = ControlStatus::new(&scope);
        statuses.push(status.clone());
        let task = FollowTask {
            follower: Follower::new(&scope, &name, &machines, region, seed),
            host: PrintingHost { number },
            clock: clock.clone(),
            resources: Rc::clone(&resources),
            cache: None,
            status,
        };
        let delay = START_OVER.mul_f64(f64::from(number) / f64::from(count));
        let start = async move {
            Timer::after(delay).await;
            task.run().await;
        };
        executor.spawn(start).detach();
    }
    std::thread::spawn(exit_with_standard_input);
    async_io::block_on(executor.run(report(&statuses)));
    Ok(())
}

/// Ends the process with the one that started it.
fn exit_with_standard_input() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(0);
}

/// Prints the sums of calls and bytes, for ever.
async fn report(statuses: &[ControlStatus]) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let sum = statuses.iter().fold(Traffic::default(), |sum, status| {
            let traffic = status.traffic();
            Traffic {
                calls: sum.calls + traffic.calls,
                sent: sum.sent + traffic.sent,
                received: sum.received + traffic.received,
            }
        });
        println!("counted {} {} {}", sum.calls, sum.sent, sum.received);
    }
}
