//! Quarantine of requests that crash upstreams: which requests are suspected, which are refused, and how all VMs learn
//! of it.
//!
//! When a connection breaks during a request, the request may be as much to blame as the upstream. Every request in
//! flight at a lost upstream becomes a *suspect*. A suspect still runs, but in isolation: a relay sends it to an
//! upstream only while no other suspect is in flight there. If an attempt that was sent *after* an earlier loss loses
//! its upstream as well, the request is *quarantined*: it is refused on every VM. A single request therefore crashes at
//! most two upstreams, one after the other. A harmless request that shared an upstream with it is cleared when an
//! attempt of it is answered: the losses before that attempt was sent no longer count against the harmless request. An
//! operator can *lift* the quarantine or suspicion of a request; then no loss before the lift counts any longer.
//!
//! [`QuarantineTable`] is the pure decision logic; [`QuarantineHandle`] shares it within a process, with logging and
//! metrics. [`QuarantineNotice`]s carry its changes between VMs.

mod entry;
mod handle;
mod notice;
mod record;
mod spread;
mod table;

pub use entry::{LostRequest, QuarantineDecision, QuarantineEntry, QuarantineStatus};
pub use handle::QuarantineHandle;
pub use notice::{NoticeId, QuarantineNotice};
pub use spread::{publish_notices, receive_notices};
pub use table::{QUARANTINE_TERM, QuarantineTable, SUSPICION_WINDOW};
