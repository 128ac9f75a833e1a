//! Load reports that upstreams add to their answers.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use smallvec::SmallVec;
use snafu::Snafu;

/// Age at which the weight of a report has halved; the load of an upstream changes many times per second.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Highest processing time that is accepted in a report, in per cent of the usual one.
const PERCENT_LIMIT: u32 = 10_000;
/// Highest number of requests or slots that is accepted in a report.
const REQUEST_LIMIT: u32 = 10_000;

/// Load of an upstream, as stated in its report.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::LoadReport;
///
/// let report: LoadReport = "3, 1, 8, 250".parse()?;
/// assert_eq!((report.running, report.waiting, report.slots), (3, 1, 8));
/// assert_eq!(report.slowness(), 2.5);
/// assert_eq!("3,0,8".parse::<LoadReport>()?.slowness(), 1.0);
/// assert!("3,0,0".parse::<LoadReport>().is_err());
/// # Ok::<(), ebonyfork::gateway::LoadReportError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the upstream can process in parallel.
    pub slots: u32,
    /// Current processing time in per cent of the usual one.
    pub processing_time_percent: u32,
}

/// Error for an invalid load report.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid load report `{text}`: {reason}"))]
pub struct LoadReportError {
    /// Text of the report.
    pub text: CompactString,
    /// Reason why the report is invalid.
    pub reason: CompactString,
}

impl LoadReport {
    /// Returns the current processing time divided by the usual one.
    pub fn slowness(&self) -> f64 {
        f64::from(self.processing_time_percent) / 100.0
    }

    /// Returns the number of requests at the upstream per slot.
    pub fn queued(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.slots)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            running,
            waiting,
            slots,
            processing_time_percent,
        } = self;
        write!(f, "{running},{waiting},{slots},{processing_time_percent}")
    }
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let error = |reason: CompactString| LoadReportError {
            text: text.into(),
            reason,
        };
        let mut fields: SmallVec<[u32; 4]> = SmallVec::new();
        for field in text.split(',') {
            let parsed = field.trim().parse::<u32>();
            fields.push(parsed.map_err(|cause| error(format_compact!("{cause}")))?);
        }
        let [running, waiting, slots, ref optional_fields @ ..] = fields[..] else {
            return Err(error("expected running, waiting and slots".into()));
        };
        let processing_time_percent = optional_fields.first().copied().unwrap_or(100);
        let report = Self {
            running,
            waiting,
            slots,
            processing_time_percent,
        };
        if slots == 0 || running.max(waiting).max(slots) > REQUEST_LIMIT {
            return Err(error("number of requests or slots is out of range".into()));
        }
        if processing_time_percent == 0 || processing_time_percent > PERCENT_LIMIT {
            return Err(error("processing time is out of range".into()));
        }
        Ok(report)
    }
}

/// Load report with the time at which it arrived.
#[derive(Debug, Clone, Copy)]
pub struct AgedReport {
    /// Report as the upstream sent it.
    pub report: LoadReport,
    /// Time at which the report arrived.
    pub arrived_at: Instant,
}

impl AgedReport {
    /// Returns the weight of the report relative to other knowledge, from 0 to 1.
    pub fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.arrived_at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
#[path = "load_report_tests.rs"]
mod tests;
