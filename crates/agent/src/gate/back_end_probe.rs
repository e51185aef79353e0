//! Finds out whether the back end on this host has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpStream;

/// Probes the back end, and remembers when its present end was noticed first.
#[derive(Debug)]
pub(crate) struct BackEndProbe {
    back_end: SocketAddr,
    /// Unix time in milliseconds at which the back end was first found to have ended, if it has.
    ended_at: Mutex<Option<u64>>,
}

impl BackEndProbe {
    pub(crate) fn new(back_end: SocketAddr) -> Self {
        Self {
            back_end,
            ended_at: Mutex::new(None),
        }
    }

    /// Returns when the back end ended in Unix milliseconds, or `None` if it accepts connections or does not answer. All
    /// probes of the same end return the same time.
    pub(crate) async fn ended_at(&self) -> Option<u64> {
        let connect = TcpStream::connect(self.back_end);
        match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                Some(*self.lock().get_or_insert_with(unix_millis))
            }
            Ok(Ok(_)) => {
                self.record_alive();
                None
            }
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Records that the back end has responded, so that its next end is another one.
    pub(crate) fn record_alive(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<u64>> {
        self.ended_at
            .lock()
            .expect("no thread panics while it holds the probe lock")
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Timeout of a probe on the same host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
