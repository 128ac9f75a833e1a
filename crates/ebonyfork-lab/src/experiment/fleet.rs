//! The VMs of the tier.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyfork::node::NodeOptions;
use ebonyfork::settings::NodeSettings;
use ebonyfork::topology::{OWN_GROUP, VmRecord, VmState};
use tokio::sync::Mutex as AsyncMutex;

use crate::clock::RunClock;
use crate::error::LabError;
use crate::experiment::address::AddressPlan;
use crate::experiment::backends::Backends;
use crate::experiment::node::LabNode;
use crate::judge::VmOutage;
use crate::scenario::{FleetSettings, VariantSettings};

/// After a frozen VM runs on, how long its callers may still feel it.
const THAW_MARGIN: Duration = Duration::from_secs(1);

/// All nodes of a run.
#[derive(Debug)]
pub(super) struct Fleet {
    clock: RunClock,
    plan: AddressPlan,
    nodes: Vec<AsyncMutex<LabNode>>,
    outages: Mutex<Vec<VmOutage>>,
}

impl Fleet {
    /// Prepares nodes without starting them.
    pub(super) fn new(
        clock: RunClock,
        plan: &AddressPlan,
        settings: &FleetSettings,
        variant: &VariantSettings,
        platform: SocketAddr,
    ) -> Self {
        let mut nodes = Vec::new();
        for number in 0..settings.nodes {
            let zone = plan.zone(number).clone();
            let mut node = NodeSettings::new(plan.vm(number), zone.clone(), plan.ports, platform)
                .with_experiment(variant.experiment);
            node.locate_ttl = settings.locate_ttl;
            let distances = plan.clone();
            let options =
                NodeOptions::new().with_link_delay(move |vm| distances.delay(&zone, vm.0));
            nodes.push(AsyncMutex::new(LabNode::new(
                node,
                options,
                settings.workers,
            )));
        }
        Self {
            clock,
            plan: plan.clone(),
            nodes,
            outages: Mutex::default(),
        }
    }

    pub(super) fn len(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Records of all VMs as live.
    pub(super) fn records(&self) -> Vec<VmRecord> {
        (0..self.len())
            .map(|node| self.record(node, VmState::Live))
            .collect()
    }

    fn record(&self, node: u32, state: VmState) -> VmRecord {
        VmRecord {
            ip: self.plan.vm(node).0,
            port: None,
            zone: self.plan.zone(node).clone(),
            group: OWN_GROUP.into(),
            state,
        }
    }

    /// Starts all nodes and waits until they take work.
    pub(super) async fn start(&self) -> Result<(), LabError> {
        for node in &self.nodes {
            node.lock().await.start().await?;
        }
        for node in &self.nodes {
            node.lock().await.ready().await?;
        }
        Ok(())
    }

    /// Kills a node; it leaves the VM list.
    pub(super) async fn kill(&self, node: u32, backends: &Backends) {
        let mut killed = self.nodes[node as usize].lock().await;
        let now = self.clock.now();
        self.outages().push(VmOutage {
            vm: killed.vm(),
            from: now,
            until: Duration::MAX,
        });
        killed.kill();
        backends.set_vm(self.record(node, VmState::Live), None);
    }

    /// Starts a node again under its old address.
    pub(super) async fn revive(&self, node: u32, backends: &Backends) -> Result<(), LabError> {
        let mut revived = self.nodes[node as usize].lock().await;
        backends.set_vm(self.record(node, VmState::Live), Some(VmState::Live));
        revived.start().await?;
        revived.ready().await?;
        let now = self.clock.now();
        for outage in self.outages().iter_mut() {
            if outage.vm == revived.vm() && outage.until == Duration::MAX {
                outage.until = now;
            }
        }
        Ok(())
    }

    /// Freezes a node.
    pub(super) async fn freeze(&self, node: u32, time: Duration) {
        let frozen = self.nodes[node as usize].lock().await;
        let now = self.clock.now();
        self.outages().push(VmOutage {
            vm: frozen.vm(),
            from: now,
            until: now + time + THAW_MARGIN,
        });
        frozen.freeze(time);
    }

    /// Stops a node as planned and starts it again; says how the stop went.
    pub(super) async fn restart(&self, node: u32, backends: &Backends) -> Result<String, LabError> {
        let mut restarted = self.nodes[node as usize].lock().await;
        let record = self.record(node, VmState::Live);
        backends.set_vm(record.clone(), Some(VmState::Leaving));
        let report = restarted.stop().await;
        backends.set_vm(record, Some(VmState::Live));
        restarted.start().await?;
        restarted.ready().await?;
        Ok(report)
    }

    /// Kills all nodes at the end of a run.
    pub(super) async fn end(&self) {
        for node in &self.nodes {
            node.lock().await.kill();
        }
    }

    /// Times in which VMs were killed or frozen.
    pub(super) fn outages(&self) -> MutexGuard<'_, Vec<VmOutage>> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
