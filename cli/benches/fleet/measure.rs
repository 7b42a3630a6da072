//! Statistics of measured values, and comparisons of latencies with and without a router.

use std::{
    fmt, io, thread,
    time::{Duration, Instant},
};

/// Waits until `condition` holds, or returns an error after `limit`.
pub fn wait_for(
    description: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> io::Result<()> {
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!("timed out waiting for {description}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Sorted values of several repetitions or hosts, displayed as `median [lowest, highest]`.
#[derive(Clone, Debug, Default)]
pub struct ValueSample {
    values: Vec<f64>,
}

impl ValueSample {
    /// Creates a sample from values in any order.
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self { values }
    }

    /// Returns the value at the quantile `share`, from 0 for the lowest to 1 for the highest value.
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.values.len().saturating_sub(1);
        let index = (share * last as f64).round() as usize;
        self.values.get(index).copied().unwrap_or(f64::NAN)
    }

    /// Returns the arithmetic mean.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len() as f64
    }
}

impl fmt::Display for ValueSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(3);
        write!(
            f,
            "{:.digits$} [{:.digits$}, {:.digits$}]",
            self.quantile(0.5),
            self.quantile(0.0),
            self.quantile(1.0)
        )
    }
}

/// Latency percentiles of one repetition, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyPercentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

impl LatencyPercentiles {
    /// Computes the percentiles of response times or of gaps between chunks.
    pub fn of(times: &[Duration]) -> Self {
        let sample = ValueSample::new(times.iter().map(|it| it.as_secs_f64() * 1e3).collect());
        Self { p50: sample.quantile(0.5), p95: sample.quantile(0.95), p99: sample.quantile(0.99) }
    }
}

/// Latency percentiles of each repetition, as pairs of direct requests and requests through a
/// router.
#[derive(Debug, Default)]
pub struct LatencyComparison {
    pairs: Vec<(LatencyPercentiles, LatencyPercentiles)>,
}

impl LatencyComparison {
    /// Adds a repetition, with the times of direct requests and of those through a router.
    pub fn push(&mut self, direct: &[Duration], routed: &[Duration]) {
        self.pairs.push((LatencyPercentiles::of(direct), LatencyPercentiles::of(routed)));
    }

    /// Prints the percentiles of direct and routed requests and their differences.
    pub fn print(&self, description: &str) {
        let column = |value_of: &dyn Fn(&(LatencyPercentiles, LatencyPercentiles)) -> f64| {
            ValueSample::new(self.pairs.iter().map(value_of).collect())
        };
        println!("{description}, ms, median [lowest, highest] of {} repetitions", self.pairs.len());
        println!(
            "  direct p50 {}  p95 {}  p99 {}",
            column(&|it| it.0.p50),
            column(&|it| it.0.p95),
            column(&|it| it.0.p99)
        );
        println!(
            "  routed p50 {}  p95 {}  p99 {}",
            column(&|it| it.1.p50),
            column(&|it| it.1.p95),
            column(&|it| it.1.p99)
        );
        println!(
            "  added  p50 {}  p95 {}  p99 {}",
            column(&|it| it.1.p50 - it.0.p50),
            column(&|it| it.1.p95 - it.0.p95),
            column(&|it| it.1.p99 - it.0.p99)
        );
    }
}
