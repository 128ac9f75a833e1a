//! Sends and answers requests for tokens between the holders of an organisation's parts. The rules are in
//! [`crate::gateway::policy::quota::PartTransfers`].

use std::rc::Rc;
use std::time::Duration;

use super::desk::QuotaDesk;
use super::metrics::QuotaEvent;
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::quota::{
    OtherHolder, PartHold, PartTerms, QuotaMessage, TransferAsks, TransferDrop,
};
use crate::wire::{LinkSender, PeerMessage};

/// Number of a round, part that is asked, and organisation.
type TransferKey = (u64, u8, OrganisationName);

impl GatewayCore {
    /// Records that a request needed a token of a part that this process holds.
    pub(super) fn note_transfer_demand(
        &self,
        part: u8,
        organisation: &OrganisationName,
        now: Duration,
    ) {
        let mut parts = self.quota_desk.parts.borrow_mut();
        if let Some(part) = parts.get_mut(usize::from(part)) {
            let transfers = part.transfers.entry(organisation.clone()).or_default();
            transfers.note_demand(now);
        }
    }

    /// Asks the other holders of an organisation's quota for tokens, unless a round of requests is running.
    pub(super) fn request_transfers(
        self: &Rc<Self>,
        own_part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
    ) {
        let now = self.running_time();
        let number = self.quota_desk.next_number();
        let others: Vec<u8> = terms
            .parts_of(organisation)
            .filter(|part| *part != own_part)
            .collect();
        let asks =
            self.quota_desk
                .begin_transfers((number, own_part, organisation), terms, &others, now);
        for (part, wanted) in asks {
            self.request_transfer((number, part, organisation.clone()), terms, wanted);
        }
    }

    /// Asks the holder of one part, which may be this process.
    fn request_transfer(self: &Rc<Self>, key: TransferKey, terms: PartTerms, wanted: u32) {
        let (number, part, organisation) = key;
        let holder = self.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten() else {
            return;
        };
        if holder.vm == self.session.vm {
            let now = self.running_time();
            let given = self
                .quota_desk
                .give_own(part, &organisation, terms, wanted, now);
            if let Some((tokens, next_token)) = given {
                self.take_transfer((number, part, organisation), tokens, next_token);
            }
            return;
        }
        let request = QuotaMessage::TransferRequest {
            number,
            part,
            organisation,
            wanted,
        };
        // A holder that can't be reached counts as empty once the round has ended.
        let _sent = self
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(request));
    }

    /// Answers a request for tokens of a part that this process holds. Without the part, there is no answer: the asking
    /// holder counts this one as empty for a while.
    pub(super) fn answer_transfer(&self, sender: &LinkSender, key: TransferKey, wanted: u32) {
        let (number, part, organisation) = key;
        let Some(terms) = self.quota_terms(part, &organisation) else {
            return;
        };
        let now = self.running_time();
        let given = self
            .quota_desk
            .give_own(part, &organisation, terms, wanted, now);
        let Some((tokens, next_token)) = given else {
            return;
        };
        if tokens > 0 {
            self.metrics.quota.count(QuotaEvent::TransferGiven);
            log::info!(
                target: "ebonyfork::decision",
                "quota part={part} organisation={organisation} {} tokens={tokens} wanted={wanted}",
                QuotaEvent::TransferGiven.label()
            );
        }
        let answer = QuotaMessage::Transfer {
            number,
            part,
            organisation,
            tokens,
            next_token_ms: u32::try_from(next_token.as_millis() + 1).unwrap_or(u32::MAX),
        };
        if let Err(error) = sender.send(PeerMessage::Quota(answer)) {
            // The tokens are lost.
            log::debug!("quota transfer to {:?} not sent: {error}", sender.peer());
        }
    }

    /// Adds the tokens of a transfer to the part that asked for them, and grants them to waiting requests.
    pub(super) fn take_transfer(
        self: &Rc<Self>,
        key: TransferKey,
        tokens: u32,
        next_token: Duration,
    ) {
        let now = self.running_time();
        let Some(own_part) = self.quota_desk.transfer_part(&key) else {
            return;
        };
        let (_number, part, organisation) = &key;
        let Some(terms) = self.quota_terms(own_part, organisation) else {
            return;
        };
        let received =
            self.quota_desk
                .receive_own(own_part, &key, terms, (tokens, next_token), now);
        if tokens == 0 {
            return;
        }
        let (event, reason) = match received {
            Ok(_tokens) => (QuotaEvent::TransferReceived, String::new()),
            Err(drop) => (QuotaEvent::TransferDropped, format!(" reason={drop}")),
        };
        self.metrics.quota.count(event);
        log::info!(
            target: "ebonyfork::decision",
            "quota part={own_part} organisation={organisation} {} from={part} tokens={tokens}{reason}",
            event.label()
        );
        if received.is_ok() {
            self.check_waiting(own_part, organisation);
        }
    }
}

