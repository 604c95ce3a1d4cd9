//! HTML report of a run on real processes: a lane per replica with its view over time, the faults, and the
//! service. The file is self-contained.

use super::plan::FleetPlan;
use super::rig::RunResults;
use super::views::ProcessState;
use plotters::prelude::*;
use std::fmt::Write;

const WIDTH: u32 = 1000;
const LANE: u32 = 18;
const MARGIN: u32 = 60;
const GREY: RGBColor = RGBColor(190, 190, 190);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const GREEN: RGBColor = RGBColor(0, 158, 115);
const RED: RGBColor = RGBColor(213, 94, 0);
const BLUE: RGBColor = RGBColor(0, 114, 178);
/// Width of a snapshot in a lane, in seconds.
const SNAPSHOT_WIDTH_S: f64 = 0.1;

type BoxError = Box<dyn std::error::Error>;
/// Selects the plotted count from the counts of one second.
type CountOfSecond = fn(&super::rig::SecondCounts) -> u32;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the report.
///
/// # Errors
/// Errors of the plotting library.
pub fn page(plan: &FleetPlan, results: &RunResults, command: &str) -> Result<String, BoxError> {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><style>body{font:15px/1.5 sans-serif;\
         max-width:1040px;margin:2em auto;color:#222}svg{max-width:100%;height:auto}td,th{padding:.2em .7em;\
         text-align:left}.bad{color:#b00020}</style>",
    );
    let (name, description) = (escaped(&plan.name), escaped(&plan.about));
    write!(
        html,
        "<title>{name}</title><h1>{name}</h1><p>{description}</p><p><code>{}</code></p>",
        escaped(command)
    )?;
    html += &lanes(plan, results)?;
    html.push_str(
        "<p>Green: correct view. Red: wrong view, darker with more errors. Orange: paused. Grey: down. White: \
         could not be queried. Blue lines: begin and end of faults.</p>",
    );
    if plan.localities {
        html += &zones(plan, results)?;
        html.push_str("<p>A zone's fraction of its normal traffic, averaged over all replicas: 0 if all have evacuated it.</p>");
    }
    html += &service(plan, results)?;
    faults(&mut html, plan)?;
    results_tables(&mut html, results)?;
    html.push_str("</html>\n");
    Ok(html)
}

/// The lanes of all replicas, with a line at the start and end of each fault.
fn lanes(plan: &FleetPlan, results: &RunResults) -> Result<String, BoxError> {
    let replicas = plan.processes;
    let mut svg = String::new();
    {
        let size = (WIDTH, LANE * replicas as u32 + MARGIN);
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..replicas as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(replicas.min(60))
            .y_label_formatter(&|lane| format!("c{lane:.0}"))
            .x_desc("seconds")
            .draw()?;
        for sample in &results.samples {
            for replica in 0..replicas {
                let Some(colour) = colour(sample.states[replica], sample.counts[replica], replicas) else {
                    continue;
                };
                let from = (sample.at, replica as f64 + 0.1);
                let to = (sample.at + SNAPSHOT_WIDTH_S, replica as f64 + 0.9);
                chart.draw_series([Rectangle::new([from, to], colour.filled())])?;
            }
        }
        for fault in &plan.faults {
            for at in [fault.at, fault.at + fault.duration] {
                let line = [(at, 0.0), (at, replicas as f64)];
                chart.draw_series([PathElement::new(line, BLUE.stroke_width(1))])?;
            }
        }
        root.present()?;
    }
    Ok(svg)
}

fn colour(state: ProcessState, count: Option<(usize, usize)>, replicas: usize) -> Option<RGBAColor> {
    match (state, count) {
        (ProcessState::Down, _) => Some(GREY.mix(0.6)),
        (ProcessState::Still, _) => Some(ORANGE.mix(0.7)),
        (ProcessState::Runs, None) => None,
        (ProcessState::Runs, Some((_, 0))) => Some(GREEN.mix(0.5)),
        (ProcessState::Runs, Some((_, errors))) => {
            Some(RED.mix(0.3 + 0.7 * errors as f64 / replicas.max(1) as f64))
        }
    }
}

/// Mean share of each zone over time.
fn zones(plan: &FleetPlan, results: &RunResults) -> Result<String, BoxError> {
    const COLOURS: [RGBColor; 6] =
        [BLUE, RED, GREEN, ORANGE, RGBColor(204, 121, 167), RGBColor(86, 180, 233)];
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, 180)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption("zone shares", ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..1.05)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        for (zone, name) in plan.zones.iter().enumerate() {
            let colour = COLOURS[zone % COLOURS.len()];
            let points: Vec<(f64, f64)> =
                results.zone_shares.iter().map(|(at, zone_shares)| (*at, zone_shares[zone])).collect();
            let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            series
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().border_style(GREY).background_style(WHITE).draw()?;
        root.present()?;
    }
    Ok(svg)
}

/// Requests per second, by outcome.
fn service(plan: &FleetPlan, results: &RunResults) -> Result<String, BoxError> {
    let max_offered = results.seconds.iter().map(|second| second.offered).max().unwrap_or(1).max(1);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, 220)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption("requests per second", ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..f64::from(max_offered) * 1.05)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        let lines: [(&str, RGBColor, CountOfSecond); 4] = [
            ("came", GREY, |second| second.offered),
            ("answered", GREEN, |second| second.answered),
            ("declined", ORANGE, |second| second.declined),
            ("lost", RED, |second| second.lost),
        ];
        for (label, colour, count) in lines {
            let at = |(at, second)| (at as f64 + 0.5, f64::from(count(second)));
            let points: Vec<(f64, f64)> = results.seconds.iter().enumerate().map(at).collect();
            let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            series
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().border_style(GREY).background_style(WHITE).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn faults(html: &mut String, plan: &FleetPlan) -> std::fmt::Result {
    html.push_str("<h2>Faults</h2><table><tr><th>from s</th><th>to s</th><th>fault</th></tr>");
    for fault in &plan.faults {
        let (from, to, label) = (fault.at, fault.at + fault.duration, escaped(&fault.label()));
        write!(html, "<tr><td>{from:.1}</td><td>{to:.1}</td><td>{label}</td></tr>")?;
    }
    html.push_str("</table>");
    Ok(())
}

fn results_tables(html: &mut String, results: &RunResults) -> std::fmt::Result {
    html.push_str("<h2>Time until all agreed</h2><table><tr><th>s</th><th>change</th></tr>");
    for (change, elapsed) in &results.views.convergence_times {
        write!(html, "<tr><td>{elapsed:.1}</td><td>{}</td></tr>", escaped(change))?;
    }
    html.push_str("</table>");
    let violations: Vec<&String> = results.views.violations.iter().chain(&results.breaches).collect();
    if !violations.is_empty() {
        html.push_str("<h2 class=\"bad\">Violations</h2><ul>");
        for text in violations {
            write!(html, "<li>{}</li>", escaped(text))?;
        }
        html.push_str("</ul>");
    }
    Ok(())
}
