//! Views shared by the components of one process. A view is always replaced as a whole.
//!
//! Each view has one writer, documented at its field, and any number of readers. A reader takes the current value once
//! per decision, so it never sees a partial change.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

use crate::catalog::IndexCatalog;
use crate::declaration::DeclaredConfig;
use crate::ident::IndexName;
use crate::topology::TopologyView;

/// Catalogues of all indexes that this process has read.
pub type CatalogSet = BTreeMap<IndexName, IndexCatalog>;

/// Readiness of a process, which decides whether it accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum NodeReadiness {
    /// The process has not yet read configuration, catalogues and VM list.
    #[default]
    Starting,
    /// The process accepts new work.
    Ready,
    /// The process was paused, or reaches neither store nor peers; it refuses new work until it has synchronised.
    Fenced,
    /// A planned stop is announced; new work is accepted until callers no longer use this VM's address.
    Leaving,
    /// A planned stop finishes the work in flight; new work is refused.
    Stopping,
}

impl NodeReadiness {
    /// Returns whether new work is accepted.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Ready | Self::Leaving)
    }
}

/// Receivers of all views. Cheap to clone.
#[derive(Debug, Clone)]
pub struct NodeViews {
    /// Topology of VMs and upstreams, written by the topology feed.
    pub topology: watch::Receiver<Arc<TopologyView>>,
    /// Declared configuration in force, written by the revision feed.
    pub config: watch::Receiver<Arc<DeclaredConfig>>,
    /// Index catalogues, written by the catalogue feed.
    pub catalog: watch::Receiver<Arc<CatalogSet>>,
    /// Readiness of this process, written by the lifecycle.
    pub readiness: watch::Receiver<NodeReadiness>,
}

/// Senders of all views.
#[derive(Debug)]
pub struct ViewWriters {
    /// Sender of the topology, for the topology feed.
    pub topology: watch::Sender<Arc<TopologyView>>,
    /// Sender of the declared configuration, for the revision feed.
    pub config: watch::Sender<Arc<DeclaredConfig>>,
    /// Sender of the index catalogues, for the catalogue feed.
    pub catalog: watch::Sender<Arc<CatalogSet>>,
    /// Sender of the readiness, for the lifecycle.
    pub readiness: watch::Sender<NodeReadiness>,
}

/// Creates all views with default values.
///
/// # Examples
///
/// ```
/// use ebonyfork::views::{NodeReadiness, view_channels};
///
/// let (writers, views) = view_channels();
/// writers.readiness.send_replace(NodeReadiness::Ready);
/// assert!(views.readiness.borrow().accepts_work());
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
