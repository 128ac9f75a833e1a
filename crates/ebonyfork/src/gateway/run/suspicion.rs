//! Detects requests that may crash their upstreams. While such a request is suspected, one shard is sent as a probe and
//! the others are held back until the probe is answered.
//!
//! Most broken connections are harmless: the upstream has reset a connection and accepts the next one, which
//! [`LossCheck`] finds out about 25 ms later. Shards are only held back from the second broken connection on. If the
//! first one counted, nearly every query would retry its lost shards one at a time and send no hedges while one in five
//! answers is lost with its connection. The answers given meanwhile would have 0.46 and 0.73 of the value that complete
//! answers in time have, instead of 0.51 and 0.77 (means of 6 runs).

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use super::QueryRun;
use crate::gateway::loss::{LossCheck, LossVerdict};

/// Number of broken connections, not counting those known to be harmless, from which a request is suspected of crashing
/// its upstreams.
const SUSPICIOUS_LOSSES: usize = 2;
/// Interval at which a request that holds shards back looks whether the checks of its broken connections
/// ([`LossCheck`]) have ended.
pub(super) const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Connections that broke during a request, which may have crashed their upstreams, and the shards held back because of
/// them.
#[derive(Debug, Default)]
pub(super) struct RunSuspicion {
    /// Whether the request was suspected of crashing upstreams when it arrived.
    suspected_on_arrival: bool,
    /// Broken connections, with the shard each one belonged to.
    broken_connections: SmallVec<[(usize, Rc<LossCheck>); 4]>,
    /// Shard that is sent as a probe while the others are held back.
    probe: Option<usize>,
    /// Whether the connection of a probe has broken.
    probe_broke: bool,
    /// Shards that are held back.
    held_shards: SmallVec<[usize; 8]>,
}

impl RunSuspicion {
    /// Creates the state of a request that was suspected when it arrived: all shards but the probe are held back.
    pub(super) fn for_suspect(shards: usize, probe: usize) -> Self {
        Self {
            suspected_on_arrival: true,
            probe: Some(probe),
            held_shards: (0..shards).filter(|shard| *shard != probe).collect(),
            ..Self::default()
        }
    }

    /// Returns whether shards are held back, not for the answer to a probe, but until the causes of broken connections
    /// are known.
    pub(super) fn awaits_checks(&self) -> bool {
        !self.held_shards.is_empty() && self.probe.is_none()
    }

    /// Returns whether an upstream was confirmed lost during an attempt of a shard.
    pub(super) fn has_confirmed_loss(&self, shard: usize) -> bool {
        let is_lost = |(broken_shard, check): &(usize, Rc<LossCheck>)| {
            *broken_shard == shard && check.verdict() == LossVerdict::Lost
        };
        self.broken_connections.iter().any(is_lost)
    }

    fn count_checks(&self, verdict: LossVerdict) -> usize {
        let checks = self.broken_connections.iter();
        checks
            .filter(|(_shard, check)| check.verdict() == verdict)
            .count()
    }

    /// Returns the number of broken connections that the request may have caused by crashing their upstreams.
    fn possible_losses(&self) -> usize {
        self.count_checks(LossVerdict::Pending) + self.count_checks(LossVerdict::Lost)
    }
}

impl QueryRun {
    /// Returns whether the request may crash upstreams; such requests get no hedges, no probes of avoided upstreams and
    /// no delegated retries.
    pub(super) fn is_suspected(&self) -> bool {
        let suspicion = &self.suspicion;
        suspicion.suspected_on_arrival
            || suspicion.probe.is_some()
            || suspicion.possible_losses() > 0
    }

    /// Handles an attempt of a shard that was lost. If its connection broke, `check` is the check whether the upstream
    /// was lost too.
    pub(super) fn retry_lost(&mut self, shard: usize, check: Option<Rc<LossCheck>>) {
        if let Some(check) = check {
            self.suspicion.broken_connections.push((shard, check));
        }
        self.request.after_loss.set(self.is_suspected());
        if self.suspicion.probe == Some(shard) {
            self.suspicion.probe = None;
            self.suspicion.probe_broke = true;
        } else if self.suspicion.possible_losses() < SUSPICIOUS_LOSSES {
            self.retry(shard, Duration::ZERO);
            return;
        }
        let shard_state = &self.state.shards()[shard];
        if shard_state.in_flight == 0 && shard_state.is_open() {
            self.suspicion.held_shards.push(shard);
        }
        self.resume_held();
    }

    /// Continues with the shards that are held back once the causes of all broken connections are known: sends all of
    /// them, sends the next one as a probe, or marks them as failed.
    pub(super) fn resume_held(&mut self) {
        if let Some(probe) = self.suspicion.probe {
            if self.state.shards()[probe].is_open() {
                return;
            }
            self.suspicion.probe = None;
        }
        if self.suspicion.held_shards.is_empty()
            || self.suspicion.count_checks(LossVerdict::Pending) > 0
        {
            return;
        }
        let lost_count = self.suspicion.count_checks(LossVerdict::Lost);
        if lost_count < SUSPICIOUS_LOSSES && !self.suspicion.suspected_on_arrival {
            self.release_held();
            return;
        }
        if self.suspicion.probe_broke && lost_count > 0 {
            for shard in std::mem::take(&mut self.suspicion.held_shards) {
                self.state.fail(shard);
            }
            return;
        }
        self.probe_next();
    }

    /// Sends one of the held-back shards as a probe.
    fn probe_next(&mut self) {
        while !self.suspicion.held_shards.is_empty() {
            let shard = self.suspicion.held_shards.remove(0);
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
        for shard in std::mem::take(&mut self.suspicion.held_shards) {
            self.start(shard, Duration::ZERO);
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
