//! Listeners for callers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Bytes that the kernel receives for a connection before the process reads them: what a caller sends behind a request that is
/// being served stays there.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Memory for the state of a connection and of a request on it, in bytes.
const STATE_BYTES: usize = 16 * 1024;

/// Opens a listener whose connections have receive buffers of [`RECEIVE_BUFFER_BYTES`].
pub fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size, which must be set before the window is negotiated.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32) {
        log::warn!("receive buffers of {address} are not limited: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns the memory of a connection whose request heads have at most `head_bytes` bytes: that of the request being served,
/// the buffer for the next one, and what the kernel holds.
pub fn connection_bytes(head_bytes: usize) -> usize {
    2 * head_bytes + RECEIVE_BUFFER_BYTES + STATE_BYTES
}
