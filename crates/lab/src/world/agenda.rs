//! What is to happen, in order of time. At one moment what was put down first happens first: the order is stated
//! and does not depend on the heap.

use super::happening::Happening;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry {
    at: Duration,
    number: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Its size is bounded by what it is about: so many entries for each open command, copy, server and fault.
#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    number: u64,
}

impl Agenda {
    pub fn put(&mut self, at: Duration, what: Happening) {
        self.number += 1;
        self.heap.push(Reverse(Entry { at, number: self.number, what }));
    }

    pub fn next(&mut self) -> Option<(Duration, Happening)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
