//! Tests what responses without end cost the client that receives them.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of frames of a body, each of which is a part of a larger buffer.
const FRAME_COUNT: usize = 1000;

/// A body of frames that count how many of them exist.
struct CountedBody {
    remaining: usize,
    live: Arc<AtomicUsize>,
    peak: Arc<AtomicUsize>,
}

/// The buffer of a frame.
struct CountedBuffer(Arc<AtomicUsize>);

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        b"x"
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        self.remaining -= 1;
        let live = self.live.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(live, Ordering::Relaxed);
        let buffer = CountedBuffer(self.live.clone());
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(buffer)))))
    }
}

fn current_thread() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Guards against a small body in many chunks that keeps all buffers of its connection in memory.
#[test]
fn frames_are_released_while_a_body_is_read() {
    let peak = Arc::new(AtomicUsize::new(0));
    let body = CountedBody {
        remaining: FRAME_COUNT,
        live: Arc::default(),
        peak: peak.clone(),
    };
    let read = httpio::read_limited(body, FRAME_COUNT, WAIT_TIMEOUT);
    assert_eq!(current_thread().block_on(read).unwrap().len(), FRAME_COUNT);
    assert_eq!(peak.load(Ordering::Relaxed), 1);
}
