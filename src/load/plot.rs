//! A plot of latency and answers over time, as SVG.

use std::fmt::Write;

use super::callers::{Outcome, Sent, Tally};
use super::phase::Phase;

const WIDTH: f64 = 1200.0;
const ROW: f64 = 180.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 3] = ["#1b6ca8", "#c0392b", "#7f8c8d"];

/// One policy in one phase, second by second.
#[derive(Debug, Clone)]
pub(super) struct Series {
    policy: &'static str,
    phase: Phase,
    points: Vec<Point>,
}

#[derive(Debug, Clone, Copy)]
struct Point {
    second: u64,
    p99_ms: f64,
    answered: f64,
}

/// What a panel shows.
#[derive(Debug, Clone, Copy)]
enum Measure {
    Latency,
    Answers,
}

impl Measure {
    const fn title(self) -> &'static str {
        match self {
            Self::Latency => "p99 of answers, ms",
            Self::Answers => "answers a second",
        }
    }

    const fn of(self, point: &Point) -> f64 {
        match self {
            Self::Latency => point.p99_ms,
            Self::Answers => point.answered,
        }
    }
}

impl Series {
    pub fn of(policy: &'static str, phase: Phase, sent: &[Sent]) -> Self {
        let last = sent.iter().map(|each| each.at.as_secs()).max().unwrap_or(0);
        let points = (0..=last).map(|second| {
            let within: Vec<&Sent> = sent
                .iter()
                .filter(|each| each.at.as_secs() == second)
                .collect();
            let answered = within
                .iter()
                .filter(|each| each.outcome == Outcome::Answered);
            Point {
                second,
                answered: answered.count() as f64,
                p99_ms: Tally::of(within.iter().copied()).percentile(99.0),
            }
        });
        Self {
            policy,
            phase,
            points: points.collect(),
        }
    }
}

/// Draws a panel for each phase and measure.
pub(super) fn draw(series: &[Series]) -> String {
    let height = MARGIN * 2.0 + ROW * Phase::ALL.len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    legend(&mut svg, series);
    for (row, phase) in Phase::ALL.into_iter().enumerate() {
        let own: Vec<&Series> = series.iter().filter(|each| each.phase == phase).collect();
        for (column, measure) in [Measure::Latency, Measure::Answers].into_iter().enumerate() {
            let left = MARGIN + column as f64 * WIDTH / 2.0;
            let top = MARGIN + row as f64 * ROW;
            panel(&mut svg, phase, measure, &own, left, top);
        }
    }
    svg += "</svg>\n";
    svg
}

fn legend(svg: &mut String, series: &[Series]) {
    let mut names: Vec<&str> = series.iter().map(|each| each.policy).collect();
    names.dedup();
    names.truncate(COLOURS.len());
    for (place, name) in names.iter().enumerate() {
        let x = MARGIN + place as f64 * 160.0;
        let colour = COLOURS[place];
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"24\" fill=\"{colour}\">{name}</text>"
        );
    }
}

fn panel(
    svg: &mut String,
    phase: Phase,
    measure: Measure,
    series: &[&Series],
    left: f64,
    top: f64,
) {
    let (width, height) = (WIDTH / 2.0 - MARGIN * 2.0, ROW - 50.0);
    let values = series
        .iter()
        .flat_map(|each| &each.points)
        .map(|point| measure.of(point));
    let most = values.fold(1.0, f64::max);
    let last = series
        .iter()
        .flat_map(|each| &each.points)
        .map(|point| point.second);
    let seconds = last.max().unwrap_or(1).max(1) as f64;
    let bottom = top + height;
    let title = format!("{}: {}", phase.name(), measure.title());
    let _ = writeln!(svg, "<text x=\"{left}\" y=\"{}\">{title}</text>", top - 6.0);
    let _ = writeln!(
        svg,
        "<path d=\"M{left} {top}V{bottom}H{}\" fill=\"none\" stroke=\"#999\"/>",
        left + width
    );
    let _ = writeln!(
        svg,
        "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{most:.0}</text>",
        left - 4.0,
        top + 10.0
    );
    for (place, each) in series.iter().enumerate() {
        let points: Vec<String> = each
            .points
            .iter()
            .map(|point| {
                let x = left + point.second as f64 / seconds * width;
                let y = bottom - measure.of(point) / most * height;
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let colour = COLOURS[place % COLOURS.len()];
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
            points.join(" ")
        );
    }
}
