//! Bytes that are no response and have no end, as a server in trouble sends them until its peer closes the connection.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Size of a write.
const WRITE_BYTES: usize = 64 * 1024;

/// Size of the part of a large body that is sent at once.
const BULK_BYTES: usize = 7 * 1024 * 1024;

/// Pause between two writes of a few bytes.
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// Where a response has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndlessBytes {
    /// In the reason phrase of its status line.
    StatusLine,
    /// In the value of a header.
    Header,
    /// In its headers, each of which is complete.
    HeaderLines,
    /// In the interim responses before it.
    InterimResponses,
    /// In a header that arrives byte by byte.
    HeaderTrickle,
    /// In its chunks.
    Chunks,
    /// In chunks of one byte.
    TinyChunks,
    /// In the blanks after the size of a chunk.
    ChunkSize,
    /// In the extension of a chunk.
    ChunkExtension,
    /// In its trailers.
    Trailers,
    /// In a body that has neither a length nor chunks.
    UnframedBody,
    /// In a body of which a large part arrives at once and the rest byte by byte.
    BulkTrickle,
    /// In comments that belong to no event.
    Comments,
    /// In comments that blank lines separate.
    CommentBlocks,
    /// In comments that blank lines separate, each of which arrives after a pause.
    CommentTrickle,
    /// In an event that arrives byte by byte.
    EventTrickle,
    /// In events that have no id.
    Events,
}

impl EndlessBytes {
    /// All ways in which a head has no end.
    pub const HEADS: [Self; 5] = [
        Self::StatusLine,
        Self::Header,
        Self::HeaderLines,
        Self::InterimResponses,
        Self::HeaderTrickle,
    ];

    /// All ways in which a body has no end that contains no event.
    pub const BODIES: [Self; 11] = [
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::UnframedBody,
        Self::BulkTrickle,
        Self::Comments,
        Self::CommentBlocks,
        Self::CommentTrickle,
        Self::EventTrickle,
    ];

    /// Returns the value with the name `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        let kinds = Self::HEADS.into_iter().chain(Self::BODIES);
        let mut kinds = kinds.chain([Self::Events]);
        kinds.find(|it| it.name() == name)
    }

    /// Returns the name of the value, for example for the path of a request.
    pub fn name(self) -> String {
        format!("{self:?}")
    }

    /// Writes bytes for the request with the id `id` until `socket` is closed by its peer, which is returned as an error.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the write that failed.
    pub fn write(self, id: &str, socket: &TcpStream) -> std::io::Result<()> {
        let ok = "HTTP/1.1 200 OK\r\n";
        let head = format!("{ok}Request-Id: {id}\r\nRoute-Stamp: stamp\r\n");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let unframed = format!("{head}\r\n");
        let large_chunk = format!("{WRITE_BYTES:x}\r\n{}\r\n", "x".repeat(WRITE_BYTES));
        match self {
            Self::StatusLine => repeat(socket, "HTTP/1.1 200 ", "x"),
            Self::Header => repeat(socket, &format!("{head}X-More: "), "x"),
            Self::HeaderLines => repeat(socket, &head, "X-More: x\r\n"),
            Self::InterimResponses => repeat(socket, "", "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::HeaderTrickle => trickle(socket, &format!("{head}X-More: "), "x"),
            Self::Chunks => repeat(socket, &chunked, &large_chunk),
            Self::TinyChunks => repeat(socket, &chunked, "1\r\nx\r\n"),
            Self::ChunkSize => repeat(socket, &format!("{chunked}1"), " "),
            Self::ChunkExtension => repeat(socket, &format!("{chunked}1;"), "x"),
            Self::Trailers => repeat(socket, &format!("{chunked}0\r\n"), "X-More: x\r\n"),
            Self::UnframedBody => repeat(socket, &unframed, "x"),
            Self::BulkTrickle => {
                let bulk = "x".repeat(BULK_BYTES);
                trickle(socket, &format!("{unframed}{bulk}"), "x")
            }
            Self::Comments => repeat(socket, &unframed, ": waiting\n"),
            Self::CommentBlocks => repeat(socket, &unframed, ": waiting\n\n"),
            Self::CommentTrickle => trickle(socket, &unframed, ": waiting\n\n"),
            Self::Events => repeat(socket, &chunked, "f\r\ndata: endless\n\n\r\n"),
            Self::EventTrickle => trickle(socket, &format!("{unframed}data: "), "x"),
        }
    }
}

/// Writes `first`, then `unit` without a pause.
fn repeat(mut socket: &TcpStream, first: &str, unit: &str) -> std::io::Result<()> {
    let block = unit.repeat((WRITE_BYTES / unit.len()).max(1));
    socket.write_all(first.as_bytes())?;
    loop {
        socket.write_all(block.as_bytes())?;
    }
}

/// Writes `first`, then `unit` after each pause.
fn trickle(mut socket: &TcpStream, first: &str, unit: &str) -> std::io::Result<()> {
    socket.write_all(first.as_bytes())?;
    loop {
        std::thread::sleep(TRICKLE_PAUSE);
        socket.write_all(unit.as_bytes())?;
    }
}
