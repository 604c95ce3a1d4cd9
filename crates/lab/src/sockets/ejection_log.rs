//! Which log lines of a sidecar tell of an ejected or a returned server.

/// How a line names the decision: the text before the server's name, the text behind it, and the word of the note.
struct LineForm {
    before: &'static str,
    behind: &'static str,
    note: &'static str,
}

const LINE_FORMS: [LineForm; 4] = [
    LineForm { before: "server ", behind: " ejected", note: "mark" },
    LineForm { before: "server ", behind: " returned, in slow start", note: "return" },
    // Earlier builds of the program wrote the note itself.
    LineForm { before: "mark ", behind: "", note: "mark" },
    LineForm { before: "return ", behind: "", note: "return" },
];

/// The note of a line, `mark SERVER` or `return SERVER`, if it tells of one of the lab's servers: their names start with `t`.
pub fn ejection_note(line: &str) -> Option<String> {
    LINE_FORMS.iter().find_map(|form| {
        let (_, rest) = line.split_once(form.before)?;
        let server = rest.strip_suffix(form.behind)?;
        server.starts_with('t').then(|| format!("{} {server}", form.note))
    })
}

#[cfg(test)]
#[path = "ejection_log_tests.rs"]
mod tests;
