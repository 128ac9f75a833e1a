//! Paged transfer of the member table, for processes that join and to recover changes that gossip missed.
//!
//! A page is one datagram with members in ascending order of address and the address after which the next page starts.
//! The requester asks a random peer for each page and waits for it, so that it is sent one page at a time; a peer sends
//! a page only if its byte budget allows.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::ident::VmAddress;
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{
    DATAGRAM_LIMIT, DatagramWriter, GossipFact, MemberHealth, MemberMessage, PACKET_OVERHEAD,
};
use crate::membership::protocol::MemberProtocol;
use crate::membership::timing::{PAGE_TIMEOUT, REPAIR_PERIOD};

/// Up to this number of members a repair requests the first page, which holds the whole table.
const ONE_PAGE_MEMBERS: usize = 40;

/// The next page to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextPage {
    /// No transfer is in progress.
    Nothing,
    /// The first page of the table.
    First,
    /// The page that starts after this address.
    After(VmAddress),
}

/// State of the paged transfer.
#[derive(Debug)]
pub(super) struct PageState {
    next_page: NextPage,
    /// Whether the transfer continues up to the last page; a repair fetches only one page.
    until_last_page: bool,
    /// The peer that was asked for a page, and when.
    open_request: Option<(VmAddress, Duration)>,
    /// When the next repair starts.
    next_repair_at: Duration,
}

impl PageState {
    pub(super) fn new(now: Duration, rng: &mut impl Rng) -> Self {
        Self {
            next_page: NextPage::First,
            until_last_page: true,
            open_request: None,
            next_repair_at: now + REPAIR_PERIOD.mul_f64(1.0 + rng.random::<f64>()),
        }
    }
}

impl MemberProtocol {
    /// Requests the next page, or starts a repair if one is due.
    pub(super) fn tick_page(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        if self.page.next_page == NextPage::Nothing && now >= self.page.next_repair_at {
            self.start_repair(now);
        }
        let after = match self.page.next_page {
            NextPage::Nothing => return,
            NextPage::First => None,
            NextPage::After(vm) => Some(vm),
        };
        let open_request = self.page.open_request;
        if open_request.is_some_and(|(_, requested_at)| now < requested_at + PAGE_TIMEOUT) {
            return;
        }
        let Some(peer) = self.gossip_partner(open_request.map(|(peer, _)| peer)) else {
            self.page.open_request = None;
            return;
        };
        self.page.open_request = Some((peer, now));
        self.send(now, peer, MemberMessage::PageRequest { after }, outbox);
    }

    /// Starts the repair of one page and schedules the next repair.
    fn start_repair(&mut self, now: Duration) {
        let jitter = 1.0 + self.rng.random::<f64>();
        self.page.next_repair_at = now + REPAIR_PERIOD.mul_f64(jitter);
        let fits_one_page = self.table.present_count() <= ONE_PAGE_MEMBERS;
        let start_vm = if fits_one_page {
            None
        } else {
            self.random_member(None)
        };
        self.page.next_page = start_vm.map_or(NextPage::First, NextPage::After);
        self.page.until_last_page = false;
    }

    /// Advances the transfer after `sender` has answered with a page. The next page starts after `next_start`; none on
    /// the last page.
    pub(super) fn handle_page(&mut self, sender: VmAddress, next_start: Option<VmAddress>) {
        if self
            .page
            .open_request
            .is_none_or(|(peer, _)| peer != sender)
        {
            return;
        }
        self.page.open_request = None;
        // A page whose next address does not increase ends the transfer, so that a faulty peer can't cause a loop.
        let next_page = self.page.next_page;
        let valid_next_start = next_start.filter(|next_start| match next_page {
            NextPage::Nothing => false,
            NextPage::First => true,
            NextPage::After(vm) => *next_start > vm,
        });
        self.page.next_page = match valid_next_start {
            Some(start) if self.page.until_last_page => NextPage::After(start),
            _ => NextPage::Nothing,
        };
    }

    /// Sends one page if the byte budget allows it; otherwise the requester times out and asks another peer.
    pub(super) fn send_page(
        &mut self,
        now: Duration,
        requester: VmAddress,
        start_after: Option<VmAddress>,
        outbox: &mut Vec<OutgoingDatagram>,
    ) {
        if self.available_bytes() < DATAGRAM_LIMIT + PACKET_OVERHEAD {
            self.counters.withheld_datagrams += 1;
            return;
        }
        // All addresses have the same encoded size, so the first encoding shows how many members fit.
        let placeholder = MemberMessage::Page {
            next: Some(requester),
        };
        let (_, last_vm) = self.write_page(now, requester, start_after, placeholder);
        let (page, _) = self.write_page(
            now,
            requester,
            start_after,
            MemberMessage::Page { next: last_vm },
        );
        self.output_datagram(requester, page, outbox);
    }

    /// Encodes a page; returns it with the address of its last member if more members follow.
    fn write_page(
        &self,
        now: Duration,
        requester: VmAddress,
        start_after: Option<VmAddress>,
        message: MemberMessage,
    ) -> (Vec<u8>, Option<VmAddress>) {
        let mut writer =
            DatagramWriter::new(self.deployment, DATAGRAM_LIMIT, &self.own_header, message);
        if let Some(requester_update) = self.table.update(now, requester) {
            writer.push(&GossipFact::Member(requester_update));
        }
        if start_after.is_none() {
            let mut numbers: Vec<u64> = self.notices.numbers().collect();
            numbers.sort_unstable();
            for number in numbers {
                let notice = self.notices.notice(now, number);
                // Notices that do not fit arrive through gossip while they are being broadcast.
                let _fits = notice.is_some_and(|notice| writer.push(&GossipFact::Notice(notice)));
            }
        }
        let mut last_vm = start_after;
        for (vm, record) in self.table.records_after(start_after) {
            let Some(mut update) = self.table.update(now, vm) else {
                continue;
            };
            // The zone of a suspect is included here, because the requester may not know the member yet.
            if record.health != MemberHealth::Failed {
                update.zone = Some(record.zone.clone());
            }
            if vm != requester && !writer.push(&GossipFact::Member(update)) {
                return (writer.finish(), last_vm);
            }
            last_vm = Some(vm);
        }
        (writer.finish(), None)
    }
}
