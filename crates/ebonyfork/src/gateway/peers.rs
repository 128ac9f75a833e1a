//! Links to the gateways of other VMs, and the dispatch of the messages received on them.

use std::borrow::{Borrow, BorrowMut};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::gateway::aggregate;
use crate::gateway::cold_notice;
use crate::gateway::core::GatewayCore;
use crate::gateway::partial::PartialMessage;
use crate::gateway::quota;
use crate::gateway::route_check;
use crate::gateway::share_exchange;
use crate::gateway::speed_exchange;
use crate::gateway::tasks::TaskName;
use crate::panic_reason::catch_panic;
use crate::wire::{EventFuture, LinkEvent, LinkSender, PeerMessage, PeerPool, PoolSettings};

/// Number of queued events from which links apply backpressure.
const EVENT_QUEUE: usize = 1_024;

/// Creates the links of a process. Their events are sent to the returned receiver.
pub fn open_links(
    settings: PoolSettings,
    stop: CancellationToken,
) -> (PeerPool, mpsc::Receiver<LinkEvent>) {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE);
    let events = Arc::new(events);
    let handler = move |event: LinkEvent| -> EventFuture {
        let events = Arc::clone(&events);
        Box::pin(async move {
            // Sending fails only while the process is shutting down.
            let _ending = events.send(event).await;
        })
    };
    let pool = PeerPool::new(settings, stop, handler);
    (pool, receiver)
}

/// Dispatches events of the links until the future is dropped. One that panics costs itself: messages of other VMs must not
/// wait for a restart of the task.
pub async fn follow_links(
    core: Rc<GatewayCore>,
    mut events: impl BorrowMut<mpsc::Receiver<LinkEvent>>,
) {
    while let Some(event) = events.borrow_mut().recv().await {
        match event {
            LinkEvent::Message { from, message } => {
                let peer = from.peer();
                let result = catch_panic(|| take_message(&core, from, message));
                note_panic(&core, result, format_args!("message from {peer:?}"));
            }
            LinkEvent::Down { vm, unsent } => {
                let result = catch_panic(|| {
                    core.quota_desk.lose_holder(vm);
                    core.delegates.link_down(vm, unsent);
                });
                note_panic(&core, result, format_args!("end of the link to {vm}"));
            }
        }
    }
}

/// Logs and counts the panic of an event.
fn note_panic(core: &GatewayCore, result: Result<(), CompactString>, event: impl fmt::Display) {
    if let Err(reason) = result {
        log::error!("{event} not handled: {reason}");
        core.metrics
            .tasks
            .count_caught_panic(TaskName::PeerMessages);
    }
}

fn take_message(core: &Rc<GatewayCore>, sender: LinkSender, message: PeerMessage) {
    match message {
        PeerMessage::Partial(PartialMessage::Query(query)) => {
            aggregate::take_query(core, sender, query);
        }
        PeerMessage::Partial(PartialMessage::Cancel(number)) => {
            core.aggregates.cancel(&sender, number);
        }
        PeerMessage::Partial(PartialMessage::Reply(reply)) => core.delegates.take_reply(reply),
        PeerMessage::Mirror(message) => core.relay.handle_message(sender, message),
        PeerMessage::Share(message) => share_exchange::take_message(core, &sender, message),
        PeerMessage::Quota(message) => quota::take_message(core, &sender, message),
        PeerMessage::RouteCheck(message) => route_check::handle_message(core, &sender, message),
        PeerMessage::Speed(message) => speed_exchange::take_message(core, &sender, message),
        PeerMessage::Cold(message) => cold_notice::take_message(core, &sender, message),
        other => log::debug!("unexpected message from {:?}: {other:?}", sender.peer()),
    }
}

/// Accepts links until the future is dropped.
pub async fn accept_links(pool: PeerPool, listener: impl Borrow<TcpListener>) {
    pool.accept(listener).await;
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
