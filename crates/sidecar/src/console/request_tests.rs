//! Which messages are which requests, and which are rejected with what status.

use super::*;

fn parsed(line: &str, body: &str) -> Result<Request, u16> {
    Request::parse(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes(), body.as_bytes())
        .map_err(|reply| reply.status)
}

#[test]
fn messages_are_parsed_and_others_are_rejected() {
    let maintenance =
        |server: &str, in_maintenance| Ok(Request::SetMaintenance { server: server.into(), in_maintenance });
    assert_eq!(parsed("GET /status", ""), Ok(Request::Status));
    assert_eq!(parsed("GET /counters", ""), Ok(Request::Counters));
    assert_eq!(parsed("PUT /counters", ""), Err(405));
    assert_eq!(parsed("GET http://a:1/status?x", ""), Ok(Request::Status));
    assert_eq!(parsed("GET /fleet", ""), Ok(Request::Members { json: false }));
    let accepts =
        Request::parse(b"GET /fleet HTTP/1.1\r\nAccept: text/html, Application/JSON;q=0.9\r\n\r\n", b"");
    assert_eq!(accepts, Ok(Request::Members { json: true }));
    assert_eq!(parsed("PUT /fleet", ""), Err(405));
    assert_eq!(parsed("GET /zones", ""), Ok(Request::Zones { json: false }));
    assert_eq!(parsed("GET /control", ""), Ok(Request::Control { json: false }));
    assert_eq!(parsed("PUT /control", ""), Err(405));
    let zone = |command| Ok(Request::SetZone { zone: "b".into(), command });
    assert_eq!(parsed("PUT /zones/leave", "b\n"), zone(OperatorCommand::Evacuate));
    assert_eq!(parsed("PUT /zones/return", "b"), zone(OperatorCommand::Return));
    assert_eq!(parsed("PUT /zones/return", " "), Err(400));
    assert_eq!(parsed("GET /zones/leave", "b"), Err(405));
    assert_eq!(parsed("PUT /maintenance/enter", "s1\r\n"), maintenance("s1", true));
    assert_eq!(parsed("PUT /maintenance/exit", " s1 "), maintenance("s1", false));
    assert_eq!(parsed("PUT /maintenance/exit", "\n"), Err(400));
    assert_eq!(parsed("PUT /maintenance/exit", &"s".repeat(257)), Err(400));
    assert_eq!(parsed("PUT /maintenance", ""), Err(405));
    assert_eq!(parsed("POST /maintenance/enter", "s1"), Err(405));
    assert_eq!(parsed("GET /", ""), Err(404));
    let rejected = Request::parse(b"GET /maintenance/exit HTTP/1.1\r\n\r\n", b"").expect_err("an error");
    assert!(String::from_utf8_lossy(&rejected.head()).contains("Allow: PUT\r\n"));
}
