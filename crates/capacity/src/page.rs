//! Formats the tables as Markdown and replaces them in a page, each between its pair of marks. The figures are computed
//! elsewhere.

use crate::sheet::{Cell, Row, figure_names, sheet, unused_slopes};
use crate::size::{Case, Size};
use crate::slope::{Role, Slopes};
use crate::sums::{CaseStats, Moment};
use std::fmt::Write;

/// The largest relative error of a prediction that the page accepts without an explanation.
const PREDICTION_TOLERANCE: f64 = 0.15;

/// The mechanism that distributes configuration, shown once its slopes are measured.
const CONFIGURATION_MECHANISM: &str = "control machines, by versions that each sidecar acknowledges";

/// The name of a section of a page, and the text between its marks.
pub type Section = (String, String);

/// A figure with three significant digits and with commas between thousands.
pub fn format_figure(figure: f64) -> String {
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
        _ if size >= 99.95 => with_thousands_separators(figure),
        _ if size >= 9.995 => round(1),
        _ if size >= 0.9995 => round(2),
        _ if size >= 0.001 => {
            let digits = (2.0 - size.log10().floor()).clamp(0.0, 8.0) as usize;
            round(digits)
        }
        _ => format!("{figure:.1e}"),
    }
}

fn with_thousands_separators(figure: f64) -> String {
    let step = 10f64.powf((figure.abs().log10().floor() - 2.0).max(0.0));
    let rounded = format!("{:.0}", (figure / step).round() * step);
    let (sign, digits) = rounded.strip_prefix('-').map_or(("", rounded.as_str()), |digits| ("-", digits));
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    format!("{sign}{text}")
}

fn format_cell(cell: Cell) -> String {
    match cell {
        Cell::Figure(value) => format_figure(value),
        Cell::NotMeasured => "not measured".into(),
        Cell::NoMechanism => "none".into(),
    }
}

