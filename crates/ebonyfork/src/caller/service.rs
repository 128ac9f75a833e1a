//! Routes callers' HTTP requests to queries and locate answers, and builds the responses.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use http::header::{ALLOW, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::message::{LocateAnswer, answer_body, refusal_body, refusal_status};
use super::request::{
    IDEMPOTENCY_KEY_HEADER, QUERY_ID_HEADER, read_organisation, read_query, read_query_id,
};
use crate::gateway::IntakePhase;
use crate::ident::{OrganisationName, RunState};
use crate::intake::{BodyError, IntakeSlot, receive_body};
use crate::query::{
    MAX_SELECTION_BYTES, QueryAnswer, QueryOutcome, QueryRefusal, QueryRequest, RefusalCode,
};
use crate::views::{NodeReadiness, NodeViews};

/// Header that says whether any part of the query ran.
const RUN_STATE_HEADER: HeaderName = HeaderName::from_static("x-ran");
/// Header with the index version of the answer.
const SNAPSHOT_HEADER: HeaderName = HeaderName::from_static("x-snapshot");
/// Header with the numbers of answered and needed shards.
const COVERAGE_HEADER: HeaderName = HeaderName::from_static("x-coverage");
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const QUERY_PATH: &str = "/v1/query/";
const LOCATE_PATH: &str = "/v1/locate";
/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-after sent while other callers hold the memory for bodies.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after sent while this VM is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

type RunFunction = dyn Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync;
type LocateFunction = dyn Fn(Option<OrganisationName>) -> LocateAnswer + Send + Sync;

/// Handles callers' requests. Cheap to clone.
#[derive(Clone)]
pub struct CallerService {
    run: Arc<RunFunction>,
    locate: Arc<LocateFunction>,
    views: NodeViews,
}

impl fmt::Debug for CallerService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerService").finish_non_exhaustive()
    }
}

impl CallerService {
    /// Creates a service that runs queries with `run` and answers locate requests with `locate`.
    pub fn new(
        run: impl Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync + 'static,
        locate: impl Fn(Option<OrganisationName>) -> LocateAnswer + Send + Sync + 'static,
        views: NodeViews,
    ) -> Self {
        Self {
            run: Arc::new(run),
            locate: Arc::new(locate),
            views,
        }
    }

    /// Returns the response to one request. A refusal is returned as a response too.
    pub(super) async fn handle_request(
        self,
        request: Request<Incoming>,
        slot: Arc<IntakeSlot>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let query_id = read_query_id(request.headers());
        slot.enter_phase(IntakePhase::Running, Instant::now());
        let response = self.route_request(request, &slot).await;
        slot.enter_phase(IntakePhase::Idle, Instant::now());
        Ok(response.unwrap_or_else(|refusal| refusal_response(&refusal, query_id.as_ref())))
    }

    async fn route_request(
        &self,
        request: Request<Incoming>,
        slot: &IntakeSlot,
    ) -> Result<Response<Full<Bytes>>, QueryRefusal> {
        let path = request.uri().path();
        if path == LOCATE_PATH {
            if request.method() != Method::GET {
                return Ok(method_not_allowed_response("GET"));
            }
            let organisation = read_organisation(request.headers())?;
            let answer = (self.locate)(organisation);
            let body = serde_json::to_vec(&answer).unwrap_or_default();
            return Ok(json_response(StatusCode::OK, body.into()));
        }
        let Some(class) = path.strip_prefix(QUERY_PATH) else {
            return Err(not_run_refusal(
                RefusalCode::NotFound,
                "there is nothing at this path",
            ));
        };
        if request.method() != Method::POST {
            return Ok(method_not_allowed_response("POST"));
        }
        let class = CompactString::new(class);
        self.run_query(&class, request, slot).await
    }

