use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_a_listening_socket_is_taken_over() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let near = std::net::TcpStream::connect(at).expect("a connection");
    assert!(inherited_listener(Some(near.as_raw_fd()), at).is_none());
    assert!(inherited_listener(Some(9999), at).is_none() && inherited_listener(None, at).is_none());
    let copy = listener.try_clone().expect("a copy");
    let taken = inherited_listener(Some(copy.into_raw_fd()), at).expect("it listens");
    assert_eq!(taken.local_addr().ok(), Some(at));
}
