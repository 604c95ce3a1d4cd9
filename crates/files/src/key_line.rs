//! Finds the line of a key in a TOML text, for errors detected after parsing, when the parser's positions are lost.

/// The line, counted from 1, of the key at a path such as `faults.2.servers`, or the line of the table's header if the
/// table doesn't contain the key.
pub(crate) fn line_of_key(text: &str, path: &str) -> Option<usize> {
    let parts: Vec<&str> = path.split('.').collect();
    let (table, rest) = parts.split_first()?;
    let index = rest.first().and_then(|part| part.parse::<usize>().ok());
    let key = if index.is_some() { rest.get(1) } else { rest.first() };
    let header = match index {
        Some(_) => format!("[[{table}]]"),
        None => format!("[{table}]"),
    };
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let mut headers = lines.iter().enumerate().filter(|(_, line)| line.starts_with(&header));
    let Some((start, _)) = headers.nth(index.unwrap_or(0)) else {
        return lines.iter().position(|line| assigns(line, table)).map(|at| at + 1);
    };
    let mut body = lines.iter().enumerate().skip(start + 1).take_while(|(_, line)| !line.starts_with('['));
    let found = key.and_then(|key| body.find(|(_, line)| assigns(line, key)));
    Some(found.map_or(start, |(at, _)| at) + 1)
}

/// Whether the line assigns this key or a dotted key that starts with it.
fn assigns(line: &str, key: &str) -> bool {
    line.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(['=', '.']))
}
