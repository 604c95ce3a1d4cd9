//! What operators say of single servers, beside what the list says of them: which are left out, and the last entry
//! that the list had for each meanwhile.

use crate::host::{Id, ListedServer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most ids that are remembered: new servers come under new ids all day, and the first are forgotten.
const MAX_NAMED: usize = 16_384;

/// Operators' overrides.
#[derive(Debug, Default)]
pub struct Overrides {
    /// The servers that are left out, with the last entry that a list had for each.
    left_out: BTreeMap<Id, Option<ListedServer>>,
    /// The ids that lists have named.
    named: BTreeSet<Id>,
    /// The same ids in the order in which they were first named.
    in_order: VecDeque<Id>,
}

impl Overrides {
    /// Takes in a list's entry. Returns whether operators leave its server out.
    pub fn take_entry(&mut self, entry: &ListedServer) -> bool {
        self.name(&entry.server);
        let Some(last) = self.left_out.get_mut(&entry.server) else { return false };
        *last = Some(entry.clone());
        true
    }

    /// A complete list came: servers that it does not name are no longer listed.
    pub fn retain_listed(&mut self, entries: &[ListedServer]) {
        if !self.left_out.is_empty() {
            let listed: BTreeSet<&Id> = entries.iter().map(|entry| &entry.server).collect();
            for (_, last) in self.left_out.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                *last = None;
            }
        }
    }

    /// A list named this server.
    pub fn name(&mut self, id: &Id) {
        if self.named.insert(id.clone()) {
            self.in_order.push_back(id.clone());
            if self.in_order.len() > MAX_NAMED
                && let Some(first) = self.in_order.pop_front()
            {
                self.named.remove(&first);
            }
        }
    }

    /// The ids that lists have named, up to a bound.
    pub fn named(&self) -> impl Iterator<Item = &Id> {
        self.in_order.iter()
    }

    /// Whether any list named the server. One that is left out stays known, however many others come meanwhile.
    pub fn knows(&self, id: &Id) -> bool {
        self.left_out.contains_key(id) || self.named.contains(id)
    }

    /// Whether any server is left out.
    pub fn any(&self) -> bool {
        !self.left_out.is_empty()
    }

    /// Leaves the server out if a list ever named it. `last` is its entry, unless it is out already.
    pub fn leave_out_if_known(&mut self, id: &Id, last: Option<ListedServer>) {
        if self.knows(id) {
            self.left_out.entry(id.clone()).or_insert(last);
        }
    }

    /// Uses the server again. Returns its last entry, if it was left out and a list names it.
    pub fn use_again(&mut self, id: &Id) -> Option<ListedServer> {
        self.left_out.remove(id).flatten()
    }
}
