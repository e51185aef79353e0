//! A proxy before an engine or a service that closes connections in the middle of the head of a response.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::support::response_proxy;

/// A cut that the body or the path of a request demands, as `cut-RUN-END-POSITION-ID`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DemandedCut<'a> {
    /// The run whose head is cut. The responses to earlier runs break off in their body.
    run: u32,
    is_reset: bool,
    position: usize,
    id: &'a str,
}

/// Runs of the requests that demand a cut, by their id, and whether their head was longer than the cut.
#[derive(Clone, Debug, Default)]
pub struct CutLog(Arc<Mutex<BTreeMap<String, CutRecord>>>);

/// What happened to a request that demands a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutRecord {
    pub runs: u32,
    /// Whether the head of a response was cut.
    pub is_cut: bool,
}

impl DemandedCut<'_> {
    fn find(request: &str) -> Option<DemandedCut<'_>> {
        let (_, demand) = request.split_once("cut-")?;
        let mut words = demand.split('-');
        let (run, end, position) = (words.next()?, words.next()?, words.next()?);
        let id = words.next()?;
        let length = id.find(|it: char| !it.is_ascii_alphanumeric());
        Some(DemandedCut {
            run: run.parse().ok()?,
            is_reset: end == "reset",
            position: position.parse().ok()?,
            id: &id[..length.unwrap_or(id.len())],
        })
    }
}

impl CutLog {
    pub fn get(&self, id: &str) -> CutRecord {
        let records = self.0.lock().unwrap();
        records.get(id).copied().unwrap_or_default()
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut CutRecord)) -> CutRecord {
        let mut records = self.0.lock().unwrap();
        let record = records.entry(id.to_owned()).or_default();
        change(record);
        *record
    }
}

/// Starts a proxy before `target` and returns its address.
pub fn start(target: SocketAddr, log: &CutLog) -> SocketAddr {
    let log = log.clone();
    response_proxy::start(target, move |socket, upstream, request| {
        relay(socket, upstream, request, &log)
    })
}

fn relay(
    mut socket: &TcpStream,
    mut upstream: &TcpStream,
    request: &str,
    log: &CutLog,
) -> std::io::Result<()> {
    let Some(cut) = DemandedCut::find(request) else {
        return std::io::copy(&mut upstream, &mut socket).map(drop);
    };
    let run = log.update(cut.id, |it| it.runs += 1).runs - 1;
    let (head, first_line) = read_head(upstream)?;
    if run == cut.run && cut.position < head.len() {
        log.update(cut.id, |it| it.is_cut = true);
        socket.write_all(&head[..cut.position])?;
        if cut.is_reset {
            standin::reset_on_close(socket)?;
        }
        return Ok(());
    }
    socket.write_all(&head)?;
    socket.write_all(&first_line)?;
    if run < cut.run {
        return Ok(());
    }
    std::io::copy(&mut upstream, &mut socket).map(drop)
}

/// Reads the head of a response and what has arrived of the first line of its body.
fn read_head(mut upstream: &TcpStream) -> std::io::Result<(Vec<u8>, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = upstream.read(&mut buffer)?;
        bytes.extend_from_slice(&buffer[..count]);
        let end = bytes.windows(4).position(|it| it == b"\r\n\r\n");
        if let Some(end) = end {
            let rest = bytes.split_off(end + 4);
            return Ok((bytes, rest));
        }
        if count == 0 {
            return Ok((bytes, Vec::new()));
        }
    }
}
