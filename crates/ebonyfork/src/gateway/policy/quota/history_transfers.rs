//! Transfers between holders in the random histories.

use std::time::Duration;

use super::history_fixture::{LeftOut, QuotaHistory, Transit, organisation};
use super::{OtherHolder, PartHold, QUOTA_PARTS};
use crate::gateway::settings::PlaceDistance;

/// Tokens that a process asks another holder for, or gets from it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ModelTransfer {
    vm: usize,
    incarnation: u64,
    /// Part that needs tokens.
    own_part: usize,
    number: u64,
    /// Part that is asked.
    part: u8,
    /// Number of tokens asked for, or given.
    tokens: u32,
    next_token: Duration,
}

impl QuotaHistory {
    /// Lets a holder without tokens begin a round.
    pub(super) fn begin_transfers(&mut self, vm_number: usize, own_part: usize, hold: PartHold) {
        let terms = self.part_terms(vm_number);
        let others = (0..QUOTA_PARTS as u8).filter(|part| usize::from(*part) != own_part);
        let holders: Vec<OtherHolder> = others
            .map(|part| OtherHolder {
                part,
                distance: PlaceDistance::Far,
            })
            .collect();
        let vm = &mut self.vms[vm_number];
        let clock = vm.clock(self.now);
        let room = match self.left_out {
            LeftOut::TransferRoom => 1_000,
            _ => vm.ledgers[own_part].room(&organisation(), terms, hold, clock),
        };
        vm.next_number += 1;
        let (incarnation, number) = (vm.incarnation, vm.next_number);
        let asks = vm.transfers[own_part].begin_round(number, &holders, room, hold, clock);
        for (part, tokens) in asks {
            let delay = self.random_ms(1..20);
            let transfer = ModelTransfer {
                vm: vm_number,
                incarnation,
                own_part,
                number,
                part,
                tokens,
                next_token: Duration::ZERO,
            };
            self.send(delay, Transit::TransferRequest(transfer));
        }
    }

    /// Lets each VM that holds the part that is asked give tokens.
    pub(super) fn give_transfer(&mut self, request: ModelTransfer) {
        let now = self.now;
        let part = usize::from(request.part);
        for number in 0..self.vms.len() {
            let terms = self.part_terms(number);
            let vm = &mut self.vms[number];
            if now < vm.paused_until {
                continue;
            }
            let clock = vm.clock(now);
            let Some(hold) = PartHold::of_claim(&vm.claims[part], clock) else {
                continue;
            };
            let limit = vm.transfers[part].give_limit(request.tokens, clock);
            let ledger = &mut vm.ledgers[part];
            let tokens = ledger.give_away(&organisation(), terms, hold, limit, clock);
            let next_token = ledger.next_spare(&organisation(), terms);
            let transfer = ModelTransfer {
                tokens,
                next_token,
                ..request
            };
            self.send_slowly(20, Transit::Transfer(transfer));
            return;
        }
    }

    pub(super) fn receive_transfer(&mut self, transfer: ModelTransfer) {
        let terms = self.part_terms(transfer.vm);
        let left_out = self.left_out;
        let vm = &mut self.vms[transfer.vm];
        if self.now < vm.paused_until {
            return;
        }
        let clock = vm.clock(self.now);
        let hold = PartHold::of_claim(&vm.claims[transfer.own_part], clock);
        let is_own = vm.incarnation == transfer.incarnation;
        // A process knows no round of its predecessor.
        let number = if is_own { transfer.number } else { 0 };
        let received = vm.transfers[transfer.own_part].receive(
            number,
            transfer.part,
            transfer.tokens,
            transfer.next_token,
            hold,
            clock,
        );
        let tokens = match left_out {
            LeftOut::TransferTimeout if is_own => transfer.tokens,
            LeftOut::TransferHold if !is_own => transfer.tokens,
            _ => received.unwrap_or_default(),
        };
        let Some(hold) = hold else {
            return;
        };
        if left_out == LeftOut::TransferRoom {
            vm.surplus[transfer.own_part] += tokens;
            return;
        }
        let ledger = &mut vm.ledgers[transfer.own_part];
        ledger.receive(&organisation(), terms, hold, tokens, clock);
    }
}