    async fn run_query(
        &self,
        class: &str,
        request: Request<Incoming>,
        slot: &IntakeSlot,
    ) -> Result<Response<Full<Bytes>>, QueryRefusal> {
        // A request with an idempotency key may repeat one that has run, so it must not be refused as "not run" here.
        if !request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
            self.check_ready()?;
        }
        let (head, body) = request.into_parts();
        // The selection is empty here and is set below, once the size of the body has been checked.
        let query = read_query(class, &head.headers, Bytes::new())?;
        let selection = read_selection(body, slot).await?;
        let query = QueryRequest { selection, ..query };
        let answer = (self.run)(query).await?;
        answer_response(&answer)
    }

    fn check_ready(&self) -> Result<(), QueryRefusal> {
        let readiness = *self.views.readiness.borrow();
        if readiness.accepts_work() {
            return Ok(());
        }
        let refusal = match readiness {
            NodeReadiness::Stopping => {
                not_run_refusal(RefusalCode::Stopping, "this VM is stopping")
            }
            _ => not_run_refusal(RefusalCode::NotReady, "this VM has not synchronised yet"),
        };
        Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER))
    }
}

async fn read_selection(body: Incoming, slot: &IntakeSlot) -> Result<Bytes, QueryRefusal> {
    let body_future = receive_body(slot, body, MAX_SELECTION_BYTES);
    let read_result = match tokio::time::timeout(BODY_TIMEOUT, body_future).await {
        Ok(read_result) => read_result,
        Err(_elapsed) => return Err(bad_body_refusal("the body did not come in time")),
    };
    read_result.map_err(|error| match error {
        BodyError::TooLarge => {
            let message = "the selection exceeds 64 KiB";
            not_run_refusal(RefusalCode::TooLarge, message).with_field("body")
        }
        BodyError::Full => {
            let message = "other callers hold the memory for bodies";
            not_run_refusal(RefusalCode::Overloaded, message).with_retry_after(FULL_RETRY_AFTER)
        }
        BodyError::Broken(_error) => bad_body_refusal("the body broke off"),
    })
}

fn bad_body_refusal(message: &str) -> QueryRefusal {
    not_run_refusal(RefusalCode::BadRequest, message).with_field("body")
}

fn not_run_refusal(code: RefusalCode, message: &str) -> QueryRefusal {
    QueryRefusal::new(code, RunState::NotRun, message)
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, JSON_CONTENT_TYPE);
    response
}

fn method_not_allowed_response(allowed: &'static str) -> Response<Full<Bytes>> {
    let refusal = not_run_refusal(RefusalCode::BadRequest, "the method is not allowed here");
    let mut response = refusal_response(&refusal.with_field("method"), None);
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(ALLOW, allowed);
    response
}

fn answer_response(answer: &QueryAnswer) -> Result<Response<Full<Bytes>>, QueryRefusal> {
    let mut response = json_response(StatusCode::OK, answer_body(answer)?);
    let headers = response.headers_mut();
    headers.insert(SNAPSHOT_HEADER, HeaderValue::from(answer.snapshot.0));
    headers.insert(RUN_STATE_HEADER, HeaderValue::from_static("ran"));
    let coverage = compact_str::format_compact!("{}", answer.coverage);
    insert_text(&mut response, COVERAGE_HEADER, &coverage);
    let query_id = HeaderName::from_static(QUERY_ID_HEADER);
    insert_text(&mut response, query_id, &answer.query);
    Ok(response)
}

fn refusal_response(
    refusal: &QueryRefusal,
    query_id: Option<&CompactString>,
) -> Response<Full<Bytes>> {
    let body = refusal_body(refusal, query_id.map(CompactString::as_str));
    let mut response = json_response(refusal_status(refusal.code), body);
    insert_text(
        &mut response,
        RUN_STATE_HEADER,
        &compact_str::format_compact!("{}", refusal.ran),
    );
    if let Some(query_id) = query_id {
        insert_text(
            &mut response,
            HeaderName::from_static(QUERY_ID_HEADER),
            query_id,
        );
    }
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1_000) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn insert_text(response: &mut Response<Full<Bytes>>, name: HeaderName, text: &str) {
    // Every value passed in is a valid header value: generated ids and numbers are visible ASCII, and the caller's id
    // was received in a header.
    if let Ok(value) = HeaderValue::from_str(text) {
        response.headers_mut().insert(name, value);
    }
}
