//! Starts the parts of the sidecar and joins them, and ends them in order after SIGTERM. It owns the one
//! thread's executor and the listener's address; it must never touch a command or an endpoint itself.

pub mod buffers;
pub mod callers;
pub mod discovery;
pub mod endpoints;
pub mod http;
pub mod owner;

use crate::launch::{self, Launch};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use buffers::Stock;
use callers::Callers;
use discovery::Discovery;
use endpoints::Endpoints;
use futures_lite::StreamExt;
use futures_lite::future::or;
use std::fmt;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How long after SIGTERM the platform lets commands finish, but for their longest time limit, and how much of
/// that limit it goes by at most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LIMIT_MOST: Duration = Duration::from_secs(3);
/// What is taken has its final word this long before that.
const IN_HAND: Duration = Duration::from_millis(150);
/// The last part of it is for what is open, the first for taking: callers who keep their connections are
/// answered here while another sidecar, stopped before this one, is not back yet.
const FINISHING: Duration = Duration::from_millis(1500);
/// New connections go on coming for up to 0.4 s.
const GO_ON_TAKING: Duration = Duration::from_millis(600);

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// What must hold: asserted in debug builds, counted and logged in release builds.
macro_rules! must_hold {
    ($holds:expr, $($text:tt)+) => {
        if !$holds {
            $crate::net::broken(format_args!($($text)+));
        }
    };
}
pub(crate) use must_hold;

pub fn broken(what: fmt::Arguments<'_>) {
    debug_assert!(false, "{what}");
    let count = BROKEN.fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!(count, "does not hold: {what}");
}

/// What the work brings, or None when it takes longer.
pub async fn within<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(span).await;
        None
    };
    or(async { Some(work.await) }, late).await
}

pub fn serve(launch: Launch) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(launch, executor.clone())))
}

async fn run(launch: Launch, executor: Rc<LocalExecutor<'static>>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Hup])?;
    let listener = Async::<TcpListener>::bind(launch.listen)?;
    let stock = Stock::new(launch.sockets, launch.memory_mb);
    let endpoints = Rc::new(Endpoints::new(&launch, stock.clone()));
    let (queue, words) = owner::queue();
    let longest = launch.verbs.iter().map(|verb| verb.limit).max().unwrap_or_default().min(LIMIT_MOST);
    let (ask, asked) = async_channel::bounded(1);
    let mut discovery = Discovery::new(&launch, stock.clone(), queue.clone());
    let callers = Rc::new(Callers::new(&launch, stock, queue.clone(), executor.clone()));
    if !launch.terms.must_ask {
        // Where changes come unprompted, the watch is there from the start.
        let _ = ask.try_send(());
    }
    let mut following = executor.spawn(discovery.clone().follow(asked.clone()));
    executor.spawn(endpoints.clone().reap()).detach();
    executor.spawn(owner::own(launch, endpoints, executor.clone(), queue, words, ask.clone())).detach();
    let accepting = executor.spawn(callers.clone().accept(listener));
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match launch::read_again() {
            Ok(new) => {
                tracing::info!(discovery = %new.discovery, "SIGHUP: the configuration is read again");
                // Cancelled, the watch that waits lets go of its connection.
                following.cancel().await;
                discovery.move_to(new.discovery);
                let _ = ask.try_send(());
                following = executor.spawn(discovery.clone().follow(asked.clone()));
            }
            Err(fault) => tracing::error!("SIGHUP: the old configuration holds: {fault}"),
        }
    }
    tracing::info!("SIGTERM: finishing what is taken");
    let until_killed = longest + KILLED_AFTER;
    callers.begin_to_end(until_killed - IN_HAND);
    Timer::after(until_killed.saturating_sub(FINISHING).max(GO_ON_TAKING)).await;
    accepting.cancel().await;
    callers.ended().await;
    tracing::info!("all taken commands have their answers");
    Ok(())
}
