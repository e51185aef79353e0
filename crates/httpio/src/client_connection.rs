//! A connection of a client.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};

use crate::body::HttpBody;
use crate::client_stream::SocketView;
use crate::http_client::ClientError;

/// A connection whose task reads and writes its socket.
#[derive(Debug)]
pub struct ClientConnection {
    pub(crate) sender: SendRequest<HttpBody>,
    pub(crate) socket: SocketView,
}

impl ClientConnection {
    /// Sends `request`, which must be written by `write_by`, if that is set.
    pub(crate) async fn send(
        &mut self,
        request: Request<HttpBody>,
        write_by: Option<Duration>,
    ) -> Result<Response<Incoming>, TrySendError<Request<HttpBody>>> {
        if let Some(write_by) = write_by {
            self.socket.limit_next_write(write_by);
        }
        self.socket.set_awaits_head(true);
        let result = self.sender.try_send_request(request).await;
        self.socket.set_awaits_head(false);
        result
    }

    /// Returns what a failed send says about the request.
    pub(crate) fn send_error(&self, err: TrySendError<Request<HttpBody>>) -> ClientError {
        if self.socket.is_write_limit_passed() {
            return ClientError::NotSent(std::io::ErrorKind::Interrupted.into());
        }
        ClientError::NoResponse(err.into_error())
    }
}
