//! Requests that crash upstreams: who is suspected, who is refused, and how all VMs learn of it.
//!
//! When a connection breaks under a request, the request may be as much to blame as the upstream. Every request in
//! flight at a lost upstream becomes a *suspect*. A suspect still runs, but alone: a relay sends it to an upstream only
//! while no other suspect is in flight there. If the upstream of an attempt that was sent *after* an earlier loss is lost
//! too, the request is *quarantined*: refused on every VM. So one request loses at most two upstreams one after the
//! other, and an innocent one that shared an upstream is cleared by its first answer.
//!
//! [`QuarantineTable`] decides and is pure; [`QuarantineHandle`] shares it within a process, logs and counts.
//! [`QuarantineNotice`]s carry the news between VMs.

mod entry;
mod handle;
mod notice;
mod record;
mod spread;
mod table;

pub use entry::{LostRequest, QuarantineDecision, QuarantineEntry, RequestStanding};
pub use handle::QuarantineHandle;
pub use notice::{NoticeId, QuarantineNotice};
pub use spread::{hear_notices, tell_notices};
pub use table::{QUARANTINE_TERM, QuarantineTable, SUSPICION_WINDOW};
