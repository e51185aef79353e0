//! Validated parameters of a caller's request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::{BufferShare, HeaderMap, Method};
use model::{OrganisationName, RequestId, ResultCode};
use settings::EntrySettings;

use crate::calls::call_error::CallError;

/// Authenticated and validated request, before a target is selected.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationName,
    pub(crate) weight: u32,
    pub(crate) deadline: Instant,
    pub(crate) priority: u8,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<httpio::HeaderValue>,
    pub(crate) body: Bytes,
    /// The memory of the body, which is held until the last attempt has ended.
    pub(crate) _body_share: Arc<BufferShare>,
    pub(crate) idempotency_key: Option<String>,
}

/// Returns the organisation that the bearer token of a request belongs to.
pub(crate) fn authenticate(
    headers: &HeaderMap,
    settings: &EntrySettings,
) -> Result<OrganisationName, CallError> {
    let unauthorized = || {
        CallError::new(
            ResultCode::Unauthorized,
            "the bearer token is missing or unknown",
        )
    };
    let value = single_value(headers, "authorization")?.ok_or_else(unauthorized)?;
    let token = value.strip_prefix("Bearer ").ok_or_else(unauthorized)?;
    let caller = settings
        .callers
        .iter()
        .find(|it| it.token.matches(token))
        .ok_or_else(unauthorized)?;
    Ok(caller.organisation.clone())
}

/// Parses the deadline header, a number of milliseconds from `now`; `default` applies without the header.
pub(crate) fn deadline(
    headers: &HeaderMap,
    default: Duration,
    now: Instant,
) -> Result<Instant, CallError> {
    let Some(text) = single_value(headers, model::DEADLINE_HEADER)? else {
        return Ok(now + default);
    };
    match text.parse::<u64>() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
            Ok(now + Duration::from_millis(millis))
        }
        _ => Err(bad_header(
            model::DEADLINE_HEADER,
            "is not an integer from 1 to 86400000 (milliseconds)",
        )),
    }
}

/// Parses the priority header; `default` applies without the header.
pub(crate) fn priority(headers: &HeaderMap, default: u8) -> Result<u8, CallError> {
    let Some(text) = single_value(headers, model::PRIORITY_HEADER)? else {
        return Ok(default);
    };
    match text.parse::<u8>() {
        Ok(priority) if priority <= 9 => Ok(priority),
        _ => Err(bad_header(
            model::PRIORITY_HEADER,
            "is not an integer from 0 to 9",
        )),
    }
}

/// Returns the idempotency key, which identifies retries of the same order.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallError> {
    let key = single_value(headers, model::IDEMPOTENCY_HEADER)?;
    if key.is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_BYTES) {
        let message = format!("the header idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(CallError::new(ResultCode::BadRequest, message));
    }
    Ok(key.map(str::to_string))
}

/// Returns the value of a header, and rejects a repeated header, because it would be ambiguous.
pub(crate) fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, CallError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "occurs more than once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_header(name, "is not visible ASCII text"))
}

fn bad_header(name: &str, reason: &str) -> CallError {
    CallError::new(
        ResultCode::BadRequest,
        format!("the header {name} {reason}"),
    )
}

/// Maximum deadline: one day, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
