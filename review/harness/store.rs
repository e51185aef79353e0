//! Stand-in of the platform's store: tables of rows with transactions and a change feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, HttpRequest, HttpResponse};

#[derive(Default)]
struct StoreContent {
    version: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Version, table, key and value of each change.
    changes: Vec<(u64, String, String, Option<Vec<u8>>)>,
}

pub struct Store {
    content: Mutex<StoreContent>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(ip: [u8; 4]) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            content: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        let address = http::serve((ip, 0).into(), move |request, _| {
            Some(served.handle(&request))
        })?;
        Ok((store, address))
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(
            &mut self.content.lock().unwrap(),
            table,
            key,
            Some(value.as_bytes().to_vec()),
        );
    }

    fn write(&self, content: &mut StoreContent, table: &str, key: &str, value: Option<Vec<u8>>) {
        content.version += 1;
        let version = content.version;
        let row = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => content.rows.insert(row, (value.clone(), version)),
            None => content.rows.remove(&row),
        };
        content
            .changes
            .push((version, table.to_owned(), key.to_owned(), value));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 50_000
    }

    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match request.path() {
            "/fulmarline/rows-get" => {
                let (table, from) = (request.query("table"), request.query("from"));
                let content = self.content.lock().unwrap();
                let rows = content
                    .rows
                    .iter()
                    .filter(|it| it.0.0 == table && it.0.1 >= from);
                let rows: Vec<String> = rows
                    .map(|((_, key), (value, version))| {
                        row_json(&table, key, Some(value), *version)
                    })
                    .collect();
                let text = format!(
                    "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    content.version,
                    self.now_ms()
                );
                HttpResponse::new(200, text).with("Content-Type", "application/json")
            }
            "/fulmarline/rows-feed" => self.feed(request),
            "/fulmarline/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => HttpResponse::new(404, ""),
        }
    }

    fn feed(&self, request: &HttpRequest) -> HttpResponse {
        let table = request.query("table");
        let since: u64 = request.query("sinceRev").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let changes = content
                .changes
                .iter()
                .filter(|it| it.0 > since && it.1 == table);
            let rows: Vec<String> = changes
                .map(|it| row_json(&table, &it.2, it.3.as_deref(), it.0))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    content.version,
                    self.now_ms()
                );
                return HttpResponse::new(200, text).with("Content-Type", "application/json");
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    /// Applies a transaction. The conditions of the processes under test only concern rows that do not exist.
    fn transact(&self, body: &str) -> HttpResponse {
        let mut content = self.content.lock().unwrap();
        for entry in objects(section(body, "expectRev")) {
            let row = (field(entry, "table"), field(entry, "key"));
            let expected: u64 = number(entry, "ver");
            if content.rows.get(&row).map_or(0, |it| it.1) != expected {
                return HttpResponse::new(
                    412,
                    format!(
                        "{{\"ver\":{},\"nowMs\":{}}}",
                        content.version,
                        self.now_ms()
                    ),
                );
            }
        }
        for entry in objects(section(body, "puts")) {
            let value = base64_decode(&field(entry, "value"));
            self.write(
                &mut content,
                &field(entry, "table"),
                &field(entry, "key"),
                Some(value),
            );
        }
        for entry in objects(section(body, "remove")) {
            self.write(
                &mut content,
                &field(entry, "table"),
                &field(entry, "key"),
                None,
            );
        }
        HttpResponse::new(
            200,
            format!(
                "{{\"ver\":{},\"nowMs\":{}}}",
                content.version,
                self.now_ms()
            ),
        )
        .with("Content-Type", "application/json")
    }
}

fn row_json(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{}\"", base64_encode(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
}

/// Returns the text of the list `name` in `body`, whose entries are flat objects.
fn section<'a>(body: &'a str, name: &str) -> &'a str {
    let Some(start) = body.find(&format!("\"{name}\":[")) else {
        return "";
    };
    let rest = &body[start + name.len() + 4..];
    &rest[..rest.find(']').unwrap_or(rest.len())]
}

fn objects(list: &str) -> impl Iterator<Item = &str> {
    list.split('{')
        .skip(1)
        .map(|it| it.split('}').next().unwrap_or(""))
}

fn field(object: &str, name: &str) -> String {
    let marker = format!("\"{name}\":\"");
    let Some(start) = object.find(&marker) else {
        return String::new();
    };
    object[start + marker.len()..]
        .split('"')
        .next()
        .unwrap_or("")
        .to_owned()
}

fn number(object: &str, name: &str) -> u64 {
    let marker = format!("\"{name}\":");
    let Some(start) = object.find(&marker) else {
        return 0;
    };
    let digits: String = object[start + marker.len()..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text
        .bytes()
        .filter_map(|it| ALPHABET.iter().position(|known| *known == it))
    {
        word = word << 6 | byte as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits & 255) as u8);
        }
    }
    bytes
}
