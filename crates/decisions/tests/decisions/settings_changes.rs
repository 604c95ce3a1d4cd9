//! Settings that change while requests are open.

use crate::scripted_host::{FinalResponse, Harness, TrackedRequest, ms, test_settings};
use landingspread_decisions::host::{Id, LoadReport, Outcome, RequestArrival};
use landingspread_decisions::settings::{RequestClass, RetrySafety};
use std::time::Duration;

fn harness(extra: &str) -> Harness {
    Harness::new(test_settings("all", extra), "all", 5, 3)
}

/// The four classes of the test settings, the first with this latency objective and value.
fn classes(objective: Duration, value: f64) -> Vec<RequestClass> {
    let mut classes = test_settings("all", "").classes;
    (classes[0].latency_objective, classes[0].value) = (objective, value);
    classes
}

fn change_settings(harness: &mut Harness, quotas: &[f64], classes: &[RequestClass]) {
    let now = harness.now();
    harness.policy.settings_changed(now, quotas, classes);
}

/// Submits a request of class 0 and returns the time that its first attempt may take.
fn attempt_timeout(harness: &mut Harness) -> Duration {
    let id = harness.submit(0, ms(3000));
    let state = harness.host.0.borrow();
    let attempt = state.requests[&id].attempts.first().expect("the first attempt starts at once");
    attempt.deadline - attempt.sent_at
}

#[test]
fn new_objective_applies_to_new_requests_only() {
    let mut harness = harness("");
    assert_eq!(attempt_timeout(&mut harness), ms(1000));
    change_settings(&mut harness, &[], &classes(ms(200), 2.0));
    assert_eq!(attempt_timeout(&mut harness), ms(200));
    harness.advance(ms(300));
    let open = harness.open_attempts();
    let state = harness.host.0.borrow();
    let first = state.requests.keys().next().expect("there are requests");
    assert!(
        open.iter().any(|(id, _)| id == first),
        "the attempt of the earlier request still has its old objective"
    );
    drop(state);
    change_settings(&mut harness, &[], &classes(ms(1000), 2.0));
    assert_eq!(
        attempt_timeout(&mut harness),
        ms(1000),
        "the old objective applies again after the change back"
    );
}

/// Whether a request is retried whose attempt fails 260 ms after its body is complete. An objective, if given, is set before
/// the body is complete.
fn is_retried(objective: Option<Duration>) -> bool {
    let mut harness = harness("");
    let id = harness.submit_incomplete(0);
    objective.into_iter().for_each(|objective| change_settings(&mut harness, &[], &classes(objective, 2.0)));
    harness.complete_body(&id, ms(3000));
    harness.advance(ms(260));
    harness.end_attempt(&id, 0, Outcome::ConnectFailed, LoadReport::default());
    harness.advance(ms(20));
    harness.host.0.borrow().requests[&id].attempts.len() == 2
}

#[test]
fn body_completed_after_the_change_has_the_new_objective() {
    assert!(is_retried(None) && is_retried(Some(ms(400))));
    assert!(!is_retried(Some(ms(200))));
}

fn submit_for_tenant(harness: &mut Harness, tenant: usize, class: usize) -> Id {
    let (now, deadline) = (harness.now(), harness.now() + ms(3000));
    let number = harness.host.0.borrow().requests.len();
    let id: Id = format!("t{number:05}").into();
    let tracked = TrackedRequest {
        class,
        deadline,
        attempts: Vec::new(),
        final_response: None,
        body_incomplete: false,
        body_streamed: false,
        body_consumed: false,
    };
    harness.host.0.borrow_mut().requests.insert(id.clone(), tracked);
    harness.policy.request_arrived(
        now,
        RequestArrival {
            id: id.clone(),
            class,
            deadline,
            body_incomplete: false,
            tenant,
            declared_work: None,
        },
    );
    id
}

