//! What operators said of single servers, beside what the list says of them: which are left out, and the last entry
//! that the list told of each meanwhile. It owns these records; what follows from them is `policy.rs`'s to decide.

use crate::host::{Id, ListedServer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// New servers come under new ids all day: past so many the first are forgotten.
const NAMED_MOST: usize = 16_384;

#[derive(Debug, Default)]
pub struct Overrides {
    left_out: BTreeMap<Id, Option<ListedServer>>,
    /// The ids that lists have named, and their order.
    named: BTreeSet<Id>,
    in_order: VecDeque<Id>,
}

impl Overrides {
    /// Takes an entry's word. Whether operators leave its server out.
    pub fn told(&mut self, entry: &ListedServer) -> bool {
        self.name(&entry.server);
        let last = self.left_out.get_mut(&entry.server);
        last.map(|last| *last = Some(entry.clone())).is_some()
    }

    /// A whole list: what it does not name is no longer listed.
    pub fn only_listed(&mut self, entries: &[ListedServer]) {
        if !self.left_out.is_empty() {
            let listed: BTreeSet<&Id> = entries.iter().map(|entry| &entry.server).collect();
            self.left_out
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
                .for_each(|(_, last)| *last = None);
        }
    }

    pub fn name(&mut self, id: &Id) {
        if self.named.insert(id.clone()) {
            self.in_order.push_back(id.clone());
            if self.in_order.len() > NAMED_MOST {
                let first = self.in_order.pop_front();
                first.map(|first| self.named.remove(&first));
            }
        }
    }

    pub fn named(&self) -> impl Iterator<Item = &Id> {
        self.in_order.iter()
    }

    /// A server that is left out stays known, however many others come meanwhile.
    pub fn knows(&self, id: &Id) -> bool {
        self.left_out.contains_key(id) || self.named.contains(id)
    }

    pub fn any(&self) -> bool {
        !self.left_out.is_empty()
    }

    /// Once out it stays so with what the list told last.
    pub fn leave_out_if_known(&mut self, id: &Id, last: Option<ListedServer>) {
        if self.knows(id) {
            self.left_out.entry(id.clone()).or_insert(last);
        }
    }

    /// Its last entry, if it was left out and a list names it.
    pub fn use_again(&mut self, id: &Id) -> Option<ListedServer> {
        self.left_out.remove(id).flatten()
    }
}
