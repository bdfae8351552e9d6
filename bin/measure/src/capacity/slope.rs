//! Measured costs as a linear function of size.

use crate::capacity::fit::Line;
use crate::capacity::fit::Point;

/// Cost of a role as a function of a size.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Name of the role.
    pub role: &'static str,
    /// Measured quantity, with its unit.
    pub quantity: &'static str,
    /// Name of the independent variable.
    pub variable: &'static str,
    /// Measurements.
    pub points: Vec<Point>,
    /// Line fitted to the measurements.
    pub line: Line,
}

impl Slope {
    /// Measures the cost at each size and fits a line.
    pub fn measure(
        role: &'static str,
        quantity: &'static str,
        variable: &'static str,
        sizes: &[usize],
        mut value: impl FnMut(usize) -> f64,
    ) -> Slope {
        let points: Vec<Point> =
            sizes.iter().map(|&size| Point { size: size as f64, value: value(size) }).collect();
        let line = Line::fit(&points);
        Slope { role, quantity, variable, points, line }
    }

    /// Returns the residual as a share of the largest value.
    pub fn residual_share(&self) -> f64 {
        let largest = self.points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
        if largest == 0.0 { 0.0 } else { self.line.residual / largest }
    }
}
