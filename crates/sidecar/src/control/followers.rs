//! Runs many followers in one process for load measurements: they follow the configuration as sidecars do, with the
//! same task on real sockets, and do nothing else. For the lab, they print when each version came into force.

use super::FollowTask;
use super::host::AsyncConfigHost;
use super::status::{ControlStatus, Traffic};
use super::task::ANSWER_BUFFERS;
use crate::clock::Clock;
use crate::net::buffers::ResourcePool;
use crate::net::executor::Executor;
use async_io::Timer;
use landingspread_control::{ConfigError, ConfigHost, Contents, ControlMachine, Follower, Version};
use std::fmt;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// The followers start evenly over this time, because the sidecars of a fleet don't start all at once.
const START_SPREAD: Duration = Duration::from_secs(4);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_FOLLOWERS: u32 = 20_000;
/// The number of followers that can read an answer at the same time; the others wait for a free buffer.
const CONCURRENT_ANSWERS: usize = 64;
/// XORed with the number of a follower, so that its seed differs from those of sidecars.
const SEED_MASK: u64 = 0x51;
/// Versions that contain this key are refused.
const REFUSED_KEY: &str = "refuse";

/// Why the followers can't be started.
#[derive(Debug)]
pub enum FollowersError {
    /// The number of followers or scopes is out of bounds.
    Counts,
    /// This text is not the address of a control machine.
    Machine(String),
}

impl fmt::Display for FollowersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FollowersError::Counts => {
                write!(f, "count, scopes: expected at most {MAX_FOLLOWERS} followers and at least one scope")
            }
            FollowersError::Machine(text) => write!(f, "machines: {text:?} is not an address with a port"),
        }
    }
}

impl std::error::Error for FollowersError {}

/// Accepts every version without [`REFUSED_KEY`] and prints when it came into force.
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
        let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        println!("enforced {} {} {version}", unix_time.as_micros(), self.number);
    }
}

impl AsyncConfigHost for PrintingHost {
    async fn wait_until_applied(&mut self) {
        // Lines of versions that arrive together are flushed together.
        let _ = std::io::stdout().flush();
    }
}

/// Parses a comma-separated list of `ADDRESS=REGION`; the region is optional.
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

/// Runs `count` followers, spread over `scopes` scopes and all regions, until standard input ends. `machines` lists the
/// control machines as `ADDRESS=REGION`, separated by commas; the name of a follower is `prefix` and its number.
pub fn run(count: u32, scopes: u32, prefix: &str, machines: &str) -> Result<(), FollowersError> {
    if count > MAX_FOLLOWERS || scopes == 0 {
        return Err(FollowersError::Counts);
    }
    let machines = parse_machines(machines)?;
    let regions = regions_of(&machines);
    let executor = Executor::new();
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
        let delay = START_SPREAD.mul_f64(f64::from(number) / f64::from(count));
        let start = async move {
            Timer::after(delay).await;
            task.run().await;
        };
        executor.spawn(start).detach();
    }
    std::thread::spawn(exit_with_standard_input);
    executor.block_on(report(&statuses));
    Ok(())
}

/// Exits once standard input ends, so that the process doesn't outlive its parent.
fn exit_with_standard_input() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(0);
}

/// Prints the total calls and bytes of all followers at every [`REPORT_INTERVAL`], without end.
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
