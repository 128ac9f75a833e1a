//! Takes tokens of organisations' quotas from the VMs that hold the parts, and holds parts for other VMs. The rules are
//! in [`crate::gateway::policy::quota`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::format_compact;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use crate::gateway::claim_write::{AppliedWrite, ClaimTarget, write_claim};
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::ident::PlaceName;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName, OrganisationTable};
use crate::gateway::policy::claim::StoreClaim;
use crate::gateway::policy::quota::{
    AskPlan, PartLedger, PartTerms, PartView, QUOTA_CLAIM, QUOTA_PARTS, QuotaAnswer, QuotaMessage,
    QuotaRefusal, RequestQuota, next_return, plan_asks, refusal,
};
use crate::gateway::refusal::RefusalReason;
use crate::gateway::settings::PlaceDistance;
use crate::gateway::vms::rendezvous;
use crate::ident::SessionId;
use crate::store::{StoreEra, StorePort};
use crate::wire::{LinkSender, PeerMessage};

/// Time between two checks of the claims.
const CLAIM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time after the start in which a process claims no part that another VM may want: it doesn't know the VMs yet, and
/// claims stay where they are.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the nearest holder before the others are asked: one trip within a region and back (2 ms), plus
/// queueing on two busy VMs.
const FIRST_TIMEOUT: Duration = Duration::from_millis(25);
/// Longest wait for all holders: one trip between regions and back (24 ms), plus queueing on two busy VMs.
const ALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a holder that did not answer is asked only together with the others.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// What this VM knows of one part.
#[derive(Debug)]
struct QuotaPart {
    claim: StoreClaim,
    /// Buckets, used while this process holds the part.
    ledger: PartLedger,
    /// Distance to the holder.
    distance: PlaceDistance,
    /// Time until which the holder counts as silent.
    silent_until: Duration,
}

/// Part that was empty when it was last asked.
#[derive(Debug, Clone, Copy)]
struct EmptyPart {
    part: u8,
    /// Time of its next token, as its holder stated.
    next_token: Duration,
    /// Time at which the holder answered.
    answered_at: Duration,
}

/// Empty parts of one organisation's quota.
type EmptyParts = SmallVec<[EmptyPart; QUOTA_PARTS]>;

/// Time for which an empty part is not asked again. Its holder may have a token earlier than it has stated, if one is
/// returned.
const EMPTY_MEMORY: Duration = Duration::from_millis(250);

/// Answer to a request for a token, with the part that answers.
type NumberedAnswer = (u8, QuotaAnswer);

/// Parts of quotas, and the requests for tokens that wait for an answer.
#[derive(Debug)]
pub struct QuotaDesk {
    parts: RefCell<Vec<QuotaPart>>,
    /// Parts that were empty when they were last asked, by organisation.
    empty_parts: RefCell<FxHashMap<OrganisationName, EmptyParts>>,
    /// When the last refused caller of each organisation was told to return.
    returns: RefCell<FxHashMap<OrganisationName, Duration>>,
    pending: RefCell<FxHashMap<u64, UnboundedSender<NumberedAnswer>>>,
    next_number: Cell<u64>,
}

impl EmptyPart {
    /// Returns whether the part is known to be empty without asking again.
    fn is_remembered(&self, now: Duration) -> bool {
        now < self.next_token && now < self.answered_at + EMPTY_MEMORY
    }
}

impl QuotaDesk {
    /// Creates the state of a process that holds no part; `own_session` is the session of the process.
    pub fn new(own_session: SessionId) -> Self {
        let new_part = |_number| QuotaPart {
            claim: StoreClaim::new(own_session, QUOTA_CLAIM),
            ledger: PartLedger::new(),
            distance: PlaceDistance::Far,
            silent_until: Duration::ZERO,
        };
        Self {
            parts: RefCell::new((0..QUOTA_PARTS).map(new_part).collect()),
            empty_parts: RefCell::default(),
            returns: RefCell::default(),
            pending: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    /// Calls a function with the claim on a part. A number that is no part is ignored: it may come from another version
    /// of the program.
    pub fn with_claim<T>(
        &self,
        part: u8,
        use_claim: impl FnOnce(&mut StoreClaim) -> T,
    ) -> Option<T> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        Some(use_claim(&mut part.claim))
    }

    /// Records that the store has entered an era. Claims of earlier eras become void.
    pub fn enter_era(&self, era: StoreEra, now: Duration) {
        for part in self.parts.borrow_mut().iter_mut() {
            part.claim.enter_era(era, now);
        }
    }

    /// Removes state that has become the same as none.
    pub fn remove_idle(&self, now: Duration) {
        for part in self.parts.borrow_mut().iter_mut() {
            part.ledger.remove_full(now);
        }
        self.returns
            .borrow_mut()
            .retain(|_organisation, last_return| *last_return > now);
        self.empty_parts
            .borrow_mut()
            .retain(|_organisation, parts| parts.iter().any(|empty| empty.is_remembered(now)));
    }

    /// Takes a token from a part that this process holds.
    fn take_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        now: Duration,
    ) -> QuotaAnswer {
        let mut parts = self.parts.borrow_mut();
        let Some(part) = parts.get_mut(usize::from(part)) else {
            return QuotaAnswer::Unknown;
        };
        let Some(held_since) = part.claim.usable_since(now) else {
            return QuotaAnswer::Unknown;
        };
        match part.ledger.take(organisation, terms, held_since, now) {
            Ok(()) => QuotaAnswer::Granted {
                held_since_ns: held_since.as_nanos() as u64,
            },
            Err(wait) => QuotaAnswer::Empty {
                // Rounded up, so that the token is there at the stated time.
                wait_ms: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
            },
        }
    }

