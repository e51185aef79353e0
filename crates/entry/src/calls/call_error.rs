//! Answers that carry a result code instead of an answer.

use std::time::Duration;

use httpio::{HeadFault, ReplyBody, Response, StatusCode};
use model::{OverloadCause, RequestId, ResultCode};

/// A refusal or failure with a text for the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallError {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    retry_after: Duration,
}

impl CallError {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: MIN_RETRY_AFTER,
        }
    }

    /// Sets the time after which a repeat is likely to be let in.
    pub(crate) fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = time.max(MIN_RETRY_AFTER);
        self
    }

    /// Returns the answer for the caller, with a time to come back where a repeat may succeed.
    pub(crate) fn into_response(
        self,
        request_id: RequestId,
        overload: Option<(u64, OverloadCause)>,
    ) -> Response<ReplyBody> {
        self.into_text_response(request_id, overload)
            .map(httpio::full)
    }

    fn into_text_response(
        self,
        request_id: RequestId,
        overload: Option<(u64, OverloadCause)>,
    ) -> Response<String> {
        let body = serde_json::json!({
            "code": self.code.number(),
            "name": self.code.name(),
            "message": self.message,
            "request_id": request_id.to_string(),
            "overloaded_ms": overload.map(|it| it.0),
            "overload_cause": overload.map(|it| it.1),
        });
        let mut response = Response::new(body.to_string());
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(httpio::header::CONTENT_TYPE, JSON);
        if self.code.may_retry() {
            let seconds = self.retry_after.as_secs_f64().ceil() as u64;
            headers.insert(httpio::header::RETRY_AFTER, seconds.into());
        }
        set_result_headers(&mut response, self.code, request_id);
        response
    }
}

/// Answers a request that breaks a limit before its head is whole.
pub(crate) fn head_fault_response(fault: HeadFault) -> Response<String> {
    let (code, message) = match fault {
        HeadFault::Malformed => (
            ResultCode::BadRequest,
            "the request line or a header is not valid HTTP/1.1",
        ),
        HeadFault::TooLarge => (
            ResultCode::HeadersTooLarge,
            "the headers are larger or more than the limit",
        ),
        HeadFault::TooSlow => (ResultCode::TooSlow, "the headers did not arrive in time"),
    };
    CallError::new(code, message).into_text_response(RequestId(rand::random()), None)
}

/// Adds the result code and the id of the request to an answer.
pub(crate) fn set_result_headers<B>(
    response: &mut Response<B>,
    code: ResultCode,
    request_id: RequestId,
) {
    let headers = response.headers_mut();
    if let Ok(value) = code.to_string().parse() {
        headers.insert(model::RESULT_HEADER, value);
    }
    if let Ok(value) = request_id.to_string().parse() {
        headers.insert(model::REQUEST_ID_HEADER, value);
    }
}

const JSON: httpio::HeaderValue = httpio::HeaderValue::from_static("application/json");

/// Shortest time after which a refused caller may come back; the header counts in seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
