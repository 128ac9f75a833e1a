//! Links between our own processes: TCP, length-prefixed frames, one `postcard` message a frame.
//!
//! A process opens one link to each peer it needs and sends its requests there; the peer's replies come back on the
//! same link. Both sides say `Hello` first, so that each knows which process incarnation it speaks to. Messages that
//! wait for the writer are written together. When a link breaks, whatever was not yet written is handed back: it
//! provably never left, which lets the sender say "not run".

mod link;
mod message;
mod pool;

pub use link::{LinkError, LinkSender};
pub use message::{LinkHello, PROTOCOL_VERSION, PeerMessage};
pub use pool::{EventFuture, LinkEvent, PeerPool, PoolSettings};
