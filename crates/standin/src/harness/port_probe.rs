//! Detection of free ports, which no process that is being started may disturb.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a port is probed and while a process is started. A process inherits all sockets until it executes its
/// program, so it would keep the port of a probe bound for a moment after the probe.
static LOCK: Mutex<()> = Mutex::new(());

/// Returns the lock, which guards no data.
pub(crate) fn lock() -> MutexGuard<'static, ()> {
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether `address` can be listened on.
pub(crate) fn is_free(address: SocketAddr) -> bool {
    let _guard = lock();
    TcpListener::bind(address).is_ok()
}
