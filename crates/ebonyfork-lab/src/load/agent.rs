//! One caller: keeps a locate answer for its time to live, and connections to the addresses in it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use ebonyfork::ident::{IdempotencyKey, OrganisationName, RunState, SessionId, VmAddress};
use http::Request;
use http_body_util::Full;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::clock::RunClock;
use crate::http_client::{CallConnection, CallError, CallReply};
use crate::journal::SelectionHash;
use crate::load::plan::ClassLoad;
use crate::load::record::{RequestRecord, TryOutcome, TryRecord};
use crate::load::reply::{LocateReply, read_outcome};

/// Beyond a class's bound, how long a caller still waits before it counts the request as lost.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
/// Longest wait for a locate answer.
const LOCATE_TIMEOUT: Duration = Duration::from_secs(1);
/// VMs that are asked for a locate answer before a caller gives up.
const LOCATE_TRIES: usize = 4;
/// Of these, how many are asked near the caller.
const NEAR_TRIES: usize = 2;
/// Tries of one request.
const TRIES: usize = 2;
/// Idle connections that a caller keeps per address.
const IDLE_LIMIT: usize = 32;

/// What all callers of a run share.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Clock of the run.
    pub clock: RunClock,
    /// One-way delay between a caller and a VM.
    pub delay: Duration,
    /// Caller addresses of VMs near this caller, asked for a locate answer.
    pub known: Vec<SocketAddr>,
    /// Caller addresses of all other VMs, asked when those near don't answer.
    pub others: Vec<SocketAddr>,
    /// Name of the organisation whose requests this caller sends.
    pub organisation: OrganisationName,
    /// Number of the caller, unique in the run: it tells apart the keys of callers that share a session.
    pub number: u32,
}

#[derive(Debug, Clone)]
struct KeptAnswer {
    reply: LocateReply,
    until: Duration,
}

/// A caller of one organisation.
#[derive(Debug)]
pub struct CallerAgent {
    settings: AgentSettings,
    kept: Mutex<Option<KeptAnswer>>,
    idle: Mutex<FxHashMap<SocketAddr, Vec<CallConnection>>>,
    sequence: AtomicU32,
    rng: Mutex<ChaCha8Rng>,
}

/// Addresses that did not serve a request.
type FailedAddresses = SmallVec<[SocketAddr; 2]>;

/// One request on its way through its tries.
#[derive(Debug, Clone)]
pub(super) struct OutgoingRequest {
    pub(super) class: usize,
    pub(super) stream: usize,
    pub(super) scheduled: Duration,
    pub(super) load: Arc<ClassLoad>,
    /// What makes it unique; a resend of the same selection is the same request to the tier.
    pub(super) selection: CompactString,
    /// Whether every try sends the same selection.
    pub(super) same_selection: bool,
    pub(super) record: CompactString,
}

impl CallerAgent {
    /// Makes a caller that knows no addresses but those in its settings.
    pub fn new(settings: AgentSettings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(u64::from(settings.number));
        Self {
            settings,
            kept: Mutex::default(),
            idle: Mutex::default(),
            sequence: AtomicU32::new(0),
            rng: Mutex::new(rng),
        }
    }

    /// The organisation whose requests it sends.
    pub fn organisation(&self) -> &OrganisationName {
        &self.settings.organisation
    }

    /// Sends a request, once more where that is safe, and records what came of it.
    pub(super) async fn send(&self, request: OutgoingRequest) -> RequestRecord {
        let mut record = RequestRecord {
            class: request.class,
            stream: request.stream,
            scheduled: request.scheduled,
            ended: request.scheduled,
            tries: SmallVec::new(),
        };
        let mut failed = FailedAddresses::new();
        let mut key = None;
        for number in 0..TRIES {
            let tried = self
                .send_once(&request, number, &mut key, &mut failed)
                .await;
            let again = may_resend(&tried.outcome);
            record.ended = tried.ended;
            record.tries.push(tried);
            if !again {
                break;
            }
        }
        record
    }

    /// Sends one try. A key is kept for the next one only where this one may have run.
    async fn send_once(
        &self,
        request: &OutgoingRequest,
        number: usize,
        key: &mut Option<IdempotencyKey>,
        failed: &mut FailedAddresses,
    ) -> TryRecord {
        let clock = self.settings.clock;
        let selection = request.text(number);
        let hash = SelectionHash::new(&selection);
        let sent = clock.now();
        let finish = |vm, sent, outcome| TryRecord {
            vm,
            selection: hash,
            sent,
            ended: clock.now(),
            outcome,
        };
        let Some(located) = self.locate(failed).await else {
            return finish(None, sent, TryOutcome::Unsent);
        };
        let address = located.address(failed);
        let vm = Some(VmAddress(address.ip()));
        if key.is_none() && !request.load.idempotent {
            *key = Some(self.next_key(located.session));
        }
        tokio::time::sleep(self.settings.delay).await;
        let sent = clock.now();
        let limit = request.load.bound + ANSWER_MARGIN;
        let call = self.call(address, self.request_for(request, selection, *key));
        let outcome = match tokio::time::timeout(limit, call).await {
            Err(_) => TryOutcome::TimedOut,
            Ok(Ok(reply)) => read_outcome(&reply),
            Ok(Err(CallError::Unsent { .. })) => TryOutcome::Unsent,
            Ok(Err(CallError::Broken { .. })) => TryOutcome::Broken,
        };
        tokio::time::sleep(self.settings.delay).await;
        if may_resend(&outcome) {
            // The session belongs to the first address, so that the whole answer is forgotten.
            *self.kept() = None;
            failed.push(address);
        }
        if !matches!(outcome, TryOutcome::Broken) {
            *key = None;
        }
        finish(vm, sent, outcome)
    }

