//! The plots of a report, each as SVG text.

use super::story::{FaultSpan, ReportData, RunReport};
use crate::tally::Second;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

const SIZE: (u32, u32) = (1000, 260);
/// Width of the time axis relative to the run; the legend takes the space to the right.
const LEGEND_SPACE: f64 = 1.4;
const GREY: RGBColor = RGBColor(120, 120, 120);
const FAULT_COLOUR: RGBColor = RGBColor(214, 69, 65);
/// Colours that are distinct with most kinds of colour blindness (Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(100, 100, 100),
    RGBColor(150, 140, 20),
];

type DrawError = Box<dyn std::error::Error>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn colour(number: usize) -> RGBColor {
    COLOURS[number % COLOURS.len()]
}

/// Points of a value over time, at the middle of each second.
fn points(seconds: &[Second], value: impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    seconds.iter().enumerate().map(|(at, second)| (at as f64 + 0.5, value(second))).collect()
}

fn duration(report: &ReportData) -> f64 {
    report.runs.iter().map(|run| run.seconds.len()).max().unwrap_or(1).max(1) as f64
}

fn max_value(points: &[Vec<(f64, f64)>]) -> f64 {
    points.iter().flatten().map(|(_, y)| *y).fold(0.0, f64::max)
}

/// Draws a plot over the seconds of the run, with the faults in the background.
fn plot_over_time(
    report: &ReportData,
    title: &str,
    top: f64,
    draw: impl FnOnce(&mut Chart) -> Result<(), DrawError>,
) -> Result<String, DrawError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let top = if top > 0.0 { top * 1.08 } else { 1.0 };
        let mut chart = frame(&root, title, duration(report), top)?;
        faults(&mut chart, &report.faults, top)?;
        draw(&mut chart)?;
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(GREY.mix(0.3))
            .label_font(("sans-serif", 12))
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn frame<'a, 'b>(
    root: &DrawingArea<SVGBackend<'b>, Shift>,
    title: &str,
    duration: f64,
    top: f64,
) -> Result<Chart<'a, 'b>, DrawError> {
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..duration * LEGEND_SPACE, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GREY.mix(0.2))
        .axis_style(GREY)
        .x_desc("seconds")
        .label_style(("sans-serif", 12))
        .draw()?;
    Ok(chart)
}

fn faults(chart: &mut Chart, spans: &[FaultSpan], top: f64) -> Result<(), DrawError> {
    for (number, span) in spans.iter().enumerate() {
        let to = span.to.max(span.from + 0.05);
        let area = Rectangle::new([(span.from, 0.0), (to, top)], FAULT_COLOUR.mix(0.08).filled());
        chart.draw_series([area])?;
        let border = |at: f64| PathElement::new(vec![(at, 0.0), (at, top)], FAULT_COLOUR.mix(0.5));
        chart.draw_series([border(span.from), border(to)])?;
        // Staggers the labels, so that those of faults that begin together do not overlap.
        let label_y = top * (0.99 - 0.07 * (number % 6) as f64);
        let style = ("sans-serif", 12).into_font().color(&FAULT_COLOUR);
        chart.draw_series([Text::new(span.label.clone(), (span.from, label_y), style)])?;
    }
    Ok(())
}

fn line(
    chart: &mut Chart,
    points: Vec<(f64, f64)>,
    label: &str,
    colour: RGBColor,
    width: u32,
) -> Result<(), DrawError> {
    let style = colour.stroke_width(width);
    let legend_key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style);
    chart.draw_series(LineSeries::new(points, style))?.label(label).legend(legend_key);
    Ok(())
}

/// Offered utility, and the utility that each run earned, by second.
pub fn utility(report: &ReportData) -> Result<String, DrawError> {
    let Some(first) = report.runs.first() else { return Ok(String::new()) };
    let offered = points(&first.seconds, |second| second.offered);
    let earned: Vec<_> = report.runs.iter().map(|run| points(&run.seconds, |second| second.earned)).collect();
    let top = max_value(&earned).max(max_value(std::slice::from_ref(&offered)));
    plot_over_time(report, "utility a second: offered and earned", top, |chart| {
        line(chart, offered, "offered", GREY, 1)?;
        for (number, (points, run)) in earned.into_iter().zip(&report.runs).enumerate() {
            line(chart, points, &format!("earned: {}", run.name), colour(number), 2)?;
        }
        Ok(())
    })
}

