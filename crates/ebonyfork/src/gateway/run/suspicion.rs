//! Detects requests that may crash their upstreams. While such a request is suspected, one shard is sent as a probe and
//! the others are held back until it is answered.
//!
//! Most broken connections are harmless: the upstream has reset a connection and accepts the next one, which
//! [`LossCheck`] finds out about 25 ms later. Shards are only held back from the second break on. In a version where
//! every break counted, and one in five answers was lost with its connection, nearly every query retried its lost
//! shards one at a time and sent no hedges: these seconds earned 0.46 and 0.73 of their value instead of 0.51 and 0.77
//! (means of 6 runs).

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use super::QueryRun;
use crate::gateway::loss::{LossCheck, LossVerdict};

/// Number of breaks not known to be harmless from which on the request is suspected.
const SUSPICIOUS_LOSSES: usize = 2;
/// Interval between checks of the cause of a break.
pub(super) const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Connection losses that a request may have caused, and the shards held back because of them.
#[derive(Debug, Default)]
pub(super) struct RunSuspicion {
    /// Whether the request was suspect when it arrived.
    suspect: bool,
    /// Broken connections, with the shard each one belonged to.
    losses: SmallVec<[(usize, Rc<LossCheck>); 4]>,
    /// Shard that is sent alone.
    probe: Option<usize>,
    /// Whether the connection of a probe broke.
    probe_broke: bool,
    /// Shards that are held back.
    held: SmallVec<[usize; 8]>,
}

impl RunSuspicion {
    /// Creates the state of a request that was suspect when it arrived: all shards but the probe are held back.
    pub(super) fn for_suspect(shards: usize, probe: usize) -> Self {
        Self {
            suspect: true,
            probe: Some(probe),
            held: (0..shards).filter(|shard| *shard != probe).collect(),
            ..Self::default()
        }
    }

    /// Returns whether shards are held back until the cause of a break is known.
    pub(super) fn waits(&self) -> bool {
        !self.held.is_empty() && self.probe.is_none()
    }

    /// Returns whether an upstream was confirmed lost during an attempt of a shard.
    pub(super) fn is_confirmed(&self, shard: usize) -> bool {
        let lost = |(of, check): &(usize, Rc<LossCheck>)| {
            *of == shard && check.verdict() == LossVerdict::Lost
        };
        self.losses.iter().any(lost)
    }

    fn count(&self, verdict: LossVerdict) -> usize {
        let found = self.losses.iter();
        found
            .filter(|(_shard, check)| check.verdict() == verdict)
            .count()
    }

    /// Returns the number of breaks that the request may have caused.
    fn possible(&self) -> usize {
        self.count(LossVerdict::Pending) + self.count(LossVerdict::Lost)
    }
}

impl QueryRun {
    /// Returns whether the request may crash upstreams; such requests get no hedges, no probes of avoided upstreams and
    /// no delegated retries.
    pub(super) fn is_suspected(&self) -> bool {
        let suspicion = &self.suspicion;
        suspicion.suspect || suspicion.probe.is_some() || suspicion.possible() > 0
    }

    /// Handles a lost attempt of a shard; `check` reports the state of the upstream if the connection broke.
    pub(super) fn retry_lost(&mut self, shard: usize, check: Option<Rc<LossCheck>>) {
        if let Some(check) = check {
            self.suspicion.losses.push((shard, check));
        }
        self.request.after_loss.set(self.is_suspected());
        if self.suspicion.probe == Some(shard) {
            self.suspicion.probe = None;
            self.suspicion.probe_broke = true;
        } else if self.suspicion.possible() < SUSPICIOUS_LOSSES {
            self.retry(shard, Duration::ZERO);
            return;
        }
        let state = &self.state.shards()[shard];
        if state.in_flight == 0 && state.is_open() {
            self.suspicion.held.push(shard);
        }
        self.resume_held();
    }

    /// Continues with the shards that are held back once the causes of all breaks are known: sends all of them, sends
    /// the next one as a probe, or marks them as failed.
    pub(super) fn resume_held(&mut self) {
        if let Some(probe) = self.suspicion.probe {
            if self.state.shards()[probe].is_open() {
                return;
            }
            self.suspicion.probe = None;
        }
        if self.suspicion.held.is_empty() || self.suspicion.count(LossVerdict::Pending) > 0 {
            return;
        }
        let lost = self.suspicion.count(LossVerdict::Lost);
        if lost < SUSPICIOUS_LOSSES && !self.suspicion.suspect {
            self.release_held();
            return;
        }
        if self.suspicion.probe_broke && lost > 0 {
            for held in std::mem::take(&mut self.suspicion.held) {
                self.state.fail(held);
            }
            return;
        }
        self.probe_next();
    }

    /// Sends one of the held-back shards as a probe.
    fn probe_next(&mut self) {
        while !self.suspicion.held.is_empty() {
            let shard = self.suspicion.held.remove(0);
            self.suspicion.probe = Some(shard);
            self.retry(shard, Duration::ZERO);
            if self.state.shards()[shard].is_open() {
                return;
            }
            self.suspicion.probe = None;
        }
    }

    fn release_held(&mut self) {
        self.suspicion.probe_broke = false;
        self.request.after_loss.set(self.is_suspected());
        self.start_held();
    }

    fn start_held(&mut self) {
        for held in std::mem::take(&mut self.suspicion.held) {
            self.start(held, Duration::ZERO);
        }
    }

    /// Handles the arrival of a part: if it is the probe's, the held-back shards are sent.
    pub(super) fn clear_probe(&mut self, shard: usize) {
        if self.suspicion.probe != Some(shard) {
            return;
        }
        self.suspicion.probe = None;
        self.start_held();
    }
}
