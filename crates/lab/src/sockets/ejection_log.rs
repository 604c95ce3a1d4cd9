//! Recognizes the sidecar's log lines about ejected and returned servers.

/// A form of log line: the text before and after the server's name, and the first word of the note for it.
struct LinePattern {
    prefix: &'static str,
    suffix: &'static str,
    note: &'static str,
}

const LINE_PATTERNS: [LinePattern; 4] = [
    LinePattern { prefix: "server ", suffix: " ejected", note: "mark" },
    LinePattern { prefix: "server ", suffix: " returned, in slow start", note: "return" },
    // Earlier builds of the program log the note itself.
    LinePattern { prefix: "mark ", suffix: "", note: "mark" },
    LinePattern { prefix: "return ", suffix: "", note: "return" },
];

/// The note for a log line, `mark SERVER` or `return SERVER`. None for other lines and for servers outside the lab: the
/// lab's server names start with `t`.
pub fn ejection_note(line: &str) -> Option<String> {
    LINE_PATTERNS.iter().find_map(|pattern| {
        let (_, rest) = line.split_once(pattern.prefix)?;
        let server = rest.strip_suffix(pattern.suffix)?;
        server.starts_with('t').then(|| format!("{} {server}", pattern.note))
    })
}

#[cfg(test)]
#[path = "ejection_log_tests.rs"]
mod tests;
