//! HTTP/1.1 interface for callers. Everything that a caller sends is bounded, and every outcome without an answer is
//! returned in the same JSON format.

mod message;
mod request;
mod server;
mod service;

pub use message::LocateAnswer;
pub use request::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, MAX_QUERY_ID_BYTES, ORGANISATION_HEADER,
    QUERY_ID_HEADER, RECORD_HEADER,
};
pub use server::serve_callers;
pub use service::CallerService;
