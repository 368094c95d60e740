//! Plot of the results over the request rate.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use super::Row;

/// Size of the plot, pixels.
const SIZE: (u32, u32) = (720, 420);
/// Line colours of the policies, in the order of [`super::POLICIES`].
const COLOURS: [RGBColor; 3] = [
    RGBColor(0, 90, 180),
    RGBColor(200, 90, 0),
    RGBColor(120, 120, 120),
];

/// Draws the share of requests answered in time over the request rate, one line per policy.
///
/// # Errors
///
/// The error text of the plot library if the file cannot be written.
pub(crate) fn draw(path: &Path, rows: &[Row]) -> Result<(), String> {
    let to_text = |err: &dyn std::error::Error| err.to_string();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|err| to_text(&err))?;
    let rates = || rows.iter().map(|row| row.rate);
    let (low, high) = (
        rates().fold(f64::INFINITY, f64::min),
        rates().fold(0.0, f64::max),
    );
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(low..high.max(low + 1.0), 0.0..1.0)
        .map_err(|err| to_text(&err))?;
    chart
        .configure_mesh()
        .x_desc("requests per second for each engine")
        .y_desc("share of requests answered in time")
        .draw()
        .map_err(|err| to_text(&err))?;
    for (at, colour) in COLOURS.iter().enumerate() {
        let points = rows.iter().filter_map(|row| {
            let cell = row.cells.get(at)?;
            Some((row.rate, cell.in_time_share))
        });
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(|err| to_text(&err))?;
    }
    root.present().map_err(|err| to_text(&err))
}
