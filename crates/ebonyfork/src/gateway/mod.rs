//! The gateway: proxies requests of any service to a single upstream or to many shards. An adapter describes the
//! protocols of a deployment.
//!
//! Every VM runs the same process. It mirrors the store (configuration, upstreams, our own VMs), tells callers which
//! VMs to use, and forwards each request to the upstreams of its route: to one upstream, or to one per shard, in which
//! case it merges the partial answers. It learns about the health of upstreams from its own requests only.
//!
//! Start reading at [`RouteTable`] (selects the route of a request), `run` (sends the attempts of a request),
//! [`RetryBudget`] (bounds the number of retries and hedges) and [`GatherState`] (decides when a query over many shards
//! is answered).
//!
//! A process runs on a single thread because a VM has a fraction of one core, so the shared state needs no locks.

mod aggregate;
mod aggregate_table;
mod authorise;
mod caller_time;
mod claim_write;
mod clock;
mod cold_claims;
mod cold_notice;
mod connection_drain;
mod control;
mod copy_watch;
mod core;
#[cfg(test)]
mod decoder_tests;
mod delegate;
mod dialect;
mod exchange;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod fixture_upstream;
mod flight;
mod follow;
mod gossip;
mod http_server;
mod ident;
mod ingress;
#[cfg(test)]
mod load_model;
#[cfg(test)]
mod load_tests;
mod loss;
mod loss_check;
mod merge;
mod metrics;
mod mirror;
mod node;
mod organisation;
mod partial;
mod peers;
mod policy;
mod quota;
mod refusal;
mod register;
mod registry;
mod reply;
mod reply_body;
mod request;
mod route;
mod route_check;
mod run;
mod settings;
mod share_exchange;
mod slots;
mod speed_exchange;
mod status;
mod stream_activity;
mod supervisor;
mod tasks;
mod upstream;
mod vms;
mod weights;

pub use crate::stated::{
    MAX_STATED_BURST, MAX_STATED_BYTES, MAX_STATED_CORES, MAX_STATED_COUNT, MAX_STATED_RATE,
    MAX_STATED_TIME, MAX_STATED_WEIGHT,
};
pub use dialect::{
    ControlCall, DecodeError, GatewayDialect, LocateQuery, LocateReply, StoredKind, WireNames,
};
pub use ident::{
    ConfigVersion, InstanceName, PlaceName, RouteName, StartTime, UpstreamIncarnation,
    UpstreamService,
};
pub use merge::{RECORD_BYTES, merge_records};
pub use mirror::{HeldValue, HeldValues, MirrorMessage};
pub use node::{GatewayError, GatewayNode};
pub use organisation::{
    CredentialDigest, OrganisationDeclaration, OrganisationEntry, OrganisationError,
    OrganisationName, OrganisationTable, read_credential,
};
pub use partial::{
    FailedShard, PartialMessage, PartialQuery, PartialReply, PartialRequest, RecordCut,
    ShardSignature,
};
pub use policy::budget::{
    LeasedRetryBudget, RetryBudget, RetryBudgetConfig, ShareLeases, ShareMessage,
};
pub use policy::claim::{ClaimRecord, ClaimTimings, ClaimWrite, StoreClaim};
pub use policy::cold::{ColdBound, ColdMessage, ColdReport, RequestRate, SendWindow};
pub use policy::gather::{GatherEnd, GatherState};
pub use policy::homes::HomeRegions;
pub use policy::intake::{
    IntakeBudget, IntakeHolding, IntakePhase, ScarceResource, choose_yielding,
};
pub use policy::latency::{AttemptKind, LatencyHistogram};
pub use policy::load_report::{LoadReport, LoadReportError};
pub use policy::quota::{
    AskRound, OtherHolder, PartHold, PartLedger, PartState, PartTerms, PartTransfers, PartView,
    QuotaAnswer, QuotaBound, QuotaMessage, QuotaRefusal, RequestQuota, RequesterKey, TokenDecision,
    TokenRefusal, TokenRequest, WaitCheck, WaitEnd, next_return, plan_asks,
};
pub use policy::readiness::{CopyView, FollowerState, ReadinessState, UnfitReason};
pub use policy::restart::{EndAction, RestartState, TaskEnd, TaskRecovery};
pub use policy::shutdown::{ShutdownBacklog, ShutdownCut, ShutdownPhase, ShutdownPlan};
pub use policy::speed_advice::{
    AdviceUse, SpeedChange, SpeedMessage, SpeedOutbox, SpeedReport, SpeedView,
};
pub use quota::{HeldPartReport, OrganisationReport, PartReport, QuotaQuery, QuotaReport};
pub use request::strip_hop_headers;
pub use route::{
    CallerLimits, GatherTerms, Idempotency, RouteEntry, RouteTable, RouteTarget, ServiceTerms,
    WeightedService,
};
pub use route_check::RouteCheckMessage;
pub use settings::{GatewaySettings, ListenAddresses, NodePlace, PlaceDistance, PlacementSettings};
pub use supervisor::TaskFailure;
pub use tasks::{TaskName, TaskStates};
pub use upstream::UpstreamEntry;
pub use weights::WeightedRoundRobin;
