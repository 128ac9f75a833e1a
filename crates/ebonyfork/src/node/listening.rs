//! Sockets of a node. They are bound before anything else starts, so that an address conflict is reported first.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};

use crate::intake::open_listener;
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
    pub(super) caller_listener: TcpListener,
    /// Listener for links of peers.
    pub(super) peer_listener: TcpListener,
    /// Socket for membership datagrams.
    pub(super) membership_socket: UdpSocket,
    /// Listener for HTTP requests of operators.
    pub(super) operator_listener: TcpListener,
}

impl NodeSockets {
    /// Binds all sockets of a node.
    pub(super) async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let caller_listener = listen("callers", settings.caller_address(settings.vm))?;
        let address = settings.peer_address(settings.vm);
        let bind_result = TcpListener::bind(address).await;
        let peer_listener = bind_result.context(BindSnafu {
            role: "peers",
            address,
        })?;
        let bind_result = UdpSocket::bind(address).await;
        let membership_socket = bind_result.context(BindSnafu {
            role: "membership",
            address,
        })?;
        let address = SocketAddr::new(settings.vm.0, settings.operator_port);
        let operator_listener = listen("operators", address)?;
        Ok(Self {
            caller_listener,
            peer_listener,
            membership_socket,
            operator_listener,
        })
    }
}

/// Binds a TCP listener for callers or operators.
fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    open_listener(address).context(BindSnafu { role, address })
}
