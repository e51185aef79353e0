//! A server that forwards connections to another one, and at times responds with bytes without end in its place.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::site::endless_bytes::EndlessBytes;
use crate::site::raw_replica::read_request;

/// A proxy on a loopback address, which runs until the test process ends.
#[derive(Debug)]
pub struct EndlessProxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

#[derive(Debug, Default)]
struct ProxyState {
    endless: Option<EndlessBytes>,
    /// Number of requests that were answered without end.
    endless_count: usize,
    /// Connections of clients that are forwarded.
    forwarded: Vec<TcpStream>,
}

impl EndlessProxy {
    /// Starts a proxy at `address` that forwards connections to `server`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<ProxyState>>::default();
        let shared = state.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = shared.clone();
                // The connection fails if either side closes it, which needs no handling.
                std::thread::spawn(move || serve(&socket, server, &shared));
            }
        });
        Ok(Self { address, state })
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Responds to all requests with `endless` from now on, or forwards them again if it is `None`. Forwarded connections are
    /// closed.
    pub fn set_endless(&self, endless: Option<EndlessBytes>) {
        let mut state = lock(&self.state);
        state.endless = endless;
        for socket in state.forwarded.drain(..) {
            // It may be closed already.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of requests that were answered without end.
    pub fn endless_count(&self) -> usize {
        lock(&self.state).endless_count
    }
}

fn lock(state: &Mutex<ProxyState>) -> MutexGuard<'_, ProxyState> {
    state
        .lock()
        .expect("no thread panics while it holds the proxy lock")
}

fn serve(client: &TcpStream, server: SocketAddr, state: &Mutex<ProxyState>) -> std::io::Result<()> {
    let endless = lock(state).endless;
    if let Some(endless) = endless {
        let request = read_request(client)?;
        lock(state).endless_count += 1;
        return endless.write(request.id(), client);
    }
    lock(state).forwarded.push(client.try_clone()?);
    let server = TcpStream::connect(server)?;
    let (mut client_reader, mut server_writer) = (client.try_clone()?, server.try_clone()?);
    std::thread::spawn(move || {
        // The end of either direction ends both.
        let _ = std::io::copy(&mut client_reader, &mut server_writer);
        let _ = server_writer.shutdown(Shutdown::Both);
    });
    let (mut server_reader, mut client_writer) = (server, client);
    std::io::copy(&mut server_reader, &mut client_writer)?;
    client_writer.flush()?;
    client.shutdown(Shutdown::Both)
}
