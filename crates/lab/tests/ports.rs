//! Addresses that programs under test are told to listen at, while other threads start programs.

use landingspread_lab::sockets::unused_address;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const STARTERS: usize = 8;
const ASKED: usize = 8000;

/// Each child stands 10 ms between `fork` and `exec`, as on a machine with too little time for it: it has a copy of every
/// descriptor of this process until then.
fn start_slowly(over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        let mut program = Command::new("true");
        // SAFETY: between fork and exec one system call is made, and nothing is allocated or locked.
        unsafe {
            program.pre_exec(|| {
                thread::sleep(Duration::from_millis(10));
                Ok(())
            });
        }
        assert!(program.status().expect("it starts").success());
    }
}

#[test]
fn an_address_for_a_program_is_free_while_other_programs_are_being_started() {
    let over = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| {
            let over = over.clone();
            thread::spawn(move || start_slowly(&over))
        })
        .collect();
    let taken: Vec<_> = (0..ASKED)
        .filter_map(|_| {
            let address = unused_address();
            TcpListener::bind(address).err().map(|wrong| (address, wrong))
        })
        .collect();
    over.store(true, Ordering::Relaxed);
    starters.into_iter().for_each(|starter| starter.join().expect("a starter"));
    assert!(taken.is_empty(), "{} of {ASKED} are taken: {:?}", taken.len(), taken.first());
}
