//! Gathers shards for other VMs: runs them on the upstreams near this VM and replies with merged partial answers.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{AbortHandle, Abortable};

use crate::gateway::aggregate_table::AggregateKey;
use crate::gateway::authorise::route_of_passed_on;
use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::ingress::ATTEMPT_BYTES;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::partial::{
    FailedShard, PartialMessage, PartialQuery, PartialReply, ShardProgress,
};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{GatherTerms, RouteEntry, RouteTarget};
use crate::gateway::run::run_partial;
use crate::intake::WorkMemory;
use crate::wire::{LinkSender, PeerMessage};

/// Starts gathering the shards of another VM's query.
pub fn take_query(core: &Rc<GatewayCore>, asking_vm: LinkSender, query: PartialQuery) {
    let Some((route, gather_terms)) = find_route_and_shards(core, &query) else {
        refuse(&asking_vm, &query);
        return;
    };
    let work_bytes = gather_terms.shards.len() * ATTEMPT_BYTES;
    let Some(work_memory) = core.intake.take_work(work_bytes) else {
        refuse(&asking_vm, &query);
        return;
    };
    let longest_wait = Duration::from_micros(u64::from(query.longest_wait_us));
    core.latency(&route)
        .borrow_mut()
        .waits
        .record_peer_wait(longest_wait, now());
    let key = (asking_vm.peer(), query.number);
    let core = Rc::clone(core);
    let (abort, registration) = AbortHandle::new_pair();
    core.aggregates.begin(key, abort);
    let running = RunningAggregate {
        core,
        key,
        _work_memory: work_memory,
    };
    tokio::task::spawn_local(async move {
        let core = &running.core;
        let gather_task = gather_parts(core, route, gather_terms, query, &asking_vm);
        // Fails if the asking VM has cancelled the query.
        let _aborted = Abortable::new(gather_task, registration).await;
    });
}

/// Query of another VM that is being gathered. It is removed on drop, so that one that panics doesn't stay in the table.
struct RunningAggregate {
    core: Rc<GatewayCore>,
    key: AggregateKey,
    _work_memory: WorkMemory,
}

impl Drop for RunningAggregate {
    fn drop(&mut self) {
        self.core.aggregates.end(self.key);
    }
}

/// Returns the route of a query and the terms for the requested shards; `None` if this process does not know the same
/// shards or is about to stop.
fn find_route_and_shards(
    core: &GatewayCore,
    query: &PartialQuery,
) -> Option<(Rc<RouteEntry>, GatherTerms)> {
    if core.state() == ServiceState::Draining {
        return None;
    }
    let table = core.table()?;
    let route = table.find_by_digest(query.digest)?;
    let RouteTarget::Gather(gather_terms) = &route.destination else {
        return None;
    };
    let mut shards = Vec::with_capacity(query.shards.len());
    for shard in &query.shards {
        shards.push(gather_terms.shards.get(usize::from(*shard))?.clone());
    }
    let gather_terms = GatherTerms {
        shards,
        // This VM's version may state another number, and what it cuts can't be restored.
        max_records: query.wanted.kept_records(),
        min_coverage: 0.0,
    };
    let organisation = stated_organisation(core, query);
    let route = route_of_passed_on(&table, route, organisation)?;
    Some((route, gather_terms))
}

/// Returns the organisation that a query states to upstreams.
fn stated_organisation(core: &GatewayCore, query: &PartialQuery) -> Option<OrganisationName> {
    let name = core.dialect.names.organisation.as_str();
    let headers = &query.request.headers;
    let (_name, value) = headers.iter().find(|(header, _value)| header == name)?;
    std::str::from_utf8(value).ok().map(OrganisationName::new)
}

/// Replies that none of the requested shards was sent to an upstream.
fn refuse(asking_vm: &LinkSender, query: &PartialQuery) {
    let failed_shards = query.shards.iter().map(|shard| FailedShard {
        shard: *shard,
        progress: ShardProgress::Unsent,
        avoid: false,
    });
    let reply = PartialReply {
        number: query.number,
        failed: failed_shards.collect(),
        ..PartialReply::default()
    };
    send_reply(asking_vm, reply);
}

fn send_reply(asking_vm: &LinkSender, reply: PartialReply) {
    let message = PeerMessage::Partial(PartialMessage::Reply(reply));
    if let Err(error) = asking_vm.send(message) {
        // The asking VM detects the broken link itself.
        log::debug!("partial reply not sent: {error}");
    }
}

async fn gather_parts(
    core: &Rc<GatewayCore>,
    route: Rc<RouteEntry>,
    gather_terms: GatherTerms,
    query: PartialQuery,
    asking_vm: &LinkSender,
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
        send_reply(asking_vm, reply);
    };
    run_partial(core, &route, gather_terms, request, answer_by, reply).await;
}
