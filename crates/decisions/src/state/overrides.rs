//! Operators' overrides of the endpoint list: the excluded servers, and the latest list entry of each of them.

use crate::host::{Id, ListedServer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of remembered ids. Servers are replaced under new ids all the time, so the oldest ids are dropped.
const MAX_KNOWN_IDS: usize = 16_384;

/// The servers that operators excluded, and the ids that lists have named.
#[derive(Debug, Default)]
pub struct Overrides {
    /// The excluded servers, each with its latest list entry; `None` while no list names the server.
    excluded: BTreeMap<Id, Option<ListedServer>>,
    /// Ids of servers that lists have named.
    known: BTreeSet<Id>,
    /// The same ids in the order in which they were first named.
    known_in_order: VecDeque<Id>,
}

impl Overrides {
    /// Records a list's entry. Returns whether its server is excluded.
    pub fn apply_entry(&mut self, entry: &ListedServer) -> bool {
        self.remember(&entry.server);
        let Some(last_entry) = self.excluded.get_mut(&entry.server) else { return false };
        *last_entry = Some(entry.clone());
        true
    }

    /// Handles a complete list: excluded servers that it does not name lose their entries.
    pub fn retain_listed(&mut self, entries: &[ListedServer]) {
        if !self.excluded.is_empty() {
            let listed: BTreeSet<&Id> = entries.iter().map(|entry| &entry.server).collect();
            for (_, last_entry) in self.excluded.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                *last_entry = None;
            }
        }
    }

    /// Remembers a server that a list named.
    pub fn remember(&mut self, id: &Id) {
        if self.known.insert(id.clone()) {
            self.known_in_order.push_back(id.clone());
            if self.known_in_order.len() > MAX_KNOWN_IDS
                && let Some(oldest) = self.known_in_order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
    }

    /// Remembered ids, oldest first.
    pub fn known_ids(&self) -> impl Iterator<Item = &Id> {
        self.known_in_order.iter()
    }

    /// Whether any list named the server. An excluded server stays known, regardless of the number of later ids.
    pub fn is_known(&self, id: &Id) -> bool {
        self.excluded.contains_key(id) || self.known.contains(id)
    }

    /// Whether any server is excluded.
    pub fn any_excluded(&self) -> bool {
        !self.excluded.is_empty()
    }

    /// Excludes the server if a list ever named it. `last_entry` is its list entry, unless it is excluded already.
    pub fn exclude_if_known(&mut self, id: &Id, last_entry: Option<ListedServer>) {
        if self.is_known(id) {
            self.excluded.entry(id.clone()).or_insert(last_entry);
        }
    }

    /// Ends the exclusion of the server. Returns its latest entry, if it was excluded and a list names it.
    pub fn include(&mut self, id: &Id) -> Option<ListedServer> {
        self.excluded.remove(id).flatten()
    }
}
