//! The sockets of a node, bound before anything else starts, so that a clash of addresses is the first thing told.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};

use crate::settings::NodeSettings;

/// Why a node can't start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("can't listen for {role} on {address}: {source}"))]
    Bind {
        /// Who was to be served there.
        role: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// The bound sockets of a node.
#[derive(Debug)]
pub(super) struct NodeSockets {
    pub(super) callers: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) members: UdpSocket,
    pub(super) operators: TcpListener,
}

impl NodeSockets {
    /// Binds all sockets of a node.
    pub(super) async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let callers = listen("callers", settings.caller_address(settings.vm)).await?;
        let address = settings.peer_address(settings.vm);
        let peers = listen("peers", address).await?;
        let members = UdpSocket::bind(address).await;
        let members = members.context(BindSnafu {
            role: "membership",
            address,
        })?;
        let address = SocketAddr::new(settings.vm.0, settings.operator_port);
        let operators = listen("operators", address).await?;
        Ok(Self {
            callers,
            peers,
            members,
            operators,
        })
    }
}

async fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { role, address })
}
