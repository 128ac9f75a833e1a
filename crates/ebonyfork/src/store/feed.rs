//! Runs a [`MirrorState`] over a store port.

use std::time::Duration;

use compact_str::CompactString;
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::store::mirror::{MirrorChange, MirrorState, MirrorStep};
use crate::store::{StoreError, StorePort, StoreRevision, answer_while_receiving};
use crate::traffic::LinkTraffic;

/// How long one watch waits for changes. A connection that has gone silent for good is noticed after this time plus
/// [`ANSWER_TIMEOUT`], which is less than the minimum time for which a leaving upstream still gets work.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// How long an answer may take beyond the wait that the call asks for. The store usually answers in about 4 ms, and a
/// slow store in 60 times that.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the watch after a read of old pages waits for changes: it fetches those that exist.
const MERGE_WAIT: Duration = Duration::from_millis(1);
/// Minimum time between two watches, so that changes in quick succession arrive in one answer.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The key range that a mirror follows, and the timeouts of its calls.
#[derive(Debug, Clone)]
pub struct MirrorSettings {
    prefix: CompactString,
    watch_wait: Duration,
    answer_timeout: Duration,
    min_watch_interval: Duration,
    /// Whether the whole range is read again after a failed call.
    rereads_after_failure: bool,
}

impl MirrorSettings {
    /// Creates settings that follow the keys beginning with `prefix`.
    pub fn new(prefix: impl AsRef<str>) -> Self {
        Self {
            prefix: CompactString::new(prefix),
            watch_wait: WATCH_WAIT,
            answer_timeout: ANSWER_TIMEOUT,
            min_watch_interval: MIN_WATCH_INTERVAL,
            rereads_after_failure: false,
        }
    }

    /// Reads the range again after every failed call, for stores that may come back with older data.
    #[must_use]
    pub fn with_reread_after_failure(mut self) -> Self {
        self.rereads_after_failure = true;
        self
    }
}

/// The result of one step of a feed.
#[derive(Debug)]
pub struct FeedStep {
    /// The changes that the call returned, if any.
    pub change: Option<MirrorChange>,
    /// Whether the store answered the last call.
    pub store_answers: bool,
    /// The store revision up to which the range was known before the call.
    pub previous_revision: StoreRevision,
    /// The store revision up to which the range is known after the call.
    pub revision: StoreRevision,
    /// The revision in the store's answer, with the era as the store stated it; `None` if there was no answer.
    pub stated_revision: Option<StoreRevision>,
    /// A moment at which the store is known to have held no newer changes; `None` if this call doesn't show one.
    pub up_to_date_at: Option<Instant>,
}

/// Mirrors a key range of the store, one call per step.
#[derive(Debug)]
pub struct MirrorFeed<P> {
    port: P,
    /// Counts the received bytes of answers, including incomplete ones.
    traffic: LinkTraffic,
    settings: MirrorSettings,
    state: MirrorState,
    /// Time of the first failure since a call last succeeded.
    failing_since: Option<Instant>,
    /// Whether the store answered the last call.
    store_answers: bool,
    /// Earliest time of the next watch.
    next_watch_at: Instant,
    /// When the first page of the range was requested, while the range is being read.
    reading_since: Option<Instant>,
    /// Counts answers that could not be decoded.
    malformed_answers: Counter,
    /// Whether an undecodable answer has been logged since a call last succeeded.
    is_malformed_logged: bool,
    /// Whether the store states a lower era than before; keeps the warning from being logged for every answer.
    era_has_fallen: bool,
}

impl<P: StorePort> MirrorFeed<P> {
    /// Creates a feed that has read nothing yet.
    pub fn new(port: P, settings: MirrorSettings) -> Self {
        let traffic = LinkTraffic::default();
        Self {
            port: port.with_traffic(traffic.clone()),
            traffic,
            settings,
            state: MirrorState::new(),
            failing_since: None,
            store_answers: true,
            next_watch_at: Instant::now(),
            reading_since: None,
            malformed_answers: Counter::default(),
            is_malformed_logged: false,
            era_has_fallen: false,
        }
    }

    /// Reads the range from pages that may be some seconds old, and fetches the changes since then.
    #[must_use]
    pub fn with_stale_pages(mut self) -> Self {
        self.state = self.state.with_stale_pages();
        self
    }

    /// Counts answers that can't be decoded in `counter`.
    #[must_use]
    pub fn with_malformed_counter(mut self, counter: Counter) -> Self {
        self.malformed_answers = counter;
        self
    }

    /// Returns the counter of the bytes received in answers, including incomplete ones.
    pub fn traffic(&self) -> LinkTraffic {
        self.traffic.clone()
    }

    /// Sets how long the next watches wait for changes.
    pub fn set_watch_wait(&mut self, wait: Duration) {
        self.settings.watch_wait = wait;
    }

    /// Returns the time until the next watch may begin.
    pub fn time_until_next_watch(&self) -> Duration {
        self.next_watch_at.saturating_duration_since(Instant::now())
    }

    /// Continues at once after `revision`, up to which the reader has learned everything from another source, unless
    /// the feed is further ahead. The store counts as answering again, since earlier failed calls say nothing about its
    /// present state.
    pub fn resume_at(&mut self, revision: StoreRevision) {
        self.store_answers = true;
        self.state.resume_at(revision);
    }

    /// Reads the whole range again instead of the changes since the last call, unless that has already begun.
    pub fn reread(&mut self) {
        if self.state.is_following() {
            self.state.reread();
        }
    }

