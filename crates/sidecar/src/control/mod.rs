//! A sidecar's service's configuration: the task that follows it at the control machines, and the machine itself. It owns
//! the exchange (`call.rs`, `machine/`), the kept file and what operators are told; what is a version, and which one goes
//! first, is the crate's. It must never keep a command waiting: without any machine what is in force stays so.

mod call;
pub mod followers;
mod kept;
pub mod machine;
pub mod said;

use crate::clock::Clock;
use crate::configuration::{Configuration, ControlSettings, RuntimeChange, RuntimeSettings};
use crate::net::buffers::{SIZE, Stock};
use crate::net::callers::Callers;
use crate::net::owner::{Queue, Word};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use call::Line;
use kept::Kept;
use landingspread_control::{CHANGE_MOST, Contents, Fault, Follower, Host, Took, Version};
use said::Shared;
use std::net::SocketAddr;
use std::rc::Rc;

/// An answer fits these, with its head.
const BUFFERS: usize = CHANGE_MOST / SIZE + 2;

/// What a task that follows does with versions besides putting them in force.
trait Keeps: Host {
    /// What was put in force has reached all who go by it.
    async fn settled(&mut self);
}

/// The sidecar's hand on its own parts.
struct Hand {
    live: RuntimeSettings,
    queue: Queue,
    callers: Rc<Callers>,
    discovery: Sender<Option<SocketAddr>>,
    taken: Option<Receiver<()>>,
}

impl Host for Hand {
    fn check(&mut self, contents: &Contents) -> Result<(), Fault> {
        self.live.read(contents).map(drop)
    }

    fn enforce(&mut self, _version: &Version, contents: &Contents) {
        // It was checked just now.
        let Ok(changed) = self.live.read(contents) else { return };
        let RuntimeChange { classes, discovery, .. } = &changed;
        let (take, taken) = async_channel::bounded(1);
        self.callers.limits_changed(classes.iter().map(|class| class.time_limit).collect());
        let _ = self.discovery.try_send(*discovery);
        self.queue.tell(Word::Changed(Box::new(changed), take));
        self.taken = Some(taken);
    }
}

impl Keeps for Hand {
    async fn settled(&mut self) {
        if let Some(taken) = self.taken.take() {
            let _ = taken.recv().await;
        }
    }
}

/// All that the task goes by.
pub struct Followed {
    follower: Follower,
    hand: Hand,
    clock: Clock,
    kept: Option<Kept>,
    /// What the console tells of it.
    pub shared: Shared,
}

impl Followed {
    /// None where configuration comes from the file alone. What an earlier process kept is in force when this comes back.
    pub fn of(
        launch: &Configuration,
        queue: Queue,
        callers: Rc<Callers>,
        discovery: Sender<Option<SocketAddr>>,
    ) -> Option<Followed> {
        let ControlSettings { scope, region, machines, cache_file: kept } = launch.control.as_ref()?;
        let mut follower = Follower::start(scope, &launch.name, machines, region, launch.seed);
        let mut hand = Hand { live: RuntimeSettings::new(launch), queue, callers, discovery, taken: None };
        let shared = Shared::new(scope);
        let kept = Kept::at(kept.as_deref(), launch.state_folder.as_deref(), &launch.name);
        if let Some(kept) = &kept {
            kept.recall(&mut follower, &mut hand);
            shared.enforced(&follower);
        }
        Some(Followed { follower, hand, clock: launch.clock.clone(), kept, shared })
    }

    /// Follows for ever.
    pub async fn follow(self) {
        let Followed { follower, hand, clock, kept, shared } = self;
        follow(follower, hand, clock, Stock::small(BUFFERS), kept, shared).await;
    }
}

async fn follow(
    mut follower: Follower,
    mut host: impl Keeps,
    clock: Clock,
    stock: Rc<Stock>,
    mut kept: Option<Kept>,
    shared: Shared,
) {
    let (mut line, mut failures) = (Line::default(), 0u64);
    loop {
        let Some(machine) = follower.machine() else { return };
        shared.asks(machine);
        let answer = line.poll(machine, &follower.asks(), &stock, &shared).await;
        let now = clock.now();
        let wrong = match answer {
            Ok(None) => {
                shared.answered();
                failures = 0;
                // One that was being written when the last version came was left out.
                kept.iter_mut().for_each(|kept| kept.save(&follower));
                if follower.unchanged(now) {
                    line.close();
                }
                continue;
            }
            Ok(Some(bytes)) => match follower.answered(now, &bytes, &mut host) {
                Ok(Took::Enforced(version)) => {
                    host.settled().await;
                    shared.answered();
                    shared.enforced(&follower);
                    tracing::info!(%version, %machine, "control: in force");
                    kept.iter_mut().for_each(|kept| kept.save(&follower));
                    failures = 0;
                    continue;
                }
                Ok(Took::Refused(refusal)) => {
                    shared.answered();
                    shared.refused(&refusal);
                    let (version, key) = (refusal.version, &refusal.fault.key);
                    tracing::error!(%version, key, "control: refused as a whole: {}", refusal.fault.what);
                    failures = 0;
                    continue;
                }
                Ok(Took::Nothing) => "it told what is known here, at once".to_string(),
                Err(wrong) => {
                    shared.turned(machine, &wrong.to_string());
                    wrong.to_string()
                }
            },
            Err(wrong) => wrong,
        };
        // Told at 1, 2, 4, 8 and so on: an outage may last for an hour.
        failures += 1;
        if failures.is_power_of_two() {
            tracing::warn!(%machine, failures, "control: what is in force stays so: {wrong}");
        }
        line.close();
        Timer::after(follower.failed(now)).await;
    }
}
