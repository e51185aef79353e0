//! Relays the back end's response to the entry.

use http_body_util::BodyExt;
use httpio::{BodySender, HttpBody, Incoming, Response};
use hyper::Version;
use model::ResultCode;
use routing::CallKind;
use slog::{Logger, warn};

use crate::gate::admitted_attempt::AdmittedAttempt;

/// Returns a response whose body is relayed frame by frame by a separate task, which drops `admitted` when it ends.
///
/// The response is aborted if the back end breaks off its own (see `docs/ARCHITECTURE.md`, "When a response is
/// complete").
pub(crate) fn relay(
    response: Response<Incoming>,
    admitted: AdmittedAttempt,
    log: Logger,
) -> Response<HttpBody> {
    let (mut parts, body) = response.into_parts();
    let (sender, relayed_body) = httpio::stream(MAX_BUFFERED_FRAMES);
    tokio::spawn(forward_body(body, sender, admitted, log));
    // As an HTTP/1.0 response, it would reach the entry without chunks, which show whether it was aborted.
    parts.version = Version::HTTP_11;
    parts.headers.remove(httpio::header::TRANSFER_ENCODING);
    parts.headers.remove(httpio::header::CONNECTION);
    if let Ok(value) = ResultCode::Ok.to_string().parse() {
        parts.headers.insert(model::RESULT_HEADER, value);
    }
    Response::from_parts(parts, relayed_body)
}

async fn forward_body(
    mut body: Incoming,
    sender: BodySender,
    mut admitted: AdmittedAttempt,
    log: Logger,
) {
    loop {
        // The entry may disconnect while the engine sends nothing; the engine's work must then be cancelled.
        let frame = tokio::select! {
            it = body.frame() => it,
            () = sender.closed() => break,
        };
        let Some(frame) = frame else {
            sender.finish();
            return;
        };
        admitted.on_frame();
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) => {
                warn!(log, "back end broke off its response"; "reason" => %err);
                break;
            }
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if sender.send(bytes).await.is_err() {
            break;
        }
    }
    if admitted.kind() == CallKind::Order {
        // An order runs to completion even if the entry has disconnected, since its outcome would be unknown otherwise.
        while let Some(Ok(_)) = body.frame().await {}
    }
}

/// Frames that are buffered for a slow entry before backpressure is applied to the engine.
const MAX_BUFFERED_FRAMES: usize = 16;
