//! Plot of goodput over time.

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

const CHART_SIZE_PIXELS: (u32, u32) = (960, 480);
/// Number of seconds that one point averages.
const BIN_SECONDS: usize = 10;
const LINE_WIDTH_PIXELS: u32 = 2;

/// Draws the goodput of several policies over the time of arrival into an SVG file.
pub fn draw_goodput(path: &Path, title: &str, runs: &[RunMetrics]) -> Result<(), MeasureError> {
    draw_chart(path, title, runs).or_else(|error| {
        let reason = error.to_string();
        PlotSnafu { reason }.fail()
    })
}

fn draw_chart(
    path: &Path,
    title: &str,
    runs: &[RunMetrics],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, CHART_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = runs
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
    for (index, metrics) in runs.iter().enumerate() {
        if metrics.timeline.is_empty() {
            continue;
        }
        let style = Palette99::pick(index).stroke_width(LINE_WIDTH_PIXELS);
        chart
            .draw_series(LineSeries::new(goodput_points(&metrics.timeline), style))?
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

/// Returns the goodput as points of time and share of the offered worth.
fn goodput_points(timeline: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let chunks = timeline.chunks(BIN_SECONDS).enumerate();
    let point = |(index, chunk): (usize, &[(f64, f64)])| {
        let good: f64 = chunk.iter().map(|(good, _)| good).sum();
        let offered: f64 = chunk.iter().map(|(_, offered)| offered).sum();
        let middle = (index * BIN_SECONDS + BIN_SECONDS / 2) as f64;
        (middle, good / offered.max(f64::MIN_POSITIVE))
    };
    chunks.map(point).collect()
}
