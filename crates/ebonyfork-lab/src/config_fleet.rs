//! Many configuration feeds in one process, on real sockets: nothing of the tier but revisions and catalogues.
//!
//! Every VM has a loopback address of its own and talks to its peers over real links and to the platform stand-in
//! over HTTP. What membership would gossip is played: once a second every VM is told what the VMs of its zone hold.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ebonyfork::catalog::CatalogHandle;
use ebonyfork::declaration::DeclaredConfig;
use ebonyfork::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress, ZoneName};
use ebonyfork::revision::RevisionHandle;
use ebonyfork::settings::NodeSettings;
use ebonyfork::store::StoreClient;
use ebonyfork::topology::{TopologyView, VmEntry};
use ebonyfork::views::{NodeViews, ViewWriters, view_channels};
use ebonyfork::wire::{LinkEvent, LinkSender, PeerMessage, PeerPool, PoolSettings};
use ebonyfork_platform::PlatformStore;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::error::LabError;

/// How often the played gossip runs.
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// Time allowed for one answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// One VM's feeds.
#[derive(Debug)]
pub struct FleetNode {
    /// Its address.
    pub vm: VmAddress,
    /// Its zone.
    pub zone: ZoneName,
    /// What it has in force.
    pub views: NodeViews,
    /// Its client of the platform.
    pub client: StoreClient,
    revision: RevisionHandle,
    topology: watch::Sender<Arc<TopologyView>>,
    catalog: CatalogHandle,
    stop: CancellationToken,
}

impl FleetNode {
    /// The revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.views.config.borrow().revision
    }

    /// The declarations in force.
    pub fn config(&self) -> Arc<DeclaredConfig> {
        self.views.config.borrow().clone()
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.revision.stop();
        self.catalog.stop();
        self.stop.cancel();
    }
}

/// The feeds of many VMs.
#[derive(Debug)]
pub struct ConfigFleet {
    platform: SocketAddr,
    network: u8,
    peer_port: u16,
    next: u16,
    alone: bool,
    /// The VMs that run.
    pub nodes: Vec<FleetNode>,
}

impl ConfigFleet {
    /// Makes a fleet without VMs. Its addresses are `127.<network>.x.y`.
    pub async fn new(platform: SocketAddr, network: u8) -> Result<Self, LabError> {
        let probe = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, 255, 1)), 0);
        let listen = |source| LabError::Listen {
            address: probe,
            source,
        };
        let listener = TcpListener::bind(probe).await.map_err(listen)?;
        let peer_port = listener.local_addr().map_err(listen)?.port();
        Ok(Self {
            platform,
            network,
            peer_port,
            next: 1,
            alone: false,
            nodes: Vec::new(),
        })
    }

    /// Shows each VM itself alone, so that every one watches the store: the baseline of the measurements.
    #[must_use]
    pub fn with_alone(mut self, alone: bool) -> Self {
        self.alone = alone;
        self
    }

    /// Starts VMs in a zone and shows them to all.
    pub async fn add(&mut self, zone: &ZoneName, count: usize) -> Result<(), LabError> {
        for _ in 0..count {
            let node = self.start_node(zone).await?;
            self.nodes.push(node);
        }
        self.show_topology();
        Ok(())
    }

    /// Stops a VM without notice; the others are shown that it is gone.
    pub fn remove(&mut self, number: usize) {
        self.nodes.swap_remove(number);
        self.show_topology();
    }

    /// The lowest revision in force anywhere.
    pub fn lowest(&self) -> RevisionNumber {
        let revisions = self.nodes.iter().map(FleetNode::revision);
        revisions.min().unwrap_or_default()
    }

    /// Plays one round of gossip: every VM learns what the others hold.
    pub fn gossip(&self) {
        let held: Vec<(VmAddress, RevisionNumber)> = self
            .nodes
            .iter()
            .map(|node| (node.vm, node.revision()))
            .collect();
        for node in &self.nodes {
            node.revision
                .record_gossiped_revisions(held.iter().copied());
        }
    }

    /// Waits, playing gossip, until every VM has at least this revision in force; tells whether it came to that.
    pub async fn wait_for(&self, revision: RevisionNumber, within: Duration) -> bool {
        const POLL: Duration = Duration::from_millis(5);
        let end = tokio::time::Instant::now() + within;
        let mut next_gossip = tokio::time::Instant::now() + GOSSIP_PERIOD;
        while self.lowest() < revision {
            let now = tokio::time::Instant::now();
            if now >= end {
                return false;
            }
            if now >= next_gossip {
                self.gossip();
                next_gossip = now + GOSSIP_PERIOD;
            }
            tokio::time::sleep(POLL).await;
        }
        true
    }

    fn show_topology(&self) {
        let entry = |node: &FleetNode| VmEntry {
            vm: node.vm,
            zone: node.zone.clone(),
            incarnation: None,
            leaving: false,
        };
        let all = Arc::new(TopologyView::new(self.nodes.iter().map(entry), []));
        for node in &self.nodes {
            let view = if self.alone {
                Arc::new(TopologyView::new([entry(node)], []))
            } else {
                Arc::clone(&all)
            };
            node.topology.send_replace(view);
        }
    }

    async fn start_node(&mut self, zone: &ZoneName) -> Result<FleetNode, LabError> {
        let [high, low] = self.next.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.network, high, low));
        self.next += 1;
        let (vm, zone) = (VmAddress(ip), zone.clone());
        let address = SocketAddr::new(ip, self.peer_port);
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| LabError::Listen { address, source })?;
        let ports = [1, self.peer_port, 2];
        let settings = NodeSettings::new(vm, zone.clone(), ports, self.platform);
        let client = StoreClient::new(PlatformStore::new(self.platform), PLATFORM_TIMEOUT);
        let (writers, views) = view_channels();
        let ViewWriters {
            topology,
            config,
            catalog,
            ..
        } = writers;
        let stop = CancellationToken::new();
        let (feeds_in, feeds) = watch::channel::<Option<(RevisionHandle, CatalogHandle)>>(None);
        let session = SessionId::new(vm, IncarnationNumber(1));
        let pool = PeerPool::new(
            PoolSettings::new(session, self.peer_port),
            stop.clone(),
            move |event| {
                let feeds = feeds.borrow().clone();
                Box::pin(async move {
                    if let (Some(feeds), LinkEvent::Message { from, message }) = (feeds, event) {
                        dispatch(feeds, from, message).await;
                    }
                })
            },
        );
        let accepting = pool.clone();
        tokio::spawn(async move { accepting.accept(listener).await });
        let second = pool.clone();
        let send = move |vm, message| pool.send(vm, message);
        let revision =
            RevisionHandle::start(&settings, client.clone(), views.clone(), config, send);
        let send = move |vm, message| second.send(vm, message);
        let catalog = CatalogHandle::start(&settings, client.clone(), views.clone(), catalog, send);
        feeds_in.send_replace(Some((revision.clone(), catalog.clone())));
        Ok(FleetNode {
            vm,
            zone,
            views,
            client,
            revision,
            topology,
            catalog,
            stop,
        })
    }
}

async fn dispatch(feeds: (RevisionHandle, CatalogHandle), from: LinkSender, message: PeerMessage) {
    let (revision, catalog) = feeds;
    match message {
        PeerMessage::Revision(message) => revision.handle_message(from, message).await,
        PeerMessage::Catalog(message) => catalog.handle_message(from, message).await,
        _ => {}
    }
}
