//! The tables as Markdown. It owns how they are written and between which marks they stand in a page; it must never
//! work a figure out.

use crate::sheet::{Cell, Line, figures, sheet, unread};
use crate::size::{Case, Size};
use crate::slope::{Role, Slopes};
use crate::sums::{Moment, Sums};
use std::fmt::Write;

/// How far a prediction may be off before the page has to say why.
const TRUSTED: f64 = 0.15;

/// What carries configuration once it was measured.
const AFTER: &str = "control machines, by versions that each sidecar acknowledges";

/// A part of a page: its name, and what stands between its marks.
pub type Section = (String, String);

/// Three digits that count, thousands apart.
pub fn figure(figure: f64) -> String {
    let size = figure.abs();
    if size == 0.0 {
        return "0".into();
    }
    let round = |digits: usize| {
        let text = format!("{figure:.digits$}");
        match text.contains('.') {
            true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
            false => text,
        }
    };
    match size {
        _ if size >= 99.95 => thousands(figure),
        _ if size >= 9.995 => round(1),
        _ if size >= 0.9995 => round(2),
        _ if size >= 0.001 => {
            let digits = (2.0 - size.log10().floor()).clamp(0.0, 8.0) as usize;
            round(digits)
        }
        _ => format!("{figure:.1e}"),
    }
}

fn thousands(figure: f64) -> String {
    let step = 10f64.powf((figure.abs().log10().floor() - 2.0).max(0.0));
    let whole = format!("{:.0}", (figure / step).round() * step);
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole.as_str()), |digits| ("-", digits));
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    format!("{sign}{text}")
}

fn cell(cell: Cell) -> String {
    match cell {
        Cell::Figure(value) => figure(value),
        Cell::NotMeasured => "not measured".into(),
        Cell::NoMechanism => "none".into(),
    }
}