impl QuotaDesk {
    /// Returns whether waiting requests and promises of a part need more tokens than it has.
    pub(super) fn lacks_tokens(&self, part: u8, organisation: &OrganisationName) -> bool {
        let parts = self.parts.borrow();
        let part = parts.get(usize::from(part));
        part.is_some_and(|part| part.ledger.wanted_tokens(organisation) > 0)
    }

    /// Returns whether a part has no token beyond those of waiting requests and promises.
    pub(super) fn has_no_spare(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
    ) -> bool {
        let parts = self.parts.borrow();
        let part = parts.get(usize::from(part));
        part.is_some_and(|part| !part.ledger.next_spare(organisation, terms).is_zero())
    }

    /// Begins a round of requests to the holders of the other parts, unless one is running or this process doesn't hold
    /// the own part.
    fn begin_transfers(
        &self,
        (number, own_part, organisation): (u64, u8, &OrganisationName),
        terms: PartTerms,
        others: &[u8],
        now: Duration,
    ) -> TransferAsks {
        let mut parts = self.parts.borrow_mut();
        let holders: Vec<OtherHolder> = others
            .iter()
            .filter_map(|part| {
                let other = parts.get(usize::from(*part))?;
                other.claim.holder()?;
                Some(OtherHolder {
                    part: *part,
                    distance: other.distance,
                })
            })
            .collect();
        let Some(part) = parts.get_mut(usize::from(own_part)) else {
            return TransferAsks::new();
        };
        let Some(hold) = PartHold::of_claim(&part.claim, now) else {
            return TransferAsks::new();
        };
        let room = part.ledger.room(organisation, terms, hold, now);
        let transfers = part.transfers.entry(organisation.clone()).or_default();
        transfers.begin_round(number, &holders, room, hold, now)
    }

    /// Removes tokens from a part that this process holds, to give them to another part. Also returns the time until
    /// there is another one to give; `None` if this process doesn't hold the part.
    fn give_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        wanted: u32,
        now: Duration,
    ) -> Option<(u32, Duration)> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        let hold = PartHold::of_claim(&part.claim, now)?;
        let transfers = part.transfers.get(organisation);
        let limit = transfers.map_or(wanted, |transfers| transfers.give_limit(wanted, now));
        let ledger = &mut part.ledger;
        let tokens = ledger.give_away(organisation, terms, hold, limit, now);
        Some((tokens, ledger.next_spare(organisation, terms)))
    }

    /// Returns the part of this process that has asked for a transfer.
    fn transfer_part(&self, (number, _part, organisation): &TransferKey) -> Option<u8> {
        let parts = self.parts.borrow();
        let position = parts.iter().position(|part| {
            let transfers = part.transfers.get(organisation);
            transfers.is_some_and(|transfers| transfers.has_round(*number))
        })?;
        u8::try_from(position).ok()
    }

    /// Adds the tokens of a transfer to the bucket of the part that asked for them. Returns their number.
    fn receive_own(
        &self,
        own_part: u8,
        (number, part, organisation): &TransferKey,
        terms: PartTerms,
        (tokens, next_token): (u32, Duration),
        now: Duration,
    ) -> Result<u32, TransferDrop> {
        let mut parts = self.parts.borrow_mut();
        let own = parts.get_mut(usize::from(own_part));
        let own = own.ok_or(TransferDrop::Unasked)?;
        let hold = PartHold::of_claim(&own.claim, now);
        let transfers = own.transfers.get_mut(organisation);
        let transfers = transfers.ok_or(TransferDrop::Unasked)?;
        let tokens = transfers.receive(*number, *part, tokens, next_token, hold, now)?;
        let hold = hold.ok_or(TransferDrop::OtherHold)?;
        own.ledger.receive(organisation, terms, hold, tokens, now);
        Ok(tokens)
    }
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
