//! A request under which connections break may be what crashes the upstreams: then one shard goes first and the others
//! wait for its answer.
//!
//! Most breaks are harmless: the upstream has reset a connection and takes the next one, which is known some 25 ms later
//! ([`LossCheck`]). Shards wait for that only from the second break on. Where every break counted, and one in five answers
//! was lost with its connection, nearly every query sent its lost shards one after another and nothing beside late ones:
//! these seconds earned 0.46 and 0.73 of their worth instead of 0.51 and 0.77 (means of 6 runs).

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use super::QueryRun;
use crate::gateway::loss::{LossCheck, LossVerdict};

/// Breaks that are not known to be harmless from which on the request itself is suspected.
const SUSPICIOUS_LOSSES: usize = 2;
/// Time between two looks at what a break has turned out to be.
pub(super) const LOSS_LOOK: Duration = Duration::from_millis(5);

/// What is known of a request as the cause of lost upstreams.
#[derive(Debug, Default)]
pub(super) struct RunSuspicion {
    /// Whether the request was under suspicion when it came.
    suspect: bool,
    /// Breaks under its shards.
    losses: SmallVec<[(usize, Rc<LossCheck>); 4]>,
    /// The shard that goes alone.
    probe: Option<usize>,
    /// Whether a probe has broken.
    probe_broke: bool,
    /// Shards that wait.
    held: SmallVec<[usize; 8]>,
}

impl RunSuspicion {
    /// A request that comes under suspicion: all its shards but the probe wait.
    pub(super) fn of_suspect(shards: usize, probe: usize) -> Self {
        Self {
            suspect: true,
            probe: Some(probe),
            held: (0..shards).filter(|shard| *shard != probe).collect(),
            ..Self::default()
        }
    }

    /// Whether shards wait for news of breaks.
    pub(super) fn waits(&self) -> bool {
        !self.held.is_empty() && self.probe.is_none()
    }

    /// Whether an upstream was lost under a shard.
    pub(super) fn is_confirmed(&self, shard: usize) -> bool {
        let lost = |(of, check): &(usize, Rc<LossCheck>)| {
            *of == shard && check.verdict() == LossVerdict::Lost
        };
        self.losses.iter().any(lost)
    }

    fn count(&self, finding: LossVerdict) -> usize {
        let found = self.losses.iter();
        found
            .filter(|(_shard, check)| check.verdict() == finding)
            .count()
    }

    /// Breaks that may be the request's fault.
    fn possible(&self) -> usize {
        self.count(LossVerdict::Pending) + self.count(LossVerdict::Lost)
    }
}

impl QueryRun {
    /// Whether the request may be what crashes upstreams: nothing is risked for it.
    pub(super) fn is_suspected(&self) -> bool {
        let suspicion = &self.suspicion;
        suspicion.suspect || suspicion.probe.is_some() || suspicion.possible() > 0
    }

    /// A shard's attempt was lost; `check` tells of the upstream if the connection broke.
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
        if state.out == 0 && state.is_open() {
            self.suspicion.held.push(shard);
        }
        self.resume_held();
    }

    /// Sends the shards that wait, once it is known what the breaks were: all of them, the next probe, or none any more.
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

    /// One of the shards that wait goes alone.
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

    /// A part has come in: if it was the probe's, the others may go.
    pub(super) fn clear_probe(&mut self, shard: usize) {
        if self.suspicion.probe != Some(shard) {
            return;
        }
        self.suspicion.probe = None;
        self.start_held();
    }
}
