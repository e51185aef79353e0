//! Error responses for callers.

use std::time::Duration;

use httpio::{HeadError, HttpBody, Response, StatusCode};
use model::{OverloadCause, RequestId, ResultCode};

/// Result code and message of a request that was refused or failed.
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

    /// Sets the delay after which a retry is likely to be admitted.
    pub(crate) fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = time.max(MIN_RETRY_AFTER);
        self
    }

    /// Converts the error to a response, with a `Retry-After` header if a retry may succeed.
    pub(crate) fn into_response(
        self,
        request_id: RequestId,
        overload: Option<(u64, OverloadCause)>,
    ) -> Response<HttpBody> {
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
        if self.code.is_retryable() {
            let seconds = self.retry_after.as_secs_f64().ceil() as u64;
            headers.insert(httpio::header::RETRY_AFTER, seconds.into());
        }
        set_result_headers(&mut response, self.code, request_id);
        response
    }
}

/// Returns the response to a request whose request line or headers are malformed, too large or too slow.
pub(crate) fn head_error_response(error: HeadError) -> Response<String> {
    let (code, message) = match error {
        HeadError::Malformed => (
            ResultCode::BadRequest,
            "the request line or a header is not valid HTTP/1.1",
        ),
        HeadError::TooLarge => (
            ResultCode::HeadersTooLarge,
            "the size or number of the headers exceeds the limit",
        ),
        HeadError::TooSlow => (ResultCode::TooSlow, "the headers did not arrive in time"),
    };
    CallError::new(code, message).into_text_response(RequestId(rand::random()), None)
}

/// Sets the headers with the result code and the request id.
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

/// Lower bound of the retry delay, because `Retry-After` is in whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
