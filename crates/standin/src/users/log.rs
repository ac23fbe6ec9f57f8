//! The users' log: topics with one partition, appends on conditions, long polls, and the newest record of
//! each key.

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

/// The beginning of the names of topics that keep the newest record of each key.
const KEYED: &str = "keyed.";

/// Answers to the last calls of a producer that are given again.
const ANSWERS: usize = 5;

/// The bytes before the first record of a read's answer: the end, and a number that the stand-in leaves at 0.
const READ_HEAD: usize = 16;

/// What a producer has appended of late.
#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// The numbers of its last calls in this epoch, and the ends that they were told.
    last: Vec<(u64, u64)>,
}

/// One topic.
#[derive(Debug, Default)]
struct Topic {
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: HashMap<String, Producer>,
}

/// Which answers to appends are lost.
#[derive(Debug)]
struct Loss {
    /// The part of them.
    share: f64,
    rng: StdRng,
}

/// The log; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    topics: Arc<Mutex<HashMap<String, Topic>>>,
    changed: Arc<Notify>,
    loss: Arc<Mutex<Option<Loss>>>,
    /// How many reads were made of each topic.
    reads: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Log {
    /// Answers a call.
    pub async fn handle(&self, request: HttpRequest) -> HandlerResponse {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        if request.method == "GET" {
            let mut reads = self.reads.lock().expect("no thread panics here");
            *reads.entry(topic.clone()).or_default() += 1;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => {
                let answer = self.append(&topic, &request);
                if self.loses_response() {
                    // The connection stays open, and nothing more is said on it.
                    future::pending::<()>().await;
                }
                Some(answer)
            }
            ("GET", "/log-read") => Some(self.read(&topic, &request).await),
            ("GET", "/log-newest") => Some(self.newest(&topic)),
            _ => Some(build_response(404, "text/plain", "")),
        }
    }

    /// How many reads were made of a topic so far.
    pub fn reads(&self, topic: &str) -> usize {
        let reads = self.reads.lock().expect("no thread panics here");
        reads.get(topic).copied().unwrap_or(0)
    }

    /// Loses this part of the answers to appends, which are done, until the share is 0. Which ones a seed decides.
    pub fn lose_responses(&self, share: f64, seed: u64) {
        let rng = StdRng::seed_from_u64(seed);
        let loss = (share > 0.0).then_some(Loss { share, rng });
        *self.loss.lock().expect("no thread panics here") = loss;
    }

    /// Whether the next answer to an append is lost.
    fn loses_response(&self) -> bool {
        let mut loss = self.loss.lock().expect("no thread panics here");
        let loss = loss.as_mut();
        loss.is_some_and(|loss| loss.rng.random_bool(loss.share))
    }

    /// Writes a record with a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.with(topic, |log| log.push(topic, record.freeze()));
        self.changed.notify_waiters();
    }

    /// The newest record of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Bytes> {
        self.with(topic, |log| log.newest.get(key).map(|(_, v)| v.clone()))
    }

    /// The newest record of each key of a topic.
    pub fn records(&self, topic: &str) -> Vec<(String, Bytes)> {
        let newest = |log: &mut Topic| {
            let records = log.newest.iter();
            records
                .map(|(key, (_, value))| (key.clone(), value.clone()))
                .collect()
        };
        self.with(topic, newest)
    }

    fn with<T>(&self, topic: &str, work: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = self.topics.lock().expect("no thread panics here");
        work(topics.entry(topic.to_owned()).or_default())
    }

    fn append(&self, name: &str, request: &HttpRequest) -> Response<Full<Bytes>> {
        let outcome = self.with(name, |topic| topic.append(name, request));
        self.changed.notify_waiters();
        let (status, body) = outcome;
        build_response(status, "application/json", body.to_string())
    }

    async fn read(&self, name: &str, request: &HttpRequest) -> Response<Full<Bytes>> {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("wait-ms").unwrap_or(0));
        let until = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let body = self.with(name, |topic| topic.slice(from));
            if body.len() > READ_HEAD || time::Instant::now() >= until {
                return build_response(200, "application/octet-stream", body);
            }
            // The end of the wait is an answer without records.
            let _ = time::timeout_at(until, changed).await;
        }
    }

    fn newest(&self, name: &str) -> Response<Full<Bytes>> {
        let page = self.with(name, |topic| {
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
        if name.starts_with(KEYED) {
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

    fn append(&mut self, name: &str, request: &HttpRequest) -> (u16, Value) {
        let end = self.records.len() as u64;
        if request.query_number("at").is_some_and(|at| at != end) {
            return (412, value!({ "end": end }));
        }
        if let Some(refusal) = self.check_producer(request) {
            return refusal;
        }
        let mut body = request.body.clone();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            let record = body.split_to(length.min(body.len()));
            self.push(name, record);
        }
        let end = self.records.len() as u64;
        self.note_producer(request, end);
        (200, value!({ "end": end }))
    }

    /// What a producer is told that may not append now.
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
        if let Some((_, end)) = known.last.iter().find(|(n, _)| *n == number) {
            return Some((200, value!({ "end": end })));
        }
        let next = known.last.last().map_or(number, |(n, _)| n + 1);
        (number != next).then(|| (409, value!({ "reason": "seq", "sequence": next })))
    }

    fn note_producer(&mut self, request: &HttpRequest, end: u64) {
        let Some(name) = request.query.get("producer") else {
            return;
        };
        let epoch = request.query_number("epoch").unwrap_or(0);
        let number = request.query_number("sequence").unwrap_or(0);
        let known = self.producers.entry(name.clone()).or_default();
        if epoch > known.epoch {
            known.last.clear();
        }
        known.epoch = epoch;
        known.last.push((number, end));
        let drop = known.last.len().saturating_sub(ANSWERS);
        known.last.drain(..drop);
    }

    /// The records from an offset on, as an answer to a read.
    fn slice(&self, from: usize) -> Bytes {
        let mut body = BytesMut::new();
        body.put_u64(self.records.len() as u64);
        body.put_u64(0);
        for record in self.records.iter().skip(from) {
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
