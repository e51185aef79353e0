//! The answer of a target.

use bytes::Bytes;
use http_body_util::BodyExt;
use httpio::{HttpClient, HttpReply, Incoming, Response};
use tokio::time::Instant;

use crate::calls::target_slot::TargetSlot;

/// An answer with its unread body, and the slot at the target until it is read.
#[derive(Debug)]
pub(crate) struct TargetReply {
    reply: HttpReply,
    client: HttpClient,
    /// The place at the target.
    pub(crate) slot: TargetSlot,
}

impl TargetReply {
    pub(crate) fn new(reply: HttpReply, client: HttpClient, slot: TargetSlot) -> Self {
        Self {
            reply,
            client,
            slot,
        }
    }

    pub(crate) fn head(&self) -> &Response<Incoming> {
        &self.reply.response
    }

    /// Returns the next bytes of the body, or `None` at its end.
    pub(crate) async fn next_chunk(&mut self) -> Option<std::io::Result<Bytes>> {
        loop {
            match self.reply.response.body_mut().frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(_) => continue,
                },
                Err(err) => return Some(Err(std::io::Error::other(err))),
            }
        }
    }

    /// Reads the whole body and lets the connection be used again.
    pub(crate) async fn read(
        self,
        max_bytes: usize,
        deadline: Instant,
    ) -> std::io::Result<Response<Bytes>> {
        let time_remaining = deadline.saturating_duration_since(Instant::now());
        self.reply
            .read(&self.client, max_bytes, time_remaining)
            .await
    }

    /// Lets the connection be used again after the body has ended.
    pub(crate) fn recycle(self) {
        let (_, sender, address) = self.reply.into_parts();
        self.client.recycle(sender, address);
    }
}
