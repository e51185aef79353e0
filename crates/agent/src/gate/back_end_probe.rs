//! Finds out whether the back end on this host has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::TcpStream;

/// Probes the back end, and remembers its last end.
#[derive(Debug)]
pub(crate) struct BackEndProbe {
    back_end: SocketAddr,
    last_end: Mutex<Option<BackEndEnd>>,
}

/// An end of the back end.
#[derive(Clone, Copy, Debug)]
struct BackEndEnd {
    /// When it was noticed, in Unix milliseconds.
    unix_ms: u64,
    noticed_at: Instant,
    /// Whether the back end was found running since.
    is_over: bool,
}

impl BackEndProbe {
    pub(crate) fn new(back_end: SocketAddr) -> Self {
        Self {
            back_end,
            last_end: Mutex::new(None),
        }
    }

    /// Returns when the back end ended in Unix milliseconds, also if it has been started again a moment ago. Returns
    /// `None` if it runs or does not answer. All probes of the same end return the same time.
    pub(crate) async fn ended_at(&self) -> Option<u64> {
        let connect = TcpStream::connect(self.back_end);
        let result = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
        let mut last_end = self.lock();
        match result {
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                let end = last_end
                    .filter(|it| !it.is_over)
                    .unwrap_or_else(BackEndEnd::now);
                *last_end = Some(end);
                Some(end.unix_ms)
            }
            Ok(Ok(_)) => {
                let end = last_end.as_mut()?;
                end.is_over = true;
                (end.noticed_at.elapsed() < RECENT_TIME).then_some(end.unix_ms)
            }
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Records that the back end has responded, so that its next end is another one.
    pub(crate) fn record_alive(&self) {
        if let Some(end) = self.lock().as_mut() {
            end.is_over = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<BackEndEnd>> {
        self.last_end
            .lock()
            .expect("no thread panics while it holds the probe lock")
    }
}

impl BackEndEnd {
    fn now() -> Self {
        Self {
            unix_ms: unix_millis(),
            noticed_at: Instant::now(),
            is_over: false,
        }
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Timeout of a probe on the same host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after an end within which entries ask about the requests that it broke.
const RECENT_TIME: Duration = Duration::from_secs(2);
