//! Runs a [`MirrorState`] over a port.

use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::store::mirror::{MirrorChange, MirrorState, MirrorStep};
use crate::store::{StoreError, StorePort};

/// How long one watch waits for changes. A connection that has gone silent for good is noticed after this and the
/// answer time together, which is within the shortest time that a leaving upstream may still get work.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// How long an answer may take beyond what was asked for. The store answers in about 4 ms; a slow one in 60 times that.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Shortest time between two watches: changes that come in quick succession travel in one call.
const WATCH_SPACING: Duration = Duration::from_millis(150);

/// What a mirror follows and how long it waits.
#[derive(Debug, Clone)]
pub struct MirrorSettings {
    prefix: CompactString,
    wait: Duration,
    answer: Duration,
    spacing: Duration,
}

impl MirrorSettings {
    /// Follows the keys that begin with `prefix`.
    pub fn new(prefix: impl AsRef<str>) -> Self {
        Self {
            prefix: CompactString::new(prefix),
            wait: WATCH_WAIT,
            answer: ANSWER_TIME,
            spacing: WATCH_SPACING,
        }
    }

    /// Replaces how long one watch waits.
    #[must_use]
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }
}

/// What a feed reports to its reader.
#[derive(Debug)]
pub struct MirrorFeed<P> {
    port: P,
    settings: MirrorSettings,
    state: MirrorState,
    /// When the last failure was, while no call has succeeded since.
    failing_since: Option<Instant>,
}

impl<P: StorePort> MirrorFeed<P> {
    /// Makes a feed that has read nothing.
    pub fn new(port: P, settings: MirrorSettings) -> Self {
        Self {
            port,
            settings,
            state: MirrorState::new(),
            failing_since: None,
        }
    }

    /// Runs until the future is dropped. `take` gets each change, `tell` whether the store answers.
    pub async fn run(mut self, mut take: impl FnMut(MirrorChange), mut tell: impl FnMut(bool)) {
        loop {
            let started = Instant::now();
            let change = match self.state.next_step() {
                MirrorStep::Pause(pause) => {
                    tokio::time::sleep(pause).await;
                    continue;
                }
                MirrorStep::Read { after } => {
                    let reading = self.port.read_page(&self.settings.prefix, after.as_deref());
                    let page = within(self.settings.answer, reading).await;
                    page.map(|page| self.state.take_page(page))
                }
                MirrorStep::Watch { after } => {
                    let wait = self.settings.wait;
                    let watching = self.port.watch(&self.settings.prefix, after, wait);
                    let watch = within(wait + self.settings.answer, watching).await;
                    watch.map(|watch| self.state.take_watch(watch))
                }
            };
            match change {
                Ok(change) => {
                    self.note_success(&mut tell);
                    let Some(change) = change else { continue };
                    take(change);
                    tokio::time::sleep_until(started + self.settings.spacing).await;
                }
                Err(error) => self.note_failure(&error, &mut tell),
            }
        }
    }

    fn note_success(&mut self, tell: &mut impl FnMut(bool)) {
        if let Some(since) = self.failing_since.take() {
            let away = since.elapsed().as_millis();
            log::info!(
                "store regained prefix=`{}` away_ms={away}",
                self.settings.prefix
            );
        }
        tell(true);
    }

    fn note_failure(&mut self, error: &StoreError, tell: &mut impl FnMut(bool)) {
        self.state.take_failure(error, &mut rand::rng());
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
        tell(false);
    }
}

async fn within<T>(
    bound: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(bound, call).await {
        Ok(result) => result,
        Err(_elapsed) => Err(StoreError::Lost {
            reason: compact_str::format_compact!("no answer within {} ms", bound.as_millis()),
        }),
    }
}
