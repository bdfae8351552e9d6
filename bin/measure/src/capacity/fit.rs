//! Linear regression.

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Independent variable.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size zero.
    pub intercept: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Root mean square deviation of the points from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than three points, or if all have the same size and so fit any
    /// slope.
    pub fn fit(points: &[Point]) -> Line {
        assert!(points.len() >= 3, "a slope needs three sizes");
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let size_deviation: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        assert!(size_deviation > 0.0, "the sizes differ");
        let cross_deviation: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
        let slope = cross_deviation / size_deviation;
        let intercept = mean_value - slope * mean_size;
        let squares: f64 =
            points.iter().map(|point| (point.value - intercept - slope * point.size).powi(2)).sum();
        Line { intercept, slope, residual: (squares / count).sqrt() }
    }

    /// Returns the value at a size, at least zero.
    pub fn at(&self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}
