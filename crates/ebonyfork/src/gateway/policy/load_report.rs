//! What upstreams say of their own load in their answers.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use smallvec::SmallVec;
use snafu::Snafu;

/// Age at which a report counts for half: it changes many times a second.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Longest times of work that are believed, in per cent of the usual ones.
const PERCENT_LIMIT: u32 = 10_000;
/// Most requests that are believed to be at one upstream.
const REQUEST_LIMIT: u32 = 10_000;

/// How busy an upstream is, as it says itself.
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
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run side by side.
    pub slots: u32,
    /// How long work takes at this moment, in per cent of what it usually takes.
    pub percent: u32,
}

/// A report that says nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no load: {reason}"))]
pub struct LoadReportError {
    /// The report.
    pub text: CompactString,
    /// What is wrong.
    pub reason: CompactString,
}

impl LoadReport {
    /// How long work takes at this moment over what it usually takes.
    pub fn slowness(&self) -> f64 {
        f64::from(self.percent) / 100.0
    }

    /// Requests at the upstream for each of its slots.
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
            percent,
        } = self;
        write!(f, "{running},{waiting},{slots},{percent}")
    }
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let error = |reason: CompactString| LoadReportError {
            text: text.into(),
            reason,
        };
        let mut figures: SmallVec<[u32; 4]> = SmallVec::new();
        for figure in text.split(',') {
            let parsed = figure.trim().parse::<u32>();
            figures.push(parsed.map_err(|cause| error(format_compact!("{cause}")))?);
        }
        let [running, waiting, slots, ref rest @ ..] = figures[..] else {
            return Err(error("expected running, waiting and slots".into()));
        };
        let percent = rest.first().copied().unwrap_or(100);
        let report = Self {
            running,
            waiting,
            slots,
            percent,
        };
        if slots == 0 || running.max(waiting).max(slots) > REQUEST_LIMIT {
            return Err(error("no upstream has so many slots or requests".into()));
        }
        if percent == 0 || percent > PERCENT_LIMIT {
            return Err(error("no work takes so long".into()));
        }
        Ok(report)
    }
}

/// A report with the moment at which it came.
#[derive(Debug, Clone, Copy)]
pub struct AgedReport {
    /// The report.
    pub report: LoadReport,
    /// When it came.
    pub at: Instant,
}

impl AgedReport {
    /// How much the report counts beside what else is known, 0 to 1.
    pub fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
#[path = "load_report_tests.rs"]
mod tests;
