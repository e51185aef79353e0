//! Answers that carry a result code instead of an answer.

use httpio::{HeadFault, ReplyBody, Response, StatusCode};
use model::{RequestId, ResultCode};

/// A refusal or failure with a text for the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRefusal {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
}

impl CallRefusal {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Returns the answer for the caller, with a time to come back where a repeat may succeed.
    pub(crate) fn into_response(self, request: RequestId) -> Response<ReplyBody> {
        self.into_text_response(request).map(httpio::full)
    }

    fn into_text_response(self, request: RequestId) -> Response<String> {
        let body = serde_json::json!({
            "code": self.code.number(),
            "name": self.code.name(),
            "message": self.message,
            "request_id": request.to_string(),
        });
        let mut response = Response::new(body.to_string());
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(httpio::header::CONTENT_TYPE, JSON);
        if self.code.may_retry() {
            headers.insert(httpio::header::RETRY_AFTER, RETRY_AFTER_S);
        }
        mark(&mut response, self.code, request);
        response
    }
}

/// Answers a request that breaks a limit before its head is whole.
pub(crate) fn fault_answer(fault: HeadFault) -> Response<String> {
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
    CallRefusal::new(code, message).into_text_response(RequestId(rand::random()))
}

/// Adds the result code and the id of the request to an answer.
pub(crate) fn mark<B>(response: &mut Response<B>, code: ResultCode, request: RequestId) {
    let headers = response.headers_mut();
    if let Ok(value) = code.to_string().parse() {
        headers.insert(model::RESULT_HEADER, value);
    }
    if let Ok(value) = request.to_string().parse() {
        headers.insert(model::REQUEST_ID_HEADER, value);
    }
}

const JSON: httpio::HeaderValue = httpio::HeaderValue::from_static("application/json");

/// Seconds after which a refused caller may come back.
const RETRY_AFTER_S: httpio::HeaderValue = httpio::HeaderValue::from_static("1");
