//! The load generator: callers that send at scheduled times, whatever the answers do.
//!
//! Arrivals are Poisson streams drawn from a seed. Latency counts from the scheduled time, so that a slow answer does
//! not hide the wait of those behind it. Callers behave as the protocol asks: they locate first, keep that answer for
//! its time to live, connect to the addresses themselves, and send again only where that is safe.

mod agent;
mod generator;
mod plan;
mod record;
mod reply;

pub use agent::{AgentSettings, CallerAgent};
pub use generator::LoadGenerator;
pub use plan::{ArrivalTimes, ClassLoad, LoadPlan, LoadStream, StreamSelection};
pub use record::{AnswerRecord, RequestRecord, TryOutcome, TryRecord};
