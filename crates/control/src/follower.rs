//! A sidecar's side: which version is in force, which machine is asked, and when again. It owns the last good version; it
//! must never put a part of one in force, nor an older one than it has.

use crate::change::{Change, Snapshot, Unfit};
use crate::contents::{Contents, Fault};
use crate::machines::{Machine, mixed, ordered};
use crate::poll::Poll;
use crate::version::Version;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A call waits so long for a change. A machine that falls silent without a word is found out after it, and the change
/// has to be here within 10 s all the same.
const WAIT: Duration = Duration::from_secs(6);
/// The first call waits for nothing, so that what holds by now is known soon.
const PAUSE_LEAST: Duration = Duration::from_millis(20);
const PAUSE_SPREAD: Duration = Duration::from_millis(80);
/// Once all machines have failed in turn, pauses grow up to this.
const PAUSE_MOST: Duration = Duration::from_secs(4);
/// After so long at another machine, and up to as long again, the one that is first in order is tried anew.
const RETURN_AFTER: Duration = Duration::from_secs(30);

/// What puts a version in force.
pub trait Host {
    /// Whether all of it can be gone by; the fault is the first key that can't. Nothing changes by it.
    fn check(&mut self, contents: &Contents) -> Result<(), Fault>;
    /// It holds from here on, in place of all that was in force before.
    fn enforce(&mut self, version: &Version, contents: &Contents);
}

/// A version that is not gone by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub version: Version,
    pub fault: Fault,
    pub at: Duration,
}

/// What an answer came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Took {
    Enforced(Version),
    /// The last good one stays in force.
    Refused(Refusal),
    /// It is what is in force, or was refused already.
    Nothing,
}

/// An answer that is none: the next machine is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    Unfit(Unfit),
    /// The machine is behind: what it has is older than what is in force.
    Older(Version),
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Unfit(unfit) => unfit.fmt(f),
            Wrong::Older(version) => write!(f, "version: {version} is older than what is in force"),
        }
    }
}

pub struct Follower {
    scope: String,
    name: String,
    machines: Vec<SocketAddr>,
    /// Which of them is asked.
    at: usize,
    in_force: Option<Snapshot>,
    refused: Option<Refusal>,
    /// What came did not fit what is here.
    whole: bool,
    /// Calls that failed in turn.
    failures: u32,
    /// None before the first answer of the machine that is asked now.
    answered: bool,
    home_at: Duration,
    seed: u64,
}

impl Follower {
    /// `name` is the sidecar's own, and one of its kind within the scope; `region` is where it stands.
    pub fn start(scope: &str, name: &str, machines: &[Machine], region: &str, seed: u64) -> Follower {
        Follower {
            scope: scope.into(),
            name: name.into(),
            machines: ordered(machines, name, region),
            at: 0,
            in_force: None,
            refused: None,
            whole: false,
            failures: 0,
            answered: false,
            home_at: Duration::MAX,
            seed,
        }
    }

    /// Puts in force what an earlier process kept, before any machine is asked.
    pub fn recall(&mut self, kept: &[u8], host: &mut impl Host) -> Result<Version, String> {
        let change = Change::read(kept).map_err(|unfit| unfit.to_string())?;
        let kept = change.onto(&self.scope, None).map_err(|unfit| unfit.to_string())?;
        host.check(kept.contents()).map_err(|fault| fault.to_string())?;
        host.enforce(&kept.version(), kept.contents());
        let version = kept.version();
        self.in_force = Some(kept);
        Ok(version)
    }

    pub fn in_force(&self) -> Option<&Snapshot> {
        self.in_force.as_ref()
    }

    /// The newest version that was refused, as long as none has come after it.
    pub fn refused(&self) -> Option<&Refusal> {
        self.refused.as_ref()
    }

    /// The machine to ask; none where there are none.
    pub fn machine(&self) -> Option<SocketAddr> {
        self.machines.get(self.at).copied()
    }

    /// The next call.
    pub fn asks(&self) -> Poll {
        let refused = self.refused.as_ref().map(|refused| (refused.version, refused.fault.to_string()));
        Poll {
            scope: self.scope.clone(),
            name: self.name.clone(),
            have: self.in_force.as_ref().map(Snapshot::version),
            refused,
            whole: self.whole,
            wait: if self.answered { WAIT } else { Duration::ZERO },
        }
    }

    /// How long an answer may take, past the time that the call waits.
    pub const IN_TURN: Duration = Duration::from_secs(1);

    /// The machine has nothing new. `true`: another one is asked from here on, by a new connection.
    pub fn unchanged(&mut self, now: Duration) -> bool {
        self.heard();
        self.home(now)
    }

    /// A change has come, as bytes. Whatever is wrong with it, what was in force is so still.
    pub fn answered(&mut self, now: Duration, bytes: &[u8], host: &mut impl Host) -> Result<Took, Wrong> {
        let unfit = |unfit| Wrong::Unfit(unfit);
        let change = Change::read(bytes).map_err(unfit)?;
        let here = self.in_force.as_ref().map(Snapshot::version);
        if change.scope == self.scope && here.is_some_and(|here| change.version < here) {
            return Err(Wrong::Older(change.version));
        }
        let fits = change.onto(&self.scope, self.in_force.as_ref());
        let next = fits.inspect_err(|_| self.whole = true).map_err(unfit)?;
        self.whole = false;
        self.heard();
        let version = next.version();
        let known = self.refused.as_ref().is_some_and(|refused| version <= refused.version);
        if here == Some(version) || known {
            return Ok(Took::Nothing);
        }
        if let Err(fault) = host.check(next.contents()) {
            let refused = Refusal { version, fault, at: now };
            self.refused = Some(refused.clone());
            return Ok(Took::Refused(refused));
        }
        host.enforce(&version, next.contents());
        (self.in_force, self.refused) = (Some(next), None);
        Ok(Took::Enforced(version))
    }

    fn heard(&mut self) {
        (self.answered, self.failures) = (true, 0);
    }

    /// No answer came, or one that is none: the next machine is asked after this time.
    pub fn failed(&mut self, now: Duration) -> Duration {
        let count = self.machines.len().max(1);
        self.at = (self.at + 1) % count;
        (self.answered, self.failures) = (false, self.failures.saturating_add(1));
        self.home_at = now + RETURN_AFTER + RETURN_AFTER.mul_f64(self.chance());
        let rounds = (self.failures as usize / count).min(4) as u32;
        let spread = if rounds == 0 { PAUSE_SPREAD } else { PAUSE_SPREAD * 6 * (1 << rounds) };
        (PAUSE_LEAST + spread.mul_f64(0.2 + 0.8 * self.chance())).min(PAUSE_MOST)
    }

    fn home(&mut self, now: Duration) -> bool {
        let due = self.at > 0 && now >= self.home_at;
        if due {
            (self.at, self.answered) = (0, false);
        }
        due
    }

    /// Of a draw from 0 to 1.
    fn chance(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mixed(self.seed) >> 11) as f64 / (1u64 << 53) as f64
    }
}
