//! A straight line through measured points. It owns the fit and how far the points lie off it; it must never know
//! what was measured.

/// One size that was measured: the size and the figure of each run at it.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(try_from = "Vec<f64>")]
pub struct Point {
    /// What was varied, at this point; in units of the slope's `by`.
    pub by: f64,
    /// The figure of each run, in the slope's unit; never empty.
    pub runs: Vec<f64>,
}

impl Point {
    /// The mean over the runs.
    pub fn mean(&self) -> f64 {
        self.runs.iter().sum::<f64>() / self.runs.len() as f64
    }

    /// (max - min) / mean over the runs; the difference alone where the mean is 0.
    pub fn spread(&self) -> f64 {
        let most = self.runs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let least = self.runs.iter().copied().fold(f64::INFINITY, f64::min);
        relative(most - least, self.mean())
    }
}

impl TryFrom<Vec<f64>> for Point {
    type Error = String;

    fn try_from(numbers: Vec<f64>) -> Result<Point, String> {
        if let Some(wrong) = numbers.iter().find(|number| !number.is_finite()) {
            return Err(format!("{wrong} in a point; expected finite numbers"));
        }
        match numbers.split_first() {
            Some((by, runs)) if !runs.is_empty() => Ok(Point { by: *by, runs: runs.into() }),
            _ => Err("a point is [what was varied, one figure for each run, at least one]".into()),
        }
    }
}

/// The line that least squares put through the means of the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Where the line meets 0.
    pub at_rest: f64,
    /// What each one more adds.
    pub each: f64,
    /// The largest |fit - mean| / mean over the points.
    pub residual: f64,
    /// The largest (max - min) / mean over the runs of one point.
    pub spread: f64,
}

impl Fit {
    /// Ordinary least squares over the means of the points: each size weighs the same, however many runs it had.
    ///
    /// # Errors
    /// Fewer than two different sizes, a point with no run, or a number that is not finite.
    pub fn of(points: &[Point]) -> Result<Fit, String> {
        for point in points {
            let finite = point.by.is_finite() && point.runs.iter().all(|run| run.is_finite());
            if point.runs.is_empty() || !finite {
                return Err(format!("the point at {}: expected at least one run, all finite", point.by));
            }
        }
        let count = points.len() as f64;
        let middle = points.iter().map(|point| point.by).sum::<f64>() / count;
        let level = points.iter().map(Point::mean).sum::<f64>() / count;
        let across: f64 = points.iter().map(|point| (point.by - middle).powi(2)).sum();
        if across.is_nan() || across <= 0.0 {
            return Err("expected points at two different sizes at least".into());
        }
        let up: f64 = points.iter().map(|point| (point.by - middle) * (point.mean() - level)).sum();
        let (each, at_rest) = (up / across, level - up / across * middle);
        let off = |point: &Point| relative((at_rest + each * point.by - point.mean()).abs(), point.mean());
        let residual = points.iter().map(off).fold(0.0, f64::max);
        let spread = points.iter().map(Point::spread).fold(0.0, f64::max);
        Ok(Fit { at_rest, each, residual, spread })
    }
}

fn relative(difference: f64, of: f64) -> f64 {
    if of == 0.0 { difference } else { difference / of.abs() }
}
