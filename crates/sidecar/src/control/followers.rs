//! Many sidecars that do nothing but follow configuration, in one process, for measurements: the same task as the
//! program's, on real sockets. It prints when each has which version in force.

use super::said::Shared;
use super::{BUFFERS, Keeps, follow};
use crate::clock::{Clock, unix_time};
use crate::net::buffers::Stock;
use async_executor::LocalExecutor;
use async_io::Timer;
use landingspread_control::{Contents, Fault, Follower, Host, Machine, Version};
use std::io::Write;
use std::time::Duration;

/// They begin over this time: a fleet does not start in one moment.
const BEGIN_OVER: Duration = Duration::from_secs(4);
const COUNT_EVERY: Duration = Duration::from_secs(1);
const MOST: u32 = 20_000;

/// Takes every version, but one with the key `refuse`.
struct Prints {
    number: u32,
}

impl Host for Prints {
    fn check(&mut self, contents: &Contents) -> Result<(), Fault> {
        if contents.contains_key("refuse") { Err(Fault::of("refuse", "as it says")) } else { Ok(()) }
    }

    fn enforce(&mut self, version: &Version, _contents: &Contents) {
        let since = unix_time();
        println!("enforced {} {} {version}", since.as_micros(), self.number);
    }
}

impl Keeps for Prints {
    async fn settled(&mut self) {
        // All of those that come together are written together.
        let _ = std::io::stdout().flush();
    }
}

/// Plays so many until standard input ends.
pub fn play(count: u32, scopes: u32, prefix: &str, machines: &str) -> Result<(), String> {
    if count > MOST || scopes == 0 {
        return Err(format!("count, scopes: at most {MOST}, and at least one"));
    }
    let machine = |text: &str| {
        let (address, region) = text.split_once('=').unwrap_or((text, ""));
        let address =
            address.parse().map_err(|_| format!("machines: {address:?} is no address with a port"))?;
        Ok(Machine { address, region: region.into() })
    };
    let machines: Vec<Machine> = machines.split(',').map(machine).collect::<Result<_, String>>()?;
    let mut regions: Vec<String> = machines.iter().map(|machine| machine.region.clone()).collect();
    regions.sort();
    regions.dedup();
    let executor = LocalExecutor::new();
    let (clock, mut shared) = (Clock::start(), Vec::new());
    // As many as can be read at once: the rest wait for their turn, as they would in processes of their own.
    let stock = Stock::small(64 * BUFFERS);
    for number in 0..count {
        let (scope, name) = (format!("s{}", number % scopes), format!("{prefix}{number}"));
        let region = &regions[(number / scopes) as usize % regions.len()];
        let follower = Follower::start(&scope, &name, &machines, region, u64::from(number) ^ 0x51);
        let told = Shared::new(&scope);
        shared.push(told.clone());
        let (clock, stock) = (clock.clone(), stock.clone());
        executor
            .spawn(async move {
                Timer::after(BEGIN_OVER.mul_f64(f64::from(number) / f64::from(count))).await;
                follow(follower, Prints { number }, clock, stock, None, told).await;
            })
            .detach();
    }
    // Ends with the one who started it.
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    async_io::block_on(executor.run(async {
        loop {
            Timer::after(COUNT_EVERY).await;
            let (calls, sent, received) = shared.iter().fold((0, 0, 0), |sum, told| {
                let (calls, sent, received) = told.counts();
                (sum.0 + calls, sum.1 + sent, sum.2 + received)
            });
            println!("counted {calls} {sent} {received}");
        }
    }))
}
