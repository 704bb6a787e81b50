//! SVG plot of the time to first token, by policy and prompt length bucket.

use std::fmt;
use std::path::Path;

use plotters::prelude::*;

use crate::compare::CompareReport;

/// The plot could not be drawn or written.
#[derive(Debug)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot could not be drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

fn plot_error(e: impl fmt::Display) -> PlotError {
    PlotError(e.to_string())
}

/// Plots the p95 time to first token of each bucket, with one line per policy and a logarithmic
/// scale.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn or `file` cannot be written.
pub fn plot(report: &CompareReport, file: &Path) -> Result<(), PlotError> {
    const BUCKETS: [&str; 4] = ["1k", "10k", "100k", "1m"];
    let p95_ms = |policy: &serde_json::Value, bucket: &str| {
        policy["ttft"][bucket]["p95_ms"].as_f64().unwrap_or(0.0).max(1.0)
    };
    let most = report
        .policies
        .values()
        .flat_map(|policy| BUCKETS.map(|bucket| p95_ms(&policy.mean, bucket)))
        .fold(10.0, f64::max);
    let root = SVGBackend::new(file, (800, 500)).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..3.0, (1.0..most * 1.2).log_scale())
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("prompt length: 1k, 10k, 100k, 1m")
        .y_desc("p95 time to first token, ms")
        .x_labels(4)
        .draw()
        .map_err(plot_error)?;
    for (n, (name, policy)) in report.policies.iter().enumerate() {
        let points = BUCKETS.iter().enumerate();
        let points = points.map(|(x, bucket)| (x as f64, p95_ms(&policy.mean, bucket)));
        let colour = Palette99::pick(n).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(plot_error)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw().map_err(plot_error)?;
    root.present().map_err(plot_error)
}