fn table(heads: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut text = format!("| {} |\n|{}\n", heads.join(" | "), " --- |".repeat(heads.len()));
    for row in rows {
        // Writing to a string can't fail.
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// All tables: `after` has the slopes with the mechanism that was missing first; none where it was not measured.
pub fn sections(size: &Size, today: &Slopes, after: &Slopes) -> Vec<Section> {
    let sheets: Vec<(&Case, Vec<Line>, Vec<Line>)> =
        size.cases.iter().map(|case| (case, sheet(size, case, today), sheet(size, case, after))).collect();
    let mut sections = vec![("size".into(), of_size(size)), ("bounds".into(), bounds(&sheets))];
    for role in Role::ALL {
        let tables = sheets.iter().map(|(case, lines, _)| {
            let lines = lines.iter().filter(|line| line.role == role);
            format!("Case {}:\n\n{}", case.name, of_role(lines))
        });
        sections.push((role.name().into(), tables.collect::<Vec<_>>().join("\n")));
    }
    sections.push(("slopes".into(), of_slopes(today, "today")));
    sections.push(("slopes-after".into(), of_slopes(after, "after")));
    let names = figures()
        .into_iter()
        .map(|(role, figure, unit)| vec![role.to_string(), format!("`{figure}`"), unit.into()]);
    sections.push(("figures".into(), table(&["role", "figure", "unit"], names)));
    let all = today.slopes.iter().chain(&after.slopes);
    let predicted = all.flat_map(|slope| slope.predictions().map(move |found| (slope, found)));
    let predicted: Vec<Vec<String>> = predicted
        .map(|(slope, (at, predicted, measured))| {
            let off = (predicted - measured) / measured.abs().max(f64::MIN_POSITIVE);
            let verdict = if off.abs() <= TRUSTED { "within 15%" } else { "off by more than 15%" };
            vec![
                slope.role.to_string(),
                format!("`{}` by {}", slope.figure, slope.by),
                format!("{} to {}", figure(slope.from), figure(slope.to)),
                figure(at),
                format!("{} {}", figure(predicted), slope.unit),
                figure(measured),
                format!("{:+.1}%", 100.0 * off),
                verdict.into(),
            ]
        })
        .collect();
    let predicted = match predicted.is_empty() {
        true => "No point was left out of a fit: not measured.\n".into(),
        false => table(
            &["role", "figure", "fit over", "at", "predicted", "measured", "off by", "verdict"],
            predicted,
        ),
    };
    sections.push(("predicted".into(), predicted));
    let names: Vec<String> = size.cases.iter().map(|case| case.name.clone()).collect();
    let assumptions = size.assumptions.iter().map(|assumption| {
        let mut row = vec![format!("`{}`", assumption.key)];
        row.extend(size.cases.iter().map(|case| case.told(&assumption.key)));
        row.push(assumption.why.clone());
        row
    });
    let mut heads = vec!["key"];
    heads.extend(names.iter().map(String::as_str));
    heads.push("why");
    sections.push(("assumptions".into(), table(&heads, assumptions)));
    sections
}

fn of_size(size: &Size) -> String {
    let sums: Vec<Sums> = size.cases.iter().map(|case| Sums::of(&size.operators, case)).collect();
    let row = |what: &str, of: &dyn Fn(&Sums, &Case) -> f64| {
        let mut row = vec![what.to_string()];
        row.extend(sums.iter().zip(&size.cases).map(|(sums, case)| figure(of(sums, case))));
        row
    };
    let mut heads = vec!["what it comes to"];
    heads.extend(size.cases.iter().map(|case| case.name.as_str()));
    let operators = &size.operators;
    let mut rows = vec![
        row("calls a second of one sidecar, on average", &|sums, _| sums.calls_a_sidecar),
        row("services that a sidecar calls, on average", &|sums, _| sums.called),
        row("services that a sidecar calls, at most", &|sums, _| sums.called_most),
        row("endpoints of a called service, on average over the pairs", &|sums, _| sums.listed),
        row("copies that share a called service, on average over the pairs", &|sums, _| sums.sharers),
        row("copies that share the service that is called most", &|sums, _| sums.sharers_most),
        row("pairs of a sidecar and a service that it calls (watches; processes, today)", &|sums, _| {
            sums.pairs
        }),
        row("sidecars that have to hear of one endpoint's change, on average", &|sums, _| sums.hearers),
        row("sidecars that a change of configuration concerns", &|sums, _| sums.concerned),
        row("endpoints of a rack", &|sums, _| sums.rack),
        row("endpoints of the zone that is lost", &|sums, _| sums.zone),
        row("endpoints of the region that returns", &|sums, _| sums.region),
    ];
    for moment in Moment::ALL {
        let name = moment.name();
        rows.push(row(&format!("endpoints' changes a second, {name}"), &|sums, case| {
            sums.list_changes(moment, operators, case)
        }));
        rows.push(row(&format!("changes of configuration a second, {name}"), &|sums, case| {
            sums.configuration_changes(moment, operators, case)
        }));
    }
    table(&heads, rows)
}

fn bounds(sheets: &[(&Case, Vec<Line>, Vec<Line>)]) -> String {
    let mut heads = vec!["role".to_string(), "what".into(), "bound".into()];
    for (case, _, _) in sheets {
        heads.extend([
            format!("need today, {}: calm", case.name),
            format!("{}: worst", case.name),
            format!("{}: worst over bound", case.name),
        ]);
    }
    heads.extend(["need after, worst".into(), "carried by".into()]);
    let heads: Vec<&str> = heads.iter().map(String::as_str).collect();
    let measured = |line: &Line| line.cells.iter().filter(|cell| matches!(cell, Cell::Figure(_))).count();
    let worst = |line: &Line| match line.worst() {
        Some((moment, most)) if measured(line) == 1 => {
            format!("{} ({} alone was measured)", figure(most), moment.name())
        }
        Some((moment, most)) => format!("{} ({})", figure(most), moment.name()),
        None => cell(line.cells[0]),
    };
    let count = sheets.first().map_or(0, |(_, lines, _)| lines.len());
    let mut rows = Vec::new();
    for at in (0..count).filter(|at| sheets[0].1[*at].main) {
        let first = &sheets[0].1[at];
        let bound = first.bound.map_or("none stated".into(), figure);
        let mut row = vec![first.role.to_string(), format!("{}, {}", first.what, first.unit), bound];
        for (_, lines, _) in sheets {
            let line = &lines[at];
            row.extend([cell(line.cells[0]), worst(line), ratio(line)]);
        }
        let after = sheets.iter().map(|(case, _, lines)| {
            match (lines[at].worst(), lines[at].from.starts_with("derived")) {
                (Some((moment, most)), false) => {
                    Some(format!("{}: {} ({})", case.name, figure(most), moment.name()))
                }
                _ => None,
            }
        });
        let after: Option<Vec<String>> = after.collect();
        let carried = match &after {
            Some(_) if first.role == Role::Configuration => format!("{}; after: {AFTER}", first.carried),
            _ => first.carried.into(),
        };
        row.push(after.map_or("not measured".into(), |after| after.join("; ")));
        row.push(carried);
        rows.push(row);
    }
    table(&heads, rows)
}

fn ratio(line: &Line) -> String {
    match (line.bound, line.worst()) {
        (Some(bound), Some((_, most))) => format!("{}x", figure(most / bound)),
        (Some(_), None) => cell(line.cells[0]),
        (None, _) => "-".into(),
    }
}

fn of_role<'a>(lines: impl Iterator<Item = &'a Line>) -> String {
    let mut heads = vec!["what", "unit"];
    heads.extend(Moment::ALL.iter().map(|moment| moment.name()));
    heads.extend(["bound", "worst over bound", "carried by", "from"]);
    let rows = lines.map(|line| {
        let mut row = vec![line.what.to_string(), line.unit.into()];
        row.extend(line.cells.iter().map(|found| cell(*found)));
        row.push(line.bound.map_or("none stated".into(), figure));
        row.extend([ratio(line), line.carried.into()]);
        row.push(if line.from.is_empty() { "no slope".into() } else { line.from.clone() });
        row
    });
    table(&heads, rows)
}

fn of_slopes(slopes: &Slopes, when: &str) -> String {
    if slopes.slopes.is_empty() {
        return format!("No slope was measured ({when}).\n");
    }
    let unread = unread(slopes);
    let rows = slopes.slopes.iter().enumerate().map(|(at, slope)| {
        vec![
            slope.role.to_string(),
            format!("`{}`, {}", slope.figure, slope.unit),
            slope.by.clone(),
            figure(slope.at_rest),
            figure(slope.each),
            format!("{} to {}", figure(slope.from), figure(slope.to)),
            slope.points.len().to_string(),
            slope.runs.to_string(),
            format!("{:.1}%", 100.0 * slope.spread),
            format!("{:.1}%", 100.0 * slope.residual),
            format!("`{}`", slope.command),
            format!("{}; {}", slope.build, slope.machine),
            if unread.contains(&at) { "no row" } else { "yes" }.into(),
        ]
    });
    let heads = [
        "role",
        "figure",
        "by",
        "at rest",
        "each",
        "range",
        "points",
        "runs",
        "spread",
        "residual",
        "command",
        "build; machine",
        "read",
    ];
    table(&heads, rows)
}

fn mark(name: &str, end: &str) -> String {
    format!("<!-- {end}capacity {name} -->\n")
}

/// The sections as a text of their own, each between its marks.
pub fn text(sections: &[Section]) -> String {
    let part = |(name, text): &Section| format!("{}{text}{}", mark(name, ""), mark(name, "/"));
    sections.iter().map(part).collect::<Vec<_>>().join("\n")
}

/// A page with each section put between its marks, in place of what stood there.
///
/// # Errors
/// A section whose marks the page lacks or has twice, or marks of a section that there is none of.
pub fn put(page: &str, sections: &[Section]) -> Result<String, String> {
    let mut page = page.to_string();
    for (name, text) in sections {
        let (from, to) = (mark(name, ""), mark(name, "/"));
        if page.matches(&from).count() != 1 || page.matches(&to).count() != 1 {
            return Err(format!("expected the marks of {name:?} once each"));
        }
        let whole = page.split_once(&from).and_then(|(before, rest)| Some((before, rest.split_once(&to)?.1)));
        let Some((before, behind)) = whole else { return Err(format!("the marks of {name:?} cross")) };
        page = format!("{before}{from}{text}{to}{behind}");
    }
    if page.matches("<!-- capacity ").count() != sections.len() {
        return Err("marks of a section that the command doesn't give".into());
    }
    Ok(page)
}
