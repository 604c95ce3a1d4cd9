//! Least-squares fit of a straight line through measured points, with its residual and the spread of the runs.

/// A measured size and the figure of each run at this size.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(try_from = "Vec<f64>")]
pub struct Point {
    /// The value of the variable that the slope's `by` names.
    pub by: f64,
    /// The figure of each run, in the slope's unit; never empty.
    pub runs: Vec<f64>,
}

impl Point {
    /// The mean over the runs.
    pub fn mean(&self) -> f64 {
        self.runs.iter().sum::<f64>() / self.runs.len() as f64
    }

    /// (max - min) / mean over the runs; max - min if the mean is 0.
    pub fn spread(&self) -> f64 {
        let largest = self.runs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let smallest = self.runs.iter().copied().fold(f64::INFINITY, f64::min);
        relative(largest - smallest, self.mean())
    }
}

impl TryFrom<Vec<f64>> for Point {
    type Error = String;

    fn try_from(numbers: Vec<f64>) -> Result<Point, String> {
        if let Some(number) = numbers.iter().find(|number| !number.is_finite()) {
            return Err(format!("a point contains {number}; expected finite numbers"));
        }
        match numbers.split_first() {
            Some((by, runs)) if !runs.is_empty() => Ok(Point { by: *by, runs: runs.into() }),
            _ => {
                Err("expected a point as [value of the variable, figure of each run], with at least one run"
                    .into())
            }
        }
    }
}

/// A straight line fitted by least squares to the means of the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The intercept: the figure at size 0.
    pub at_rest: f64,
    /// The gradient: the increase of the figure per unit of size.
    pub each: f64,
    /// The largest |fit - mean| / mean over the points; |fit - mean| where the mean is 0.
    pub residual: f64,
    /// The largest [`Point::spread`].
    pub spread: f64,
}

impl Fit {
    /// Fits by ordinary least squares over the means of the points, so that each size has the same weight at any number
    /// of runs.
    ///
    /// # Errors
    /// There are fewer than two different sizes, a point has no run, or a number is not finite.
    pub fn least_squares(points: &[Point]) -> Result<Fit, String> {
        for point in points {
            let finite = point.by.is_finite() && point.runs.iter().all(|run| run.is_finite());
            if point.runs.is_empty() || !finite {
                return Err(format!(
                    "the point at {}: expected a finite size and at least one run, all finite",
                    point.by
                ));
            }
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.by).sum::<f64>() / count;
        let mean_figure = points.iter().map(Point::mean).sum::<f64>() / count;
        let sum_of_squares: f64 = points.iter().map(|point| (point.by - mean_size).powi(2)).sum();
        if sum_of_squares.is_nan() || sum_of_squares <= 0.0 {
            return Err("expected points at two or more different sizes".into());
        }
        let sum_of_products: f64 =
            points.iter().map(|point| (point.by - mean_size) * (point.mean() - mean_figure)).sum();
        let (each, at_rest) =
            (sum_of_products / sum_of_squares, mean_figure - sum_of_products / sum_of_squares * mean_size);
        let error = |point: &Point| relative((at_rest + each * point.by - point.mean()).abs(), point.mean());
        let residual = points.iter().map(error).fold(0.0, f64::max);
        let spread = points.iter().map(Point::spread).fold(0.0, f64::max);
        Ok(Fit { at_rest, each, residual, spread })
    }
}

/// The difference relative to `reference`; the difference itself if `reference` is 0.
fn relative(difference: f64, reference: f64) -> f64 {
    if reference == 0.0 { difference } else { difference / reference.abs() }
}
