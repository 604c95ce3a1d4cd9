//! What a copy sends: news first, then what the reader may lack, within the budget.

use super::*;

const NEWS_EVERY: Duration = Duration::from_millis(50);
const NEWS_TO: usize = 2;
const FAR_MOST: usize = 4;
/// News are sent while there is room for so many bytes of them; where views agree a message tells of so many in turn.
const NEWS_LEAST: usize = 320;
const IN_TURN: usize = 11;
/// Names go with one word of so many; all know them already.
const NAMES_EACH: u32 = 8;
/// Members whose standing is told in one entry, and how many are looked through for them.
const EACH_TIME: usize = 24;
const STANDINGS_MOST: usize = 200;

impl<H: Host> Membership<H> {
    /// Some members that count, by chance; never this one.
    pub(super) fn some_live(&mut self, count: usize, but: Option<Address>) -> Vec<Address> {
        let live = self.books.live();
        let mut some: Vec<Address> = Vec::new();
        for _ in 0..4 * count {
            if live.is_empty() || some.len() >= count {
                break;
            }
            let member = self.books.get(live[self.chance.random_range(0..live.len())]);
            if Some(member.address()) != but && !some.contains(&member.address()) {
                some.push(member.address());
            }
        }
        some
    }

    pub(super) fn tell_news(&mut self) {
        if self.news_at > self.now {
            return;
        }
        self.news_at = self.now + NEWS_EVERY;
        if !self.books.any_news() && self.differ_until <= self.now && self.said_tells == 0 {
            return;
        }
        for to in self.some_live(NEWS_TO, None) {
            self.said_tells = self.said_tells.saturating_sub(1);
            if self.purse.spares(self.now) && self.purse.for_news(self.now) >= NEWS_LEAST {
                self.send(to, Kind::News, 0, None, false);
            }
        }
    }

    /// Looks for some who are away and for a seed that is no member: after a cut nobody else would.
    pub(super) fn look_far(&mut self) {
        let away = self.books.away();
        let nobody = self.books.live().is_empty();
        let most = if nobody { 4 * FAR_MOST } else { FAR_MOST };
        let mut to: Vec<Address> = sample(&mut self.chance, away.len(), most.min(away.len()))
            .into_iter()
            .map(|at| self.books.get(away[at]).address())
            .collect();
        let unknown = |seed: &&Address| self.books.slot(**seed).is_none();
        let seeds: Vec<Address> = self.seeds.iter().filter(unknown).copied().collect();
        let asked = if nobody { HELPERS } else { 1 }.min(seeds.len());
        to.extend(sample(&mut self.chance, seeds.len(), asked).into_iter().map(|at| seeds[at]));
        to.into_iter().for_each(|to| self.send(to, Kind::Ping, 0, None, false));
    }

    /// Tells one whose view differs what is known here of the parts that it differs in.
    pub(super) fn tell_parts(&mut self, to: Address, parts: &[u16]) {
        let own = self.digests().short();
        let differs = |part: usize| parts.get(part).is_some_and(|other| *other != own[part]);
        if !(0..Digests::PARTS).any(differs) {
            return;
        }
        let from = self.chance.random_range(0..Digests::PARTS);
        let mut writer = self.begin(Kind::News, 0);
        self.books.each_of_parts(differs, from, |member| write_in_turn(&mut writer, member, false));
        self.finish(to, writer);
    }

    pub(super) fn begin(&mut self, kind: Kind, number: u32) -> Writer {
        self.own.beat += 1;
        self.own.affirmed = self.epoch;
        let head = Head { kind, number, epoch: self.epoch, digest: self.digest() };
        let mut writer = Writer::new(head, &self.own, self.purse.for_news(self.now));
        if self.said.number > 0 {
            writer.own_said(&self.own, &self.said);
        }
        writer
    }

    pub(super) fn finish(&mut self, to: Address, writer: Writer) {
        let bytes = writer.finish(&self.fleet);
        if !self.purse.pay(self.now, bytes.len()) {
            self.spent.held += 1;
            return;
        }
        self.spent.datagrams += 1;
        self.spent.bytes += bytes.len() as u64;
        self.host.send(to, &bytes);
    }

