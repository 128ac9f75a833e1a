//! Revisions of the operators' configuration: how they are published, distributed to every VM and accepted.
//!
//! A revision is a complete set of declaration files. Each file is a *part*, stored once under its digest; a *change*
//! record lists the parts and names its parent change. The *head* names the newest change and is moved by
//! compare-and-swap, so of two concurrent publishers exactly one succeeds. A VM puts a revision in force once it holds
//! all of its parts. It never goes back to a lower revision and refuses one whose change doesn't descend from the one
//! in force. A few watchers per zone watch the store; the other VMs learn of a revision from their peers and fetch the
//! parts from them. The watchers write to the store which revisions the VMs of their zone hold: a revision is accepted
//! once this evidence shows it in every zone.

mod acceptance;
mod actor;
mod assembly;
mod evidence;
mod feed;
mod handle;
mod message;
mod metrics;
mod peers;
mod publish;
mod publisher;
mod record;
mod restore;
mod serve;
mod store;
mod watcher;

pub use acceptance::{
    AcceptanceState, HeldRelation, LiveZones, ZoneGap, evaluate_acceptance, read_acceptance,
};
pub use assembly::{HeldRevision, PartTexts, RevisionAssembly};
pub use evidence::{EvidenceState, FENCE_DELAY, GROUP_FENCE_DELAY, REFRESH_PERIOD};
pub use feed::{ASK_PERIOD, FeedAction, FeedActions, FeedState, PULL_TIMEOUT};
pub use handle::RevisionHandle;
pub use message::RevisionMessage;
pub use peers::{
    ANNOUNCE_FAN_OUT, FAR_PARTNER_COUNT, NEAR_PARTNER_COUNT, WATCHERS_PER_ZONE, ZonePeers,
};
pub use publish::{
    ExpectedBase, PublishAction, PublishOutcome, PublishReply, PublishRequest, PublishRun,
};
pub use publisher::{publish, publish_prepared, publish_request, unix_millis};
pub use record::{
    ChangeId, ChangeRecord, EVIDENCE_PREFIX, FILE_LIMIT, HEAD_KEY, HeadRecord, HeldEvidence,
    LAGGING_LIMIT, LINEAGE_LIMIT, LaggingVm, PartDigest, PartEntry, PartSet,
};
pub use restore::{PROVISIONAL_TIME, RestorePlan, may_replace, must_adopt, plan_restore};
pub use store::{StoredHead, read_change, read_evidence, read_head, read_part};
