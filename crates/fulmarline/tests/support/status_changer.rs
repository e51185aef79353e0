//! A proxy before an engine or a service that replaces the status line of responses.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::support::response_proxy;

/// Runs of the requests that demand a status line, by their id.
#[derive(Clone, Debug, Default)]
pub struct StatusLog(Arc<Mutex<BTreeMap<String, u32>>>);

/// A status line that the body or the path of a request demands, as `status-RUN-INDEX-ID`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DemandedStatus<'a> {
    /// The run that gets the status line. The responses to earlier runs break off in their body.
    run: u32,
    /// Index of the status line.
    index: usize,
    id: &'a str,
}

impl StatusLog {
    /// Returns the number of runs of the request with the id `id`.
    pub fn runs(&self, id: &str) -> u32 {
        let runs = self.0.lock().unwrap();
        runs.get(id).copied().unwrap_or_default()
    }

    /// Counts a run and returns the number of earlier ones.
    fn record(&self, id: &str) -> u32 {
        let mut runs = self.0.lock().unwrap();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        *count - 1
    }
}

impl DemandedStatus<'_> {
    fn find(request: &str) -> Option<DemandedStatus<'_>> {
        let (_, demand) = request.split_once("status-")?;
        let mut words = demand.split('-');
        let (run, index, id) = (words.next()?, words.next()?, words.next()?);
        let length = id.find(|it: char| !it.is_ascii_alphanumeric());
        Some(DemandedStatus {
            run: run.parse().ok()?,
            index: index.parse().ok()?,
            id: &id[..length.unwrap_or(id.len())],
        })
    }
}

/// Starts a proxy before `target`, which sends the demanded one of `status_lines`, and returns its address.
pub fn start(
    target: SocketAddr,
    status_lines: &'static [&'static str],
    log: &StatusLog,
) -> SocketAddr {
    let log = log.clone();
    response_proxy::start(target, move |socket, upstream, request| {
        relay(socket, upstream, request, status_lines, &log)
    })
}

fn relay(
    mut socket: &TcpStream,
    mut upstream: &TcpStream,
    request: &str,
    status_lines: &[&str],
    log: &StatusLog,
) -> std::io::Result<()> {
    let Some(status) = DemandedStatus::find(request) else {
        return std::io::copy(&mut upstream, &mut socket).map(drop);
    };
    let run = log.record(status.id);
    let mut reader = BufReader::new(upstream);
    let mut status_line = String::new();
    reader.read_line(&mut status_line)?;
    if run == status.run {
        write!(socket, "{}\r\n", status_lines[status.index])?;
        return std::io::copy(&mut reader, &mut socket).map(drop);
    }
    socket.write_all(status_line.as_bytes())?;
    if run > status.run {
        return std::io::copy(&mut reader, &mut socket).map(drop);
    }
    // The head and the first line of the body.
    let mut line = String::new();
    let mut is_body = false;
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        socket.write_all(line.as_bytes())?;
        if line.starts_with("data: ") {
            // The first event of a chunked body.
            reader.read_line(&mut line)?;
            return socket.write_all(b"\n\r\n");
        }
        if is_body && line.is_empty() {
            return Ok(());
        }
        is_body |= line == "\r\n";
    }
}
