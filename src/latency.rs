//! Histograms of how long things take.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Values up to this many microseconds are told apart; longer ones count as this.
const LONGEST: u64 = 600_000_000;
/// Decimal digits that are kept of a value.
const DIGITS: u8 = 2;
/// The quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From a caller's request to its answer.
    Answer,
    /// A call to the store that was answered.
    StoreCall,
    /// An order to start a run, from its sending to the worker's answer.
    StartOrder,
    /// From the moment a task may start to its order.
    Wait,
}

impl Span {
    /// Every span, in the order of the histograms.
    pub const ALL: [Self; 4] = [Self::Answer, Self::StoreCall, Self::StartOrder, Self::Wait];

    /// The name in metrics.
    ///
    /// ```
    /// assert_eq!(lycheelock::latency::Span::StoreCall.name(), "store_call");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::StoreCall => "store_call",
            Self::StartOrder => "start_order",
            Self::Wait => "wait",
        }
    }
}

/// The histograms of one process.
#[derive(Debug)]
pub struct Latencies([Mutex<Histogram<u32>>; Span::ALL.len()]);

impl Default for Latencies {
    fn default() -> Self {
        let empty = || Histogram::new_with_max(LONGEST, DIGITS).expect("the bounds are valid");
        Self(Span::ALL.map(|_| Mutex::new(empty())))
    }
}

impl Latencies {
    /// Notes how long something took.
    pub fn record(&self, span: Span, took: Duration) {
        let micros = (took.as_micros() as u64).min(LONGEST);
        let mut histogram = self.0[span as usize].lock().expect("no holder panics");
        histogram.saturating_record(micros);
    }

    /// The count and some quantiles of each histogram that is not empty, one a
    /// line, in seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::latency::{Latencies, Span};
    ///
    /// let latencies = Latencies::default();
    /// latencies.record(Span::Answer, Duration::from_millis(20));
    /// assert!(latencies.show().starts_with("latency_answer_count 1\n"));
    /// ```
    pub fn show(&self) -> String {
        let mut text = String::new();
        for span in Span::ALL {
            let histogram = self.0[span as usize].lock().expect("no holder panics");
            if histogram.is_empty() {
                continue;
            }
            let name = span.name();
            // Writing to a string cannot fail.
            let _ = writeln!(text, "latency_{name}_count {}", histogram.len());
            for quantile in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "latency_{name}_seconds{{quantile=\"{quantile}\"}} {seconds}"
                );
            }
        }
        text
    }
}
