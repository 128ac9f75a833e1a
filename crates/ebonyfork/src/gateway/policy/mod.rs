//! Decision logic for requests, free of I/O: each function takes plain values and the current time and returns a
//! decision.
//!
//! This module uses no sockets, channels or logging and doesn't depend on the rest of the process; `run/` and the other
//! gateway modules carry the decisions out. The load tests run the same code in virtual time against model upstreams
//! (`load_tests`).
//!
//! | decision | module | load pattern it handles |
//! | --- | --- | --- |
//! | where a request may be served | [`homes`] | routes that are limited to regions, and limits that change while in use |
//! | which VMs take requests | [`serving`] | hundreds of VMs, each of which would see too few requests to know upstreams and callers |
//! | what callers may hold, and which connection gives way when they hold all of it | [`intake`] | crowds that stop just short of the end of heads or bodies, or don't read their answers |
//! | which upstream gets a shard | [`choice`] | half of a service's upstreams decline requests while the others have capacity |
//! | how an upstream performs | [`health`], [`latency`], [`route_latency`], [`load_report`] | pauses, slow phases, crashes, cold starts, other load on the upstream's machine |
//! | what the VMs of a zone tell each other of an upstream's speed | [`speed_advice`] | upstreams that turn slow for 600 ms, VMs that each see a part of the requests |
//! | how many requests a cold upstream gets, and from which VM | [`cold`] | all upstreams of a zone return at once, and cold |
//! | which VM holds an exclusive right | [`claim`] | holders that are killed, paused or cut off, and a store that is restored from an older copy |
//! | whether an organisation's request is within its quota | [`quota`] | one organisation sends many times its usual, to a few VMs or to all, while some VMs are lost |
//! | whether a query is refused before anything is sent | [`hopeless`] | all upstreams of several shards are lost at once |
//! | which request gets the next connection to an upstream | [`fairness`] | one organisation sends many times as much as the others to the same upstreams |
//! | which shards are postponed | [`postpone`] | no upstream of some shards answers in time, and the required coverage is met without them |
//! | whether a shard is retried | [`retry`] | upstreams that decline requests or can't be reached |
//! | whether a hedge is sent | [`hedge`] | pauses of a few hundred milliseconds |
//! | how many repeats (retries and hedges) may be sent, and for which organisation | [`budget`] | many VMs that share one bound; an equal part of it for each of them is too small to use; one organisation needs most of the repeats |
//! | when a query is answered | [`gather`] | the last parts arrive after the target, or never |
//! | how long an answer is passed on while it arrives | [`stream_bound`] | upstreams that send bodies without end, beside honest long answers |
//! | whether callers should use other VMs because this VM's copy of the store is old | [`readiness`] | a VM that no longer follows the store, beside a store that is away for all |
//! | when a process that shuts down refuses requests, closes connections and exits | [`shutdown`] | callers that keep locate answers for as long as they may, and read slowly |
//! | what follows the end of a long-lived task | [`restart`] | a value from outside that ends a task on every VM, once or again and again |
//! | how long before its target an answer must be decided | [`answer_lag`] | a VM that is busy or slow |

pub mod answer_lag;
pub mod budget;
pub mod choice;
pub mod claim;
pub mod cold;
pub mod fairness;
pub mod gather;
pub mod health;
pub mod hedge;
pub mod homes;
pub mod hopeless;
pub mod intake;
pub mod latency;
pub mod load_report;
pub mod postpone;
pub mod quota;
pub mod readiness;
pub mod restart;
pub mod retry;
pub mod route_latency;
pub mod serving;
pub mod shutdown;
pub mod speed_advice;
pub mod stream_bound;
