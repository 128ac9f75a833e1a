//! Counts bytes received on a connection, before they form complete messages.
//!
//! A receiver sees a long message only once its last byte has arrived. The count distinguishes a peer that is sending
//! slowly from one that sends nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};

/// Counts received bytes. Clones share the count.
///
/// # Examples
///
/// ```
/// use ebonyfork::traffic::LinkTraffic;
///
/// let traffic = LinkTraffic::default();
/// traffic.clone().add(1_400);
/// assert_eq!(traffic.received_bytes(), 1_400);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LinkTraffic {
    received_bytes: Arc<AtomicU64>,
}

impl LinkTraffic {
    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Adds `bytes` to the count.
    pub fn add(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Reader that counts the bytes it reads in a [`LinkTraffic`].
#[derive(Debug)]
pub(crate) struct CountedReader<R> {
    reader: R,
    traffic: LinkTraffic,
}

impl<R> CountedReader<R> {
    pub(crate) fn new(reader: R, traffic: LinkTraffic) -> Self {
        Self { reader, traffic }
    }

    /// Returns the number of bytes read so far.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.traffic.received_bytes()
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for CountedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let poll_result = Pin::new(&mut self.reader).poll_read(cx, buf);
        self.traffic.add(buf.filled().len() - filled_before);
        poll_result
    }
}