fn table(headers: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut text = format!("| {} |\n|{}\n", headers.join(" | "), " --- |".repeat(headers.len()));
    for row in rows {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// All sections of the page. `today` holds the slopes of the system without the configuration mechanism, `after` those
/// with it; `after` is empty where nothing was measured.
pub fn sections(size: &Size, today: &Slopes, after: &Slopes) -> Vec<Section> {
    let sheets: Vec<(&Case, Vec<Row>, Vec<Row>)> =
        size.cases.iter().map(|case| (case, sheet(size, case, today), sheet(size, case, after))).collect();
    let mut sections = vec![("size".into(), size_table(size)), ("bounds".into(), bounds_table(&sheets))];
    for role in Role::ALL {
        let tables = sheets.iter().map(|(case, rows, _)| {
            let rows = rows.iter().filter(|row| row.role == role);
            format!("Case {}:\n\n{}", case.name, role_table(rows))
        });
        sections.push((role.name().into(), tables.collect::<Vec<_>>().join("\n")));
    }
    sections.push(("slopes".into(), slopes_table(today, "today")));
    sections.push(("slopes-after".into(), slopes_table(after, "after")));
    let names = figure_names()
        .into_iter()
        .map(|(role, figure, unit)| vec![role.to_string(), format!("`{figure}`"), unit.into()]);
    sections.push(("figures".into(), table(&["role", "figure", "unit"], names)));
    let all = today.slopes.iter().chain(&after.slopes);
    let predictions = all.flat_map(|slope| slope.predictions().map(move |prediction| (slope, prediction)));
    let predictions: Vec<Vec<String>> = predictions
        .map(|(slope, (size, predicted, measured))| {
            let error = (predicted - measured) / measured.abs().max(f64::MIN_POSITIVE);
            let verdict =
                if error.abs() <= PREDICTION_TOLERANCE { "within 15%" } else { "off by more than 15%" };
            vec![
                slope.role.to_string(),
                format!("`{}` by {}", slope.figure, slope.by),
                format!("{} to {}", format_figure(slope.from), format_figure(slope.to)),
                format_figure(size),
                format!("{} {}", format_figure(predicted), slope.unit),
                format_figure(measured),
                format!("{:+.1}%", 100.0 * error),
                verdict.into(),
            ]
        })
        .collect();
    let predictions_text = match predictions.is_empty() {
        true => "No point was left out of a fit: not measured.\n".into(),
        false => table(
            &["role", "figure", "fit over", "at", "predicted", "measured", "off by", "verdict"],
            predictions,
        ),
    };
    sections.push(("predicted".into(), predictions_text));
    let names: Vec<String> = size.cases.iter().map(|case| case.name.clone()).collect();
    let assumptions = size.assumptions.iter().map(|assumption| {
        let mut row = vec![format!("`{}`", assumption.key)];
        row.extend(size.cases.iter().map(|case| case.display_value(&assumption.key)));
        row.push(assumption.why.clone());
        row
    });
    let mut headers = vec!["key"];
    headers.extend(names.iter().map(String::as_str));
    headers.push("why");
    sections.push(("assumptions".into(), table(&headers, assumptions)));
    sections
}

fn size_table(size: &Size) -> String {
    let stats: Vec<CaseStats> = size.cases.iter().map(|case| CaseStats::new(&size.operators, case)).collect();
    let row = |label: &str, value: &dyn Fn(&CaseStats, &Case) -> f64| {
        let mut row = vec![label.to_string()];
        row.extend(stats.iter().zip(&size.cases).map(|(stats, case)| format_figure(value(stats, case))));
        row
    };
    let mut headers = vec!["what it comes to"];
    headers.extend(size.cases.iter().map(|case| case.name.as_str()));
    let operators = &size.operators;
    let mut rows = vec![
        row("calls a second of one sidecar, on average", &|stats, _| stats.calls_per_sidecar),
        row("services that a sidecar calls, on average", &|stats, _| stats.called_services),
        row("services that a sidecar calls, at most", &|stats, _| stats.called_services_max),
        row("endpoints of a called service, on average over the pairs", &|stats, _| stats.listed_endpoints),
        row("copies that share a called service, on average over the pairs", &|stats, _| stats.fleet_size),
        row("copies that share the service that is called most", &|stats, _| stats.fleet_size_max),
        row("pairs of a sidecar and a service that it calls (watches; processes, today)", &|stats, _| {
            stats.pairs
        }),
        row("sidecars that have to hear of one endpoint's change, on average", &|stats, _| {
            stats.notified_sidecars
        }),
        row("sidecars that a change of configuration concerns", &|stats, _| stats.affected_sidecars),
        row("endpoints of a rack", &|stats, _| stats.rack_endpoints),
        row("endpoints of the zone that is lost", &|stats, _| stats.lost_zone_endpoints),
        row("endpoints of the region that returns", &|stats, _| stats.returning_endpoints),
    ];
    for moment in Moment::ALL {
        let name = moment.name();
        rows.push(row(&format!("endpoints' changes a second, {name}"), &|stats, case| {
            stats.list_changes(moment, operators, case)
        }));
        rows.push(row(&format!("changes of configuration a second, {name}"), &|stats, case| {
            stats.configuration_changes(moment, operators, case)
        }));
    }
    table(&headers, rows)
}

fn bounds_table(sheets: &[(&Case, Vec<Row>, Vec<Row>)]) -> String {
    let mut headers = vec!["role".to_string(), "what".into(), "bound".into()];
    for (case, _, _) in sheets {
        headers.extend([
            format!("need today, {}: calm", case.name),
            format!("{}: worst", case.name),
            format!("{}: worst over bound", case.name),
        ]);
    }
    headers.extend(["need after, worst".into(), "carried by".into()]);
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let figure_count = |row: &Row| row.cells.iter().filter(|cell| matches!(cell, Cell::Figure(_))).count();
    let worst = |row: &Row| match row.worst() {
        Some((moment, largest)) if figure_count(row) == 1 => {
            format!("{} ({} alone was measured)", format_figure(largest), moment.name())
        }
        Some((moment, largest)) => format!("{} ({})", format_figure(largest), moment.name()),
        None => format_cell(row.cells[0]),
    };
    let count = sheets.first().map_or(0, |(_, rows, _)| rows.len());
    let mut table_rows = Vec::new();
    for index in (0..count).filter(|index| sheets[0].1[*index].in_summary) {
        let first = &sheets[0].1[index];
        let bound = first.bound.map_or("none stated".into(), format_figure);
        let mut table_row = vec![first.role.to_string(), format!("{}, {}", first.label, first.unit), bound];
        for (_, rows, _) in sheets {
            let row = &rows[index];
            table_row.extend([format_cell(row.cells[0]), worst(row), ratio(row)]);
        }
        let after = sheets.iter().map(|(case, _, rows)| {
            match (rows[index].worst(), rows[index].derivation.starts_with("derived")) {
                (Some((moment, largest)), false) => {
                    Some(format!("{}: {} ({})", case.name, format_figure(largest), moment.name()))
                }
                _ => None,
            }
        });
        let after: Option<Vec<String>> = after.collect();
        let mechanism = match &after {
            Some(_) if first.role == Role::Configuration => {
                format!("{}; after: {CONFIGURATION_MECHANISM}", first.mechanism)
            }
            _ => first.mechanism.into(),
        };
        table_row.push(after.map_or("not measured".into(), |after| after.join("; ")));
        table_row.push(mechanism);
        table_rows.push(table_row);
    }
    table(&headers, table_rows)
}

fn ratio(row: &Row) -> String {
    match (row.bound, row.worst()) {
        (Some(bound), Some((_, largest))) => format!("{}x", format_figure(largest / bound)),
        (Some(_), None) => format_cell(row.cells[0]),
        (None, _) => "-".into(),
    }
}

fn role_table<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut headers = vec!["what", "unit"];
    headers.extend(Moment::ALL.iter().map(|moment| moment.name()));
    headers.extend(["bound", "worst over bound", "carried by", "from"]);
    let table_rows = rows.map(|row| {
        let mut table_row = vec![row.label.to_string(), row.unit.into()];
        table_row.extend(row.cells.iter().map(|cell| format_cell(*cell)));
        table_row.push(row.bound.map_or("none stated".into(), format_figure));
        table_row.extend([ratio(row), row.mechanism.into()]);
        table_row.push(if row.derivation.is_empty() { "no slope".into() } else { row.derivation.clone() });
        table_row
    });
    table(&headers, table_rows)
}

fn slopes_table(slopes: &Slopes, when: &str) -> String {
    if slopes.slopes.is_empty() {
        return format!("No slope was measured ({when}).\n");
    }
    let unused = unused_slopes(slopes);
    let rows = slopes.slopes.iter().enumerate().map(|(index, slope)| {
        vec![
            slope.role.to_string(),
            format!("`{}`, {}", slope.figure, slope.unit),
            slope.by.clone(),
            format_figure(slope.at_rest),
            format_figure(slope.each),
            format!("{} to {}", format_figure(slope.from), format_figure(slope.to)),
            slope.points.len().to_string(),
            slope.runs.to_string(),
            format!("{:.1}%", 100.0 * slope.spread),
            format!("{:.1}%", 100.0 * slope.residual),
            format!("`{}`", slope.command),
            format!("{}; {}", slope.build, slope.machine),
            if unused.contains(&index) { "no row" } else { "yes" }.into(),
        ]
    });
    let headers = [
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
    table(&headers, rows)
}

/// The start mark of a section, or its end mark if `slash` is "/".
fn mark(name: &str, slash: &str) -> String {
    format!("<!-- {slash}capacity {name} -->\n")
}

/// The text of all sections, each between its marks.
pub fn marked_text(sections: &[Section]) -> String {
    let marked = |(name, text): &Section| format!("{}{text}{}", mark(name, ""), mark(name, "/"));
    sections.iter().map(marked).collect::<Vec<_>>().join("\n")
}

/// A copy of a page in which each section replaces the text between its marks.
///
/// # Errors
/// The marks of a section are missing, duplicated or in the wrong order, or belong to an unknown section.
pub fn replace_sections(page: &str, sections: &[Section]) -> Result<String, String> {
    let mut page = page.to_string();
    for (name, text) in sections {
        let (start, end) = (mark(name, ""), mark(name, "/"));
        if page.matches(&start).count() != 1 || page.matches(&end).count() != 1 {
            return Err(format!("expected the marks of section {name:?} once each"));
        }
        let surrounding =
            page.split_once(&start).and_then(|(before, rest)| Some((before, rest.split_once(&end)?.1)));
        let Some((before, after)) = surrounding else {
            return Err(format!("the end mark of section {name:?} precedes its start mark"));
        };
        page = format!("{before}{start}{text}{end}{after}");
    }
    if page.matches("<!-- capacity ").count() != sections.len() {
        return Err("the page has marks of a section that the command does not print".into());
    }
    Ok(page)
}
