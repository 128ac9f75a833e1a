//! What the parts of one process share: views that are replaced as a whole.
//!
//! Each view has one writer, named below, and any number of readers. A reader takes the current value once per decision
//! and works on that; it never sees half of a change.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

use crate::catalog::IndexCatalog;
use crate::declaration::DeclaredConfig;
use crate::ident::IndexName;
use crate::topology::TopologyView;

/// The catalogues of all indexes that this process has read.
pub type CatalogSet = BTreeMap<IndexName, IndexCatalog>;

/// Whether a process may take new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum NodeReadiness {
    /// It has not yet read configuration, catalogue and VM list.
    #[default]
    Starting,
    /// It takes work.
    Ready,
    /// It was paused, or reaches neither store nor peers: it refuses new work until it has synchronised.
    Fenced,
    /// A planned stop has been announced; work is still taken until callers have forgotten the address.
    Leaving,
    /// Work in flight is finished; new work is refused.
    Stopping,
}

impl NodeReadiness {
    /// Tells whether new work is taken.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Leaving)
    }
}

/// The reading side of all views. Cheap to clone.
#[derive(Debug, Clone)]
pub struct NodeViews {
    /// Written by the topology feed.
    pub topology: watch::Receiver<Arc<TopologyView>>,
    /// Written by the revision feed.
    pub config: watch::Receiver<Arc<DeclaredConfig>>,
    /// Written by the catalogue feed.
    pub catalog: watch::Receiver<Arc<CatalogSet>>,
    /// Written by the lifecycle.
    pub readiness: watch::Receiver<NodeReadiness>,
}

/// The writing side of all views.
#[derive(Debug)]
pub struct ViewWriters {
    /// Taken by the topology feed.
    pub topology: watch::Sender<Arc<TopologyView>>,
    /// Taken by the revision feed.
    pub config: watch::Sender<Arc<DeclaredConfig>>,
    /// Taken by the catalogue feed.
    pub catalog: watch::Sender<Arc<CatalogSet>>,
    /// Taken by the lifecycle.
    pub readiness: watch::Sender<NodeReadiness>,
}

/// Makes empty views.
///
/// # Examples
///
/// ```
/// use ebonyfork::views::{NodeReadiness, view_channels};
///
/// let (writers, views) = view_channels();
/// writers.readiness.send_replace(NodeReadiness::Ready);
/// assert!(views.readiness.borrow().takes_work());
/// ```
pub fn view_channels() -> (ViewWriters, NodeViews) {
    let (topology, topology_view) = watch::channel(Arc::default());
    let (config, config_view) = watch::channel(Arc::default());
    let (catalog, catalog_view) = watch::channel(Arc::default());
    let (readiness, readiness_view) = watch::channel(NodeReadiness::default());
    let writers = ViewWriters {
        topology,
        config,
        catalog,
        readiness,
    };
    let views = NodeViews {
        topology: topology_view,
        config: config_view,
        catalog: catalog_view,
        readiness: readiness_view,
    };
    (writers, views)
}