    /// Writes a message with the news there are, and what else there is room for, and sends it.
    pub(super) fn send(
        &mut self,
        to: Address,
        kind: Kind,
        number: u32,
        about: Option<Address>,
        all_names: bool,
    ) {
        let differ = self.differ_until > self.now || all_names;
        let mut writer = self.begin(kind, number);
        if differ && kind == Kind::News {
            writer.parts(&self.digests().short());
        }
        if let Some(subject) = about {
            let slot = self.books.slot(subject);
            writer.subject(subject, slot.map(|slot| &self.books.get(slot).word));
        }
        if let Some(slot) =
            self.books.slot(to).filter(|slot| self.books.get(*slot).standing != Standing::Alive)
        {
            // Whoever is doubted hears of it first.
            write(&mut writer, self.books.get(slot), false);
        }
        let now = self.now;
        // Who has just joined is told with its name now and then: to be counted it needs none.
        let some_names = self.chance.random_ratio(1, 3);
        let names = |member: &Member| all_names || (some_names && member.since + 4 * PERIOD > now);
        let room = writer.room();
        self.books.each_news(|member| {
            // Where views differ much, news alone would take too long: half of the room is for the whole.
            let full = differ && 2 * writer.room() < room;
            let told = |writer: &mut Writer| match member.only_said && member.standing == Standing::Alive {
                true => write_said(writer, member, now),
                false => write(writer, member, names(member)),
            };
            !full && told(&mut writer)
        });
        if self.books.turns() > 0 && self.chance.random_ratio(1, 4) {
            // Copies that all told on in one order would tell each other the same.
            let at = self.chance.random_range(0..self.books.turns());
            self.books.start_turn_at(at);
        }
        if differ && !all_names && self.chance.random_ratio(1, 2) {
            self.write_standings(&mut writer);
        }
        let with_names = all_names || self.chance.random_ratio(1, NAMES_EACH);
        let mut left = if differ { usize::MAX } else { IN_TURN };
        self.books.each_in_turn(|member| {
            let told = member.standing.counts() || differ;
            left -= usize::from(told);
            !told
                || (left > 0
                    && write_in_turn(&mut writer, member, with_names)
                    && write_said(&mut writer, member, now))
        });
        self.finish(to, writer);
    }
}

impl<H: Host> Membership<H> {
    /// How members stand, in few bytes each: after a cut, that is what views differ in.
    fn write_standings(&mut self, writer: &mut Writer) {
        let epoch = self.disputed;
        while epoch > 0 && writer.room_for_many() > 0 {
            let most = writer.room_for_many();
            let (mut alive, mut dead, mut seen) = (Vec::new(), Vec::new(), 0);
            self.books.each_in_turn(|member| {
                let one = (member.address(), member.life());
                if member.standing == Standing::Alive && member.word.affirmed >= epoch {
                    alive.push(one);
                } else if member.standing == Standing::Dead && !member.alone {
                    dead.push((one, member.dead));
                }
                seen += 1;
                alive.len() + dead.len() < most.min(EACH_TIME) && seen <= STANDINGS_MOST
            });
            let last = dead.iter().map(|(_, epoch)| *epoch).max().unwrap_or(0);
            let dead: Vec<(Address, u64)> = dead.into_iter().map(|(one, _)| one).collect();
            if dead.is_empty() && alive.is_empty() {
                return;
            }
            if !writer.dead(last, &dead) || !writer.affirmed(epoch, &alive) {
                return;
            }
        }
    }
}

/// What is known of a member with its word, which may be the first or the last that the reader hears of it.
fn write_in_turn(writer: &mut Writer, member: &Member, names: bool) -> bool {
    let gone = member.standing == Standing::Dead;
    let told = match member.standing {
        Standing::Alive | Standing::Left => true,
        Standing::Suspect => writer.word(&member.word, names),
        Standing::Dead => writer.word(&Word { gone, ..member.word.clone() }, names),
    };
    told && write(writer, member, names)
}

/// What is known of a member, if there is room for it. Whoever is doubted or dead is known to all who can be told.
fn write(writer: &mut Writer, member: &Member, names: bool) -> bool {
    let (address, life) = (member.address(), member.life());
    if member.dead > member.word.affirmed && !member.alone {
        return writer.dead(member.dead, &[(address, life)]);
    }
    let mut accusers = member.accusers.iter().take(AGREE);
    if member.standing == Standing::Suspect && !member.accusers.is_empty() {
        return accusers.all(|(accuser, epoch)| writer.accused(address, life, *epoch, *accuser));
    }
    writer.word(&member.word, names)
}

/// What it says beside, if there is room for it. Of one who is gone nothing is passed on.
fn write_said(writer: &mut Writer, member: &Member, now: Duration) -> bool {
    let Some((said, at)) = member.said.as_ref().filter(|_| member.standing.counts()) else { return true };
    writer.said(member.address(), member.life(), said, now.saturating_sub(*at))
}
