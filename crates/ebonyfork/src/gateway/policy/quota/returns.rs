//! Decides when the callers of refused requests should return.

use std::time::Duration;

use super::terms::RequestQuota;

/// Longest time by which a return is put off behind other callers. Callers don't wait longer than a few seconds, so a
/// later time would only describe a queue that nobody stands in.
const MAX_POSTPONEMENT: Duration = Duration::from_secs(5);

/// Returns when the caller of a refused request should return: not before `next_token`, and one token after the caller
/// who was refused last. Callers who all returned with the next token would all be refused again but one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::gateway::{RequestQuota, RequestRate, next_return};
///
/// let quota = RequestQuota { rate: RequestRate(4.0), burst: 4.0 };
/// let next_token = Duration::from_millis(10_100);
/// let first = next_return(None, quota, next_token);
/// assert_eq!(first, next_token);
/// let second = next_return(Some(first), quota, next_token);
/// assert_eq!(second, Duration::from_millis(10_350));
/// ```
pub fn next_return(
    last_return: Option<Duration>,
    quota: RequestQuota,
    next_token: Duration,
) -> Duration {
    let Some(last_return) = last_return else {
        return next_token;
    };
    let token_period = Duration::try_from_secs_f64(1.0 / quota.rate.0).unwrap_or(MAX_POSTPONEMENT);
    let behind_last = last_return + token_period.min(MAX_POSTPONEMENT);
    behind_last.clamp(next_token, next_token + MAX_POSTPONEMENT)
}
