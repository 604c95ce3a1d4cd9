//! Tests that valid messages become the right requests, and that invalid ones are rejected with the right status.

use super::*;

fn parse(line: &str, body: &str) -> Result<Request, u16> {
    Request::parse(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes(), body.as_bytes())
        .map_err(|reply| reply.status)
}

#[test]
fn valid_requests_are_parsed_and_others_rejected() {
    let maintenance =
        |server: &str, in_maintenance| Ok(Request::SetMaintenance { server: server.into(), in_maintenance });
    assert_eq!(parse("GET /status", ""), Ok(Request::Status));
    assert_eq!(parse("GET /counters", ""), Ok(Request::Counters));
    assert_eq!(parse("PUT /counters", ""), Err(405));
    assert_eq!(parse("GET http://a:1/status?x", ""), Ok(Request::Status));
    assert_eq!(parse("GET /fleet", ""), Ok(Request::Members { json: false }));
    let accepting_json =
        Request::parse(b"GET /fleet HTTP/1.1\r\nAccept: text/html, Application/JSON;q=0.9\r\n\r\n", b"");
    assert_eq!(accepting_json, Ok(Request::Members { json: true }));
    assert_eq!(parse("PUT /fleet", ""), Err(405));
    assert_eq!(parse("GET /zones", ""), Ok(Request::Zones { json: false }));
    assert_eq!(parse("GET /control", ""), Ok(Request::Control { json: false }));
    assert_eq!(parse("PUT /control", ""), Err(405));
    let zone = |command| Ok(Request::SetZone { zone: "b".into(), command });
    assert_eq!(parse("PUT /zones/leave", "b\n"), zone(OperatorCommand::Evacuate));
    assert_eq!(parse("PUT /zones/return", "b"), zone(OperatorCommand::Return));
    assert_eq!(parse("PUT /zones/return", " "), Err(400));
    assert_eq!(parse("GET /zones/leave", "b"), Err(405));
    assert_eq!(parse("PUT /maintenance/enter", "s1\r\n"), maintenance("s1", true));
    assert_eq!(parse("PUT /maintenance/exit", " s1 "), maintenance("s1", false));
    assert_eq!(parse("PUT /maintenance/exit", "\n"), Err(400));
    assert_eq!(parse("PUT /maintenance/exit", &"s".repeat(257)), Err(400));
    assert_eq!(parse("PUT /maintenance", ""), Err(405));
    assert_eq!(parse("POST /maintenance/enter", "s1"), Err(405));
    assert_eq!(parse("GET /", ""), Err(404));
    let rejected =
        Request::parse(b"GET /maintenance/exit HTTP/1.1\r\n\r\n", b"").expect_err("GET is rejected");
    assert!(String::from_utf8_lossy(&rejected.head()).contains("Allow: PUT\r\n"));
}
