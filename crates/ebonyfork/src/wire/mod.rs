//! Links between the processes of the deployment: TCP with length-prefixed frames, one `postcard` message per frame.
//!
//! A process opens one link to each peer it needs and sends its requests on it; the peer replies on the same link. Both
//! sides send `Hello` first, so that each knows the process incarnation of its peer. Queued messages are written in
//! batches. When a link breaks, the messages that were not yet written are returned to their sender: they were
//! certainly never sent, so that the sender can report "not run".

mod frame;
mod link;
mod message;
mod pool;

pub use link::{LinkError, LinkSender};
pub use message::{LinkHello, PROTOCOL_VERSION, PeerMessage};
pub use pool::{EventFuture, LinkEvent, PeerPool, PoolSettings};
