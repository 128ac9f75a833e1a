//! Links of VMs that carry only so many bytes a second, as loopback proxies before their listeners.
//!
//! What a VM sends back on the links that others have opened to it shares one rate, and so does all that it receives on
//! the links that it has opened and from the store. Questions pass freely: they are short.

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

/// Bytes that are taken from a socket at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Receive buffer towards the VM: what it has written and the link has not carried waits in the VM, not here.
const BUFFER_BYTES: u32 = 16 * 1024;

/// What one direction of a VM's link has carried, and until when it is busy.
#[derive(Debug)]
pub struct LinkLoad {
    bytes_per_second: Mutex<f64>,
    busy_until: Mutex<Instant>,
    carried: AtomicUsize,
}

impl LinkLoad {
    /// An idle link of a rate.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second: Mutex::new(bytes_per_second),
            busy_until: Mutex::new(Instant::now()),
            carried: AtomicUsize::new(0),
        }
    }

    /// Bytes that it has carried.
    pub fn carried(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Changes the rate.
    pub fn set_rate(&self, bytes_per_second: f64) {
        let rate = self.bytes_per_second.lock();
        *rate.unwrap_or_else(PoisonError::into_inner) = bytes_per_second;
    }

    /// Waits until the link has carried some bytes more.
    pub async fn carry(&self, bytes: usize) {
        let rate = *self
            .bytes_per_second
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let takes = Duration::from_secs_f64(bytes as f64 / rate);
        self.carried.fetch_add(bytes, Ordering::Relaxed);
        let done = {
            let mut busy_until = self
                .busy_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *busy_until = (*busy_until).max(Instant::now()) + takes;
            *busy_until
        };
        tokio::time::sleep_until(done).await;
    }
}

/// The link of a VM.
#[derive(Debug)]
pub struct VmLink {
    /// What it sends.
    pub sent: LinkLoad,
    /// What it receives.
    pub received: LinkLoad,
}

/// The links of all VMs; none carries all at once if there is no rate.
#[derive(Debug, Clone)]
pub struct LinkMap {
    rate: Option<f64>,
    links: Arc<Mutex<FxHashMap<VmAddress, Arc<VmLink>>>>,
}

impl LinkMap {
    /// Links that carry so many bytes a second each way.
    pub fn new(rate: Option<f64>) -> Self {
        let links = Arc::default();
        Self { rate, links }
    }

    /// The link of a VM.
    pub fn link(&self, vm: VmAddress) -> Option<Arc<VmLink>> {
        let rate = self.rate?;
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(vm).or_insert_with(|| {
            Arc::new(VmLink {
                sent: LinkLoad::new(rate),
                received: LinkLoad::new(rate),
            })
        });
        Some(Arc::clone(link))
    }
}

/// Passes what comes to `outer` on to a VM at `inner`, and its answers back over both links.
pub async fn serve_link(outer: TcpListener, inner: SocketAddr, vm: VmAddress, links: LinkMap) {
    while let Ok((stream, _from)) = outer.accept().await {
        let links = links.clone();
        tokio::task::spawn_local(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .set_recv_buffer_size(BUFFER_BYTES)
                .expect("a buffer size");
            // A VM that has just ended refuses; so does the link.
            if let Ok(inward) = socket.connect(inner).await {
                join(stream, inward, vm, &links).await;
            }
        });
    }
}

async fn join(mut outward: TcpStream, mut inward: TcpStream, vm: VmAddress, links: &LinkMap) {
    for stream in [&outward, &inward] {
        stream.set_nodelay(true).expect("an open socket");
    }
    let Some(peer) = pass_hello(&mut outward, &mut inward).await else {
        return;
    };
    let (questions, answered) = outward.into_split();
    let (answers, asked) = inward.into_split();
    let (sender, receiver) = (links.link(vm), links.link(peer));
    let sending: Vec<&LinkLoad> = sender.iter().map(|link| &link.sent).collect();
    let receiving = receiver.iter().map(|link| &link.received);
    let loads: Vec<&LinkLoad> = sending.into_iter().chain(receiving).collect();
    tokio::select! {
        () = pass(questions, asked, &[]) => {}
        () = pass(answers, answered, &loads) => {}
    }
}

/// Passes the first message on, which tells who has opened the link.
async fn pass_hello(from: &mut TcpStream, to: &mut TcpStream) -> Option<VmAddress> {
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

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, loads: &[&LinkLoad]) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        if read == 0 {
            return;
        }
        for load in loads {
            load.carry(read).await;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
