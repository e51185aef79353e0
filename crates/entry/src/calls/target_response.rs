//! A target's response whose body has not been read, with the slot of its request.

use std::pin::pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use httpio::{HttpClient, Incoming, PooledResponse, Response};
use tokio::time::Instant;

use crate::calls::target_slot::TargetSlot;

/// Response whose body has not been read, with the slot that the request occupies until then.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pooled_response: PooledResponse,
    client: HttpClient,
    /// Slot that the request occupies.
    pub(crate) slot: TargetSlot,
}

impl TargetResponse {
    pub(crate) fn new(
        pooled_response: PooledResponse,
        client: HttpClient,
        slot: TargetSlot,
    ) -> Self {
        Self {
            pooled_response,
            client,
            slot,
        }
    }

    pub(crate) fn head(&self) -> &Response<Incoming> {
        &self.pooled_response.response
    }

    /// Polls for the next data frame of the body, or `None` at its end.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Bytes>>> {
        loop {
            let frame = pin!(self.pooled_response.response.body_mut().frame());
            return match ready!(frame.poll(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => Poll::Ready(Some(Ok(bytes))),
                    Err(_) => continue,
                },
                Some(Err(err)) => Poll::Ready(Some(Err(std::io::Error::other(err)))),
                None => Poll::Ready(None),
            };
        }
    }

    /// Reads the complete body, and returns the connection to the pool.
    pub(crate) async fn read(
        self,
        max_bytes: usize,
        deadline: Instant,
    ) -> std::io::Result<Response<Bytes>> {
        let time_remaining = deadline.saturating_duration_since(Instant::now());
        self.pooled_response
            .read(&self.client, max_bytes, time_remaining)
            .await
    }

    /// Returns the connection to the pool after the body has ended.
    pub(crate) fn recycle(self) {
        let (_, sender, address) = self.pooled_response.into_parts();
        self.client.recycle(sender, address);
    }
}
