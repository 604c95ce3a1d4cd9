//! Files that people write: TOML into plain types. It owns how a fault of a file is told (the file, the line, the
//! key, what was expected, the nearest known name); it must never know what a file is about.

use serde::de::DeserializeOwned;
use std::fmt;
use std::ops::Range;
use std::path::Path;

/// What is wrong with a file and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: String,
    /// Counted from 1; none where the fault lies on no line.
    pub line: Option<usize>,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.what),
            None => write!(f, "{}: {}", self.file, self.what),
        }
    }
}

impl std::error::Error for Wrong {}

impl Wrong {
    /// A fault of the value at a key such as `faults.2.servers`, found by the reader's own checks.
    pub fn at_key(file: &str, text: &str, key: &str, what: impl fmt::Display) -> Wrong {
        Wrong { file: file.into(), line: line_of_key(text, key), what: format!("{key}: {what}") }
    }
}

/// The text of a file, and what messages call it.
pub fn text_of(path: &Path) -> Result<(String, String), Wrong> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(wrong) => Err(Wrong { file, line: None, what: wrong.to_string() }),
    }
}

/// TOML into a type; unknown keys are told with their nearest known name where the type denies them.
pub fn from_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Wrong> {
    toml::from_str(text).map_err(|wrong| Wrong {
        file: file.into(),
        line: wrong.span().map(|span| line_at(text, &span)),
        what: with_nearest(wrong.message()),
    })
}

fn line_at(text: &str, span: &Range<usize>) -> usize {
    let before = text.get(..span.start).unwrap_or(text);
    1 + before.matches('\n').count()
}

/// Serde names the unknown word first and the known ones after it, all between backticks.
fn with_nearest(message: &str) -> String {
    if !message.starts_with("unknown") {
        return message.into();
    }
    let mut words = message.split('`').skip(1).step_by(2);
    let Some(unknown) = words.next() else { return message.into() };
    let far = |known: &&str| strsim::damerau_levenshtein(unknown, known);
    match words.min_by_key(far) {
        Some(nearest) if far(&nearest) <= 1 + unknown.len() / 3 => {
            format!("{message}; did you mean `{nearest}`?")
        }
        _ => message.into(),
    }
}

/// The line of a key: that of the table's entry, or of the key within it.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let parts: Vec<&str> = key.split('.').collect();
    let (table, rest) = parts.split_first()?;
    let number = rest.first().and_then(|part| part.parse::<usize>().ok());
    let leaf = if number.is_some() { rest.get(1) } else { rest.first() };
    let header = match number {
        Some(_) => format!("[[{table}]]"),
        None => format!("[{table}]"),
    };
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let mut headers = lines.iter().enumerate().filter(|(_, line)| line.starts_with(&header));
    let Some((start, _)) = headers.nth(number.unwrap_or(0)) else {
        return lines.iter().position(|line| names(line, table)).map(|at| at + 1);
    };
    let mut own = lines.iter().enumerate().skip(start + 1).take_while(|(_, line)| !line.starts_with('['));
    let at = leaf.and_then(|leaf| own.find(|(_, line)| names(line, leaf)));
    Some(at.map_or(start, |(at, _)| at) + 1)
}

fn names(line: &str, key: &str) -> bool {
    line.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(['=', '.']))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Small {
        #[serde(rename = "size")]
        _size: u32,
    }

    #[test]
    fn faults_are_told_by_line_and_nearest_name() {
        let told = |text: &str| from_toml::<Small>("f", text).expect_err("a fault").to_string();
        assert!(told("\nsiez = 3\n").starts_with("f:2: unknown field `siez`"));
        assert!(told("\nsiez = 3\n").ends_with("did you mean `size`?"));
        assert!(!told("colour = 3\n").contains("did you mean"));
        assert!(told("size = -3\n").starts_with("f:1: "));
        assert!(told("size = [\n").starts_with("f:"));
    }

    #[test]
    fn keys_are_found_on_their_lines() {
        let text = "top = 1\n[a]\nx = 1\n[[b]]\nx = 1\n[[b]]\nxy = 2\nx = 3\n";
        let line = |key: &str| Wrong::at_key("f", text, key, "").line;
        assert_eq!(line("top"), Some(1));
        assert_eq!(line("a.x"), Some(3));
        assert_eq!(line("b.1.x"), Some(8), "xy is another key");
        assert_eq!(line("b.1.gone"), Some(6));
        assert_eq!(line("gone"), None);
    }
}
