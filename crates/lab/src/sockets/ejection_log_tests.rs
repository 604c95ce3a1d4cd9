//! The log lines of this build and of earlier ones give the same notes; other lines give none.

use super::ejection_note;

#[test]
fn log_lines_of_this_and_earlier_builds_give_the_same_notes() {
    let cases = [
        ("2026-12-03T09:00:00.000000Z  INFO server t0s3 ejected", Some("mark t0s3")),
        ("2026-12-03T09:00:00.000000Z  INFO mark t0s3", Some("mark t0s3")),
        ("2026-12-03T09:00:00.000000Z  INFO server t1s12 returned, in slow start", Some("return t1s12")),
        ("2026-12-03T09:00:00.000000Z  INFO return t1s12", Some("return t1s12")),
        ("2026-12-03T09:00:00.000000Z  INFO server s3 ejected", None),
        ("2026-12-03T09:00:00.000000Z  INFO mark s3", None),
        ("2026-12-03T09:00:00.000000Z DEBUG no response from server t0s3: closed", None),
        ("2026-12-03T09:00:00.000000Z DEBUG request t1 attempt 1 to server t0s3: Answered after 1ms", None),
    ];
    for (line, note) in cases {
        assert_eq!(ejection_note(line).as_deref(), note, "{line}");
    }
}
