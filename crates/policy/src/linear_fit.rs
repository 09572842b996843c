//! Linear least-squares fit with exponentially decaying sample weights.

/// Factor on the weight of all earlier samples when a sample is added.
const SAMPLE_DECAY: f64 = 0.998;

/// Weighted sums of samples `(x, y)`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    x_squared: f64,
    product: f64,
}

impl LinearFit {
    /// Creates a fit that starts with a point `(x, y)` of some weight, in samples.
    pub(crate) fn new(x: f64, y: f64, weight: f64) -> Self {
        Self {
            weight,
            x: x * weight,
            y: y * weight,
            x_squared: x * x * weight,
            product: x * y * weight,
        }
    }

    /// Adds a sample.
    pub(crate) fn add_sample(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.x_squared,
            &mut self.product,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.weight += 1.0;
        self.x += x;
        self.y += y;
        self.x_squared += x * x;
        self.product += x * y;
    }

    /// Returns the weighted means of `x` and `y`.
    pub(crate) fn mean(&self) -> (f64, f64) {
        (self.x / self.weight, self.y / self.weight)
    }

    /// Returns the slope, clamped between zero and the slope of a line from the origin to the
    /// means.
    pub(crate) fn slope(&self) -> f64 {
        let (x, y) = self.mean();
        let variance = self.x_squared / self.weight - x * x;
        let covariance = self.product / self.weight - x * y;
        if variance <= f64::EPSILON * x * x {
            return 0.0;
        }
        (covariance / variance).clamp(0.0, y / x.max(f64::MIN_POSITIVE))
    }
}