    fn give_back_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since_ns: u64,
    ) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            let held_since = Duration::from_nanos(held_since_ns);
            part.ledger.give_back(organisation, terms, held_since);
        }
    }

    /// Records that a part has no token of an organisation.
    fn note_empty(&self, organisation: &OrganisationName, empty: EmptyPart) {
        let mut empty_parts = self.empty_parts.borrow_mut();
        let parts = empty_parts.entry(organisation.clone()).or_default();
        parts.retain(|other| other.part != empty.part);
        parts.push(empty);
    }

    fn empty_for(
        &self,
        part: u8,
        organisation: &OrganisationName,
        now: Duration,
    ) -> Option<Duration> {
        let empty_parts = self.empty_parts.borrow();
        let parts = empty_parts.get(organisation)?;
        let empty = parts.iter().find(|empty| empty.part == part)?;
        let wait = empty.next_token.saturating_sub(now);
        empty.is_remembered(now).then_some(wait)
    }

    /// Returns when the caller of a refused request should return, if the next token is due after `wait`.
    fn schedule_return(
        &self,
        organisation: &OrganisationEntry,
        quota: RequestQuota,
        wait: Duration,
        now: Duration,
    ) -> Duration {
        let mut returns = self.returns.borrow_mut();
        let last_return = returns.get(&organisation.name).copied();
        let next_return = next_return(last_return, quota, now + wait);
        returns.insert(organisation.name.clone(), next_return);
        next_return.saturating_sub(now)
    }

    fn note_silent(&self, part: u8, until: Duration) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            part.silent_until = until;
        }
    }
}

/// Request for a token that waits for answers. Dropping it ends the wait; a grant that arrives later is given back.
struct TokenWait<'a> {
    core: &'a GatewayCore,
    organisation: &'a OrganisationEntry,
    terms: PartTerms,
    number: u64,
    answers: UnboundedReceiver<NumberedAnswer>,
    /// Parts that were asked and have not answered.
    asked: SmallVec<[u8; QUOTA_PARTS]>,
    /// Parts that have answered that they are empty.
    empty: SmallVec<[u8; QUOTA_PARTS]>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let desk = &self.core.quota_desk;
        desk.pending.borrow_mut().remove(&self.number);
        self.answers.close();
        // Grants that arrived together with the one that was used.
        while let Ok((part, answer)) = self.answers.try_recv() {
            if let QuotaAnswer::Granted { held_since_ns } = answer {
                self.core
                    .give_back(part, &self.organisation.name, held_since_ns);
            }
        }
    }
}

impl<'a> TokenWait<'a> {
    fn new(core: &'a GatewayCore, organisation: &'a OrganisationEntry, terms: PartTerms) -> Self {
        let desk = &core.quota_desk;
        let number = desk.next_number.get();
        desk.next_number.set(number + 1);
        let (sender, answers) = mpsc::unbounded_channel();
        desk.pending.borrow_mut().insert(number, sender);
        Self {
            core,
            organisation,
            terms,
            number,
            answers,
            asked: SmallVec::new(),
            empty: SmallVec::new(),
        }
    }

