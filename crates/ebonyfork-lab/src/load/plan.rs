//! What is sent when: classes of work and Poisson streams of them.

use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::declaration::ClassScope;
use ebonyfork::ident::{ClassName, OrganisationName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What callers need to know of a class, and what its queries are judged by.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub class: ClassName,
    /// Whether its queries go to every shard.
    pub scope: ClassScope,
    /// Whether its queries may run more than once.
    pub idempotent: bool,
    /// Target latency.
    pub latency: Duration,
    /// Target coverage.
    pub coverage: f64,
    /// The longest that a query may take.
    pub bound: Duration,
    /// Deadline that callers state, if they do.
    pub deadline: Option<Duration>,
    /// Different records that are asked for.
    pub records: u32,
    /// Size of a selection, in bytes; at least what makes it unique.
    pub selection_size: usize,
}

/// What the requests of a stream ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamSelection {
    /// Each request asks something of its own.
    Unique,
    /// All ask the same, which crashes the upstreams that run it.
    Killer(CompactString),
}

/// A Poisson stream of requests of one class and one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadStream {
    /// Place of the class in [`LoadPlan::classes`].
    pub class: usize,
    /// The organisation.
    pub organisation: OrganisationName,
    /// Requests a second.
    pub rate: f64,
    /// When it begins, since the start of the load.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// What its requests ask.
    pub selection: StreamSelection,
}

/// All that is sent in a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadPlan {
    /// Seed of all draws.
    pub seed: u64,
    /// Classes.
    pub classes: Vec<ClassLoad>,
    /// Streams.
    pub streams: Vec<LoadStream>,
}

/// Times of a Poisson process, since the start of the load.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork_lab::load::ArrivalTimes;
///
/// let times = ArrivalTimes::new(7, 100.0, Duration::ZERO, Duration::from_secs(10));
/// let count = times.count();
/// assert!((900..1_100).contains(&count));
/// ```
#[derive(Debug)]
pub struct ArrivalTimes {
    rng: ChaCha8Rng,
    rate: f64,
    next: Duration,
    until: Duration,
}

impl ArrivalTimes {
    /// Draws times at a rate a second between two times.
    pub fn new(seed: u64, rate: f64, from: Duration, until: Duration) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rate,
            next: from,
            until,
        }
    }
}

impl Iterator for ArrivalTimes {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.next += Duration::try_from_secs_f64(gap).ok()?;
        (self.next < self.until).then_some(self.next)
    }
}
