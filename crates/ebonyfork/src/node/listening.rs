//! Sockets of a node. They are bound before anything else starts, so that an address conflict is reported first.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};

use crate::settings::NodeSettings;

/// Why a node can't start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A socket can't be bound to its address.
    #[snafu(display("can't listen for {role} on {address}: {source}"))]
    Bind {
        /// Use of the socket, such as `callers` or `peers`.
        role: &'static str,
        /// Address to bind to.
        address: SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
}

/// Bound sockets of a node.
#[derive(Debug)]
pub(super) struct NodeSockets {
    /// Listener for HTTP requests of callers.
    pub(super) callers: TcpListener,
    /// Listener for links of peers.
    pub(super) peers: TcpListener,
    /// Socket for membership datagrams.
    pub(super) members: UdpSocket,
    /// Listener for HTTP requests of operators.
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

/// Binds a TCP listener.
async fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { role, address })
}
