//! Runs a [`MirrorState`] over a port.

use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::store::mirror::{MirrorChange, MirrorState, MirrorStep};
use crate::store::{StoreError, StorePort, StoreRevision, answer_while_coming};
use crate::traffic::LinkTraffic;

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
    /// The store's revision after which the changes were.
    pub since: StoreRevision,
    /// The store's revision up to which everything is known.
    pub revision: StoreRevision,
    /// The revision that the store stated, as it stated it; none if the call brought no answer.
    pub stated: Option<StoreRevision>,
    /// The moment at which the store is known to have held nothing newer; none if this call did not show it.
    pub proof: Option<Instant>,
}

/// Follows a range of the store call by call.
#[derive(Debug)]
pub struct MirrorFeed<P> {
    port: P,
    /// Counts what comes in of answers.
    traffic: LinkTraffic,
    settings: MirrorSettings,
    state: MirrorState,
    /// When the last failure was, while no call has succeeded since.
    failing_since: Option<Instant>,
    /// Whether the store answered the last call.
    answers: bool,
    /// Earliest moment of the next watch.
    next_watch: Instant,
    /// When the first page of the range was asked for, while it is being read.
    reading_since: Option<Instant>,
    /// Whether the store states a lower era than it did, as the log says.
    era_fallen: bool,
}

impl<P: StorePort> MirrorFeed<P> {
    /// Makes a feed that has read nothing.
    pub fn new(port: P, settings: MirrorSettings) -> Self {
        let traffic = LinkTraffic::default();
        Self {
            port: port.with_traffic(traffic.clone()),
            traffic,
            settings,
            state: MirrorState::new(),
            failing_since: None,
            answers: true,
            next_watch: Instant::now(),
            reading_since: None,
            era_fallen: false,
        }
    }

    /// Counts what comes in of the store's answers, before they are whole.
    pub fn traffic(&self) -> LinkTraffic {
        self.traffic.clone()
    }

    /// Sets how long the next watches wait for changes.
    pub fn set_wait(&mut self, wait: Duration) {
        self.settings.wait = wait;
    }

    /// Time until the next watch may begin.
    pub fn until_next_watch(&self) -> Duration {
        self.next_watch.saturating_duration_since(Instant::now())
    }

    /// Goes on at once, after a revision up to which the reader has learnt everything elsewhere unless the feed is further
    /// on. That calls failed before says nothing of the store as it is now.
    pub fn resume_at(&mut self, revision: StoreRevision) {
        self.answers = true;
        self.state.resume_at(revision);
    }

    /// Reads everything anew instead of all changes since, unless that has begun.
    pub fn read_anew(&mut self) {
        if self.state.is_following() {
            self.state.read_anew();
        }
    }

    /// Makes one call, or waits before the next one. Dropping the future gives the call up; the next one goes on from
    /// the same place.
    pub async fn step(&mut self) -> FeedStep {
        let since = self.state.revision();
        let step = self.state.next_step();
        if let MirrorStep::Watch { .. } = step {
            tokio::time::sleep_until(self.next_watch).await;
        }
        let asked = Instant::now();
        let called = match step {
            MirrorStep::Pause(pause) => {
                tokio::time::sleep(pause).await;
                return self.failed_step();
            }
            MirrorStep::Read { after } => {
                if after.is_none() {
                    self.reading_since = Some(asked);
                }
                let reading = self.port.read_page(&self.settings.prefix, after.as_deref());
                let page = self.answer(self.settings.answer, reading).await;
                page.map(|page| {
                    let stated = page.revision;
                    let change = self.state.take_page(page);
                    let proof = change.is_some().then(|| self.reading_since.take());
                    (stated, change, proof.flatten())
                })
            }
            MirrorStep::Watch { after } => {
                let wait = self.settings.wait;
                let watching = self.port.watch(&self.settings.prefix, after, wait);
                let watch = self.answer(wait + self.settings.answer, watching).await;
                self.next_watch = Instant::now() + self.settings.spacing;
                let waited_out = asked.elapsed() >= wait;
                watch.map(|watch| {
                    // The answer may have been under way for all of the time, unless it had nothing to tell until the end.
                    let idle = watch.events.is_empty() && waited_out;
                    let proof = if idle { asked + wait } else { asked };
                    let stated = watch.revision;
                    let change = self.state.take_watch(watch);
                    // Changes that don't join what was read before prove nothing.
                    let joined = self.state.is_following();
                    (stated, change, joined.then_some(proof))
                })
            }
        };
        match called {
            Ok((stated, change, proof)) => {
                self.note_success();
                self.note_era(stated);
                FeedStep {
                    change,
                    answers: true,
                    since,
                    revision: self.state.revision(),
                    stated: Some(stated),
                    proof,
                }
            }
            Err(error) => {
                self.note_failure(&error, asked);
                self.failed_step()
            }
        }
    }

    /// Waits for an answer, and on while it is coming in.
    async fn answer<T>(
        &self,
        bound: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        answer_while_coming(bound, self.settings.answer, &self.traffic, call).await
    }

    fn failed_step(&self) -> FeedStep {
        FeedStep {
            change: None,
            answers: self.answers,
            since: self.state.revision(),
            revision: self.state.revision(),
            stated: None,
            proof: None,
        }
    }

    fn note_success(&mut self) {
        self.answers = true;
        if let Some(since) = self.failing_since.take() {
            let away = since.elapsed().as_millis();
            log::info!(
                "store regained prefix=`{}` away_ms={away}",
                self.settings.prefix
            );
        }
    }

    /// Says once that the store states a lower era than it did.
    fn note_era(&mut self, stated: StoreRevision) {
        let fallen = stated.era() < self.state.era();
        if fallen && !self.era_fallen {
            log::warn!(
                "store era fell prefix=`{}` stated={} known={}: its answers count as of the known one",
                self.settings.prefix,
                stated.era(),
                self.state.era()
            );
        }
        self.era_fallen = fallen;
    }

    fn note_failure(&mut self, error: &StoreError, asked: Instant) {
        self.state.take_failure(error, &mut rand::rng());
        if self.settings.rereads {
            self.state.read_anew();
        }
        self.answers = matches!(error, StoreError::HistoryGone);
        if self.answers {
            log::info!(
                "store history gone prefix=`{}`: reading anew",
                self.settings.prefix
            );
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!(
                "store lost prefix=`{}` asked_ms={}: {error}",
                self.settings.prefix,
                asked.elapsed().as_millis()
            );
        }
    }
}
