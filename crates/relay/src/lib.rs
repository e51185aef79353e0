//! Questions of a process to an entry of its zone for the changes of a table of the store.
//!
//! Both ends of the exchange are described here. The crate must not know how an entry follows the store, nor what the rows
//! mean.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{FeedResponse, FeedTable};
use httpio::{HttpClient, Request, StatusCode};

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayQuestion {
    /// Table that is followed.
    pub table: FeedTable,
    /// Version of the store after which changes are wanted; `None` asks for all rows.
    pub since: Option<u64>,
    /// Whether the answer is to wait for a change, for at most [`HOLD`].
    pub holds: bool,
}

impl RelayQuestion {
    /// Returns the path of the question.
    pub fn path(&self) -> String {
        let table = match self.table {
            FeedTable::Operator => OPERATOR_PART,
            FeedTable::Replicas => REPLICAS_PART,
        };
        let since = self.since.map_or_else(String::new, |it| it.to_string());
        let hold = if self.holds { HOLD_PART } else { NOW_PART };
        format!("/feed/{table}/{hold}/{since}")
    }

    /// Reads a question from its path.
    pub fn parse(path: &str) -> Option<Self> {
        let parts: Vec<&str> = path.strip_prefix("/feed/")?.split('/').collect();
        let [table, hold, since] = parts[..] else {
            return None;
        };
        let table = match table {
            OPERATOR_PART => FeedTable::Operator,
            REPLICAS_PART => FeedTable::Replicas,
            _ => return None,
        };
        let since = match since {
            "" => None,
            since => Some(since.parse().ok()?),
        };
        Some(Self {
            table,
            since,
            holds: hold == HOLD_PART,
        })
    }
}

/// Asks the entry at `address`; its copy may be at most `max_age` old.
///
/// # Errors
///
/// Says why there is no answer that can be relied on.
pub async fn ask(
    client: &HttpClient,
    address: SocketAddr,
    question: RelayQuestion,
    max_age: Duration,
) -> Result<FeedResponse, String> {
    let request = Request::builder()
        .uri(question.path())
        .body(httpio::empty())
        .map_err(|it| it.to_string())?;
    let exchange = async {
        let reply = client.send(address, request).await;
        let reply = reply.map_err(|it| it.to_string())?;
        let answer = reply.read(client, MAX_ANSWER_BYTES, ANSWER_TIMEOUT);
        let answer = answer.await.map_err(|it| it.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()));
        }
        postcard::from_bytes::<FeedResponse>(&answer.into_body()).map_err(|it| it.to_string())
    };
    let answer = tokio::time::timeout(HOLD + ANSWER_TIMEOUT, exchange).await;
    let answer = answer.unwrap_or_else(|_| Err("timed out".to_owned()))?;
    if Duration::from_millis(answer.age_ms.into()) > max_age {
        return Err(format!("its copy is {} ms old", answer.age_ms));
    }
    Ok(answer)
}

const OPERATOR_PART: &str = "operator";
const REPLICAS_PART: &str = "replicas";
const HOLD_PART: &str = "hold";
const NOW_PART: &str = "now";

/// Time for which a question is held. An entry that is frozen shows after it, and a configuration must be in force 2 s
/// after its acknowledgement.
pub const HOLD: Duration = Duration::from_millis(500);

/// Time for an answer within a zone, beyond the hold.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer: all rows of a table.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
