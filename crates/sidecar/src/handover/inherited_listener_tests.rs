use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_listening_sockets_are_taken_over() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let connected = std::net::TcpStream::connect(address).expect("the client connects");
    assert!(inherited_listener(Some(connected.as_raw_fd()), address).is_none());
    assert!(inherited_listener(Some(9999), address).is_none() && inherited_listener(None, address).is_none());
    let duplicate = listener.try_clone().expect("the socket is duplicated");
    let inherited = inherited_listener(Some(duplicate.into_raw_fd()), address).expect("the socket listens");
    assert_eq!(inherited.local_addr().ok(), Some(address));
}
