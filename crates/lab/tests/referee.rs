//! The referee detects load balancers that break each rule on purpose, and describes the breach.

use landingspread_decisions::host::{
    AttemptEnd, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_lab::pickers::LoadBalancer;
use landingspread_lab::plan::{self, Scenario};
use landingspread_lab::world::{HostHandle, Run, simulate};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq)]
enum Defect {
    /// Leaves some requests without a final answer (rule 1).
    NoFinalAnswer,
    /// Ends some requests twice (rule 1).
    TwoFinalAnswers,
    /// Starts an attempt after the final answer (rule 1).
    AttemptAfterFinal,
    /// Retries every failed attempt (rule 2).
    UnsafeRetry,
    /// Rejects requests that may have run (rule 2).
    RejectsAll,
    /// Sends to servers that drain or are removed (rule 3).
    IgnoresList,
    /// Sends all requests to the newest server (rule 4).
    OverloadsColdServer,
}

struct FaultyBalancer {
    hand: HostHandle,
    defect: Defect,
    servers: Vec<(Id, bool)>,
    open: Vec<(Id, Duration)>,
    choices: usize,
}

impl FaultyBalancer {
    fn choose_server(&mut self) -> Option<Id> {
        self.choices += 1;
        let ignores_list = self.defect == Defect::IgnoresList;
        let ready: Vec<&Id> =
            self.servers.iter().filter(|(_, ready)| *ready || ignores_list).map(|(id, _)| id).collect();
        if self.defect == Defect::OverloadsColdServer {
            return self.servers.iter().find(|(id, ready)| *ready && &**id == "s3").map(|(id, _)| id.clone());
        }
        (!ready.is_empty()).then(|| ready[self.choices % ready.len()].clone())
    }

    fn update_servers(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            self.servers.retain(|(id, _)| *id != entry.server);
            self.servers.push((entry.server.clone(), entry.lifecycle == Lifecycle::Ready));
        }
    }
}

impl LoadBalancer for FaultyBalancer {
    fn endpoint_list_cached(&mut self, _: Duration, entries: &[ListedServer]) {
        self.update_servers(entries);
    }

    fn endpoint_list_received(&mut self, _: Duration, entries: &[ListedServer]) {
        self.update_servers(entries);
    }

    fn endpoint_list_changed(&mut self, _: Duration, entries: &[ListedServer]) {
        self.update_servers(entries);
    }

    fn discovery_poll_failed(&mut self, _: Duration) {}

    fn request_arrived(&mut self, _: Duration, arrival: RequestArrival) {
        self.open.push((arrival.id.clone(), arrival.deadline));
        if self.defect == Defect::NoFinalAnswer && self.choices % 50 == 49 {
            self.choices += 1;
            return;
        }
        let server = self.choose_server();
        if self.defect == Defect::TwoFinalAnswers && self.choices % 50 == 7 {
            self.hand.reject(&arrival.id, None);
            self.hand.fail(&arrival.id);
            return;
        }
        match server {
            Some(server) => self.hand.start_attempt(&arrival.id, &server, arrival.deadline),
            None => self.hand.reject(&arrival.id, None),
        }
        if self.defect == Defect::AttemptAfterFinal && self.choices % 50 == 7 {
            self.hand.fail(&arrival.id);
            let other = self.choose_server().expect("a ready server");
            self.hand.start_attempt(&arrival.id, &other, arrival.deadline);
        }
    }

    fn client_disconnected(&mut self, _: Duration, _: &Id) {}

    fn attempt_ended(&mut self, _: Duration, ended: AttemptEnd) {
        if ended.request_closed || ended.outcome == Outcome::Ok {
            return;
        }
        match self.defect {
            Defect::UnsafeRetry => {
                let deadline =
                    self.open.iter().find(|(id, _)| *id == ended.request).map(|(_, deadline)| *deadline);
                let server = self.choose_server();
                if let (Some(server), Some(deadline)) = (server, deadline) {
                    self.hand.start_attempt(&ended.request, &server, deadline);
                }
            }
            Defect::RejectsAll => self.hand.reject(&ended.request, None),
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

fn scenario(faults: &str) -> Rc<Scenario> {
    Rc::new(plan::parse("small", &format!("{WORLD}\nfaults = [{faults}]\n")).expect("a valid scenario"))
}

fn run_with(defect: Defect, faults: &str) -> Run {
    simulate(&scenario(faults), 1, &|hand, _, _, _| {
        Box::new(FaultyBalancer { hand, defect, servers: Vec::new(), open: Vec::new(), choices: 0 })
    })
}

/// Asserts that only one rule is broken, and returns the first breach as text.
fn only_breach(run: &Run, rule: usize) -> String {
    for (at, count) in run.breach_counts.iter().enumerate() {
        assert_eq!(*count > 0, at + 1 == rule, "{:?}: {:?}", run.breach_counts, run.breaches.first());
    }
    run.breaches[0].to_string()
}

const ERRORS: &str = "{ kind = \"errors\", at = 2, for = 8, servers = [0, 1], share = 0.5 }";

#[test]
fn missing_final_answer_breaks_rule_1() {
    let breach = only_breach(&run_with(Defect::NoFinalAnswer, ""), 1);
    assert!(breach.contains("no final answer in time") && breach.contains("command c"), "{breach}");
}

#[test]
fn second_final_answer_breaks_rule_1() {
    assert!(only_breach(&run_with(Defect::TwoFinalAnswers, ""), 1).contains("second final answer"));
}

#[test]
fn attempt_after_final_answer_breaks_rule_1() {
    let run = run_with(Defect::AttemptAfterFinal, "");
    assert!(run.breach_counts[0] > 0);
    assert!(run.breaches.iter().any(|breach| breach.description.contains("relay after the final")));
}

#[test]
fn unsafe_retry_breaks_rule_2() {
    let run = run_with(Defect::UnsafeRetry, ERRORS);
    let breach = only_breach(&run, 2);
    assert!(breach.contains("may have run") && breach.contains("server s"), "{breach}");
    assert!(
        run.breaches.iter().any(|breach| breach.description == "a second effect"),
        "the server reports it too"
    );
}

#[test]
fn rejection_after_possible_run_breaks_rule_2() {
    assert!(only_breach(&run_with(Defect::RejectsAll, ERRORS), 2).contains("a decline of what may have run"));
}

#[test]
fn attempt_after_the_grace_breaks_rule_3() {
    let breach =
        only_breach(&run_with(Defect::IgnoresList, "{ kind = \"shrink\", at = 3, servers = [1] }"), 3);
    assert!(breach.contains("after the copy was told") && breach.contains("server s1"), "{breach}");
}

#[test]
fn overload_of_a_cold_server_breaks_rule_4() {
    let breach = only_breach(
        &run_with(Defect::OverloadsColdServer, "{ kind = \"crash\", at = 3, for = 2, servers = [3] }"),
        4,
    );
    assert!(breach.contains("a cold server is brought") && breach.contains("server s3"), "{breach}");
}
