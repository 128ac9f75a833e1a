//! A caller's request as it is forwarded to upstreams, without hop-by-hop headers.

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::dialect::WireNames;
use crate::gateway::ident::InstanceName;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName};
use crate::gateway::partial::PartialRequest;
use crate::ident::RequestFingerprint;

/// Hop-by-hop headers, in addition to those that `Connection` lists.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers.
///
/// # Examples
///
/// ```
/// use http::{HeaderMap, HeaderValue};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-private"));
/// headers.insert("x-private", HeaderValue::from_static("1"));
/// headers.insert("x-kept", HeaderValue::from_static("1"));
/// ebonyfork::gateway::strip_hop_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed_names: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed_names {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Request that is ready to be sent to upstreams.
#[derive(Debug)]
pub struct ForwardRequest {
    /// Identifies this attempt of the caller.
    pub id: HeaderValue,
    /// Time at which the request head was received.
    pub received: Instant,
    /// Part of the request's latency target that passes on the caller's side.
    pub caller_overhead: Duration,
    /// Time at which the caller gives up or the route's timeout ends.
    pub finish_by: Instant,
    /// Identifies the request across attempts: it is the same when the request is sent again.
    pub fingerprint: RequestFingerprint,
    /// Whether an upstream was lost during an earlier attempt.
    pub after_loss: Cell<bool>,
    /// Organisation on whose behalf the request is made; `None` if it needs no credential.
    pub organisation: Option<OrganisationName>,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl ForwardRequest {
    /// Creates a request from a caller's head and complete body. Removes the deadline and the expected instance, which
    /// are set for each upstream.
    pub fn new(
        names: &WireNames,
        parts: http::request::Parts,
        body: Bytes,
        id: HeaderValue,
        received: Instant,
        finish_by: Instant,
    ) -> Self {
        let mut headers = parts.headers;
        strip_hop_headers(&mut headers);
        headers.remove(&names.deadline);
        headers.remove(&names.expected_instance);
        headers.remove(&names.organisation);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let fingerprint = fingerprint(&parts.method, &parts.uri, &headers, &body);
        Self {
            id,
            received,
            caller_overhead: Duration::ZERO,
            finish_by,
            fingerprint,
            after_loss: Cell::new(false),
            organisation: None,
            method: parts.method,
            target: origin_form(parts.uri),
            headers,
            body,
        }
    }

    /// Sets the part of the latency target that passes on the caller's side.
    #[must_use]
    pub fn with_caller_overhead(mut self, time: Duration) -> Self {
        self.caller_overhead = time;
        self
    }

    /// Removes the caller's credential and states the caller's organisation instead, if there is one.
    #[must_use]
    pub fn with_organisation(
        mut self,
        names: &WireNames,
        organisation: Option<&OrganisationEntry>,
    ) -> Self {
        self.headers.remove(header::AUTHORIZATION);
        let Some(organisation) = organisation else {
            return self;
        };
        self.organisation = Some(organisation.name.clone());
        match HeaderValue::from_str(organisation.name.as_str()) {
            Ok(value) => {
                self.headers.insert(names.organisation.clone(), value);
            }
            Err(error) => log::error!(
                "organisation `{}` is not a valid header value: {error}",
                organisation.name
            ),
        }
        self
    }

    /// Creates a request from one that another VM has passed on.
    pub fn from_partial(
        names: &WireNames,
        partial: PartialRequest,
        received: Instant,
        finish_by: Instant,
    ) -> Result<Self, http::Error> {
        let method = Method::from_bytes(partial.method.as_bytes())?;
        let target: Uri = partial.target.parse()?;
        let mut headers = HeaderMap::with_capacity(partial.headers.len());
        for (name, value) in partial.headers {
            let name = HeaderName::from_bytes(name.as_bytes())?;
            headers.append(name, HeaderValue::from_maybe_shared(value)?);
        }
        let organisation = headers.get(&names.organisation);
        let organisation = organisation.and_then(|name| name.to_str().ok());
        let id = headers.get(&names.request_id).cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static(""));
        Ok(Self {
            id,
            received,
            caller_overhead: Duration::ZERO,
            finish_by,
            fingerprint: fingerprint(&method, &target, &headers, &partial.body),
            after_loss: Cell::new(false),
            organisation: organisation.map(OrganisationName::new),
            method,
            target,
            headers,
            body: partial.body,
        })
    }

    /// Returns the request in the form in which it is passed on to another VM.
    pub fn to_partial(&self) -> PartialRequest {
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (CompactString::new(name.as_str()), value)
        };
        PartialRequest {
            method: self.method.as_str().into(),
            target: CompactString::new(self.target.to_string()),
            headers: self.headers.iter().map(header).collect(),
            body: self.body.clone(),
        }
    }

    /// Builds the request for one upstream, which may work on it for `remaining_ms` milliseconds.
    pub fn build(
        &self,
        names: &WireNames,
        instance: &InstanceName,
        remaining_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        headers.insert(names.deadline.clone(), HeaderValue::from(remaining_ms));
        match HeaderValue::from_str(instance.as_str()) {
            Ok(value) => {
                headers.insert(names.expected_instance.clone(), value);
            }
            Err(error) => {
                // Without the header, another upstream at a reused address would run the request. The name can't be one
                // that the upstream itself would send.
                log::warn!("instance `{instance}` is not a valid header value: {error}");
            }
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the target of a request without scheme and authority.
fn origin_form(uri: Uri) -> Uri {
    if uri.authority().is_none() {
        return uri;
    }
    let path = uri.path_and_query().cloned();
    match path {
        Some(path) => Uri::from(path),
        None => Uri::from_static("/"),
    }
}

fn fingerprint(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> RequestFingerprint {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    let host = headers.get(header::HOST).map(HeaderValue::as_bytes);
    hash.update(host.unwrap_or_default());
    let target = uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    hash.update(target.unwrap_or_default().as_bytes());
    hash.update(body);
    RequestFingerprint(hash.digest())
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