    /// Asks the holder of a part. Returns true if this process holds the part and has granted a token.
    fn ask(&mut self, part: u8) -> bool {
        let core = self.core;
        let desk = &core.quota_desk;
        let Some(holder) = desk.with_claim(part, |claim| claim.holder()).flatten() else {
            return false;
        };
        if holder.vm == core.session.vm {
            let now = core.running_time();
            let answer = desk.take_own(part, &self.organisation.name, self.terms, now);
            return self.record(part, answer);
        }
        let request = QuotaMessage::Request {
            number: self.number,
            part,
            organisation: self.organisation.name.clone(),
        };
        if core
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(request))
        {
            self.asked.push(part);
        }
        false
    }

    /// Records the answer for a part. Returns whether a token was granted.
    fn record(&mut self, part: u8, answer: QuotaAnswer) -> bool {
        self.asked.retain(|asked| *asked != part);
        match answer {
            QuotaAnswer::Granted { .. } => true,
            QuotaAnswer::Empty { wait_ms } => {
                let now = self.core.running_time();
                let empty = EmptyPart {
                    part,
                    next_token: now + Duration::from_millis(u64::from(wait_ms)),
                    answered_at: now,
                };
                let desk = &self.core.quota_desk;
                desk.note_empty(&self.organisation.name, empty);
                self.empty.push(part);
                false
            }
            QuotaAnswer::Unknown => false,
        }
    }

    /// Waits until a token is granted, all parts that were asked have answered, or the timeout ends. Returns whether a
    /// token was granted.
    async fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.asked.is_empty() {
            let Ok(Some((part, answer))) =
                tokio::time::timeout_at(deadline, self.answers.recv()).await
            else {
                return false;
            };
            if self.record(part, answer) {
                return true;
            }
        }
        false
    }

    /// Marks the holders that have not answered.
    fn note_silent(&self) {
        let until = self.core.running_time() + SILENT_TIME;
        for part in &self.asked {
            self.core.quota_desk.note_silent(*part, until);
        }
    }
}

impl GatewayCore {
    /// Takes a token of an organisation's quota, or returns the reason why there is none.
    pub async fn take_quota_token(
        &self,
        organisation: &OrganisationEntry,
        request_id: &str,
    ) -> Result<(), RefusalReason> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        let Err(mut refusal) = self.ask_holders(organisation, terms).await else {
            return Ok(());
        };
        if let QuotaRefusal::OverQuota { wait } = &mut refusal {
            *wait =
                self.quota_desk
                    .schedule_return(organisation, quota, *wait, self.running_time());
        }
        let copy_age = self.relay.copy_age();
        log::info!(
            target: "ebonyfork::decision",
            "quota request={request_id} organisation={} limit={quota} parts={} {refusal} copy_age_ms={}",
            organisation.name,
            terms.part_count,
            copy_age.map_or(-1, |age| age.as_millis() as i64)
        );
        Err(match refusal {
            QuotaRefusal::OverQuota { wait } => RefusalReason::OverQuota(wait),
            QuotaRefusal::Unknown => RefusalReason::QuotaUnknown,
        })
    }

    /// Asks the holders of an organisation's quota for a token, the nearest one first.
    async fn ask_holders(
        &self,
        organisation: &OrganisationEntry,
        terms: PartTerms,
    ) -> Result<(), QuotaRefusal> {
        let mut views = self.part_views(organisation, terms);
        let (first, others) = match plan_asks(&views) {
            AskPlan::Refuse(refusal) => return Err(refusal),
            AskPlan::Ask { first, others } => (first, others),
        };
        let mut wait = TokenWait::new(self, organisation, terms);
        if let Some(first) = first {
            if wait.ask(first) || wait.wait(FIRST_TIMEOUT).await {
                return Ok(());
            }
            wait.note_silent();
        }
        for part in others {
            if wait.ask(part) {
                return Ok(());
            }
        }
        if wait.wait(ALL_TIMEOUT).await {
            return Ok(());
        }
        wait.note_silent();
        let now = self.running_time();
        for view in &mut views {
            if !wait.empty.contains(&view.part) {
                continue;
            }
            // A part that was empty a moment ago may have a token by now.
            let organisation = &organisation.name;
            let empty_for = self.quota_desk.empty_for(view.part, organisation, now);
            view.empty_for = Some(empty_for.unwrap_or_default());
        }
        Err(refusal(&views))
    }

    /// Returns what this VM knows of the parts of an organisation's quota.
    fn part_views(
        &self,
        organisation: &OrganisationEntry,
        terms: PartTerms,
    ) -> SmallVec<[PartView; QUOTA_PARTS]> {
        let now = self.running_time();
        let parts = self.quota_desk.parts.borrow();
        let mut views = SmallVec::new();
        for number in terms.parts_of(&organisation.name) {
            let part = &parts[usize::from(number)];
            views.push(PartView {
                part: number,
                has_holder: part.claim.holder().is_some(),
                distance: part.distance,
                is_silent: now < part.silent_until,
                empty_for: self.quota_desk.empty_for(number, &organisation.name, now),
            });
        }
        views
    }

    /// Updates the distances to the holders of all parts.
    fn update_holder_distances(&self) {
        for part in self.quota_desk.parts.borrow_mut().iter_mut() {
            let zone = part
                .claim
                .holder()
                .and_then(|holder| self.vms.zone_of(holder.vm));
            part.distance = zone.map_or(PlaceDistance::Far, |zone| {
                self.settings.place.distance(&zone)
            });
        }
    }

    /// Returns a token to the holder that granted it.
    fn give_back(&self, part: u8, organisation: &OrganisationName, held_since_ns: u64) {
        let holder = self.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten() else {
            return;
        };
        let message = QuotaMessage::GiveBack {
            part,
            organisation: organisation.clone(),
            held_since_ns,
        };
        // A token that can't be returned is lost.
        let _sent = self
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(message));
    }

    /// Returns what a part of an organisation's quota amounts to; `None` if this VM's configuration has no such quota.
    fn quota_terms(&self, part: u8, organisation: &OrganisationName) -> Option<PartTerms> {
        let table = self.table()?;
        let quota = table.organisations()?.named(organisation)?.quota?;
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        terms
            .parts_of(organisation)
            .any(|number| number == part)
            .then_some(terms)
    }
}

