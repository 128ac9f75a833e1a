//! Why requests are refused or fail without an upstream's answer, and what that promises to the caller.

use std::time::Duration;

use http::StatusCode;

/// Why a request is refused or has failed without an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request lacks something or is malformed.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The body is longer than callers may send.
    TooLarge,
    /// The head is longer than callers may send.
    HeadTooLarge,
    /// No configuration is known yet.
    NoConfig,
    /// No route matches, but the configuration may be an old one.
    OldConfig,
    /// This process is about to end.
    Stopping,
    /// The request crashes upstreams.
    Quarantined,
    /// No upstream took it.
    NoUpstream,
    /// The upstreams that could take it are outside the route's home regions, or their availability zones are evacuated.
    NotAtHome,
    /// It may have run, and no answer came.
    Unknown,
    /// It may have run, and time ran out.
    Late,
    /// It has not run, and time ran out.
    LateUnsent,
}

impl RefusalReason {
    /// The status. 503 promises that the request has not run and won't; 502 and 504 promise nothing.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::NoConfig
            | Self::OldConfig
            | Self::Stopping
            | Self::Quarantined
            | Self::NoUpstream
            | Self::NotAtHome
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// One word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::NoConfig => "no-config",
            Self::OldConfig => "old-config",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::NoUpstream => "no-upstream",
            Self::NotAtHome => "not-at-home",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::LateUnsent => "late-unsent",
        }
    }

    /// When the caller should come back.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another VM takes it at once.
            Self::Stopping => Some(Duration::ZERO),
            // The store answers within milliseconds when it is up.
            Self::NoConfig | Self::OldConfig => Some(Duration::from_millis(300)),
            // A queue at an upstream drains within some service times.
            Self::NoUpstream | Self::LateUnsent => Some(Duration::from_millis(100)),
            // Operators take an evacuation back, or upstreams start, within seconds at best.
            Self::NotAtHome => Some(Duration::from_secs(1)),
            Self::Quarantined => Some(Duration::from_mins(1)),
            Self::Malformed
            | Self::NoRoute
            | Self::TooLarge
            | Self::HeadTooLarge
            | Self::Unknown
            | Self::Late => None,
        }
    }
}
