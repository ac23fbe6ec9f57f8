//! The platform's log, after PROTOCOL.md: topics with one partition, conditional appends, producers, long polls, the
//! newest record of each key in pages, and the limits on the size of records and calls.

use crate::{
    http::{Request, Response},
    record::Record,
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// `record_bytes` and `call_bytes` of DEPLOY.md.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;

/// `append_ms` of DEPLOY.md.
const APPEND_TIME: Duration = Duration::from_millis(2);

/// The limits of a page of the newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    recent: VecDeque<(u64, Value)>,
}

#[derive(Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: VecDeque<Vec<u8>>,
    /// Size of the records that are kept.
    kept: usize,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// The entry that last appended under a condition on the end.
    writer: Option<usize>,
    /// Number of appends that were refused for their size.
    refused: usize,
    /// Size of the largest record that was appended.
    largest: usize,
}

/// The log.
pub struct Log {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Log {
    pub fn new(record: Record) -> Self {
        Log {
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        }
    }

    /// Returns the entry that last wrote under a condition on the end of a topic, as the owner of the cell does.
    pub fn last_conditional_writer(&self) -> Option<usize> {
        self.state.lock().unwrap().writer
    }

    /// Returns how many appends were refused because a record or the call was too large.
    pub fn refused(&self) -> usize {
        self.state.lock().unwrap().refused
    }

    /// Returns the size of the largest record that was appended.
    pub fn largest(&self) -> usize {
        self.state.lock().unwrap().largest
    }

    /// Appends a record with a key on behalf of the platform or the operator.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        push(
            self.state
                .lock()
                .unwrap()
                .topics
                .entry(topic.to_owned())
                .or_default(),
            topic,
            record,
        );
        self.changed.notify_all();
    }

    /// Handles a call of an entry.
    pub fn handle(&self, entry: usize, request: &Request) -> Option<Response> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(entry, &topic, request),
            ("GET", "/log-read") => self.read(&topic, request),
            ("GET", "/log-newest") => self.newest(&topic, request),
            _ => Response::new(404, ""),
        }
    }

    fn append(&self, entry: usize, name: &str, request: &Request) -> Option<Response> {
        thread::sleep(APPEND_TIME);
        let records = split(&request.body);
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if largest > RECORD_BYTES || request.body.len() > CALL_BYTES {
            state.refused += 1;
            if state.refused <= 20 {
                self.record.line(format!(
                    "store: entry {entry} appends to {name}: {} bytes, largest record {largest} bytes -> 400",
                    request.body.len()
                ));
            }
            return Response::new(400, "{\"reason\":\"size\"}");
        }
        state.largest = state.largest.max(largest);
        let topic = state.topics.entry(name.to_owned()).or_default();
        let number = |key: &str| request.query.get(key).and_then(|n| n.parse::<u64>().ok());
        if number("at").is_some_and(|at| at != topic.end()) {
            return Response::new(412, json!({ "end": topic.end() }).to_string());
        }
        let producer = request.query.get("producer");
        if let (Some(who), Some(epoch), Some(seq)) = (producer, number("epoch"), number("sequence"))
        {
            let known = topic.producers.entry(who.clone()).or_default();
            if epoch < known.epoch {
                return Response::new(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > known.epoch {
                known.epoch = epoch;
                known.recent.clear();
            }
            if let Some((_, first)) = known.recent.iter().find(|(n, _)| *n == seq) {
                return Response::new(200, first.to_string());
            }
            if let Some((last, _)) = known.recent.back()
                && seq != last + 1
            {
                let wanted = json!({ "reason": "seq", "sequence": last + 1 });
                return Response::new(409, wanted.to_string());
            }
        }
        let offset = topic.end();
        for record in records {
            push(topic, name, record);
        }
        let done = json!({ "offset": offset, "end": topic.end() });
        if let (Some(who), Some(seq)) = (producer, number("sequence")) {
            let known = topic.producers.entry(who.clone()).or_default();
            known.recent.push_back((seq, done.clone()));
            if known.recent.len() > 5 {
                known.recent.pop_front();
            }
        }
        if number("at").is_some() {
            state.writer = Some(entry);
        }
        drop(state);
        self.changed.notify_all();
        Response::new(200, done.to_string())
    }

    fn read(&self, name: &str, request: &Request) -> Option<Response> {
        let number = |key: &str| request.query.get(key).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let max_bytes = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.topics.entry(name.to_owned()).or_default();
            if from < topic.first {
                return Response::new(410, json!({ "first": topic.first }).to_string());
            }
            let left = until.saturating_duration_since(Instant::now());
            if topic.end() > from || left.is_zero() {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend(topic.first.to_be_bytes());
                for record in topic.records.iter().skip((from - topic.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > max_bytes {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response::new(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Option<Response> {
        let after = request.query.get("after");
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &topic.newest {
            if after.is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || (size > 0 && size + value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            size += value.len();
            items.push(json!({ "key": key, "value": base64(value), "offset": offset }));
        }
        let page = json!({ "items": items, "more": more, "end": topic.end() });
        Response::new(200, page.to_string())
    }
}

fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

/// Adds a record. Of topics with keys at most 16 MB of history are kept, like after `keep_s` or `part_mb`.
fn push(topic: &mut Topic, name: &str, record: Vec<u8>) {
    if name.starts_with("keyed.") {
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record[length + 1..].to_vec();
        if value.is_empty() {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (topic.end(), value));
        }
    }
    topic.kept += record.len();
    topic.records.push_back(record);
    while topic.kept > 16 << 20 {
        let Some(oldest) = topic.records.pop_front() else {
            break;
        };
        topic.kept -= oldest.len();
        topic.first += 1;
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
