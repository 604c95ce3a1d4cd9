//! Things numbered in the order in which they came, of which the old ones go: a look-up is one step, and no map's
//! order can reach a result.

use std::collections::VecDeque;

pub struct Window<T> {
    first: u64,
    kept: VecDeque<Option<T>>,
    live: usize,
}

impl<T> Default for Window<T> {
    fn default() -> Window<T> {
        Window { first: 0, kept: VecDeque::new(), live: 0 }
    }
}

impl<T> Window<T> {
    pub fn add(&mut self, item: T) -> u64 {
        self.kept.push_back(Some(item));
        self.live += 1;
        self.first + self.kept.len() as u64 - 1
    }

    fn place(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.first)?).ok()
    }

    pub fn get(&self, number: u64) -> Option<&T> {
        self.kept.get(self.place(number)?)?.as_ref()
    }

    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let place = self.place(number)?;
        self.kept.get_mut(place)?.as_mut()
    }

    pub fn remove(&mut self, number: u64) -> Option<T> {
        let place = self.place(number)?;
        let item = self.kept.get_mut(place)?.take();
        self.live -= usize::from(item.is_some());
        while self.kept.front().is_some_and(Option::is_none) {
            self.kept.pop_front();
            self.first += 1;
        }
        item
    }

    pub fn live(&self) -> usize {
        self.live
    }

    /// In order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        let numbered = (self.first..).zip(&self.kept);
        numbered.filter_map(|(number, item)| Some((number, item.as_ref()?)))
    }
}
