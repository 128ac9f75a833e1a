//! A loopback proxy on one link, which delays, cuts or silences it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::LabError;

/// What a link does to the bytes on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// It passes them on.
    #[default]
    None,
    /// It passes them on late.
    Delay(Duration),
    /// It passes so many bytes a second on, each way of each connection.
    Rate(u32),
    /// It ends all connections and takes no new ones.
    Reset,
    /// It loses all bytes, and new connections are never answered.
    Silent,
    /// It loses the bytes that come back.
    OneWay,
}

/// One proxy. It ends when it is dropped.
#[derive(Debug)]
pub(super) struct LinkProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    target: Arc<Mutex<SocketAddr>>,
    serving: JoinHandle<()>,
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl LinkProxy {
    /// Starts a proxy to an address.
    pub(super) async fn start(target: SocketAddr) -> Result<Self, LabError> {
        let system = |source| LabError::System {
            what: "a proxy's listener",
            source,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(system)?;
        let address = listener.local_addr().map_err(system)?;
        let (fault, faults) = watch::channel(LinkFault::None);
        let target = Arc::new(Mutex::new(target));
        let serving = tokio::spawn(accept(listener, Arc::clone(&target), faults));
        Ok(Self {
            address,
            fault,
            target,
            serving,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Leads new connections elsewhere.
    pub(super) fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    faults: watch::Receiver<LinkFault>,
) {
    loop {
        let Ok((stream, _from)) = listener.accept().await else {
            continue;
        };
        if *faults.borrow() == LinkFault::Reset {
            continue;
        }
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        tokio::spawn(join(stream, target, faults.clone()));
    }
}

async fn join(stream: TcpStream, target: SocketAddr, mut faults: watch::Receiver<LinkFault>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    let forth = pump(near_read, far_write, faults.clone(), false);
    let back = pump(far_read, near_write, faults.clone(), true);
    let reset = faults.wait_for(|fault| *fault == LinkFault::Reset);
    tokio::select! {
        () = forth => {}
        () = back => {}
        _ = reset => {}
    }
}

async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    faults: watch::Receiver<LinkFault>,
    back: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = match read.read(&mut buffer).await {
            Ok(0) => return,
            Ok(count) => count,
            Err(_reset) => {
                // An orderly end would turn an answer that breaks off into a whole one. Dropping this half would send one
                // before the reset.
                let _set = write.as_ref().set_zero_linger();
                write.forget();
                return;
            }
        };
        let fault = *faults.borrow();
        match fault {
            LinkFault::Silent => continue,
            LinkFault::OneWay if back => continue,
            LinkFault::Delay(delay) => tokio::time::sleep(delay).await,
            LinkFault::Rate(rate) => {
                let takes = count as f64 / f64::from(rate);
                tokio::time::sleep(Duration::from_secs_f64(takes)).await;
            }
            LinkFault::None | LinkFault::OneWay | LinkFault::Reset => {}
        }
        if write.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