/// Submits requests of two kinds (tenant, class) for two seconds, in total about three times the capacity of three servers.
/// Returns how many requests of each kind are answered in time.
fn answered_counts(harness: &mut Harness, kinds: [(usize, usize); 2]) -> [usize; 2] {
    let mut submitted = [Vec::new(), Vec::new()];
    for _ in 0..100 {
        for _ in 0..4 {
            for (index, (tenant, class)) in kinds.iter().enumerate() {
                submitted[index].push(submit_for_tenant(harness, *tenant, *class));
            }
        }
        harness.advance(ms(20));
        let mut busy_servers = Vec::new();
        for (id, number) in harness.open_attempts() {
            let server = harness.host.0.borrow().requests[&id].attempts[number as usize].server.clone();
            if !busy_servers.contains(&server) {
                harness.end_attempt(&id, number, Outcome::Ok, LoadReport::default());
                busy_servers.push(server);
            }
        }
    }
    harness.advance(ms(3100));
    submitted.map(|ids| {
        ids.iter().filter(|id| harness.final_response(id) == Some(FinalResponse::Answered)).count()
    })
}

#[test]
fn changed_quotas_change_the_ranks_of_tenants() {
    let quotas = "Tenants.count=2 Tenants.0.QuotaRps=100000 Tenants.1.QuotaRps=100000 BeyondShareUtility=0.1";
    let mut harness = harness(quotas);
    let classes = test_settings("all", "").classes;
    let kinds = [(0, 0), (1, 0)];
    let [one, other] = answered_counts(&mut harness, kinds);
    assert!(
        one + other > 100 && one.abs_diff(other) * 4 < one + other,
        "equal quotas: {one} and {other} requests answered"
    );
    change_settings(&mut harness, &[100_000.0, 0.0], &classes);
    let [within, beyond] = answered_counts(&mut harness, kinds);
    assert!(
        within > 3 * beyond,
        "the tenant within its quota is preferred: {within} and {beyond} requests answered"
    );
    change_settings(&mut harness, &[0.0, 100_000.0], &classes);
    let [beyond, within] = answered_counts(&mut harness, kinds);
    assert!(
        within > 3 * beyond,
        "the other tenant is preferred now: {within} and {beyond} requests answered"
    );
}

#[test]
fn raised_value_changes_which_class_is_preferred() {
    let mut harness = harness("");
    let kinds = [(0, 0), (0, 3)];
    // Of two classes with the same value the quicker one is preferred, and that makes it quicker still. The value of the
    // class that is not preferred is raised.
    let [one, other] = answered_counts(&mut harness, kinds);
    let raised = usize::from(one > other) * 3;
    let mut classes = test_settings("all", "").classes;
    classes[raised].value = 40.0;
    change_settings(&mut harness, &[], &classes);
    let [first, fourth] = answered_counts(&mut harness, kinds);
    let (high, low) = if raised == 0 { (first, fourth) } else { (fourth, first) };
    assert!(high > 3 * low, "{high} and {low} requests answered, {one} and {other} before the change");
}

#[test]
fn retry_safety_and_the_number_of_classes_do_not_change() {
    let mut harness = harness("");
    let mut new_classes = classes(ms(500), 3.0);
    new_classes[2].retry_safety = RetrySafety::Idempotent;
    new_classes.push(new_classes[0].clone());
    change_settings(&mut harness, &[7.0, 8.0], &new_classes);
    let id = harness.submit(2, ms(3000));
    harness.advance(ms(20));
    harness.end_attempt(&id, 0, Outcome::Error, LoadReport::default());
    harness.advance(ms(20));
    assert_eq!(
        harness.host.0.borrow().requests[&id].attempts.len(),
        1,
        "a request that may have run and is not idempotent is not retried"
    );
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Failed));
    let id = harness.submit(4, ms(3000));
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Failed), "class 4 does not exist");
    change_settings(&mut harness, &[], &[]);
    assert_eq!(attempt_timeout(&mut harness), ms(500), "an empty change has no effect");
}
