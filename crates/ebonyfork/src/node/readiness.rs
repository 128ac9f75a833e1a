//! When a node takes work: once it holds configuration, catalogue and upstreams, and until its planned stop ends.

use std::fmt;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ident::RevisionNumber;
use crate::node::dispatch::PeerDispatch;
use crate::views::{NodeReadiness, NodeViews};

/// Time between two looks at what is still in flight.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Longest wait for what is in flight once new work is refused.
const FINISH_BOUND: Duration = Duration::from_secs(30);

/// How a planned stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Queries that were given up because the bound or a second signal came first.
    pub given_up: usize,
    /// Time from the announcement to the end.
    pub took: Duration,
}

impl fmt::Display for StopReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} given up, took {:?}", self.given_up, self.took)
    }
}

/// Makes the node ready as soon as every view has been filled.
pub(super) async fn follow_readiness(
    mut views: NodeViews,
    readiness: watch::Sender<NodeReadiness>,
    stop: CancellationToken,
) {
    while !is_filled(&views) {
        tokio::select! {
            _ = views.topology.changed() => {}
            _ = views.config.changed() => {}
            _ = views.catalog.changed() => {}
            () = stop.cancelled() => return,
        }
    }
    readiness.send_if_modified(|readiness| {
        let starting = *readiness == NodeReadiness::Starting;
        if starting {
            *readiness = NodeReadiness::Ready;
        }
        starting
    });
}

fn is_filled(views: &NodeViews) -> bool {
    let config = views.config.borrow();
    let catalog = views.catalog.borrow();
    config.revision > RevisionNumber::default()
        && config
            .classes
            .values()
            .all(|class| catalog.contains_key(&class.index))
        && !views.topology.borrow().upstreams.is_empty()
}

/// Runs a planned stop.
pub(super) async fn stop_node(
    dispatch: &PeerDispatch,
    readiness: &watch::Sender<NodeReadiness>,
    locate_ttl: Duration,
    hurry: &CancellationToken,
) -> StopReport {
    let begun = Instant::now();
    readiness.send_replace(NodeReadiness::Leaving);
    tokio::select! {
        () = tokio::time::sleep(locate_ttl) => {}
        () = hurry.cancelled() => {}
    }
    readiness.send_replace(NodeReadiness::Stopping);
    let bound = Instant::now() + FINISH_BOUND;
    while in_flight(dispatch) > 0 && Instant::now() < bound && !hurry.is_cancelled() {
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    StopReport {
        given_up: in_flight(dispatch),
        took: begun.elapsed(),
    }
}

fn in_flight(dispatch: &PeerDispatch) -> usize {
    dispatch.entry.in_flight() + dispatch.once.in_flight() + dispatch.relay.in_flight()
}
