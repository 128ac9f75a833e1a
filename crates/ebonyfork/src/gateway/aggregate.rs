//! Gathers shards for other VMs: runs them on the upstreams near this VM and replies with merged partial answers.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{AbortHandle, Abortable};

use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::partial::{
    FailedShard, PartialMessage, PartialQuery, PartialReply, ShardReach,
};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{GatherTerms, RouteEntry, RouteTarget};
use crate::gateway::run::run_partial;
use crate::wire::{LinkSender, PeerMessage};

/// Starts gathering the shards of another VM's query.
pub fn take_query(core: &Rc<GatewayCore>, from: LinkSender, query: PartialQuery) {
    let Some((route, terms)) = find_terms(core, &query) else {
        refuse(&from, &query);
        return;
    };
    let longest = Duration::from_micros(u64::from(query.longest_wait_us));
    core.latency(&route)
        .borrow_mut()
        .waits
        .record_peer_wait(longest, now());
    let key = (from.peer(), query.number);
    let core = Rc::clone(core);
    let (abort, registration) = AbortHandle::new_pair();
    core.aggregates.begin(key, abort);
    tokio::task::spawn_local(async move {
        let gathering = gather_parts(&core, route, terms, query, &from);
        // Fails if the asking VM has cancelled the query.
        let _aborted = Abortable::new(gathering, registration).await;
        core.aggregates.end(key);
    });
}

/// Returns the route of a query and the terms for the requested shards; `None` if this process does not know the same
/// shards or is about to stop.
fn find_terms(core: &GatewayCore, query: &PartialQuery) -> Option<(Rc<RouteEntry>, GatherTerms)> {
    if core.state() == ServiceState::Draining {
        return None;
    }
    let table = core.table()?;
    let route = table.find_by_digest(query.digest)?;
    let RouteTarget::Gather(terms) = &route.destination else {
        return None;
    };
    let mut shards = Vec::with_capacity(query.shards.len());
    for shard in &query.shards {
        shards.push(terms.shards.get(usize::from(*shard))?.clone());
    }
    let terms = GatherTerms {
        shards,
        top: terms.top,
        min_coverage: 0.0,
    };
    Some((Rc::clone(route), terms))
}

/// Replies that none of the requested shards was sent to an upstream.
fn refuse(from: &LinkSender, query: &PartialQuery) {
    let failed = query.shards.iter().map(|shard| FailedShard {
        shard: *shard,
        reach: ShardReach::Unsent,
        avoid: false,
    });
    let reply = PartialReply {
        number: query.number,
        failed: failed.collect(),
        ..PartialReply::default()
    };
    send_reply(from, reply);
}

fn send_reply(from: &LinkSender, reply: PartialReply) {
    let message = PeerMessage::Partial(PartialMessage::Reply(reply));
    if let Err(error) = from.send(message) {
        // The asking VM detects the broken link itself.
        log::debug!("partial reply not sent: {error}");
    }
}

async fn gather_parts(
    core: &Rc<GatewayCore>,
    route: Rc<RouteEntry>,
    terms: GatherTerms,
    query: PartialQuery,
    from: &LinkSender,
) {
    let received = now();
    let micros = |left: u32| Duration::from_micros(u64::from(left));
    let finish_by = received + micros(query.finish_left_us);
    let names = &core.dialect.names;
    let request = match ForwardRequest::from_partial(names, query.request, received, finish_by) {
        Ok(request) => Rc::new(request),
        Err(error) => {
            log::warn!("partial query {} is malformed: {error}", query.number);
            return;
        }
    };
    let answer_by = received + micros(query.answer_left_us);
    let reply = |mut reply: PartialReply| {
        reply.number = query.number;
        for part in &mut reply.parts {
            part.shard = query.shards[usize::from(part.shard)];
        }
        for failed in &mut reply.failed {
            failed.shard = query.shards[usize::from(failed.shard)];
        }
        send_reply(from, reply);
    };
    run_partial(core, &route, terms, request, answer_by, reply).await;
}
