//! Plots latency and answer rate over time as SVG.

use std::fmt::Write;

use super::callers::{CallOutcome, SentRequest, Tally};
use super::phase::Phase;

const WIDTH: f64 = 1200.0;
const ROW_HEIGHT: f64 = 180.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 3] = ["#1b6ca8", "#c0392b", "#7f8c8d"];

/// The answers of one policy in one phase, for each second.
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

/// The value that a panel plots.
#[derive(Debug, Clone, Copy)]
enum Metric {
    Latency,
    Answers,
}

impl Metric {
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
    pub fn of(policy: &'static str, phase: Phase, sent: &[SentRequest]) -> Self {
        let last_second = sent
            .iter()
            .map(|each| each.start_offset.as_secs())
            .max()
            .unwrap_or(0);
        let points = (0..=last_second).map(|second| {
            let within: Vec<&SentRequest> = sent
                .iter()
                .filter(|each| each.start_offset.as_secs() == second)
                .collect();
            let answered = within
                .iter()
                .filter(|each| each.outcome == CallOutcome::Answered);
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

/// Draws one panel for each phase and metric.
pub(super) fn draw(series: &[Series]) -> String {
    let height = MARGIN * 2.0 + ROW_HEIGHT * Phase::ALL.len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    draw_legend(&mut svg, series);
    for (row, phase) in Phase::ALL.into_iter().enumerate() {
        let phase_series: Vec<&Series> = series.iter().filter(|each| each.phase == phase).collect();
        for (column, metric) in [Metric::Latency, Metric::Answers].into_iter().enumerate() {
            let left = MARGIN + column as f64 * WIDTH / 2.0;
            let top = MARGIN + row as f64 * ROW_HEIGHT;
            draw_panel(&mut svg, phase, metric, &phase_series, left, top);
        }
    }
    svg += "</svg>\n";
    svg
}

fn draw_legend(svg: &mut String, series: &[Series]) {
    let mut names: Vec<&str> = series.iter().map(|each| each.policy).collect();
    names.dedup();
    names.truncate(COLOURS.len());
    for (index, name) in names.iter().enumerate() {
        let x = MARGIN + index as f64 * 160.0;
        let colour = COLOURS[index];
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"24\" fill=\"{colour}\">{name}</text>"
        );
    }
}

fn draw_panel(
    svg: &mut String,
    phase: Phase,
    metric: Metric,
    series: &[&Series],
    left: f64,
    top: f64,
) {
    let (width, height) = (WIDTH / 2.0 - MARGIN * 2.0, ROW_HEIGHT - 50.0);
    let values = series
        .iter()
        .flat_map(|each| &each.points)
        .map(|point| metric.of(point));
    let max = values.fold(1.0, f64::max);
    let last_second = series
        .iter()
        .flat_map(|each| &each.points)
        .map(|point| point.second);
    let seconds = last_second.max().unwrap_or(1).max(1) as f64;
    let bottom = top + height;
    let title = format!("{}: {}", phase.name(), metric.title());
    let _ = writeln!(svg, "<text x=\"{left}\" y=\"{}\">{title}</text>", top - 6.0);
    let _ = writeln!(
        svg,
        "<path d=\"M{left} {top}V{bottom}H{}\" fill=\"none\" stroke=\"#999\"/>",
        left + width
    );
    let _ = writeln!(
        svg,
        "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{max:.0}</text>",
        left - 4.0,
        top + 10.0
    );
    for (index, each) in series.iter().enumerate() {
        let points: Vec<String> = each
            .points
            .iter()
            .map(|point| {
                let x = left + point.second as f64 / seconds * width;
                let y = bottom - metric.of(point) / max * height;
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let colour = COLOURS[index % COLOURS.len()];
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
            points.join(" ")
        );
    }
}
