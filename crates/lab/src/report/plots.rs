//! The plots of a page, each one SVG text.

use super::story::{FaultSpan, ReportData, RunReport};
use crate::tally::Second;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

const SIZE: (u32, u32) = (1000, 260);
/// The labels of the lines stand to the right of them.
const ROOM_FOR_LABELS: f64 = 1.4;
const GREY: RGBColor = RGBColor(120, 120, 120);
const FAULT: RGBColor = RGBColor(214, 69, 65);
/// Distinct also for most who see few colours (Okabe and Ito).
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

type Wrong = Box<dyn std::error::Error>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn colour(number: usize) -> RGBColor {
    COLOURS[number % COLOURS.len()]
}

/// The middle of each second, and what is read of it.
fn points(seconds: &[Second], read: impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    seconds.iter().enumerate().map(|(at, second)| (at as f64 + 0.5, read(second))).collect()
}

fn length(story: &ReportData) -> f64 {
    story.runs.iter().map(|line| line.seconds.len()).max().unwrap_or(1).max(1) as f64
}

fn most(points: &[Vec<(f64, f64)>]) -> f64 {
    points.iter().flatten().map(|(_, y)| *y).fold(0.0, f64::max)
}

/// Draws a plot of `what` over the run's seconds, with the faults behind it.
fn over_time(
    story: &ReportData,
    title: &str,
    top: f64,
    what: impl FnOnce(&mut Chart) -> Result<(), Wrong>,
) -> Result<String, Wrong> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let top = if top > 0.0 { top * 1.08 } else { 1.0 };
        let mut chart = frame(&root, title, length(story), top)?;
        faults(&mut chart, &story.faults, top)?;
        what(&mut chart)?;
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
    length: f64,
    top: f64,
) -> Result<Chart<'a, 'b>, Wrong> {
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..length * ROOM_FOR_LABELS, 0.0..top)?;
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

fn faults(chart: &mut Chart, spans: &[FaultSpan], top: f64) -> Result<(), Wrong> {
    for (number, span) in spans.iter().enumerate() {
        let to = span.to.max(span.from + 0.05);
        let area = Rectangle::new([(span.from, 0.0), (to, top)], FAULT.mix(0.08).filled());
        chart.draw_series([area])?;
        let edge = |at: f64| PathElement::new(vec![(at, 0.0), (at, top)], FAULT.mix(0.5));
        chart.draw_series([edge(span.from), edge(to)])?;
        // Labels of faults that begin together stand below each other.
        let below = top * (0.99 - 0.07 * (number % 6) as f64);
        let style = ("sans-serif", 12).into_font().color(&FAULT);
        chart.draw_series([Text::new(span.label.clone(), (span.from, below), style)])?;
    }
    Ok(())
}

fn line(
    chart: &mut Chart,
    points: Vec<(f64, f64)>,
    label: &str,
    colour: RGBColor,
    width: u32,
) -> Result<(), Wrong> {
    let style = colour.stroke_width(width);
    let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style);
    chart.draw_series(LineSeries::new(points, style))?.label(label).legend(key);
    Ok(())
}

/// Offered utility, and what each line earned.
pub fn utility(story: &ReportData) -> Result<String, Wrong> {
    let Some(first) = story.runs.first() else { return Ok(String::new()) };
    let offered = points(&first.seconds, |second| second.offered);
    let earned: Vec<_> =
        story.runs.iter().map(|line| points(&line.seconds, |second| second.earned)).collect();
    let top = most(&earned).max(most(std::slice::from_ref(&offered)));
    over_time(story, "utility a second: offered and earned", top, |chart| {
        line(chart, offered, "offered", GREY, 1)?;
        for (number, (points, told)) in earned.into_iter().zip(&story.runs).enumerate() {
            line(chart, points, &format!("earned: {}", told.name), colour(number), 2)?;
        }
        Ok(())
    })
}

