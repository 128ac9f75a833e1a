//! Rate-limited links of VMs, as loopback proxies in front of their listeners.
//!
//! Everything that a VM sends back over links opened by others shares one rate. So does everything that it receives
//! over links that it has opened and from the store. Requests are not limited, because they are short.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::ident::VmAddress;
use crate::wire::PeerMessage;

/// Maximum number of bytes read from a socket at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Size of the receive buffer of the proxy's connection to the VM. It is small so that data which the link has not sent
/// yet waits in the VM and not in the proxy.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// One direction of a VM's link: its rate, the number of bytes sent over it, and until when it is busy.
#[derive(Debug)]
pub struct LinkDirection {
    bytes_per_second: Mutex<f64>,
    busy_until: Mutex<Instant>,
    transmitted_bytes: AtomicUsize,
}

impl LinkDirection {
    /// Creates an idle direction with a rate in bytes per second.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second: Mutex::new(bytes_per_second),
            busy_until: Mutex::new(Instant::now()),
            transmitted_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes sent so far.
    pub fn transmitted_bytes(&self) -> usize {
        self.transmitted_bytes.load(Ordering::Relaxed)
    }

    /// Changes the rate, in bytes per second.
    pub fn set_rate(&self, bytes_per_second: f64) {
        let rate = self.bytes_per_second.lock();
        *rate.unwrap_or_else(PoisonError::into_inner) = bytes_per_second;
    }

    /// Sends `bytes` bytes at the direction's rate, after those of earlier calls, and waits until they have been sent.
    pub async fn transmit(&self, bytes: usize) {
        let rate = *self
            .bytes_per_second
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let duration = Duration::from_secs_f64(bytes as f64 / rate);
        self.transmitted_bytes.fetch_add(bytes, Ordering::Relaxed);
        let done_at = {
            let mut busy_until = self
                .busy_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *busy_until = (*busy_until).max(Instant::now()) + duration;
            *busy_until
        };
        tokio::time::sleep_until(done_at).await;
    }
}

/// The rate-limited link of a VM, with separate rates for the two directions.
#[derive(Debug)]
pub struct VmLink {
    /// The direction in which the VM sends.
    pub send_direction: LinkDirection,
    /// The direction in which the VM receives.
    pub receive_direction: LinkDirection,
}

/// The links of all VMs by address, created when they are first used. Without a rate there are no links, and data is
/// not delayed.
#[derive(Debug, Clone)]
pub struct LinkMap {
    /// Initial rate of each direction of a link; none if links are not limited.
    bytes_per_second: Option<f64>,
    links: Arc<Mutex<FxHashMap<VmAddress, Arc<VmLink>>>>,
}

impl LinkMap {
    /// Creates an empty map for links that transmit `bytes_per_second` in each direction; none if links are not
    /// limited.
    pub fn new(bytes_per_second: Option<f64>) -> Self {
        let links = Arc::default();
        Self {
            bytes_per_second,
            links,
        }
    }

    /// Returns the link of a VM; none if links are not limited.
    pub fn link(&self, vm: VmAddress) -> Option<Arc<VmLink>> {
        let bytes_per_second = self.bytes_per_second?;
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(vm).or_insert_with(|| {
            Arc::new(VmLink {
                send_direction: LinkDirection::new(bytes_per_second),
                receive_direction: LinkDirection::new(bytes_per_second),
            })
        });
        Some(Arc::clone(link))
    }
}

/// Forwards the connections accepted by `outer_listener` to the process of `vm`, which listens at `inner_address`, and
/// delays what the VM sends back at the rates of both VMs' links.
pub async fn serve_link(
    outer_listener: TcpListener,
    inner_address: SocketAddr,
    vm: VmAddress,
    links: LinkMap,
) {
    while let Ok((outer_stream, _from)) = outer_listener.accept().await {
        let links = links.clone();
        tokio::task::spawn_local(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
                .expect("a buffer size");
            // A VM that has just stopped refuses connections; dropping the outer connection tells the VM that opened
            // it.
            if let Ok(inner_stream) = socket.connect(inner_address).await {
                proxy_connection(outer_stream, inner_stream, vm, &links).await;
            }
        });
    }
}

/// Forwards a connection in both directions until one of them ends.
async fn proxy_connection(
    mut outer_stream: TcpStream,
    mut inner_stream: TcpStream,
    vm: VmAddress,
    links: &LinkMap,
) {
    for stream in [&outer_stream, &inner_stream] {
        stream.set_nodelay(true).expect("an open socket");
    }
    let Some(peer) = forward_hello(&mut outer_stream, &mut inner_stream).await else {
        return;
    };
    let (outer_read, outer_write) = outer_stream.into_split();
    let (inner_read, inner_write) = inner_stream.into_split();
    let (sender_link, receiver_link) = (links.link(vm), links.link(peer));
    let send_directions: Vec<&LinkDirection> = sender_link
        .iter()
        .map(|link| &link.send_direction)
        .collect();
    let receive_directions = receiver_link.iter().map(|link| &link.receive_direction);
    let directions: Vec<&LinkDirection> = send_directions
        .into_iter()
        .chain(receive_directions)
        .collect();
    tokio::select! {
        () = forward(outer_read, inner_write, &[]) => {}
        () = forward(inner_read, outer_write, &directions) => {}
    }
}

/// Forwards the first message of a connection and returns the VM that opened it, as stated in the message; none if it
/// is not a hello.
async fn forward_hello(reader: &mut TcpStream, writer: &mut TcpStream) -> Option<VmAddress> {
    let length = reader.read_u32().await.ok()?;
    let mut frame = vec![0; length as usize];
    reader.read_exact(&mut frame).await.ok()?;
    writer.write_u32(length).await.ok()?;
    writer.write_all(&frame).await.ok()?;
    match postcard::from_bytes(&frame) {
        Ok(PeerMessage::Hello(hello)) => Some(hello.session.vm),
        Ok(_) | Err(_) => None,
    }
}

/// Forwards bytes until the connection ends, and delays them at the rates of `directions`.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    directions: &[&LinkDirection],
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read_bytes) = reader.read(&mut chunk).await {
        if read_bytes == 0 {
            return;
        }
        for direction in directions {
            direction.transmit(read_bytes).await;
        }
        if writer.write_all(&chunk[..read_bytes]).await.is_err() {
            return;
        }
    }
}
