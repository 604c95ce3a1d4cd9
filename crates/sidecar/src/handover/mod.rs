//! How two processes are one sidecar for a while: the inherited listener, who else is alive, and the record of what
//! operators said. It owns the files in the state folder; nothing else knows that there are two but by what is told
//! from here, and nothing here touches a command or an endpoint.

pub mod hold;
pub mod maintenance_record;

use std::fs::{File, TryLockError};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a process looks whether it is alone.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The listener that every process of this sidecar inherits. One that is none is said so and not used.
pub fn inherited(fd: Option<RawFd>, listen: SocketAddr) -> Option<TcpListener> {
    let listener = listening(fd?).inspect_err(|wrong| tracing::warn!("NODE_FD: {wrong}; not used")).ok()?;
    match listener.local_addr() {
        Ok(at) if at == listen => {}
        at => tracing::warn!("NODE_FD: it listens at {at:?}, and not at {listen}"),
    }
    Some(listener)
}

fn listening(fd: RawFd) -> io::Result<TcpListener> {
    // Whether there is one at all is asked first. The number is looked at here alone, before anything else is
    // opened, so no other part of this process can own it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    rustix::io::fcntl_getfd(borrowed)?;
    if !rustix::net::sockopt::socket_acceptconn(borrowed)? {
        return Err(io::Error::other("it does not listen"));
    }
    Ok(TcpListener::from(unsafe { OwnedFd::from_raw_fd(fd) }))
}

/// Which processes of this sidecar are alive, by locks that end with their holders. The serving process holds one,
/// the next one another.
pub struct Presence {
    folder: PathBuf,
    name: String,
    serving: Option<File>,
    next: Option<File>,
}

impl Presence {
    pub fn enter(folder: &Path, name: &str) -> io::Result<Presence> {
        std::fs::create_dir_all(folder)?;
        let (folder, name) = (folder.to_path_buf(), plain(name));
        let mut presence = Presence { folder, name, serving: None, next: None };
        presence.serving = presence.locked("serving")?;
        if presence.serving.is_none() {
            presence.next = presence.locked("next")?;
        }
        Ok(presence)
    }

    fn file(&self, which: &str) -> io::Result<File> {
        let path = self.folder.join(format!("{}.{which}", self.name));
        File::options().create(true).truncate(false).write(true).open(path)
    }

    /// The lock, or None while another process has it.
    fn locked(&self, which: &str) -> io::Result<Option<File>> {
        let file = self.file(which)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(wrong)) => Err(wrong),
        }
    }

    /// Whether another process of this sidecar is alive. What can't be looked at is taken for nobody.
    pub fn another(&mut self) -> bool {
        self.look().unwrap_or_else(|wrong| {
            tracing::warn!("{}: {wrong}", self.folder.display());
            false
        })
    }

    fn look(&mut self) -> io::Result<bool> {
        if self.serving.is_some() {
            // Shared, so that a look hardly ever stands in the way of one who starts.
            return match self.file("next")?.try_lock_shared() {
                Ok(()) => Ok(false),
                Err(TryLockError::WouldBlock) => Ok(true),
                Err(TryLockError::Error(wrong)) => Err(wrong),
            };
        }
        self.serving = self.locked("serving")?;
        if self.serving.is_some() {
            self.next = None;
        } else if self.next.is_none() {
            self.next = self.locked("next")?;
        }
        Ok(self.serving.is_none())
    }
}

/// A sidecar's name as part of a file's.
pub fn plain(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::AsRawFd;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("landingspread-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn each_process_sees_whether_another_is_alive_and_the_last_one_serves() {
        let folder = folder("presence");
        let enter = || Presence::enter(&folder, "n/0").expect("its files");
        let mut first = enter();
        assert!(!first.another());
        let mut second = enter();
        assert!(first.another() && second.another());
        let mut third = enter();
        assert!(third.another());
        drop(first);
        assert!(!second.another() || third.another(), "one of them serves");
        assert!(third.another());
        assert!(second.another(), "the third is the next one now");
        drop(third);
        assert!(!second.another(), "the next one died: this one has all again");
        drop(second);
        assert!(!enter().another(), "files of the dead are no sign of life");
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn only_a_listening_socket_is_taken_over() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let near = std::net::TcpStream::connect(at).expect("a connection");
        assert!(inherited(Some(near.as_raw_fd()), at).is_none());
        assert!(inherited(Some(9999), at).is_none() && inherited(None, at).is_none());
        let copy = listener.try_clone().expect("a copy");
        let taken = inherited(Some(std::os::fd::IntoRawFd::into_raw_fd(copy)), at).expect("it listens");
        assert_eq!(taken.local_addr().ok(), Some(at));
    }
}
