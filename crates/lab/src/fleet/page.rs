//! A run round processes as a page: a lane for each copy with its view over time, the faults, and the service. One HTML
//! file that needs nothing beside it.

use super::plan::FleetPlan;
use super::rig::Played;
use super::views::Truth;
use plotters::prelude::*;
use std::fmt::Write;

const WIDTH: u32 = 1000;
const LANE: u32 = 18;
const MARGIN: u32 = 60;
const GONE: RGBColor = RGBColor(190, 190, 190);
const STILL: RGBColor = RGBColor(230, 159, 0);
const RIGHT: RGBColor = RGBColor(0, 158, 115);
const ERRS: RGBColor = RGBColor(213, 94, 0);
const FAULT: RGBColor = RGBColor(0, 114, 178);
const LOOK: f64 = 0.1;

type Wrong = Box<dyn std::error::Error>;
/// What is drawn of a second.
type Figure = fn(&super::rig::Second) -> u32;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The whole page. Errors are those of drawing.
pub fn page(plan: &FleetPlan, played: &Played, command: &str) -> Result<String, Wrong> {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><style>body{font:15px/1.5 sans-serif;\
         max-width:1040px;margin:2em auto;color:#222}svg{max-width:100%;height:auto}td,th{padding:.2em .7em;\
         text-align:left}.bad{color:#b00020}</style>",
    );
    let (name, about) = (escaped(&plan.name), escaped(&plan.about));
    write!(
        html,
        "<title>{name}</title><h1>{name}</h1><p>{about}</p><p><code>{}</code></p>",
        escaped(command)
    )?;
    html += &lanes(plan, played)?;
    html.push_str(
        "<p>Green: counts whom it should. Red: errs in some, darker in more. Orange: stands still. Grey: is down. White: \
         could not be asked. Blue lines: faults begin and end.</p>",
    );
    if plan.localities {
        html += &zones(plan, played)?;
        html.push_str("<p>A zone's share of what it would get, on average over all copies: 0 where all have left it.</p>");
    }
    html += &service(plan, played)?;
    faults(&mut html, plan)?;
    figures(&mut html, played)?;
    html.push_str("</html>\n");
    Ok(html)
}

fn lanes(plan: &FleetPlan, played: &Played) -> Result<String, Wrong> {
    let copies = plan.processes;
    let mut svg = String::new();
    {
        let size = (WIDTH, LANE * copies as u32 + MARGIN);
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..copies as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(copies.min(60))
            .y_label_formatter(&|lane| format!("c{lane:.0}"))
            .x_desc("seconds")
            .draw()?;
        for seen in &played.seen {
            for copy in 0..copies {
                let Some(colour) = colour(seen.truth[copy], seen.counts[copy], copies) else { continue };
                let from = (seen.at, copy as f64 + 0.1);
                let to = (seen.at + LOOK, copy as f64 + 0.9);
                chart.draw_series([Rectangle::new([from, to], colour.filled())])?;
            }
        }
        for fault in &plan.faults {
            for at in [fault.at, fault.at + fault.lasts] {
                let line = [(at, 0.0), (at, copies as f64)];
                chart.draw_series([PathElement::new(line, FAULT.stroke_width(1))])?;
            }
        }
        root.present()?;
    }
    Ok(svg)
}

fn colour(truth: Truth, count: Option<(usize, usize)>, copies: usize) -> Option<RGBAColor> {
    match (truth, count) {
        (Truth::Down, _) => Some(GONE.mix(0.6)),
        (Truth::Still, _) => Some(STILL.mix(0.7)),
        (Truth::Runs, None) => None,
        (Truth::Runs, Some((_, 0))) => Some(RIGHT.mix(0.5)),
        (Truth::Runs, Some((_, errors))) => Some(ERRS.mix(0.3 + 0.7 * errors as f64 / copies.max(1) as f64)),
    }
}

fn zones(plan: &FleetPlan, played: &Played) -> Result<String, Wrong> {
    const COLOURS: [RGBColor; 6] =
        [FAULT, ERRS, RIGHT, STILL, RGBColor(204, 121, 167), RGBColor(86, 180, 233)];
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, 180)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption("shares of zones", ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..1.05)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        for (zone, name) in plan.zones.iter().enumerate() {
            let colour = COLOURS[zone % COLOURS.len()];
            let points: Vec<(f64, f64)> =
                played.shares.iter().map(|(at, shares)| (*at, shares[zone])).collect();
            let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            series
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().border_style(GONE).background_style(WHITE).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn service(plan: &FleetPlan, played: &Played) -> Result<String, Wrong> {
    let most = played.seconds.iter().map(|second| second.came).max().unwrap_or(1).max(1);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, 220)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption("commands a second", ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..f64::from(most) * 1.05)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        let lines: [(&str, RGBColor, Figure); 4] = [
            ("came", GONE, |second| second.came),
            ("answered", RIGHT, |second| second.answered),
            ("declined", STILL, |second| second.declined),
            ("lost", ERRS, |second| second.lost),
        ];
        for (label, colour, what) in lines {
            let at = |(at, second)| (at as f64 + 0.5, f64::from(what(second)));
            let points: Vec<(f64, f64)> = played.seconds.iter().enumerate().map(at).collect();
            let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            series
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().border_style(GONE).background_style(WHITE).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn faults(html: &mut String, plan: &FleetPlan) -> std::fmt::Result {
    html.push_str("<h2>Faults</h2><table><tr><th>from s</th><th>to s</th><th>fault</th></tr>");
    for fault in &plan.faults {
        let (from, to, label) = (fault.at, fault.at + fault.lasts, escaped(&fault.label()));
        write!(html, "<tr><td>{from:.1}</td><td>{to:.1}</td><td>{label}</td></tr>")?;
    }
    html.push_str("</table>");
    Ok(())
}

fn figures(html: &mut String, played: &Played) -> std::fmt::Result {
    html.push_str("<h2>Until all agreed</h2><table><tr><th>s</th><th>on</th></tr>");
    for (what, took) in &played.figures.agreed_after {
        write!(html, "<tr><td>{took:.1}</td><td>{}</td></tr>", escaped(what))?;
    }
    html.push_str("</table>");
    let broken: Vec<&String> = played.figures.broken.iter().chain(&played.breaches).collect();
    if !broken.is_empty() {
        html.push_str("<h2 class=\"bad\">Broken</h2><ul>");
        for text in broken {
            write!(html, "<li>{}</li>", escaped(text))?;
        }
        html.push_str("</ul>");
    }
    Ok(())
}