    /// Makes one call, or waits before the next one. Dropping the future cancels the call; the next step continues from
    /// the same revision.
    pub async fn step(&mut self) -> FeedStep {
        let previous_revision = self.state.revision();
        let step = self.state.next_step();
        let is_merging = self.state.is_merging();
        if let MirrorStep::Watch { .. } = step
            && !is_merging
        {
            tokio::time::sleep_until(self.next_watch_at).await;
        }
        let called_at = Instant::now();
        let step_result = match step {
            MirrorStep::Pause(pause) => {
                tokio::time::sleep(pause).await;
                return self.failed_step();
            }
            MirrorStep::Read { after } => {
                if after.is_none() {
                    self.reading_since = Some(called_at);
                }
                let (prefix, after) = (&self.settings.prefix, after.as_deref());
                let timeout = self.settings.answer_timeout;
                let page = if self.state.reads_stale_pages() {
                    let page_read = self.port.read_stale_page(prefix, after);
                    self.await_answer(timeout, page_read).await
                } else {
                    let page_read = self.port.read_page(prefix, after);
                    self.await_answer(timeout, page_read).await
                };
                page.map(|page| {
                    let stated_revision = page.revision;
                    let change = self.state.apply_page(page);
                    let up_to_date_at = change.is_some().then(|| self.reading_since.take());
                    (stated_revision, change, up_to_date_at.flatten())
                })
            }
            MirrorStep::Watch { after } => {
                let watch_wait = if is_merging {
                    MERGE_WAIT
                } else {
                    self.settings.watch_wait
                };
                let watch_call = self.port.watch(&self.settings.prefix, after, watch_wait);
                let watch = self
                    .await_answer(watch_wait + self.settings.answer_timeout, watch_call)
                    .await;
                self.next_watch_at = Instant::now() + self.settings.min_watch_interval;
                let waited_fully = called_at.elapsed() >= watch_wait;
                watch.map(|watch| {
                    // A watch that returned changes may have read the store as early as its start. One that waited the
                    // full time without changes shows the store as of the end of the wait.
                    let was_idle = watch.events.is_empty() && waited_fully;
                    let up_to_date_at = if was_idle {
                        called_at + watch_wait
                    } else {
                        called_at
                    };
                    let stated_revision = watch.revision;
                    let change = self.state.apply_watch(watch);
                    // Changes that don't continue the known range prove nothing.
                    let is_continuous = self.state.is_following();
                    (
                        stated_revision,
                        change,
                        is_continuous.then_some(up_to_date_at),
                    )
                })
            }
        };
        match step_result {
            Ok((stated_revision, change, up_to_date_at)) => {
                self.record_success();
                self.check_era(stated_revision);
                FeedStep {
                    change,
                    store_answers: true,
                    previous_revision,
                    revision: self.state.revision(),
                    stated_revision: Some(stated_revision),
                    up_to_date_at,
                }
            }
            Err(error) => {
                self.record_failure(&error, called_at);
                self.failed_step()
            }
        }
    }

    /// Waits for an answer, and for longer while it is still being received.
    async fn await_answer<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        answer_while_receiving(timeout, self.settings.answer_timeout, &self.traffic, call).await
    }

    /// Returns the step of a call that failed, or of a wait after one.
    fn failed_step(&self) -> FeedStep {
        FeedStep {
            change: None,
            store_answers: self.store_answers,
            previous_revision: self.state.revision(),
            revision: self.state.revision(),
            stated_revision: None,
            up_to_date_at: None,
        }
    }

    fn record_success(&mut self) {
        self.store_answers = true;
        self.is_malformed_logged = false;
        if let Some(failing_since) = self.failing_since.take() {
            let outage_ms = failing_since.elapsed().as_millis();
            log::info!(
                "store regained prefix=`{}` away_ms={outage_ms}",
                self.settings.prefix
            );
        }
    }

    /// Logs once that the store states a lower era than before.
    fn check_era(&mut self, stated_revision: StoreRevision) {
        let has_fallen = stated_revision.era() < self.state.era();
        if has_fallen && !self.era_has_fallen {
            log::warn!(
                "store era fell prefix=`{}` stated={} known={}: its answers count as answers of the known era",
                self.settings.prefix,
                stated_revision.era(),
                self.state.era()
            );
        }
        self.era_has_fallen = has_fallen;
    }

    /// Counts an answer that could not be decoded, and logs it unless one has been logged since a call last succeeded. The
    /// line is needed beside that of a lost store, which an outage of another kind may have caused before.
    fn record_malformed(&mut self, error: &StoreError) {
        self.malformed_answers.inc();
        if !std::mem::replace(&mut self.is_malformed_logged, true) {
            log::error!(
                "store answer can't be decoded prefix=`{}` known={}: {error}",
                self.settings.prefix,
                self.state.revision()
            );
        }
    }

    fn record_failure(&mut self, error: &StoreError, called_at: Instant) {
        if matches!(error, StoreError::Malformed { .. }) {
            self.record_malformed(error);
        }
        self.state.apply_failure(error, &mut rand::rng());
        if self.settings.rereads_after_failure {
            self.state.reread();
        }
        self.store_answers = matches!(error, StoreError::HistoryGone | StoreError::TooLong { .. });
        if self.store_answers {
            log::info!(
                "store changes not read prefix=`{}`: reading the range again: {error}",
                self.settings.prefix
            );
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!(
                "store lost prefix=`{}` asked_ms={}: {error}",
                self.settings.prefix,
                called_at.elapsed().as_millis()
            );
        }
    }
}
