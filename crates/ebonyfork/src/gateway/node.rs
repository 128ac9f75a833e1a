//! Assembles a gateway process: listeners, store mirror, registration, gossip and planned shutdown.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::gateway::clock::now;
use crate::gateway::cold_claims::run_claims;
use crate::gateway::control::{LOCATE_TTL, serve_control};
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::dialect::GatewayDialect;
use crate::gateway::follow::follow_store;
use crate::gateway::gossip::connect_gossip;
use crate::gateway::ingress::serve_callers;
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::shutdown::{ShutdownBacklog, ShutdownPhase, ShutdownPlan};
use crate::gateway::quota::run_quota_claims;
use crate::gateway::register::VmRegistration;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::share_exchange::run_leases;
use crate::gateway::speed_exchange::run_speed_exchange;
use crate::gateway::status::serve_status;
use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::{MemberHandle, MemberSettings};
use crate::store::{LeaseId, StorePort};

/// Callers keep a locate answer for up to this multiple of its time to live.
const TTL_FACTOR: u32 = 3;
/// Time between two sweeps of idle connections and missing entries.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);
/// Number of sweeps between two clean-ups of the retry budgets, which cover 10 s.
const SWEEPS_PER_BUDGET_CLEANUP: u32 = 40;
/// Time between two checks of what a process that shuts down still has to deliver.
const SHUTDOWN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Error that prevents a gateway from starting.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// Can't listen on an address.
    #[snafu(display("{role} address {address}: {source}"))]
    Bind {
        /// Purpose of the address.
        role: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
}

/// A running gateway. It must live inside a `LocalSet`.
pub struct GatewayNode<P> {
    core: Rc<GatewayCore>,
    port: P,
    registration_lease: Rc<std::cell::Cell<Option<LeaseId>>>,
    membership: MemberHandle,
    stop_token: CancellationToken,
    tasks: tokio::task::JoinSet<()>,
}

impl<P> fmt::Debug for GatewayNode<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayNode").finish_non_exhaustive()
    }
}

impl<P: StorePort> GatewayNode<P> {
    /// Binds the addresses and starts all tasks.
    pub async fn start(
        settings: GatewaySettings,
        dialect: GatewayDialect,
        port: P,
    ) -> Result<Self, GatewayError> {
        let listen = settings.listen;
        let caller_listener = bind("caller", listen.caller_address).await?;
        let ready_listener = bind("ready", listen.ready_address).await?;
        let directory_listener = bind("directory", listen.directory_address).await?;
        let metrics_listener = bind("metrics", listen.metrics_address).await?;
        let peer_address = SocketAddr::new(settings.place.address, listen.peer_port);
        let gossip_socket = UdpSocket::bind(peer_address).await.context(BindSnafu {
            role: "peer",
            address: peer_address,
        })?;
        let peer_listener = bind("peer", peer_address).await?;
        let core = Rc::new(GatewayCore::new(settings, dialect));
        let session = core.session;
        let stop_token = CancellationToken::new();
        let (pool, link_events) = open_links(session, listen.peer_port, stop_token.clone());
        core.delegates.set_pool(pool.clone());
        let (seed_sender, seeds) = watch::channel(Arc::<[VmAddress]>::default());
        let membership = MemberHandle::start(member_settings(&core, session), gossip_socket, seeds);
        let mut registry = Registry::default();
        core.metrics.register(&mut registry);
        core.quarantine.register(&mut registry);
        membership.register(&mut registry);
        let registration = VmRegistration::new(Rc::clone(&core), port.clone());
        let registration_lease = registration.lease();
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn_local(serve_callers(Rc::clone(&core), caller_listener));
        tasks.spawn_local(serve_control(Rc::clone(&core), ready_listener));
        tasks.spawn_local(serve_control(Rc::clone(&core), directory_listener));
        tasks.spawn_local(serve_status(Rc::clone(&core), registry, metrics_listener));
        let own_vm = (session.vm, own_zone(&core));
        tasks.spawn_local(follow_store(
            Rc::clone(&core),
            port.clone(),
            seed_sender,
            membership.snapshot(),
            own_vm.clone(),
        ));
        tasks.spawn_local(registration.run());
        tasks.spawn_local(accept_links(pool, peer_listener));
        tasks.spawn_local(follow_links(Rc::clone(&core), link_events));
        tasks.spawn_local(sweep(Rc::clone(&core)));
        tasks.spawn_local(run_leases(Rc::clone(&core), own_vm.0));
        tasks.spawn_local(run_speed_exchange(Rc::clone(&core)));
        tasks.spawn_local(run_claims(Rc::clone(&core), port.clone()));
        tasks.spawn_local(run_quota_claims(Rc::clone(&core), port.clone()));
        connect_gossip(&mut tasks, &core, &membership, own_vm);
        log_start(&core);
        Ok(Self {
            core,
            port,
            registration_lease,
            membership,
            stop_token,
            tasks,
        })
    }