/// Handles a message about a token from another VM.
pub fn take_message(core: &GatewayCore, sender: &LinkSender, message: QuotaMessage) {
    let desk = &core.quota_desk;
    match message {
        QuotaMessage::Request {
            number,
            part,
            organisation,
        } => {
            let terms = core.quota_terms(part, &organisation);
            let answer = terms.map_or(QuotaAnswer::Unknown, |terms| {
                desk.take_own(part, &organisation, terms, core.running_time())
            });
            let answer = QuotaMessage::Answer {
                number,
                part,
                organisation,
                answer,
            };
            if let Err(error) = sender.send(PeerMessage::Quota(answer)) {
                // The asking VM asks another holder.
                log::debug!("quota answer to {:?} not sent: {error}", sender.peer());
            }
        }
        QuotaMessage::Answer {
            number,
            part,
            organisation,
            answer,
        } => {
            let waiting = desk.pending.borrow().get(&number).cloned();
            let is_taken = waiting.is_some_and(|waiting| waiting.send((part, answer)).is_ok());
            if let QuotaAnswer::Granted { held_since_ns } = answer
                && !is_taken
            {
                core.give_back(part, &organisation, held_since_ns);
            }
        }
        QuotaMessage::GiveBack {
            part,
            organisation,
            held_since_ns,
        } => {
            if let Some(terms) = core.quota_terms(part, &organisation) {
                desk.give_back_own(part, &organisation, terms, held_since_ns);
            }
        }
    }
}

/// Acquires, renews and releases claims on the parts until the future is dropped.
pub async fn run_quota_claims(core: Rc<GatewayCore>, port: impl StorePort) {
    loop {
        tokio::time::sleep(CLAIM_CHECK_PERIOD).await;
        let table = core.table();
        let has_quotas = table
            .and_then(|table| table.organisations().map(OrganisationTable::has_quotas))
            .unwrap_or_default();
        if has_quotas {
            core.update_holder_distances();
        }
        for part in 0..QUOTA_PARTS as u8 {
            let is_wanted = has_quotas && wants_part(&core, part);
            let now = core.running_time();
            let write = core
                .quota_desk
                .with_claim(part, |claim| claim.next_write(is_wanted, now));
            let Some(write) = write.flatten() else {
                continue;
            };
            let target = ClaimTarget {
                key: (core.dialect.quota_key)(part),
                label: format_compact!("quota part {part}"),
            };
            let record = {
                let core = Rc::clone(&core);
                move |applied: AppliedWrite| {
                    core.quota_desk.with_claim(part, |claim| {
                        claim.record_write(
                            applied.write,
                            applied.revision,
                            applied.begun_at,
                            applied.answered_at,
                        );
                    });
                }
            };
            let write = write_claim(Rc::clone(&core), port.clone(), target, write, record);
            tokio::task::spawn_local(write);
        }
    }
}

/// Returns whether this VM should hold a part: it does already, or it is the one chosen among the VMs that serve the
/// part's availability zone. Holders keep their parts, because a new one starts with empty buckets.
fn wants_part(core: &GatewayCore, part: u8) -> bool {
    if core.state() != ServiceState::Serving {
        return false;
    }
    let own_vm = core.session.vm;
    let holder = core.quota_desk.with_claim(part, |claim| claim.holder());
    if holder.flatten().is_some_and(|holder| holder.vm == own_vm) {
        return true;
    }
    if core.uptime() < SETTLE_TIME {
        return false;
    }
    let place = &core.settings.place;
    let mut zones: SmallVec<[&PlaceName; 8]> = place.zones.keys().collect();
    zones.sort_unstable();
    let Some(zone) = zones.get(usize::from(part) % zones.len().max(1)) else {
        return false;
    };
    let vms = core.vms.serving_near(zone, place);
    rendezvous(&vms, format_args!("quota part {part}")) == Some(own_vm)
}

#[cfg(test)]
#[path = "quota_exchange_tests.rs"]
mod tests;