/// Median and 99th percentile of the latency of each run, in milliseconds.
pub fn latency(report: &ReportData) -> Result<String, DrawError> {
    let latencies: Vec<_> = report
        .runs
        .iter()
        .map(|run| {
            let (median, p99) = (points(&run.seconds, |s| s.p50), points(&run.seconds, |s| s.p99));
            (run.name.clone(), median, p99)
        })
        .collect();
    let top = latencies.iter().map(|(_, _, p99)| max_value(std::slice::from_ref(p99))).fold(0.0, f64::max);
    plot_over_time(report, "milliseconds to the answer: p50 and p99", top, |chart| {
        for (number, (name, median, p99)) in latencies.into_iter().enumerate() {
            line(chart, median, &format!("p50 {name}"), colour(number), 1)?;
            line(chart, p99, &format!("p99 {name}"), colour(number), 2)?;
        }
        Ok(())
    })
}

/// Requests at each server divided by its cores, for one run.
pub fn load(report: &ReportData, run: &RunReport) -> Result<String, DrawError> {
    let servers = run.seconds.iter().map(|second| second.loads.len()).max().unwrap_or(0);
    let one = |server: usize| points(&run.seconds, |s| s.loads.get(server).copied().unwrap_or(0.0));
    let each: Vec<_> = (0..servers).map(one).collect();
    let top = max_value(&each);
    plot_over_time(report, &format!("commands in each server for each core: {}", run.name), top, |chart| {
        for (server, points) in each.into_iter().enumerate() {
            let style = colour(server).stroke_width(1);
            chart.draw_series(LineSeries::new(points, style))?;
        }
        let mean = points(&run.seconds, |second| second.load);
        line(chart, mean, "mean", BLACK, 2)
    })
}

/// Final outcomes per second by kind, for one run.
pub fn finals(report: &ReportData, run: &RunReport) -> Result<String, DrawError> {
    type Read = fn(&Second) -> f64;
    let kinds: [(&str, Read); 5] = [
        ("answered", |second| f64::from(second.answered)),
        ("declined", |second| f64::from(second.declined)),
        ("terminated", |second| f64::from(second.terminated)),
        ("left", |second| f64::from(second.left)),
        ("lost", |second| f64::from(second.lost)),
    ];
    let each: Vec<_> = kinds.iter().map(|(_, value)| points(&run.seconds, value)).collect();
    let top = max_value(&each);
    plot_over_time(report, &format!("final answers a second: {}", run.name), top, |chart| {
        for (number, (points, (name, _))) in each.into_iter().zip(kinds).enumerate() {
            line(chart, points, name, [colour(2), colour(1), colour(5), colour(3), BLACK][number], 2)?;
        }
        Ok(())
    })
}

/// Ejections and returns of servers over time, one point for each replica, for one run.
pub fn ejections(report: &ReportData, run: &RunReport) -> Result<String, DrawError> {
    let server = |note: &str| note.rsplit('s').next().and_then(|number| number.trim().parse::<f64>().ok());
    let points_of = |kind: &str| -> Vec<(f64, f64)> {
        let of_kind = run.ejections.iter().filter(|ejection| ejection.text.starts_with(kind));
        of_kind.filter_map(|ejection| Some((ejection.at, server(&ejection.text)?))).collect()
    };
    let (ejected, returned) = (points_of("mark"), points_of("return"));
    let top = max_value(&[ejected.clone(), returned.clone()]) + 1.0;
    plot_over_time(report, &format!("marks and returns by server: {}", run.name), top, |chart| {
        let circle = |colour: RGBColor| move |at| Circle::new(at, 4, colour.filled());
        let legend_key = |colour: RGBColor| move |(x, y)| Circle::new((x + 8, y), 4, colour.filled());
        let ejected_marker = |at| TriangleMarker::new(at, 5, FAULT_COLOUR.filled());
        let ejected_key = |(x, y)| TriangleMarker::new((x + 8, y), 5, FAULT_COLOUR.filled());
        chart.draw_series(ejected.into_iter().map(ejected_marker))?.label("marked").legend(ejected_key);
        let returned_points = returned.into_iter().map(circle(colour(2)));
        chart.draw_series(returned_points)?.label("returned").legend(legend_key(colour(2)));
        Ok(())
    })
}