    /// Shuts down as planned: directs callers to other VMs while still serving, then completes and delivers the answers.
    pub async fn stop(mut self) {
        let started_at = now();
        let grace = self.core.settings.grace;
        let plan = ShutdownPlan::new(grace, LOCATE_TTL * TTL_FACTOR);
        self.log_shutdown("begins", started_at);
        self.core.set_state(ServiceState::Leaving);
        self.membership.announce_leaving();
        self.end_lease().await;
        let mut phase = ShutdownPhase::Leaving;
        while phase != ShutdownPhase::Done {
            tokio::time::sleep(SHUTDOWN_CHECK_PERIOD).await;
            let elapsed = now().saturating_duration_since(started_at);
            self.core.set_shutdown_cut(plan.cut(elapsed));
            let next_phase = plan.next_phase(phase, elapsed, self.backlog());
            if next_phase == phase {
                continue;
            }
            phase = next_phase;
            match phase {
                ShutdownPhase::Draining => self.core.set_state(ServiceState::Draining),
                ShutdownPhase::Closing => {
                    self.log_shutdown("closes connections", started_at);
                    self.core.connections.close();
                }
                ShutdownPhase::Leaving | ShutdownPhase::Done => {}
            }
        }
        self.log_shutdown("ends", started_at);
        self.stop_token.cancel();
        self.tasks.abort_all();
    }

    /// Returns what this process still has to deliver.
    fn backlog(&self) -> ShutdownBacklog {
        ShutdownBacklog {
            answers: self.core.in_flight.get(),
            connections: self.core.connections.open_count(),
        }
    }

    fn log_shutdown(&self, progress: &str, started_at: std::time::Instant) {
        let backlog = self.backlog();
        log::info!(
            "planned stop {progress}: in_flight={} connections={} took_ms={} grace_ms={}",
            backlog.answers,
            backlog.connections,
            now().saturating_duration_since(started_at).as_millis(),
            self.core.settings.grace.as_millis()
        );
    }

    /// Removes this VM's entry from the store by ending its lease. If the store does not answer, the lease expires on
    /// its own.
    async fn end_lease(&self) {
        /// Callers look up every second, so it is not worth waiting longer for a slow store.
        const STORE_TIMEOUT: Duration = Duration::from_millis(300);
        let Some(lease) = self.registration_lease.take() else {
            return;
        };
        match tokio::time::timeout(STORE_TIMEOUT, self.port.end_lease(lease)).await {
            Ok(Ok(())) => log::info!("registration ended lease={lease}"),
            Ok(Err(error)) => log::info!("registration lease={lease} not ended: {error}"),
            Err(_elapsed) => log::info!("registration lease={lease} not ended: no answer"),
        }
    }
}

async fn bind(role: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { role, address })
}

/// Returns the name of the own zone in gossip.
fn own_zone(core: &GatewayCore) -> ZoneName {
    let zone = core.settings.place.zone.as_str().parse::<ZoneName>();
    zone.unwrap_or_else(|error| {
        log::warn!("zone name not valid in gossip, using `other`: {error}");
        "other".parse().expect("a constant name is valid")
    })
}

fn member_settings(core: &GatewayCore, session: SessionId) -> MemberSettings {
    let port = core.settings.listen.peer_port;
    MemberSettings::new(session, own_zone(core), port, rand::random())
}

fn log_start(core: &GatewayCore) {
    let (place, listen) = (&core.settings.place, &core.settings.listen);
    log::info!(
        "start version={} vm={} zone={} region={} callers={} directory={} ready={} store={}",
        env!("CARGO_PKG_VERSION"),
        place.name,
        place.zone,
        place.region,
        listen.caller_address,
        listen.directory_address,
        listen.ready_address,
        core.settings.store
    );
}

/// Removes expired state periodically: idle connections, entries that have not reappeared, budgets of idle services.
async fn sweep(core: Rc<GatewayCore>) {
    let mut sweeps = 0_u32;
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let time = now();
        core.watch_copy(time);
        core.expire_missing(time);
        core.registry.for_each(|upstream| {
            upstream.close_expired(time);
            upstream.raise_limit(time);
        });
        sweeps = sweeps.wrapping_add(1);
        if sweeps.is_multiple_of(SWEEPS_PER_BUDGET_CLEANUP) {
            let time = core.running_time();
            core.retry_budget.borrow_mut().remove_idle(time);
            core.quota_desk.remove_idle(time);
        }
    }
}
