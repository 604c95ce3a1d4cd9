//! The HTML page: totals, plots, faults and breaches.

use super::plots;
use super::story::{ReportData, RunReport};
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:1040px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto;display:block;\
margin:1em 0}code{background:#f4f4f4;padding:.1em .3em}.bad{color:#b00020}.meta{color:#666}";

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the whole page. An error comes from drawing a plot.
pub fn page(report: &ReportData) -> Result<String, Box<dyn std::error::Error>> {
    let mut html = String::new();
    let (title, about) = (escaped(&report.title), escaped(&report.about));
    write!(html, "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>")?;
    write!(html, "<style>{STYLE}</style><h1>{title}</h1><p>{about}</p>")?;
    let (build, command) = (escaped(&report.build), escaped(&report.command));
    write!(html, "<p class=\"meta\">build {build}; made by <code>{command}</code></p>")?;
    totals_table(&mut html, &report.runs)?;
    html += &plots::utility(report)?;
    html += &plots::latency(report)?;
    if let Some(first) = report.runs.first() {
        html += &plots::finals(report, first)?;
        html += &plots::load(report, first)?;
        if !first.ejections.is_empty() {
            html += &plots::ejections(report, first)?;
        }
    }
    faults_table(&mut html, report)?;
    breaches(&mut html, &report.runs)?;
    html += "</html>\n";
    Ok(html)
}

fn totals_table(html: &mut String, runs: &[RunReport]) -> std::fmt::Result {
    html.push_str(
        "<table><tr><th></th><th>utility kept</th><th>commands</th><th>answered</th><th>declined</th>\
         <th>terminated</th><th>left</th><th>lost</th><th>relays each</th><th>p50 ms</th><th>p99 ms</th>\
         <th>rules broken</th></tr>",
    );
    for RunReport { name, totals, breach_counts, .. } in runs {
        let total: u64 = breach_counts.iter().sum();
        let class = if total > 0 { " class=\"bad\"" } else { "" };
        write!(
            html,
            "<tr><td>{}</td><td>{:.3}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{:.3}</td><td>{:.1}</td><td>{:.1}</td><td{class}>{total}</td></tr>",
            escaped(name),
            totals.utility_fraction,
            totals.arrived,
            totals.answered,
            totals.declined,
            totals.terminated,
            totals.left,
            totals.lost,
            totals.attempts_per_request,
            totals.p50,
            totals.p99,
        )?;
    }
    html.push_str("</table>");
    Ok(())
}

fn faults_table(html: &mut String, report: &ReportData) -> std::fmt::Result {
    if report.faults.is_empty() {
        return Ok(());
    }
    html.push_str("<h2>Faults</h2><table><tr><th>fault</th><th>from s</th><th>to s</th></tr>");
    for span in &report.faults {
        let label = escaped(&span.label);
        write!(html, "<tr><td>{label}</td><td>{:.1}</td><td>{:.1}</td></tr>", span.from, span.to)?;
    }
    html.push_str("</table>");
    Ok(())
}

fn breaches(html: &mut String, runs: &[RunReport]) -> std::fmt::Result {
    const MAX_BREACHES: usize = 20;
    for run in runs.iter().filter(|run| !run.breaches.is_empty()) {
        write!(html, "<h2 class=\"bad\">Rules broken: {}</h2><ul>", escaped(&run.name))?;
        for breach in run.breaches.iter().take(MAX_BREACHES) {
            write!(html, "<li>{}</li>", escaped(breach))?;
        }
        html.push_str("</ul>");
    }
    Ok(())
}
