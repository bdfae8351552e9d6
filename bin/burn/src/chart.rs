//! The report as a chart: the burn rate of each service over time.

use std::path::Path;

use cowslipchute_base::code::Code;
use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::failure::Failure;
use crate::report;
use crate::report::Point;
use crate::report::Report;
use crate::span::Span;

/// Width and height of the chart.
const SIZE_PX: (u32, u32) = (960, 480);
/// Smallest burn rate at which the vertical axis may end, before the margin at its top.
const MIN_BURN_RANGE: f64 = 2.0;

/// The line of one service.
struct Line {
    service: String,
    points: Vec<Point>,
}

/// Writes the chart as an SVG file.
///
/// # Errors
///
/// When the file can't be written.
pub fn write(path: &Path, report: &Report, spans: &[Span]) -> Result<(), Failure> {
    let lines: Vec<Line> = report
        .services
        .iter()
        .map(|service| Line {
            service: service.service.clone(),
            points: report::points(&report.objective, spans, &service.service),
        })
        .collect();
    draw(path, &lines)
        .map_err(|error| Failure::new(Code::BadFile, format!("{}: {error}", path.display())))
}

fn draw(path: &Path, lines: &[Line]) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let start = points().map(|point| point.at).fold(-1.0, f64::min);
    let top = points().map(|point| point.burn).fold(MIN_BURN_RANGE, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Error budget burn (1 = lasts exactly)", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(start..0.0, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("seconds before the last sample").y_desc("burn").draw()?;
    let sustainable = [(start, 1.0), (0.0, 1.0)];
    chart.draw_series(LineSeries::new(sustainable, BLACK.mix(0.4)))?;
    for (number, line) in lines.iter().enumerate() {
        let style = Palette99::pick(number).to_rgba().stroke_width(2);
        let points = line.points.iter().map(|point| (point.at, point.burn));
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(&line.service)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
    labels.border_style(BLACK).draw()?;
    area.present()
}
