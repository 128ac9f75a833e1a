//! Runs a [`MirrorState`] over a port.

use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::store::mirror::{MirrorChange, MirrorState, MirrorStep};
use crate::store::{StoreError, StorePort, StoreRevision, answer_within};

/// How long one watch waits for changes. A connection that has gone silent for good is noticed after this and the
/// answer time together, which is within the shortest time that a leaving upstream may still get work.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// How long an answer may take beyond what was asked for. The store answers in about 4 ms; a slow one in 60 times that.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two watches: changes that come in quick succession travel in one call.
const WATCH_SPACING: Duration = Duration::from_millis(250);

/// What a mirror follows and how long it waits.
#[derive(Debug, Clone)]
pub struct MirrorSettings {
    prefix: CompactString,
    wait: Duration,
    answer: Duration,
    spacing: Duration,
    rereads: bool,
}

impl MirrorSettings {
    /// Follows the keys that begin with `prefix`.
    pub fn new(prefix: impl AsRef<str>) -> Self {
        Self {
            prefix: CompactString::new(prefix),
            wait: WATCH_WAIT,
            answer: ANSWER_TIME,
            spacing: WATCH_SPACING,
            rereads: false,
        }
    }

    /// Reads the range anew after every failed call: for stores that may come back with older data.
    #[must_use]
    pub fn with_rereading(mut self) -> Self {
        self.rereads = true;
        self
    }
}

/// What one call brought.
#[derive(Debug)]
pub struct FeedStep {
    /// What has changed.
    pub change: Option<MirrorChange>,
    /// Whether the store answered the last call.
    pub answers: bool,
    /// The store's revision up to which everything is known.
    pub revision: StoreRevision,
}

/// Follows a range of the store call by call.
#[derive(Debug)]
pub struct MirrorFeed<P> {
    port: P,
    settings: MirrorSettings,
    state: MirrorState,
    /// When the last failure was, while no call has succeeded since.
    failing_since: Option<Instant>,
    /// Earliest moment of the next watch.
    next_watch: Instant,
}

impl<P: StorePort> MirrorFeed<P> {
    /// Makes a feed that has read nothing.
    pub fn new(port: P, settings: MirrorSettings) -> Self {
        Self {
            port,
            settings,
            state: MirrorState::new(),
            failing_since: None,
            next_watch: Instant::now(),
        }
    }

    /// Makes one call, or waits before the next one. Dropping the future gives the call up; the next one goes on from
    /// the same place.
    pub async fn step(&mut self) -> FeedStep {
        let called = match self.state.next_step() {
            MirrorStep::Pause(pause) => {
                tokio::time::sleep(pause).await;
                return self.failed_step();
            }
            MirrorStep::Read { after } => {
                let reading = self.port.read_page(&self.settings.prefix, after.as_deref());
                let page = answer_within(self.settings.answer, reading).await;
                page.map(|page| self.state.take_page(page))
            }
            MirrorStep::Watch { after } => {
                let wait = self.settings.wait;
                tokio::time::sleep_until(self.next_watch).await;
                let watching = self.port.watch(&self.settings.prefix, after, wait);
                let watch = answer_within(wait + self.settings.answer, watching).await;
                self.next_watch = Instant::now() + self.settings.spacing;
                watch.map(|watch| self.state.take_watch(watch))
            }
        };
        match called {
            Ok(change) => {
                self.note_success();
                FeedStep {
                    change,
                    answers: true,
                    revision: self.state.revision(),
                }
            }
            Err(error) => {
                self.note_failure(&error);
                self.failed_step()
            }
        }
    }

    fn failed_step(&self) -> FeedStep {
        FeedStep {
            change: None,
            answers: self.failing_since.is_none(),
            revision: self.state.revision(),
        }
    }

    fn note_success(&mut self) {
        if let Some(since) = self.failing_since.take() {
            let away = since.elapsed().as_millis();
            log::info!(
                "store regained prefix=`{}` away_ms={away}",
                self.settings.prefix
            );
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        self.state.take_failure(error, &mut rand::rng());
        if self.settings.rereads {
            self.state.read_anew();
        }
        if matches!(error, StoreError::HistoryGone) {
            log::info!(
                "store history gone prefix=`{}`: reading anew",
                self.settings.prefix
            );
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!("store lost prefix=`{}`: {error}", self.settings.prefix);
        }
    }
}
