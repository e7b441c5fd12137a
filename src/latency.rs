//! Histograms of latencies for the metrics of a process.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest latency that a histogram distinguishes, in microseconds; longer ones
/// count as this.
const MAX_MICROS: u64 = 600_000_000;
/// The number of significant decimal digits that a histogram keeps of a value.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantiles in the metrics.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// An operation whose latency is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From a caller's request to its answer.
    Answer,
    /// A call to the store that was answered.
    StoreCall,
    /// An order to start a run, from sending it to the worker's answer.
    StartOrder,
    /// The wait of a task, from the moment it may start to its start order.
    Wait,
    /// From the claim of a shard that its owner had released until tasks that it may have started
    /// may start again.
    RecoveryAfterRelease,
    /// The same after the loss of the owner.
    RecoveryAfterLoss,
    /// From reading a request to evacuate a zone, or from the claim of the shard if that is
    /// later, to the first pass that applies it.
    Evacuation,
}

impl Span {
    /// All spans, in the order of the histograms.
    pub const ALL: [Self; 7] = [
        Self::Answer,
        Self::StoreCall,
        Self::StartOrder,
        Self::Wait,
        Self::RecoveryAfterRelease,
        Self::RecoveryAfterLoss,
        Self::Evacuation,
    ];

    /// Returns the name of the span in metrics.
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
            Self::RecoveryAfterRelease => "recovery_after_release",
            Self::RecoveryAfterLoss => "recovery_after_loss",
            Self::Evacuation => "evacuation",
        }
    }
}

/// The latency histograms of one process, one for each [`Span`].
#[derive(Debug)]
pub struct Latencies([Mutex<Histogram<u32>>; Span::ALL.len()]);

impl Default for Latencies {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
        };
        Self(Span::ALL.map(|_| Mutex::new(empty())))
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&self, span: Span, took: Duration) {
        let micros = (took.as_micros() as u64).min(MAX_MICROS);
        let mut histogram = self.0[span as usize].lock().expect("no holder panics");
        histogram.saturating_record(micros);
    }

    /// Renders the count and the quantiles of each histogram that is not empty, one
    /// metric a line, in seconds.
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
