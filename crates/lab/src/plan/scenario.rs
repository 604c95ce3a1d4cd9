//! A scenario as its file tells it: the world, its load, what goes wrong and when. It owns every default and the
//! units (seconds, commands a second, shares of 1); it must never know how the world plays them.
//!
//! Unknown keys are errors with the nearest known name; `check` says what else can't be played, by key and line.

use super::faults::{Fault, Kind};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Seconds of a file as a span; what is no span (negative, not a number) is none.
pub fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// How long clients send.
    pub seconds: f64,
    /// The first part that figures leave out: what starts from nothing says little about a service.
    #[serde(default = "two")]
    pub settle: f64,
    pub load: Load,
    pub verbs: Vec<Verb>,
    #[serde(default = "one_tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    #[serde(default)]
    pub front: Front,
    pub tiers: Vec<Tier>,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub lists: Lists,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Open loop: clients send at a rate, whatever becomes of what they sent (Schroeder et al., NSDI 2006).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Commands a second of all clients together, but for their retries.
    pub rate: f64,
    /// How often a client tries again what was declined, or what is harmless to repeat and was not answered.
    #[serde(default)]
    pub retries: u32,
    /// The mean wait before that, in seconds; a come-back time that was told goes before it.
    #[serde(default = "quarter")]
    pub backoff: f64,
    /// The share of clients that go away before their time limit.
    #[serde(default)]
    pub quits: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    #[default]
    Pure,
    ReceiptedAll,
    ReceiptedZone,
    ReceiptedCell,
    Effectful,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    Fixed,
    #[default]
    Exponential,
    /// Coefficient of variation 1.5.
    Lognormal,
    /// Bounded Pareto, shape 1.5, from a third of the mean to thirty times it (Crovella and Bestavros).
    Pareto,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Verb {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub repeats: Repeats,
    /// How long a server's group drops repeats, in seconds.
    #[serde(default = "thirty")]
    pub memory: f64,
    pub goal: f64,
    pub limit: f64,
    #[serde(default = "one")]
    pub utility: f64,
    #[serde(default)]
    pub overdue_utility: f64,
    /// Mean seconds of one core at speed 1, for each tier; the last figure goes for the tiers after it.
    pub work: Vec<f64>,
    #[serde(default)]
    pub spread: Spread,
    /// Calls to the next tier that a server makes for one command, one after another.
    #[serde(default = "one_call")]
    pub calls: u32,
}

impl Verb {
    pub fn mean_work(&self, tier: usize) -> f64 {
        self.work.get(tier).or(self.work.last()).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    /// Commands a second that it has a right to; no bound where it is not given.
    pub quota: Option<f64>,
}

/// The copies that clients speak to.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    pub copies: usize,
    /// How long clients go on coming to a copy that has died, in seconds; they hear at once that it is gone.
    pub notice: f64,
    /// Copies' parts of the clients of their zone, dealt out in turn; even where it is empty. In virtual time only.
    pub traffic: Vec<f64>,
    /// Zones' parts of the clients; even where it is empty.
    pub zone_shares: Vec<f64>,
}

impl Default for Front {
    fn default() -> Front {
        Front { copies: 4, notice: 1.0, traffic: Vec::new(), zone_shares: Vec::new() }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reports {
    None,
    InFlight,
    #[default]
    Queue,
    Both,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub servers: usize,
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// Servers' speeds, dealt out in turn.
    #[serde(default = "unit_speed")]
    pub speeds: Vec<f64>,
    /// Whether the list tells the speeds as weights.
    #[serde(default = "yes")]
    pub weights_told: bool,
    /// Commands that may wait at a server; past it one is turned away.
    #[serde(default = "sixty_four")]
    pub queue: usize,
    #[serde(default = "four_cells")]
    pub cells: u32,
    #[serde(default)]
    pub reports: Reports,
    /// How long a reported figure stands before the server reckons it anew, in seconds.
    #[serde(default)]
    pub report_every: f64,
    #[serde(default = "yes")]
    pub checks: bool,
    #[serde(default)]
    pub cold: Cold,
    pub jam: Option<Jam>,
    #[serde(default)]
    pub connections: Connections,
}

/// A process that has just started has empty caches: it is slow, and what comes faster than it warms pushes it
/// over (Nishtala et al., NSDI 2013, section 4.3).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// Its speed at the start, as a share of its warm one, growing evenly.
    pub share: f64,
    pub warm_after: f64,
    /// It falls when the work brought to it within `window` is more than this many times what it can do by then.
    pub multiple: f64,
    pub window: f64,
    /// Fewer commands than this within a window push it over only beyond what is put down to chance as well.
    pub least: u32,
    /// How long it is away after a fall.
    pub down: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { share: 0.3, warm_after: 8.0, multiple: 3.0, window: 2.0, least: 10, down: 3.0 }
    }
}

