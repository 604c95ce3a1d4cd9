//! The record of what operators said of endpoints: one file that both processes of an upgrade read and write, under a
//! lock. Of each endpoint the newest word counts. It owns the file's form; what follows from a word is the module's.

use super::plain;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Another form of the file would have another.
const VERSION: u32 = 1;
/// A word that an endpoint is used again says when it came back cold; later than this that is past.
const BACK_FOR: Duration = Duration::from_secs(600);
/// So many endpoints may be out at once.
pub const WORDS_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub out: bool,
    pub at_unix_ms: u64,
}

impl Word {
    pub fn age(&self) -> Duration {
        Duration::from_millis(unix_ms().saturating_sub(self.at_unix_ms))
    }

    /// Worth keeping: out, or back not long ago.
    pub fn counts(&self) -> bool {
        self.out || self.age() < BACK_FOR
    }
}

pub type Words = BTreeMap<String, Word>;

#[derive(Serialize, Deserialize)]
struct Saved {
    version: u32,
    words: Words,
}

pub struct Record {
    path: PathBuf,
    /// What was read or written last, so that only a change is read.
    seen: Option<(SystemTime, u64)>,
    pub words: Words,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Record {
    pub fn open(folder: &Path, name: &str) -> Record {
        let path = folder.join(format!("{}.maintenance", plain(name)));
        let mut record = Record { path, seen: None, words: Words::new() };
        record.look();
        record
    }

    fn stamp(&self) -> Option<(SystemTime, u64)> {
        let about = std::fs::metadata(&self.path).ok()?;
        Some((about.modified().ok()?, about.len()))
    }

    /// Reads the file if it has changed. Whether it had.
    pub fn look(&mut self) -> bool {
        let stamp = self.stamp();
        if stamp == self.seen {
            return false;
        }
        self.seen = stamp;
        match self.read() {
            Ok(words) => self.words = words,
            // The words in hand hold: operators' bans must not end by a torn file.
            Err(wrong) => tracing::error!("{}: {wrong}; what was said before holds", self.path.display()),
        }
        true
    }

    fn read(&self) -> io::Result<Words> {
        let text = match std::fs::read(&self.path) {
            Err(wrong) if wrong.kind() == io::ErrorKind::NotFound => return Ok(Words::new()),
            read => read?,
        };
        let saved: Saved = serde_json::from_slice(&text)?;
        if saved.version != VERSION {
            return Err(io::Error::other(format!("version: {} is not {VERSION}", saved.version)));
        }
        Ok(saved.words)
    }

    /// Adds one word to what the file holds by now. It is written aside and then named, so that no reader finds a half.
    pub fn say(&mut self, server: &str, out: bool) -> io::Result<()> {
        let lock = File::options().create(true).truncate(false).write(true).open(self.aside("lock"))?;
        lock.lock()?;
        let now = unix_ms();
        let mut words = self.read()?;
        words.retain(|_, word| word.counts());
        words.insert(server.to_string(), Word { out, at_unix_ms: now });
        if words.len() > WORDS_MOST {
            return Err(io::Error::other(format!("over {WORDS_MOST} endpoints are out")));
        }
        let saved = Saved { version: VERSION, words };
        std::fs::write(self.aside("new"), serde_json::to_vec(&saved)?)?;
        std::fs::rename(self.aside("new"), &self.path)?;
        (self.words, self.seen) = (saved.words, self.stamp());
        Ok(())
    }

    fn aside(&self, what: &str) -> PathBuf {
        let mut path = self.path.clone().into_os_string();
        path.push(format!(".{what}"));
        path.into()
    }
}

#[cfg(test)]
#[path = "maintenance_record_tests.rs"]
mod tests;
