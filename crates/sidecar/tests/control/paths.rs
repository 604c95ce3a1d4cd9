//! TCP forwarders between processes whose traffic can be held back, as in a network partition.

use crate::helpers::{bind_unused_port, ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Forwards connections to `to` and returns the address to connect to. While `cut` is set, connections and bytes are held
/// back; they go on afterwards.
pub fn partitionable_path(to: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    let cut = cut.clone();
    thread::spawn(move || forward(&listener, to, &cut));
    address
}

fn forward(listener: &TcpListener, to: SocketAddr, cut: &Arc<AtomicBool>) {
    for near in listener.incoming().flatten() {
        let cut = cut.clone();
        thread::spawn(move || {
            while cut.load(Ordering::Relaxed) {
                thread::sleep(ms(5));
            }
            let Ok(far) = TcpStream::connect(to) else { return };
            let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
            let back = cut.clone();
            thread::spawn(move || copy(far_back, near_back, &back));
            copy(near, far, &cut);
        });
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        while cut.load(Ordering::Relaxed) {
            thread::sleep(ms(5));
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
