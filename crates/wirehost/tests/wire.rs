use landingspread_wirehost::Dispatcher;

const BORN: &str = "BORN sidecar-3 85 Discovery=automatic Rules.ColdShare=0.3 Rules.Cold=8800000 \
    Rules.TipMultiple=3.0 Rules.Fall=2000000 Unknown.Key=x Verbs.count=1 Verbs.0.Effect=idempotent \
    Verbs.0.ResponseGoal=2000000 Verbs.0.TimeLimit=5000000";

fn reply(dispatcher: &mut Dispatcher, lines: &[&str]) -> String {
    lines.iter().for_each(|line| assert_eq!(dispatcher.read_line(line), Ok(None), "{line}"));
    dispatcher.read_line("END").ok().flatten().unwrap_or_default()
}

fn born(dispatcher: &mut Dispatcher) -> String {
    let list = ["TURN 8412250", "MANIFEST 0 1", "ITEM 10.18.74.7:11203 0 0 0 1 1 -"];
    reply(dispatcher, &[&list[..], &[BORN, "TOPOLOGY sidecar-3 2 41 0"]].concat())
}

const REQUEST: &str = "REQUEST sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 8652250 user:kd6 0 12000 1";

#[test]
fn a_command_is_relayed_and_its_end_read() {
    let mut dispatcher = Dispatcher::default();
    assert!(born(&mut dispatcher).starts_with("DEFER sidecar-3 "));
    assert_eq!(
        reply(&mut dispatcher, &["TURN 8412250", REQUEST]),
        "ROUTE sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 8652250 10.18.74.7:11203\nDONE\n"
    );
    let end = "REPLY sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 30 0 18500 10.18.74.7:11203 -";
    assert_eq!(
        reply(&mut dispatcher, &["TURN 8430750", end]),
        "DECLINE sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0\nDONE\n"
    );
    let pong = "PONG sidecar-3 10 10.144.17.242:11244 1400 cpu:0.62,waiting:3,avg_ms:14.5";
    let gone = "VANISHED sidecar-3 0e6f2b19-669f-49c0-a1b6-cffc35f24fae";
    assert_eq!(
        reply(&mut dispatcher, &["TURN 8430800", pong, gone, "FROM_PEER sidecar-3 2 68692037"]),
        "DONE\n"
    );
}

#[test]
fn a_lists_number_is_used_again_within_a_batch() {
    let mut dispatcher = Dispatcher::default();
    born(&mut dispatcher);
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
    assert!(reply(&mut dispatcher, &lines).contains(" 10.144.17.242:11244\n"));
}

#[test]
fn killed_and_born_in_one_batch_forgets_what_was_held() {
    let mut dispatcher = Dispatcher::default();
    born(&mut dispatcher);
    reply(&mut dispatcher, &["TURN 8412300", REQUEST, "KILL sidecar-3", BORN, "TOPOLOGY sidecar-3 2 41 0"]);
    let end = "REPLY sidecar-3 5d3a91c4-281b-4208-ab5d-f6a83697cf98 0 30 0 18500 10.18.74.7:11203 -";
    assert_eq!(reply(&mut dispatcher, &["TURN 8430750", end]), "DONE\n");
}

#[test]
fn bad_lines_and_settings_are_named() {
    let mut dispatcher = Dispatcher::default();
    born(&mut dispatcher);
    let wrong =
        |dispatcher: &mut Dispatcher, line: &str| dispatcher.read_line(line).err().map(|w| w.to_string());
    assert_eq!(wrong(&mut dispatcher, "TURN soon").as_deref(), Some("Moment can't be read: \"soon\""));
    assert_eq!(wrong(&mut dispatcher, "PING sidecar-3").as_deref(), Some("unknown message \"PING\""));
    assert_eq!(wrong(&mut dispatcher, "ITEM 1.2.3.4:5 0 0 0 1 1 -").as_deref(), Some("ITEM outside a list"));
    assert!(wrong(&mut dispatcher, "ELAPSED sidecar-9 sweep").is_some());
    assert!(wrong(&mut dispatcher, "BORN sidecar-4 1 Discovery=push").is_some());
    assert_eq!(
        dispatcher.read_line("END"),
        Ok(Some("GIVE_IN sidecar-4 setting Discovery can't be read: \"push\"\nDONE\n".into()))
    );
}
