//! Passes a streamed answer on and makes its end explicit.

use bytes::Bytes;
use http_body_util::BodyExt;
use httpio::{BodySender, Incoming};
use hyper::body::Frame;
use model::ResultCode;

use crate::calls::call_counters::CallGuard;

/// Relays `body` event by event; an answer that ends without its end mark gets an error event instead.
pub(crate) async fn relay(mut body: Incoming, sender: BodySender, _guard: CallGuard) {
    let mut tail: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            it = body.frame() => it,
            () = sender.closed() => return,
        };
        let Some(Ok(frame)) = frame else { break };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        remember_tail(&mut tail, &bytes);
        if sender.send(Ok(Frame::data(bytes))).await.is_err() {
            return;
        }
    }
    if !tail.ends_with(END_MARK) {
        let event = error_event(ResultCode::StreamCut, "the target was lost");
        let _ = sender.send(Ok(Frame::data(event))).await;
    }
}

/// Returns the event that ends an answer which is not whole.
pub(crate) fn error_event(code: ResultCode, message: &str) -> Bytes {
    let data =
        serde_json::json!({ "code": code.number(), "name": code.name(), "message": message });
    format!("event: error\ndata: {data}\n\n").into()
}

fn remember_tail(tail: &mut Vec<u8>, bytes: &[u8]) {
    tail.extend_from_slice(bytes);
    let excess = tail.len().saturating_sub(END_MARK.len());
    tail.drain(..excess);
}

/// The end of every whole streamed answer.
const END_MARK: &[u8] = b"data: [DONE]\n\n";
