//! The callers' border: HTTP/1.1, bounds on everything a caller sends, and one JSON form for every outcome without an
//! answer.

mod message;
mod request;
mod server;
mod service;

pub use message::LocateAnswer;
pub use request::{
    DEADLINE_HEADER, KEY_HEADER, ORGANISATION_HEADER, QUERY_HEADER, QUERY_ID_LIMIT, RECORD_HEADER,
};
pub use server::serve_callers;
pub use service::CallerService;