    fn next_key(&self, session: SessionId) -> IdempotencyKey {
        let count = self.sequence.fetch_add(1, Ordering::Relaxed);
        let sequence = u64::from(self.settings.number) << 32 | u64::from(count);
        IdempotencyKey { session, sequence }
    }

    fn request_for(
        &self,
        request: &OutgoingRequest,
        selection: CompactString,
        key: Option<IdempotencyKey>,
    ) -> Request<Full<Bytes>> {
        let uri = format!("/v1/query/{}", request.load.class);
        let mut builder = Request::post(uri)
            .header("host", "ebonyfork")
            .header("x-organisation", self.settings.organisation.as_str())
            .header("x-record", request.record.as_str());
        if let Some(deadline) = request.load.deadline {
            builder = builder.header("x-deadline-ms", deadline.as_millis() as u64);
        }
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key.to_string());
        }
        let body = Full::new(Bytes::from(selection.into_string()));
        builder.body(body).unwrap_or_default()
    }

    /// Returns the kept locate answer, or a new one that does not begin with an address that has failed.
    async fn locate(&self, failed: &FailedAddresses) -> Option<LocateReply> {
        let now = self.settings.clock.now();
        if let Some(kept) = self.kept().as_ref()
            && now < kept.until
        {
            return Some(kept.reply.clone());
        }
        let mut last = None;
        for number in 0..LOCATE_TRIES {
            let address = self.known_address(number)?;
            let Some(reply) = self.locate_at(address).await else {
                continue;
            };
            if failed.contains(&reply.addresses[0]) {
                last = Some(reply);
                continue;
            }
            let until = self.settings.clock.now() + reply.ttl;
            *self.kept() = Some(KeptAnswer {
                reply: reply.clone(),
                until,
            });
            return Some(reply);
        }
        last
    }

    /// Picks a VM to ask: near ones first, then any.
    fn known_address(&self, number: usize) -> Option<SocketAddr> {
        let AgentSettings { known, others, .. } = &self.settings;
        let near = !known.is_empty() && (number < NEAR_TRIES || others.is_empty());
        let addresses = if near { known } else { others };
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.choose(&mut *rng).copied()
    }

    async fn locate_at(&self, address: SocketAddr) -> Option<LocateReply> {
        let request = Request::get("/v1/locate")
            .header("host", "ebonyfork")
            .header("x-organisation", self.settings.organisation.as_str())
            .body(Full::default())
            .ok()?;
        tokio::time::sleep(self.settings.delay * 2).await;
        let call = self.call(address, request);
        let reply = tokio::time::timeout(LOCATE_TIMEOUT, call)
            .await
            .ok()?
            .ok()?;
        LocateReply::read(&reply)
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<CallReply, CallError> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => CallConnection::open(address).await?,
        };
        let reply = connection.call(request).await?;
        if !connection.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let connections = idle.entry(address).or_default();
            if connections.len() < IDLE_LIMIT {
                connections.push(connection);
            }
        }
        Ok(reply)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<CallConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn kept(&self) -> MutexGuard<'_, Option<KeptAnswer>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocateReply {
    /// The first address that has not failed, or else the first.
    fn address(&self, failed: &FailedAddresses) -> SocketAddr {
        let mut addresses = self.addresses.iter();
        let fresh = addresses.find(|address| !failed.contains(address));
        *fresh.unwrap_or(&self.addresses[0])
    }
}

impl OutgoingRequest {
    /// Returns the selection of a try. An idempotent request that is sent again says so, so that the judge can tell
    /// its tries apart.
    fn text(&self, number: usize) -> CompactString {
        let mut text = self.selection.clone();
        if !self.same_selection && self.load.idempotent && number > 0 {
            text.push_str("-again");
        }
        while text.len() < self.load.selection_size {
            text.push('.');
        }
        text
    }
}

/// Tells whether a caller sends again at once: the address was gone, or this VM takes no work.
fn may_resend(outcome: &TryOutcome) -> bool {
    match outcome {
        TryOutcome::Unsent | TryOutcome::Broken => true,
        TryOutcome::Refused { code, ran, .. } => {
            *ran == RunState::NotRun && matches!(code.as_str(), "not-ready" | "stopping")
        }
        TryOutcome::Answered(_) | TryOutcome::TimedOut | TryOutcome::Malformed => false,
    }
}

#[cfg(test)]
#[path = "agent_tests.rs"]
mod tests;
