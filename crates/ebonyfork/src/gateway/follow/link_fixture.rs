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
/// Receive buffer towards the VM. It is small so that data which the link has not sent yet waits in the VM and not in
/// the proxy.
const BUFFER_BYTES: u32 = 16 * 1024;

/// One direction of a VM's link: its rate, the bytes sent over it, and until when it is busy.
#[derive(Debug)]
pub struct LinkDirection {
    bytes_per_second: Mutex<f64>,
    busy_until: Mutex<Instant>,
    transmitted: AtomicUsize,
}

impl LinkDirection {
    /// Creates an idle direction with a rate.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second: Mutex::new(bytes_per_second),
            busy_until: Mutex::new(Instant::now()),
            transmitted: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes sent so far.
    pub fn transmitted(&self) -> usize {
        self.transmitted.load(Ordering::Relaxed)
    }

    /// Changes the rate.
    pub fn set_rate(&self, bytes_per_second: f64) {
        let rate = self.bytes_per_second.lock();
        *rate.unwrap_or_else(PoisonError::into_inner) = bytes_per_second;
    }

    /// Waits until a number of further bytes has been sent.
    pub async fn transmit(&self, bytes: usize) {
        let rate = *self
            .bytes_per_second
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let duration = Duration::from_secs_f64(bytes as f64 / rate);
        self.transmitted.fetch_add(bytes, Ordering::Relaxed);
        let done = {
            let mut busy_until = self
                .busy_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *busy_until = (*busy_until).max(Instant::now()) + duration;
            *busy_until
        };
        tokio::time::sleep_until(done).await;
    }
}

/// The link of a VM.
#[derive(Debug)]
pub struct VmLink {
    /// The direction in which the VM sends.
    pub sent: LinkDirection,
    /// The direction in which the VM receives.
    pub received: LinkDirection,
}

/// The links of all VMs. Without a rate there are none, and data is not delayed.
#[derive(Debug, Clone)]
pub struct LinkMap {
    rate: Option<f64>,
    links: Arc<Mutex<FxHashMap<VmAddress, Arc<VmLink>>>>,
}

impl LinkMap {
    /// Creates links with a rate in bytes per second for each direction.
    pub fn new(rate: Option<f64>) -> Self {
        let links = Arc::default();
        Self { rate, links }
    }

    /// Returns the link of a VM; none if there is no rate.
    pub fn link(&self, vm: VmAddress) -> Option<Arc<VmLink>> {
        let rate = self.rate?;
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(vm).or_insert_with(|| {
            Arc::new(VmLink {
                sent: LinkDirection::new(rate),
                received: LinkDirection::new(rate),
            })
        });
        Some(Arc::clone(link))
    }
}

/// Forwards connections to `outer` to a VM's listener at `inner`, and delays the VM's responses at the rates of both
/// links.
pub async fn serve_link(outer: TcpListener, inner: SocketAddr, vm: VmAddress, links: LinkMap) {
    while let Ok((stream, _from)) = outer.accept().await {
        let links = links.clone();
        tokio::task::spawn_local(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .set_recv_buffer_size(BUFFER_BYTES)
                .expect("a buffer size");
            // A VM that has just stopped refuses connections, and so does its link.
            if let Ok(inner_stream) = socket.connect(inner).await {
                proxy_connection(stream, inner_stream, vm, &links).await;
            }
        });
    }
}

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
    let (sender, receiver) = (links.link(vm), links.link(peer));
    let sending: Vec<&LinkDirection> = sender.iter().map(|link| &link.sent).collect();
    let receiving = receiver.iter().map(|link| &link.received);
    let directions: Vec<&LinkDirection> = sending.into_iter().chain(receiving).collect();
    tokio::select! {
        () = forward(outer_read, inner_write, &[]) => {}
        () = forward(inner_read, outer_write, &directions) => {}
    }
}

/// Forwards the first message and returns the VM that opened the connection.
async fn forward_hello(from: &mut TcpStream, to: &mut TcpStream) -> Option<VmAddress> {
    let length = from.read_u32().await.ok()?;
    let mut frame = vec![0; length as usize];
    from.read_exact(&mut frame).await.ok()?;
    to.write_u32(length).await.ok()?;
    to.write_all(&frame).await.ok()?;
    match postcard::from_bytes(&frame) {
        Ok(PeerMessage::Hello(hello)) => Some(hello.session.vm),
        Ok(_) | Err(_) => None,
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, directions: &[&LinkDirection]) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        if read == 0 {
            return;
        }
        for direction in directions {
            direction.transmit(read).await;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
