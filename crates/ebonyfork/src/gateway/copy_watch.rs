//! Reports the state of this VM's copy of the store: log lines when it goes unconfirmed for too long, gauges, and readiness.
//!
//! This runs apart from the task that follows the store, because that task may have ended, and a copy that nobody
//! refreshes looks as complete as before.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::{Duration, Instant};

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::ident::ConfigVersion;
use crate::gateway::policy::readiness::{CopyView, FollowerState, ReadinessState};
use crate::store::StoreRevision;

/// What has been reported of the copy, and which configuration was refused.
#[derive(Debug, Default)]
pub struct CopyWatch {
    /// Since when the copy has been logged as unconfirmed.
    unconfirmed_since: Cell<Option<Instant>>,
    /// Revision of the store's configuration if it could not be decoded.
    refused_config: Cell<Option<StoreRevision>>,
    readiness: RefCell<ReadinessState>,
}

impl CopyWatch {
    /// Returns whether callers need not use other VMs because of this VM's copy.
    pub fn is_fit(&self) -> bool {
        self.readiness.borrow().reason().is_none()
    }

    /// Records that the configuration at a revision of the store could not be decoded, or that the store's configuration
    /// could be.
    pub fn note_config(&self, refused_revision: Option<StoreRevision>) {
        self.refused_config.set(refused_revision);
    }
}

/// State of the copy at one moment; its text form is part of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CopyReport {
    /// Time since the copy was last known to be up to date; since the start of the process if it never was.
    age: Duration,
    /// Time within which a change must be in force.
    bound: Duration,
    follower: FollowerState,
    source: String,
    revision: StoreRevision,
    version: ConfigVersion,
    /// Newest version that another VM announces.
    newest_version: ConfigVersion,
    is_store_failing: bool,
    refused_config: Option<StoreRevision>,
}

impl CopyReport {
    fn is_unconfirmed(&self) -> bool {
        self.age > self.bound
    }
}

impl fmt::Display for CopyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "age_ms={} bound_ms={} follower={} source={} revision={} version={} newest={} store_failing={} config_refused=",
            self.age.as_millis(),
            self.bound.as_millis(),
            self.follower,
            self.source,
            self.revision,
            self.version,
            self.newest_version,
            self.is_store_failing,
        )?;
        match self.refused_config {
            Some(revision) => write!(f, "{revision}"),
            None => f.write_str("-"),
        }
    }
}

impl GatewayCore {
    fn copy_report(&self, time: Instant) -> CopyReport {
        let bound = self.settings.change_bound;
        let table = self.table();
        let copy_age = self.relay.copy_age();
        CopyReport {
            age: copy_age.unwrap_or_else(|| self.uptime()),
            bound,
            follower: self.follower.state(time, bound, copy_age),
            source: self.follower.source(),
            revision: self.relay.copy().complete_revision(),
            version: table.map_or(ConfigVersion(0), |table| table.version()),
            newest_version: self.route_checks.newest_version(),
            is_store_failing: self.relay.is_store_failing(),
            refused_config: self.copy_watch.refused_config.get(),
        }
    }

    /// Decides whether callers should use other VMs, and logs each change with what it rests on.
    fn watch_readiness(&self, time: Instant) {
        let bound = self.settings.change_bound;
        let copy_age = self.relay.copy_age();
        let view = CopyView {
            copy_age: copy_age.unwrap_or_else(|| self.uptime()),
            follower: self.follower.state(time, bound, copy_age),
            is_store_failing: self.relay.is_store_failing(),
            behind_for: self.route_checks.behind_for(time),
            news_age: self.route_checks.news_age(time),
            is_config_refused: self.copy_watch.refused_config.get().is_some(),
        };
        let mut readiness = self.copy_watch.readiness.borrow_mut();
        if !readiness.observe(view.unfit_reason(bound)) {
            return;
        }
        let millis = |duration: Option<Duration>| {
            duration.map_or(-1, |duration| duration.as_millis() as i64)
        };
        let reason = readiness.reason();
        log::warn!(
            target: "ebonyfork::decision",
            "readiness fit={} reason={} behind_ms={} news_ms={} {}",
            reason.is_none(),
            reason.map_or_else(|| "-".to_owned(), |reason| reason.to_string()),
            millis(view.behind_for),
            millis(view.news_age),
            self.copy_report(time)
        );
    }

    /// Logs once that the copy has not been confirmed within the time in which a change must be in force, and once that it
    /// is confirmed again. Also decides on readiness.
    pub fn watch_copy(&self, time: Instant) {
        self.watch_readiness(time);
        let bound = self.settings.change_bound;
        let age = self.relay.copy_age().unwrap_or_else(|| self.uptime());
        let unconfirmed_since = self.copy_watch.unconfirmed_since.get();
        if (age > bound) == unconfirmed_since.is_some() {
            return;
        }
        let report = self.copy_report(time);
        let Some(since) = unconfirmed_since else {
            self.copy_watch.unconfirmed_since.set(Some(time));
            log::warn!(target: "ebonyfork::decision", "copy unconfirmed {report}");
            return;
        };
        self.copy_watch.unconfirmed_since.set(None);
        log::warn!(
            target: "ebonyfork::decision",
            "copy confirmed unconfirmed_ms={} {report}",
            time.saturating_duration_since(since).as_millis()
        );
    }

    /// Sets the gauges of the copy and of the configuration to their present values.
    pub fn refresh_copy_gauges(&self) {
        let report = self.copy_report(now());
        self.metrics
            .record_copy_state(self.relay.copy_age(), report.revision);
        let metrics = &self.metrics.copy;
        metrics.unconfirmed.set(u64::from(report.is_unconfirmed()));
        let is_running = report.follower != FollowerState::Ended;
        metrics.follower_running.set(u64::from(is_running));
        metrics.ready.set(u64::from(self.is_ready()));
        metrics.version.set(report.version.0);
        metrics.newest_version.set(report.newest_version.0);
    }
}

#[cfg(test)]
#[path = "copy_watch_tests.rs"]
mod tests;