/// What is crowded is slow until it is mostly idle again (metastable states: Bronson et al., HotOS 2021; Huang et
/// al., OSDI 2022).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Jam {
    /// Commands in a server for each core, at which it jams.
    pub at: f64,
    /// And at which it is free again.
    pub clear: f64,
    pub speed: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Seconds of a core that a new connection costs its server; it also costs one round trip more.
    pub work: f64,
    /// How long an idle one is kept, in seconds.
    pub idle: f64,
    /// How long is waited for one that does not come up, in seconds.
    pub dial: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { work: 0.0005, idle: 30.0, dial: 0.1 }
    }
}

/// One-way delays in seconds; each message adds an exponential part of a fifth of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub near: f64,
    pub far: f64,
    /// The shares of the words between copies that are lost, and that come twice.
    pub words_lost: f64,
    pub words_doubled: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network { near: 0.0002, far: 0.001, words_lost: 0.0, words_doubled: 0.0 }
    }
}

/// The list source.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lists {
    /// From a change to the copies' hearing of it, in seconds, and the random part of that.
    pub lag: f64,
    pub jitter: f64,
    /// How long a server that drains goes on before it ends, in seconds.
    pub drain: f64,
    /// How long it takes until the list drops a server that died, in seconds.
    pub notice: f64,
}

impl Default for Lists {
    fn default() -> Lists {
        Lists { lag: 0.2, jitter: 0.3, drain: 5.0, notice: 3.0 }
    }
}

/// What copies may do, and what the referee goes by.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub relays: u32,
    pub cancel: bool,
    pub parallel: bool,
    /// The longest come-back time that clients heed, in seconds; 0 where they hear none.
    pub come_back: f64,
    /// Rule 3's grace after a copy was told, in seconds.
    pub grace: f64,
    /// How much later than its time limit a final answer still counts as in time, in seconds.
    pub slack: f64,
    pub crossing: f64,
    pub beyond_quota: f64,
    /// Whether copies' decisions tell each other words.
    pub words: bool,
    /// Whether a server's calls to the next tier carry the time that its own caller has left. Where they do not, each
    /// has its verb's whole limit, and a server goes on until it sees that its caller waits no longer.
    pub passes_deadline: bool,
    /// Whether a server's answer says that it failed only as its own call did: such a failure is not sent again above, so
    /// that only the tier that met it first repeats. A proposal: no published protocol says it.
    pub nearest_repeats: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            relays: 3,
            cancel: true,
            parallel: false,
            come_back: 1.0,
            grace: 0.5,
            slack: 0.05,
            crossing: 0.02,
            beyond_quota: 0.2,
            words: false,
            passes_deadline: true,
            nearest_repeats: false,
        }
    }
}

impl Scenario {
    /// How many of the front's copies a fault strikes: the first `count`, or the first `share` of them, one at least.
    pub fn copies_of(&self, fault: &Fault) -> usize {
        let by_share = || fault.share.map_or(0, |share| ((share * self.front.copies as f64) as usize).max(1));
        fault.count.unwrap_or_else(by_share)
    }

    /// The first fault that only real sockets can play.
    pub fn on_sockets_only(&self) -> Option<&Fault> {
        self.faults.iter().find(|fault| fault.kind == Kind::HalfOpen)
    }

    /// The first fault that only virtual time can play: no packet is lost on loopback.
    pub fn in_virtual_time_only(&self) -> Option<&Fault> {
        use Kind::{CopiesApart, CopiesDown, WordsLost, ZoneCut};
        let only = |fault: &&Fault| matches!(fault.kind, ZoneCut | CopiesApart | CopiesDown | WordsLost);
        self.faults.iter().find(only)
    }
}

fn one() -> f64 {
    1.0
}

fn two() -> f64 {
    2.0
}

fn quarter() -> f64 {
    0.25
}

fn thirty() -> f64 {
    30.0
}

fn yes() -> bool {
    true
}

fn one_call() -> u32 {
    1
}

fn two_cores() -> usize {
    2
}

fn sixty_four() -> usize {
    64
}

fn four_cells() -> u32 {
    4
}

fn unit_speed() -> Vec<f64> {
    vec![1.0]
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

fn one_tenant() -> Vec<Tenant> {
    vec![Tenant { name: "all".into(), share: 1.0, quota: None }]
}
