//! Goodput over time as a plot.

use std::path::Path;

use plotters::prelude::{
    BLACK,
    ChartBuilder,
    Color,
    IntoDrawingArea,
    LineSeries,
    Palette,
    Palette99,
    PathElement,
    SVGBackend,
    WHITE, //
};

use crate::error::PlotSnafu;
use crate::{
    MeasureError,
    RunMetrics, //
};

const SIZE: (u32, u32) = (960, 480);
/// Seconds that one point averages over.
const BIN_SECONDS: usize = 10;
const LINE_WIDTH: u32 = 2;

/// Draws the goodput of several policies over the time of arrival.
pub fn draw_goodput(path: &Path, title: &str, all: &[RunMetrics]) -> Result<(), MeasureError> {
    draw(path, title, all).or_else(|error| {
        let reason = error.to_string();
        PlotSnafu { reason }.fail()
    })
}

fn draw(path: &Path, title: &str, all: &[RunMetrics]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = all
        .iter()
        .map(|metrics| metrics.timeline.len())
        .max()
        .unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("goodput, as a share of the worth offered")
        .draw()?;
    for (number, metrics) in all.iter().enumerate() {
        if metrics.timeline.is_empty() {
            continue;
        }
        let style = Palette99::pick(number).stroke_width(LINE_WIDTH);
        chart
            .draw_series(LineSeries::new(bins(&metrics.timeline), style))?
            .label(metrics.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Shares of the worth offered, one point for some seconds.
fn bins(timeline: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let parts = timeline.chunks(BIN_SECONDS).enumerate();
    let point = |(number, part): (usize, &[(f64, f64)])| {
        let good: f64 = part.iter().map(|(good, _)| good).sum();
        let all: f64 = part.iter().map(|(_, all)| all).sum();
        let middle = (number * BIN_SECONDS + BIN_SECONDS / 2) as f64;
        (middle, good / all.max(f64::MIN_POSITIVE))
    };
    parts.map(point).collect()
}