/// Half and 99 of 100 answers, in milliseconds.
pub fn latency(story: &ReportData) -> Result<String, Wrong> {
    let read: Vec<_> = story
        .runs
        .iter()
        .map(|line| {
            let (half, most) = (points(&line.seconds, |s| s.p50), points(&line.seconds, |s| s.p99));
            (line.name.clone(), half, most)
        })
        .collect();
    let top = read.iter().map(|(_, _, p99)| most(std::slice::from_ref(p99))).fold(0.0, f64::max);
    over_time(story, "milliseconds to the answer: p50 and p99", top, |chart| {
        for (number, (name, half, most)) in read.into_iter().enumerate() {
            line(chart, half, &format!("p50 {name}"), colour(number), 1)?;
            line(chart, most, &format!("p99 {name}"), colour(number), 2)?;
        }
        Ok(())
    })
}

/// Commands in each server for each of its cores, of one line.
pub fn load(story: &ReportData, told: &RunReport) -> Result<String, Wrong> {
    let servers = told.seconds.iter().map(|second| second.loads.len()).max().unwrap_or(0);
    let one = |server: usize| points(&told.seconds, |s| s.loads.get(server).copied().unwrap_or(0.0));
    let each: Vec<_> = (0..servers).map(one).collect();
    let top = most(&each);
    over_time(story, &format!("commands in each server for each core: {}", told.name), top, |chart| {
        for (server, points) in each.into_iter().enumerate() {
            let style = colour(server).stroke_width(1);
            chart.draw_series(LineSeries::new(points, style))?;
        }
        let mean = points(&told.seconds, |second| second.load);
        line(chart, mean, "mean", BLACK, 2)
    })
}

/// Final answers a second by kind, of one line.
pub fn finals(story: &ReportData, told: &RunReport) -> Result<String, Wrong> {
    type Read = fn(&Second) -> f64;
    let kinds: [(&str, Read); 5] = [
        ("answered", |second| f64::from(second.answered)),
        ("declined", |second| f64::from(second.declined)),
        ("terminated", |second| f64::from(second.terminated)),
        ("left", |second| f64::from(second.left)),
        ("lost", |second| f64::from(second.lost)),
    ];
    let each: Vec<_> = kinds.iter().map(|(_, read)| points(&told.seconds, read)).collect();
    let top = most(&each);
    over_time(story, &format!("final answers a second: {}", told.name), top, |chart| {
        for (number, (points, (name, _))) in each.into_iter().zip(kinds).enumerate() {
            line(chart, points, name, [colour(2), colour(1), colour(5), colour(3), BLACK][number], 2)?;
        }
        Ok(())
    })
}

/// Which server was marked and returned when, by how many copies at once.
pub fn marks(story: &ReportData, told: &RunReport) -> Result<String, Wrong> {
    let server = |note: &str| note.rsplit('s').next().and_then(|number| number.trim().parse::<f64>().ok());
    let read = |kind: &str| -> Vec<(f64, f64)> {
        let of_kind = told.ejections.iter().filter(|mark| mark.text.starts_with(kind));
        of_kind.filter_map(|mark| Some((mark.at, server(&mark.text)?))).collect()
    };
    let (marked, returned) = (read("mark"), read("return"));
    let top = most(&[marked.clone(), returned.clone()]) + 1.0;
    over_time(story, &format!("marks and returns by server: {}", told.name), top, |chart| {
        let dot = |colour: RGBColor| move |at| Circle::new(at, 4, colour.filled());
        let key = |colour: RGBColor| move |(x, y)| Circle::new((x + 8, y), 4, colour.filled());
        let down = |at| TriangleMarker::new(at, 5, FAULT.filled());
        let down_key = |(x, y)| TriangleMarker::new((x + 8, y), 5, FAULT.filled());
        chart.draw_series(marked.into_iter().map(down))?.label("marked").legend(down_key);
        let back = returned.into_iter().map(dot(colour(2)));
        chart.draw_series(back)?.label("returned").legend(key(colour(2)));
        Ok(())
    })
}
