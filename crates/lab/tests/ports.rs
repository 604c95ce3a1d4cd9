//! Addresses for programs to listen at, requested while other threads start programs.

use landingspread_lab::sockets::unused_address;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const STARTING_THREADS: usize = 8;
const REQUESTED_ADDRESSES: usize = 8000;

/// Starts programs that spend 10 ms between `fork` and `exec`, as on an overloaded machine. Until `exec`, the child has
/// a copy of every descriptor of this process.
fn start_slowly(stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        let mut program = Command::new("true");
        // SAFETY: between fork and exec, the closure makes one system call and neither allocates nor locks.
        unsafe {
            program.pre_exec(|| {
                thread::sleep(Duration::from_millis(10));
                Ok(())
            });
        }
        assert!(program.status().expect("failed to start `true`").success());
    }
}

#[test]
fn unused_address_is_free_while_other_threads_start_programs() {
    let stopped = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTING_THREADS)
        .map(|_| {
            let stopped = stopped.clone();
            thread::spawn(move || start_slowly(&stopped))
        })
        .collect();
    let in_use: Vec<_> = (0..REQUESTED_ADDRESSES)
        .filter_map(|_| {
            let address = unused_address();
            TcpListener::bind(address).err().map(|error| (address, error))
        })
        .collect();
    stopped.store(true, Ordering::Relaxed);
    starters.into_iter().for_each(|starter| starter.join().expect("a starting thread panicked"));
    assert!(
        in_use.is_empty(),
        "{} of {REQUESTED_ADDRESSES} addresses are in use: {:?}",
        in_use.len(),
        in_use.first()
    );
}
