//! Tasks whose sockets are always ready share a thread with other tasks and timers.

use super::*;
use crate::net::socket;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the busy tasks run.
const BUSY_TIME: Duration = Duration::from_millis(100);

/// A connection whose peer has closed it: each read returns at once.
fn always_ready_stream() -> Async<TcpStream> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    drop(listener.accept().expect("a peer"));
    Async::new(stream).expect("a socket")
}

/// Reads without end and counts the reads.
async fn read_forever(stream: &Async<TcpStream>, reads: &Cell<u32>) {
    while let Ok(0) = socket::read(stream, &mut [0]).await {
        reads.set(reads.get() + 1);
    }
}

/// Guards against a loop over a socket that is always ready, which kept all other tasks and timers from running.
#[test]
fn sockets_that_are_always_ready_do_not_starve_timers_and_tasks() {
    let executor = Executor::new();
    for _ in 0..3 {
        let stream = always_ready_stream();
        executor.spawn(async move { read_forever(&stream, &Cell::new(0)).await }).detach();
    }
    let turns = Rc::new(Cell::new(0));
    let counted = turns.clone();
    let take_turns = async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    };
    executor.spawn(take_turns).detach();
    let begin = Instant::now();
    executor.block_on(Timer::after(BUSY_TIME));
    assert!(begin.elapsed() < 5 * BUSY_TIME, "the timer fired after {:?}", begin.elapsed());
    assert!(turns.get() > 10, "the other task was polled {} times", turns.get());
}

#[test]
fn main_future_and_futures_outside_an_executor_yield_too() {
    let (stream, reads) = (always_ready_stream(), Cell::new(0));
    let until_timer = async || {
        let timer = async {
            Timer::after(BUSY_TIME).await;
        };
        or(read_forever(&stream, &reads), timer).await;
    };
    Executor::new().block_on(until_timer());
    assert!(reads.take() > OPERATIONS_PER_POLL, "the loop did not go on after its first yield");
    async_io::block_on(until_timer());
    assert!(reads.take() > OPERATIONS_PER_POLL, "the loop did not go on after its first yield");
}

#[test]
fn each_poll_begins_with_a_full_budget() {
    let (stream, reads) = (always_ready_stream(), Cell::new(0));
    let polls = Cell::new(0);
    let busy = async {
        let mut reading = std::pin::pin!(read_forever(&stream, &reads));
        std::future::poll_fn(|context| {
            polls.set(polls.get() + 1);
            let ended = reading.as_mut().poll(context).is_ready() || polls.get() == 5;
            if ended { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    };
    Executor::new().block_on(busy);
    assert_eq!((polls.get(), reads.get()), (5, 5 * OPERATIONS_PER_POLL));
}

#[test]
fn two_busy_futures_of_one_task_both_make_progress() {
    let (first, second) = (always_ready_stream(), always_ready_stream());
    let (reads_of_first, reads_of_second) = (Cell::new(0), Cell::new(0));
    let timer = async {
        Timer::after(BUSY_TIME).await;
    };
    let both = or(read_forever(&first, &reads_of_first), read_forever(&second, &reads_of_second));
    Executor::new().block_on(or(both, timer));
    assert!(reads_of_first.get() > OPERATIONS_PER_POLL && reads_of_second.get() > OPERATIONS_PER_POLL);
}
