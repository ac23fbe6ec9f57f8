//! The users' log: topics with one partition, conditional appends, long polls, and the newest
//! record of each key.

use crate::http::{HandlerResponse, HttpRequest, build_response, json};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::Response;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json as value};
use std::{
    collections::{BTreeMap, HashMap},
    future,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// The prefix of the topics that keep the newest record of each key.
const KEYED_PREFIX: &str = "keyed.";

/// The number of a producer's latest appends whose responses are kept, so that a retry gets the
/// same response.
const KEPT_RESPONSES: usize = 5;

/// The maximum size of the records in the response to a read that names none, in KB.
const DEFAULT_MAX_KB: u64 = 1_024;

/// The size of the header of a read's response: the end offset, and a number that the stand-in
/// leaves at 0.
const READ_HEADER_BYTES: usize = 16;

/// The maximum size of a record, without its length.
pub const RECORD_BYTES: usize = 262_144;

/// The maximum size of the body of an append.
pub const CALL_BYTES: usize = 2_097_152;

/// The latest appends of a producer.
#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers of the latest appends in this epoch, with the end offsets in their
    /// responses.
    recent: Vec<(u64, u64)>,
}

/// One topic.
#[derive(Debug, Default)]
struct Topic {
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: HashMap<String, Producer>,
}

/// A fault that loses some of the responses to appends.
#[derive(Debug)]
struct Loss {
    /// Fraction of the responses that are lost.
    share: f64,
    rng: StdRng,
}

/// The log; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    topics: Arc<Mutex<HashMap<String, Topic>>>,
    changed: Arc<Notify>,
    loss: Arc<Mutex<Option<Loss>>>,
    /// Maximum size of a record while it is smaller than usual.
    record_limit: Arc<Mutex<Option<usize>>>,
    /// Number of reads of each topic.
    reads: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Log {
    /// Handles a request.
    pub async fn handle(&self, request: HttpRequest) -> HandlerResponse {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        if request.method == "GET" {
            let mut reads = self.reads.lock().expect("no thread panics here");
            *reads.entry(topic.clone()).or_default() += 1;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => {
                let response = self.append(&topic, &request);
                if self.loses_response() {
                    // The connection stays open, but no response is ever sent on it.
                    future::pending::<()>().await;
                }
                Some(response)
            }
            ("GET", "/log-read") => Some(self.read(&topic, &request).await),
            ("GET", "/log-newest") => Some(self.newest(&topic)),
            _ => Some(build_response(404, "text/plain", "")),
        }
    }

    /// Returns the number of reads of a topic so far.
    pub fn reads(&self, topic: &str) -> usize {
        let reads = self.reads.lock().expect("no thread panics here");
        reads.get(topic).copied().unwrap_or(0)
    }

    /// Loses a fraction `share` of the responses to appends, which are carried out nevertheless.
    /// `seed` decides which responses are lost; a share of 0 ends the fault.
    pub fn lose_responses(&self, share: f64, seed: u64) {
        let rng = StdRng::seed_from_u64(seed);
        let loss = (share > 0.0).then_some(Loss { share, rng });
        *self.loss.lock().expect("no thread panics here") = loss;
    }

    /// Refuses records of more than `bytes` from now on, although the settings of the entries name a higher limit.
    pub fn limit_records(&self, bytes: usize) {
        *self.record_limit.lock().expect("no thread panics here") = Some(bytes);
    }

    /// Returns whether the next response to an append is lost.
    fn loses_response(&self) -> bool {
        let mut loss = self.loss.lock().expect("no thread panics here");
        let loss = loss.as_mut();
        loss.is_some_and(|loss| loss.rng.random_bool(loss.share))
    }

    /// Appends a record with a key; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.with_topic(topic, |log| log.push(topic, record.freeze()));
        self.changed.notify_waiters();
    }

    /// Returns the value of the newest record of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Bytes> {
        self.with_topic(topic, |log| log.newest.get(key).map(|(_, v)| v.clone()))
    }

    /// Returns the newest value of each key of a topic.
    pub fn records(&self, topic: &str) -> Vec<(String, Bytes)> {
        let newest = |log: &mut Topic| {
            let records = log.newest.iter();
            records
                .map(|(key, (_, value))| (key.clone(), value.clone()))
                .collect()
        };
        self.with_topic(topic, newest)
    }

    fn with_topic<T>(&self, topic: &str, operation: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = self.topics.lock().expect("no thread panics here");
        operation(topics.entry(topic.to_owned()).or_default())
    }

    fn append(&self, name: &str, request: &HttpRequest) -> Response<Full<Bytes>> {
        let limit = *self.record_limit.lock().expect("no thread panics here");
        let limit = limit.unwrap_or(RECORD_BYTES);
        let outcome = self.with_topic(name, |topic| topic.append(name, request, limit));
        self.changed.notify_waiters();
        let (status, body) = outcome;
        build_response(status, "application/json", body.to_string())
    }

    async fn read(&self, name: &str, request: &HttpRequest) -> Response<Full<Bytes>> {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("wait-ms").unwrap_or(0));
        let max_kb = request.query_number("max_kb").unwrap_or(DEFAULT_MAX_KB);
        let max_bytes = max_kb as usize * 1_024;
        let until = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let body = self.with_topic(name, |topic| topic.encode_from(from, max_bytes));
            if body.len() > READ_HEADER_BYTES || time::Instant::now() >= until {
                return build_response(200, "application/octet-stream", body);
            }
            // When the wait times out, the response contains no records.
            let _ = time::timeout_at(until, changed).await;
        }
    }

    fn newest(&self, name: &str) -> Response<Full<Bytes>> {
        let page = self.with_topic(name, |topic| {
            let item = |(key, (offset, bytes)): (&String, &(u64, Bytes))| {
                value!({ "key": key, "value": base64(bytes), "offset": offset })
            };
            let items: Vec<Value> = topic.newest.iter().map(item).collect();
            value!({ "items": items, "more": false, "end": topic.records.len() })
        });
        json(&page)
    }
}

