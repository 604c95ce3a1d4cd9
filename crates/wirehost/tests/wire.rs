//! Lines of the wire and the replies to them: requests, lists, restarts of instances, and malformed lines.

use landingspread_wirehost::Dispatcher;

const BORN: &str = "BORN sidecar-3 85 Discovery=automatic Rules.ColdShare=0.3 Rules.Cold=8800000 \
    Rules.TipMultiple=3.0 Rules.Fall=2000000 Unknown.Key=x Verbs.count=1 Verbs.0.Effect=idempotent \
    Verbs.0.ResponseGoal=2000000 Verbs.0.TimeLimit=5000000";

fn reply_to(dispatcher: &mut Dispatcher, lines: &[&str]) -> String {
    lines.iter().for_each(|line| assert_eq!(dispatcher.read_line(line), Ok(None), "{line}"));
    dispatcher.read_line("END").ok().flatten().unwrap_or_default()
}

fn start_instance(dispatcher: &mut Dispatcher) -> String {
    let list = ["TURN 8412250", "MANIFEST 0 1", "ITEM 10.18.74.7:11203 0 0 0 1 1 -"];
    reply_to(dispatcher, &[&list[..], &[BORN, "TOPOLOGY sidecar-3 2 41 0"]].concat())
}

const REQUEST: &str = "REQUEST sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 8652250 user:kd6 0 12000 1";

#[test]
fn request_is_routed_and_rejected_after_overload() {
    let mut dispatcher = Dispatcher::default();
    assert!(start_instance(&mut dispatcher).starts_with("DEFER sidecar-3 "));
    assert_eq!(
        reply_to(&mut dispatcher, &["TURN 8412250", REQUEST]),
        "ROUTE sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 8652250 10.18.74.7:11203\nDONE\n"
    );
    let attempt_end = "REPLY sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 30 0 18500 10.18.74.7:11203 -";
    assert_eq!(
        reply_to(&mut dispatcher, &["TURN 8430750", attempt_end]),
        "DECLINE sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0\nDONE\n"
    );
    let health_check_end = "PONG sidecar-3 10 10.144.17.242:11244 1400 cpu:0.62,waiting:3,avg_ms:14.5";
    let client_left = "VANISHED sidecar-3 0e6f2b19-669f-49c0-a1b6-cffc35f24fae";
    assert_eq!(
        reply_to(
            &mut dispatcher,
            &["TURN 8430800", health_check_end, client_left, "FROM_PEER sidecar-3 2 68692037"]
        ),
        "DONE\n"
    );
}

#[test]
fn list_number_may_be_reused_within_a_batch() {
    let mut dispatcher = Dispatcher::default();
    start_instance(&mut dispatcher);
    let lines = [
        "TURN 8412300",
        "MANIFEST 0 1",
        "ITEM 10.18.74.7:11203 0 0 0 2 1 -",
        "TOPOLOGY sidecar-3 3 42 0",
        "MANIFEST 0 1",
        "ITEM 10.144.17.242:11244 0 0 0 1 1.5 -",
        "TOPOLOGY sidecar-3 3 43 0",
        REQUEST,
    ];
    assert!(reply_to(&mut dispatcher, &lines).contains(" 10.144.17.242:11244\n"));
}

#[test]
fn instance_restarted_within_a_batch_forgets_its_requests() {
    let mut dispatcher = Dispatcher::default();
    start_instance(&mut dispatcher);
    reply_to(
        &mut dispatcher,
        &["TURN 8412300", REQUEST, "KILL sidecar-3", BORN, "TOPOLOGY sidecar-3 2 41 0"],
    );
    let attempt_end = "REPLY sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 30 0 18500 10.18.74.7:11203 -";
    assert_eq!(reply_to(&mut dispatcher, &["TURN 8430750", attempt_end]), "DONE\n");
}

#[test]
fn malformed_lines_and_settings_are_reported() {
    let mut dispatcher = Dispatcher::default();
    start_instance(&mut dispatcher);
    let error_of = |dispatcher: &mut Dispatcher, line: &str| {
        dispatcher.read_line(line).err().map(|error| error.to_string())
    };
    assert_eq!(error_of(&mut dispatcher, "TURN soon").as_deref(), Some("Moment can't be read: \"soon\""));
    assert_eq!(error_of(&mut dispatcher, "PING sidecar-3").as_deref(), Some("unknown message \"PING\""));
    assert_eq!(
        error_of(&mut dispatcher, "ITEM 1.2.3.4:5 0 0 0 1 1 -").as_deref(),
        Some("ITEM outside a list")
    );
    assert!(error_of(&mut dispatcher, "ELAPSED sidecar-9 sweep").is_some());
    assert!(error_of(&mut dispatcher, "BORN sidecar-4 1 Discovery=push").is_some());
    assert_eq!(
        dispatcher.read_line("END"),
        Ok(Some("GIVE_IN sidecar-4 setting Discovery can't be read: \"push\"\nDONE\n".into()))
    );
}
