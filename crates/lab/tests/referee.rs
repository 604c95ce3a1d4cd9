//! The referee catches pickers that are wrong on purpose, one for each rule, and names what it saw.

use landingspread_decisions::host::{
    AttemptEnd, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_lab::pickers::LoadBalancer;
use landingspread_lab::plan::{self, Scenario};
use landingspread_lab::world::{HostHandle, Run, simulate};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq)]
enum Wrong {
    /// Never answers what it can't relay (rule 1).
    Silent,
    /// Answers twice (rule 1).
    Twice,
    /// Relays after its final word (rule 1).
    RelaysOn,
    /// Repeats whatever ended (rule 2).
    Repeats,
    /// Declines what may have run (rule 2).
    DeclinesAll,
    /// Goes on to what drains or is gone (rule 3).
    Deaf,
    /// Sends all to the newest server (rule 4).
    Rushes,
}

struct Faulty {
    hand: HostHandle,
    wrong: Wrong,
    servers: Vec<(Id, bool)>,
    open: Vec<(Id, Duration)>,
    turn: usize,
}

impl Faulty {
    fn next(&mut self) -> Option<Id> {
        self.turn += 1;
        let deaf = self.wrong == Wrong::Deaf;
        let ready: Vec<&Id> =
            self.servers.iter().filter(|(_, ready)| *ready || deaf).map(|(id, _)| id).collect();
        if self.wrong == Wrong::Rushes {
            return self.servers.iter().find(|(id, ready)| *ready && &**id == "s3").map(|(id, _)| id.clone());
        }
        (!ready.is_empty()).then(|| ready[self.turn % ready.len()].clone())
    }

    fn take(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            self.servers.retain(|(id, _)| *id != entry.server);
            self.servers.push((entry.server.clone(), entry.lifecycle == Lifecycle::Ready));
        }
    }
}

impl LoadBalancer for Faulty {
    fn endpoint_list_cached(&mut self, _: Duration, entries: &[ListedServer]) {
        self.take(entries);
    }

    fn endpoint_list_received(&mut self, _: Duration, entries: &[ListedServer]) {
        self.take(entries);
    }

    fn endpoint_list_changed(&mut self, _: Duration, entries: &[ListedServer]) {
        self.take(entries);
    }

    fn discovery_poll_failed(&mut self, _: Duration) {}

    fn request_arrived(&mut self, _: Duration, arrival: RequestArrival) {
        self.open.push((arrival.id.clone(), arrival.deadline));
        if self.wrong == Wrong::Silent && self.turn % 50 == 49 {
            self.turn += 1;
            return;
        }
        let to = self.next();
        if self.wrong == Wrong::Twice && self.turn % 50 == 7 {
            self.hand.reject(&arrival.id, None);
            self.hand.fail(&arrival.id);
            return;
        }
        match to {
            Some(to) => self.hand.start_attempt(&arrival.id, &to, arrival.deadline),
            None => self.hand.reject(&arrival.id, None),
        }
        if self.wrong == Wrong::RelaysOn && self.turn % 50 == 7 {
            self.hand.fail(&arrival.id);
            let other = self.next().expect("a server");
            self.hand.start_attempt(&arrival.id, &other, arrival.deadline);
        }
    }

    fn client_disconnected(&mut self, _: Duration, _: &Id) {}

    fn attempt_ended(&mut self, _: Duration, ended: AttemptEnd) {
        if ended.request_closed || ended.outcome == Outcome::Ok {
            return;
        }
        match self.wrong {
            Wrong::Repeats => {
                let due = self.open.iter().find(|(id, _)| *id == ended.request).map(|(_, due)| *due);
                let to = self.next();
                if let (Some(to), Some(due)) = (to, due) {
                    self.hand.start_attempt(&ended.request, &to, due);
                }
            }
            Wrong::DeclinesAll => self.hand.reject(&ended.request, None),
            _ => self.hand.fail(&ended.request),
        }
    }

    fn health_check_ended(&mut self, _: Duration, _: Outcome, _: &Id, _: LoadReport) {}

    fn timer_fired(&mut self, _: Duration) {}
}

const WORLD: &str = "
name = \"small\"
seconds = 12
settle = 0
load = { rate = 240 }
front = { copies = 2 }
verbs = [{ name = \"pay\", repeats = \"effectful\", goal = 0.4, limit = 0.8, work = [0.01] }]
tiers = [{ servers = 4, cores = 1 }]
";

fn world(faults: &str) -> Rc<Scenario> {
    Rc::new(
        plan::parse("small", &format!("{WORLD}\nfaults = [{faults}]\n")).expect("a plan that can be played"),
    )
}

fn played(wrong: Wrong, faults: &str) -> Run {
    simulate(&world(faults), 1, &|hand, _, _, _| {
        Box::new(Faulty { hand, wrong, servers: Vec::new(), open: Vec::new(), turn: 0 })
    })
}

/// Breaches of one rule alone, and the first of them as told.
fn caught(run: &Run, rule: usize) -> String {
    for (at, count) in run.breach_counts.iter().enumerate() {
        assert_eq!(*count > 0, at + 1 == rule, "{:?}: {:?}", run.breach_counts, run.breaches.first());
    }
    run.breaches[0].to_string()
}

const ERRORS: &str = "{ kind = \"errors\", at = 2, for = 8, servers = [0, 1], share = 0.5 }";

#[test]
fn no_final_answer_is_caught() {
    let told = caught(&played(Wrong::Silent, ""), 1);
    assert!(told.contains("no final answer in time") && told.contains("command c"), "{told}");
}

#[test]
fn a_second_final_answer_is_caught() {
    assert!(caught(&played(Wrong::Twice, ""), 1).contains("second final answer"));
}

#[test]
fn a_relay_after_the_final_answer_is_caught() {
    let run = played(Wrong::RelaysOn, "");
    assert!(run.breach_counts[0] > 0);
    assert!(run.breaches.iter().any(|breach| breach.description.contains("relay after the final")));
}

#[test]
fn a_second_effect_is_caught() {
    let run = played(Wrong::Repeats, ERRORS);
    let told = caught(&run, 2);
    assert!(told.contains("may have run") && told.contains("server s"), "{told}");
    assert!(
        run.breaches.iter().any(|breach| breach.description == "a second effect"),
        "the server saw it too"
    );
}

#[test]
fn a_decline_of_what_may_have_run_is_caught() {
    assert!(caught(&played(Wrong::DeclinesAll, ERRORS), 2).contains("a decline of what may have run"));
}

#[test]
fn a_relay_past_the_grace_is_caught() {
    let told = caught(&played(Wrong::Deaf, "{ kind = \"shrink\", at = 3, servers = [1] }"), 3);
    assert!(told.contains("after the copy was told") && told.contains("server s1"), "{told}");
}

#[test]
fn a_cold_server_pushed_over_is_caught() {
    let told = caught(&played(Wrong::Rushes, "{ kind = \"crash\", at = 3, for = 2, servers = [3] }"), 4);
    assert!(told.contains("a cold server is brought") && told.contains("server s3"), "{told}");
}