impl Topic {
    fn push(&mut self, name: &str, record: Bytes) {
        if name.starts_with(KEYED_PREFIX) {
            let mut rest = record.clone();
            let length = usize::from(rest.get_u8());
            let key = String::from_utf8_lossy(&rest.split_to(length)).into_owned();
            if rest.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.records.len() as u64, rest));
            }
        }
        self.records.push(record);
    }

    fn append(&mut self, name: &str, request: &HttpRequest, limit: usize) -> (u16, Value) {
        let end = self.records.len() as u64;
        if request.query_number("at").is_some_and(|at| at != end) {
            return (412, value!({ "end": end }));
        }
        if let Some(refusal) = self.check_producer(request) {
            return refusal;
        }
        let Some(records) = read_records(&request.body, limit) else {
            return (400, value!({ "reason": "size" }));
        };
        records
            .into_iter()
            .for_each(|record| self.push(name, record));
        let end = self.records.len() as u64;
        self.record_append(request, end);
        (200, value!({ "end": end }))
    }

    /// Returns the response to an append that must not be carried out: it comes from an old epoch,
    /// repeats an earlier append, or is out of sequence.
    fn check_producer(&mut self, request: &HttpRequest) -> Option<(u16, Value)> {
        let name = request.query.get("producer")?;
        let (epoch, number) = (
            request.query_number("epoch")?,
            request.query_number("sequence")?,
        );
        let known = self.producers.entry(name.clone()).or_default();
        if epoch < known.epoch {
            return Some((409, value!({ "reason": "fenced" })));
        }
        if epoch > known.epoch {
            return None;
        }
        if let Some((_, end)) = known.recent.iter().find(|(n, _)| *n == number) {
            return Some((200, value!({ "end": end })));
        }
        let next = known.recent.last().map_or(number, |(n, _)| n + 1);
        (number != next).then(|| (409, value!({ "reason": "seq", "sequence": next })))
    }

    fn record_append(&mut self, request: &HttpRequest, end: u64) {
        let Some(name) = request.query.get("producer") else {
            return;
        };
        let epoch = request.query_number("epoch").unwrap_or(0);
        let number = request.query_number("sequence").unwrap_or(0);
        let known = self.producers.entry(name.clone()).or_default();
        if epoch > known.epoch {
            known.recent.clear();
        }
        known.epoch = epoch;
        known.recent.push((number, end));
        let drop = known.recent.len().saturating_sub(KEPT_RESPONSES);
        known.recent.drain(..drop);
    }

    /// Encodes the records from an offset on as the body of a read's response: as many as fit, but at
    /// least one if there is any.
    fn encode_from(&self, from: usize, max_bytes: usize) -> Bytes {
        let mut body = BytesMut::new();
        body.put_u64(self.records.len() as u64);
        body.put_u64(0);
        for record in self.records.iter().skip(from) {
            let is_first = body.len() == READ_HEADER_BYTES;
            if !is_first && body.len() + record.len() > max_bytes {
                break;
            }
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        body.freeze()
    }
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}

/// Returns the records of an append; none if the call or one of them, with more than `limit` bytes, is too large.
fn read_records(body: &Bytes, limit: usize) -> Option<Vec<Bytes>> {
    let mut rest = body.clone();
    let mut records = Vec::new();
    while rest.len() >= 4 {
        let length = rest.get_u32() as usize;
        records.push(rest.split_to(length.min(rest.len())));
    }
    let is_accepted =
        body.len() <= CALL_BYTES && records.iter().all(|record| record.len() <= limit);
    is_accepted.then_some(records)
}
