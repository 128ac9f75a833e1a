//! Reasons for answering a request without an upstream's answer, and what each guarantees to the caller.

use std::time::Duration;

use http::StatusCode;

/// Reason for which a request is refused or has failed without an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request is malformed or incomplete.
    Malformed,
    /// The caller's credential is missing, malformed or unknown.
    Unauthorised,
    /// The caller's organisation has used up its quota; another request is possible after the wait.
    OverQuota(Duration),
    /// The VMs that hold the quota of the caller's organisation can't be reached.
    QuotaUnknown,
    /// No route matches.
    NoRoute,
    /// Other callers hold the memory for requests.
    Overloaded,
    /// The body exceeds the limit.
    TooLarge,
    /// The head exceeds the limit.
    HeadTooLarge,
    /// No configuration is known yet.
    NoConfig,
    /// No route matches, but the configuration may be stale.
    OldConfig,
    /// This process is about to stop.
    Stopping,
    /// The request is quarantined because it crashes upstreams.
    Quarantined,
    /// No upstream accepted the request.
    NoUpstream,
    /// More shards than the query can do without have no upstream that could answer in time; that may change after the
    /// wait.
    Hopeless(Duration),
    /// The upstreams that could serve the request are outside the route's home regions, or their availability zones are
    /// evacuated.
    NotAtHome,
    /// The request may have run, and no answer came.
    Unknown,
    /// The request may have run, and its deadline has passed.
    Late,
    /// The request has not run, and its deadline has passed.
    LateUnsent,
}

impl RefusalReason {
    /// Returns the status code. 429 and 503 guarantee that the request has not run and will not run; 502 and 504 guarantee
    /// nothing.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::NoConfig
            | Self::OldConfig
            | Self::Stopping
            | Self::Overloaded
            | Self::Quarantined
            | Self::NoUpstream
            | Self::Hopeless(_)
            | Self::NotAtHome
            | Self::QuotaUnknown
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as one word, for logs, metrics and the answer's body.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorised => "unauthorised",
            Self::OverQuota(_) => "over-quota",
            Self::QuotaUnknown => "quota-unknown",
            Self::NoRoute => "no-route",
            Self::Overloaded => "overloaded",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::NoConfig => "no-config",
            Self::OldConfig => "old-config",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::NoUpstream => "no-upstream",
            Self::Hopeless(_) => "hopeless",
            Self::NotAtHome => "not-at-home",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::LateUnsent => "late-unsent",
        }
    }

    /// Returns the wait after which the caller should retry, if it should.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another VM accepts the request at once.
            Self::Stopping => Some(Duration::ZERO),
            // The store answers within milliseconds while it is available.
            Self::NoConfig | Self::OldConfig => Some(Duration::from_millis(300)),
            // An upstream's queue drains within a few service times, as do the bodies of ordinary callers.
            Self::NoUpstream | Self::LateUnsent | Self::Overloaded => {
                Some(Duration::from_millis(100))
            }
            // Operators end an evacuation, or upstreams start, within seconds at best.
            Self::NotAtHome => Some(Duration::from_secs(1)),
            Self::Quarantined => Some(Duration::from_mins(1)),
            Self::OverQuota(wait) | Self::Hopeless(wait) => Some(wait),
            // Another VM may reach the holders, and a link between VMs is usually back within a few tries.
            Self::QuotaUnknown => Some(Duration::from_millis(200)),
            Self::Malformed
            | Self::Unauthorised
            | Self::NoRoute
            | Self::TooLarge
            | Self::HeadTooLarge
            | Self::Unknown
            | Self::Late => None,
        }
    }
}
