//! One message's entries, as they are heard.

use super::*;

pub(super) struct Heard<'a, H: Host> {
    pub of: &'a mut Membership<H>,
    pub subject: Option<Address>,
    pub parts: Vec<u16>,
}

impl<H: Host> Reader for Heard<'_, H> {
    fn word(&mut self, word: Word) {
        self.of.take(word, false);
    }

    fn accused(&mut self, target: Address, life: u64, epoch: u64, accuser: Address) {
        let of = &mut *self.of;
        if !of.believes(epoch) {
            return;
        }
        of.epoch = of.epoch.max(epoch);
        if target == of.own.address {
            // Every word from now on clears it; this one goes to the accuser first.
            if life == of.own.life && epoch > of.own.affirmed {
                of.send(accuser, Kind::News, 0, None, false);
            }
            return;
        }
        let Some(slot) = of.books.slot(target) else { return };
        if of.books.get(slot).affirmed() >= epoch {
            // The accuser has not heard what this copy has.
            of.books.tell_on(slot);
        } else if of.books.get(slot).life() == life {
            of.accuse(slot, epoch, accuser);
            let chance = of.look_too();
            if of.books.get(slot).accusing() < AGREE && of.chance.random::<f64>() < chance {
                // Some of those who might have helped are perhaps gone too.
                of.probe(target, None);
            }
        }
    }

    fn dead(&mut self, target: Address, life_end: u16, epoch: u64) {
        let of = &mut *self.of;
        if !of.believes(epoch) {
            return;
        }
        (of.epoch, of.disputed) = (of.epoch.max(epoch), of.disputed.max(epoch));
        if target == of.own.address {
            if life_end == of.own.life as u16 && epoch > of.own.affirmed {
                of.host.taken_for_dead();
                of.own.affirmed = of.epoch;
                of.differ_until = of.now + DIFFER_FOR;
            }
            return;
        }
        let Some(slot) = of.books.slot(target) else { return };
        let change = |member: &mut Member| member.declared(life_end, epoch, false);
        let changed = of.books.change(slot, of.now, GRACE, change);
        changed.into_iter().for_each(|(before, after)| of.told_of(slot, before, after));
    }

    fn subject(&mut self, subject: Address) {
        self.subject = Some(subject);
    }

    fn parts(&mut self, parts: Vec<u16>) {
        self.parts = parts;
    }

    fn affirmed(&mut self, target: Address, life_end: u16, epoch: u64) {
        let of = &mut *self.of;
        if !of.believes(epoch) {
            return;
        }
        of.epoch = of.epoch.max(epoch);
        let Some(slot) = of.books.slot(target) else { return };
        let now = of.now;
        let changed = of.books.change(slot, now, GRACE, |member| member.affirms(life_end, epoch, now));
        changed.into_iter().for_each(|(before, after)| of.told_of(slot, before, after));
    }
    fn said(&mut self, target: Address, life_end: u16, said: Said, age: Duration) {
        let of = &mut *self.of;
        let Some(slot) = of.books.slot(target).filter(|_| said.bytes.len() <= wire::SAID_MOST) else {
            return;
        };
        let (presses, at) = (said.presses, of.now.saturating_sub(age));
        if of.books.get_mut(slot).says(life_end, said, at) && presses {
            of.books.tell_on_said(slot);
        }
    }
}
