//! Passes the back end's answer on to the entry.

use http_body_util::BodyExt;
use httpio::{BodySender, Incoming, ReplyBody, Response};
use model::ResultCode;
use routing::CallKind;

use crate::gate::admitted_attempt::AdmittedAttempt;

/// Passes an answer on piece by piece while holding on to the admitted attempt.
pub(crate) fn relay(
    response: Response<Incoming>,
    admitted: AdmittedAttempt,
) -> Response<ReplyBody> {
    let (mut parts, body) = response.into_parts();
    let (sender, reply) = httpio::stream(RELAY_DEPTH);
    tokio::spawn(pass_on(body, sender, admitted));
    parts.headers.remove(httpio::header::TRANSFER_ENCODING);
    parts.headers.remove(httpio::header::CONNECTION);
    if let Ok(value) = ResultCode::Ok.to_string().parse() {
        parts.headers.insert(model::RESULT_HEADER, value);
    }
    Response::from_parts(parts, reply)
}

async fn pass_on(mut body: Incoming, sender: BodySender, mut admitted: AdmittedAttempt) {
    loop {
        // The entry may go away while the engine is silent; then the engine's work has to be cancelled.
        let frame = tokio::select! {
            it = body.frame() => it,
            () = sender.closed() => break,
        };
        let Some(frame) = frame else { return };
        let failed = frame.is_err();
        admitted.on_piece();
        let sent = sender.send(frame.map_err(std::io::Error::other)).await;
        if sent.is_err() || failed {
            break;
        }
    }
    if admitted.kind() == CallKind::Order {
        // An order runs to its end even when nobody listens, because stopping half-way would leave it in doubt.
        while let Some(Ok(_)) = body.frame().await {}
    }
}

/// Pieces of an answer that wait for a slow entry before the engine is held back.
const RELAY_DEPTH: usize = 16;
