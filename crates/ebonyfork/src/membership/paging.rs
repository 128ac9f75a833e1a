//! How a newcomer learns all members, and how a member repairs what gossip missed: page by page, from several peers.
//!
//! A page is one datagram of members in the order of their addresses, and says where the next one starts. The asker
//! waits for each page, so it is never sent more than one at a time, and a peer serves a page only out of its byte
//! budget.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::ident::VmAddress;
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{
    DATAGRAM_LIMIT, DatagramWriter, GossipFact, MemberHealth, MemberMessage, PACKET_OVERHEAD,
};
use crate::membership::protocol::MemberProtocol;
use crate::membership::timing::{PAGE_TIMEOUT, REPAIR_PERIOD};

/// Tables up to this size are repaired from their start: one page holds them.
const ONE_PAGE_MEMBERS: usize = 40;

/// Which page is wanted next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageWanted {
    Nothing,
    First,
    After(VmAddress),
}

/// Progress through the pages.
#[derive(Debug)]
pub(super) struct PageState {
    wanted: PageWanted,
    /// Whether to go on to the last page.
    whole: bool,
    asked: Option<(VmAddress, Duration)>,
    next_repair: Duration,
}

impl PageState {
    pub(super) fn new(now: Duration, rng: &mut impl Rng) -> Self {
        Self {
            wanted: PageWanted::First,
            whole: true,
            asked: None,
            next_repair: now + REPAIR_PERIOD.mul_f64(1.0 + rng.random::<f64>()),
        }
    }
}

impl MemberProtocol {
    pub(super) fn tick_page(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        if self.page.wanted == PageWanted::Nothing && now >= self.page.next_repair {
            self.start_repair(now);
        }
        let after = match self.page.wanted {
            PageWanted::Nothing => return,
            PageWanted::First => None,
            PageWanted::After(vm) => Some(vm),
        };
        let waiting = self.page.asked;
        if waiting.is_some_and(|(_, asked)| now < asked + PAGE_TIMEOUT) {
            return;
        }
        let Some(peer) = self.random_member(waiting.map(|(peer, _)| peer)) else {
            self.page.asked = None;
            return;
        };
        self.page.asked = Some((peer, now));
        self.send(now, peer, MemberMessage::PageRequest { after }, out);
    }

    fn start_repair(&mut self, now: Duration) {
        let jitter = 1.0 + self.rng.random::<f64>();
        self.page.next_repair = now + REPAIR_PERIOD.mul_f64(jitter);
        let small = self.table.present() <= ONE_PAGE_MEMBERS;
        let start = if small {
            None
        } else {
            self.random_member(None)
        };
        self.page.wanted = start.map_or(PageWanted::First, PageWanted::After);
        self.page.whole = false;
    }

    pub(super) fn take_page(&mut self, from: VmAddress, next: Option<VmAddress>) {
        if self.page.asked.is_none_or(|(peer, _)| peer != from) {
            return;
        }
        self.page.asked = None;
        // A page that does not lead further ends the walk, so that no peer can lead it in circles.
        let wanted = self.page.wanted;
        let further = next.filter(|next| match wanted {
            PageWanted::Nothing => false,
            PageWanted::First => true,
            PageWanted::After(vm) => *next > vm,
        });
        self.page.wanted = match further {
            Some(next) if self.page.whole => PageWanted::After(next),
            _ => PageWanted::Nothing,
        };
    }

    /// Answers with one page, if the budget has room for it; otherwise the asker turns to somebody else.
    pub(super) fn send_page(
        &mut self,
        now: Duration,
        to: VmAddress,
        after: Option<VmAddress>,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        if self.budget_room() < DATAGRAM_LIMIT + PACKET_OVERHEAD {
            self.counters.withheld += 1;
            return;
        }
        // Any address takes the same room, so the first try tells how many members fit.
        let trial = MemberMessage::Page { next: Some(to) };
        let (_, last) = self.write_page(now, to, after, trial);
        let (page, _) = self.write_page(now, to, after, MemberMessage::Page { next: last });
        self.post(to, page, out);
    }

    /// Writes a page; returns it with the last member's address if there are more behind it.
    fn write_page(
        &self,
        now: Duration,
        to: VmAddress,
        after: Option<VmAddress>,
        message: MemberMessage,
    ) -> (Vec<u8>, Option<VmAddress>) {
        let mut writer = DatagramWriter::new(self.deployment, DATAGRAM_LIMIT, &self.own, message);
        if let Some(accused) = self.table.update(now, to) {
            writer.push(&GossipFact::Member(accused));
        }
        if after.is_none() {
            let mut numbers: Vec<u64> = self.board.numbers().collect();
            numbers.sort_unstable();
            for number in numbers {
                let notice = self.board.notice(now, number);
                // What does not fit comes with gossip, as long as it is news.
                let _fits = notice.is_some_and(|notice| writer.push(&GossipFact::Notice(notice)));
            }
        }
        let mut last = after;
        for (vm, record) in self.table.records_after(after) {
            let Some(mut update) = self.table.update(now, vm) else {
                continue;
            };
            // Here the suspects' zones matter as well: the asker may know nobody.
            if record.health != MemberHealth::Failed {
                update.zone = Some(record.zone.clone());
            }
            if vm != to && !writer.push(&GossipFact::Member(update)) {
                return (writer.finish(), last);
            }
            last = Some(vm);
        }
        (writer.finish(), None)
    }
}
