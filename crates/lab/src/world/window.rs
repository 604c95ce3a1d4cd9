//! A map from consecutive numbers to items, of which mostly the oldest are removed. A look-up takes constant time, and
//! iteration is in order of the numbers, so that results do not depend on hashing.

use std::collections::VecDeque;

/// Items by number, assigned in ascending order.
pub struct SequenceMap<T> {
    first: u64,
    items: VecDeque<Option<T>>,
    occupied: usize,
}

impl<T> Default for SequenceMap<T> {
    fn default() -> SequenceMap<T> {
        SequenceMap { first: 0, items: VecDeque::new(), occupied: 0 }
    }
}

impl<T> SequenceMap<T> {
    /// Adds an item and returns its number.
    pub fn insert(&mut self, item: T) -> u64 {
        self.items.push_back(Some(item));
        self.occupied += 1;
        self.first + self.items.len() as u64 - 1
    }

    fn index_of(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.first)?).ok()
    }

    /// The item of a number, unless it was removed.
    pub fn get(&self, number: u64) -> Option<&T> {
        self.items.get(self.index_of(number)?)?.as_ref()
    }

    /// The item of a number for changes, unless it was removed.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let index_of = self.index_of(number)?;
        self.items.get_mut(index_of)?.as_mut()
    }

    /// Removes and returns the item of a number.
    pub fn remove(&mut self, number: u64) -> Option<T> {
        let index_of = self.index_of(number)?;
        let item = self.items.get_mut(index_of)?.take();
        self.occupied -= usize::from(item.is_some());
        while self.items.front().is_some_and(Option::is_none) {
            self.items.pop_front();
            self.first += 1;
        }
        item
    }

    /// Count of items that are not removed.
    pub fn len(&self) -> usize {
        self.occupied
    }

    /// The items with their numbers, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        let numbered = (self.first..).zip(&self.items);
        numbered.filter_map(|(number, item)| Some((number, item.as_ref()?)))
    }
}
