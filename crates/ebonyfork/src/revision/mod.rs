//! Revisions of the operators' configuration: published, learnt by every VM, accepted with evidence.
//!
//! A revision is a whole set of declaration files. Its files are *parts*, stored once under their digest; a *change*
//! record lists them and names its parent; the *head* names the newest change and is moved by compare-and-swap, so
//! that of two operators exactly one wins. A VM puts a revision in force once it holds all parts, and never goes back
//! to a lower one, nor to one that was made without knowledge of it. A few watchers per zone ask the store; the others learn of a revision from their peers and pull
//! the parts from them. The watchers write what their zone's VMs hold: a revision counts as accepted when that
//! evidence shows it for every zone.

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
    AcceptanceState, HeldRelation, LiveZones, ZoneGap, judge_acceptance, read_acceptance,
};
pub use assembly::{HeldRevision, PartTexts, RevisionAssembly};
pub use evidence::{EvidenceState, FENCE_DELAY, GROUP_DELAY, REFRESH_PERIOD};
pub use feed::{ASK_PERIOD, FeedAction, FeedActions, FeedState, PULL_TIMEOUT};
pub use handle::RevisionHandle;
pub use message::RevisionMessage;
pub use peers::{FAN_OUT, FAR_PARTNERS, NEAR_PARTNERS, WATCHERS_PER_ZONE, ZonePeers};
pub use publish::{
    ExpectedBase, PublishAction, PublishOutcome, PublishReply, PublishRequest, PublishRun,
};
pub use publisher::{publish, publish_prepared, publish_request, unix_millis};
pub use record::{
    ChangeId, ChangeRecord, FILE_LIMIT, HEAD_KEY, HELD_PREFIX, HeadRecord, HeldEvidence,
    LAGGING_LIMIT, LINEAGE_LIMIT, LaggingVm, PartDigest, PartEntry, PartSet,
};
pub use restore::{PROVISIONAL_TIME, RestorePlan, may_take, must_adopt, plan_restore};
pub use store::{StoredHead, read_change, read_evidence, read_head, read_part};
