//! Files into scenarios. It owns how a fault of a file is told: the file, the line, the key, what was expected.

use super::{Scenario, check};
use serde::de::DeserializeOwned;
use std::fmt;
use std::ops::Range;
use std::path::Path;

/// What is wrong with a file and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: String,
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

/// Reads and checks the scenario in a file.
pub fn read(path: &Path) -> Result<Scenario, Wrong> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|wrong| Wrong {
        file: file.clone(),
        line: None,
        what: wrong.to_string(),
    })?;
    parse(&file, &text)
}

/// Takes a scenario's text; `file` is what messages call it.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Wrong> {
    let scenario: Scenario = wrong_in(file, text)?;
    match check::fault_of(&scenario) {
        None => Ok(scenario),
        Some((key, what)) => {
            Err(Wrong { file: file.into(), line: line_of_key(text, &key), what: format!("{key}: {what}") })
        }
    }
}

/// Any TOML into a type, with unknown keys told by their nearest known name.
pub fn wrong_in<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Wrong> {
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

/// The line of a key such as `faults.2.servers`: that of the table's entry, or of the key within it.
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
    let headers = lines.iter().enumerate().filter(|(_, line)| line.starts_with(&header));
    let Some((start, _)) = headers.clone().nth(number.unwrap_or(0)) else {
        return lines.iter().position(|line| line.starts_with(table)).map(|at| at + 1);
    };
    let own = lines.iter().enumerate().skip(start + 1).take_while(|(_, line)| !line.starts_with('['));
    let at = leaf.and_then(|leaf| own.into_iter().find(|(_, line)| line.starts_with(leaf)));
    Some(at.map_or(start, |(at, _)| at) + 1)
}
