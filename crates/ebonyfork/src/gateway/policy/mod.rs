//! The decisions about requests, apart from input and output: plain values in, the time given, a decision out.
//!
//! No socket, channel or log line is in here, and no module knows the process around it; `run/` and the other modules of
//! the gateway carry the decisions out. The same code runs in virtual time against modelled upstreams (`load_tests`).
//!
//! | decision | module | load pattern that it answers |
//! | --- | --- | --- |
//! | where a request may be served | [`homes`] | routes that are bound to regions, moved while they are in use |
//! | which VMs take requests | [`serving`] | hundreds of VMs, each of which would see too little to know upstreams and callers |
//! | which upstream gets a shard | [`choice`] | half of a service's upstreams decline while others have room |
//! | what is known of an upstream | [`health`], [`latency`], [`route_latency`], [`load_report`] | pauses, slow phases, crashes, cold starts, neighbours on the upstream's machine |
//! | how many requests a cold upstream gets, and from which VM | [`cold`] | the upstreams of a zone return together and cold |
//! | which shards wait at first | [`postpone`] | some shards have no upstream that answers in time, coverage allows to leave them out |
//! | whether a shard is sent again | [`retry`] | upstreams decline, or can't be reached |
//! | whether a second attempt is sent beside the first | [`hedge`] | pauses of a few hundred milliseconds |
//! | how many repeats may be sent | [`budget`] | many VMs that share one bound, and lose it in parts too small to use |
//! | when a query is answered | [`gather`] | the last parts come after the target, or not at all |
//! | how much sooner that must be decided | [`answer_lag`] | a VM that is busy or slow |

pub mod answer_lag;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod gather;
pub mod health;
pub mod hedge;
pub mod homes;
pub mod latency;
pub mod load_report;
pub mod postpone;
pub mod retry;
pub mod route_latency;
pub mod serving;
