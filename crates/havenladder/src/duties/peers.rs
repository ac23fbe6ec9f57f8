//! The duties towards peers: answering them, and asking each how it is.

use crate::{
    client::{PeerClient, RELAY_WAIT},
    context::Context,
    duties::placement::Message,
    key::is_key,
    peer_table::holds_until,
    sync::lock,
};
use fleet::encode_snapshot;
use protocol::{BurnReply, HEADER_KEY, SnapshotReply, encode};
use serde::Serialize;
use serving::{Event, Peer};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, SystemTime},
};
use tiny_http::{Header, Request, Response, Server};

/// Threads that answer peers; each may hold one request for records.
pub const ANSWERERS: usize = 12;

/// Answers peers until the process ends.
pub fn answer_peers(ctx: &Arc<Context>, server: &Server) {
    while let Ok(request) = server.recv() {
        answer(ctx, request);
    }
}

fn answer(ctx: &Context, request: Request) {
    if !has_key(&request, &ctx.config.peers.key) {
        respond(request, 401, Vec::new());
        return;
    }
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let body = match path {
        "/status" => body(&ctx.status()),
        "/relay" => body(&relay(ctx, query)),
        "/snapshot" => snapshot(ctx),
        "/burn" => body(&burn(ctx)),
        _ => None,
    };
    match body {
        Some(body) => respond(request, 200, body),
        None => respond(request, 404, Vec::new()),
    }
}

fn relay(ctx: &Context, query: &str) -> protocol::Slice {
    let from = query
        .strip_prefix("from=")
        .and_then(|from| from.parse().ok());
    ctx.fleet.slice(from.unwrap_or_default(), RELAY_WAIT)
}

fn snapshot(ctx: &Context) -> Option<Vec<u8>> {
    if !ctx.fleet.is_loaded() {
        return None;
    }
    let bytes = encode_snapshot(&ctx.fleet.get()).ok()?;
    body(&SnapshotReply {
        bytes,
        tail: Vec::new(),
    })
}

/// Returns what this entry has counted.
pub fn burn(ctx: &Context) -> BurnReply {
    BurnReply {
        entry: ctx.config.entry.name.clone(),
        since: ctx.since,
        services: lock(&ctx.burn).sums(SystemTime::now()),
    }
}

fn body(message: &impl Serialize) -> Option<Vec<u8>> {
    encode(message).ok()
}

/// Tells whether a request bears the key, as a header of its own or as a bearer token.
pub fn has_key(request: &Request, key: &str) -> bool {
    request.headers().iter().any(|header| {
        let value = header.value.as_str();
        if header.field.equiv(HEADER_KEY) {
            return is_key(value, key);
        }
        header.field.equiv("authorization")
            && value
                .strip_prefix("Bearer ")
                .is_some_and(|token| is_key(token, key))
    })
}

fn respond(request: Request, status: u16, body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(kind) = Header::from_bytes("content-type", "application/msgpack") {
        response.add_header(kind);
    }
    // A peer that went away asks again.
    let _ = request.respond(response);
}

/// Asks every peer how it is, until the process ends.
pub fn ask_peers(ctx: &Arc<Context>) {
    let client = PeerClient::new(&ctx.config.peers.key);
    loop {
        for neighbour in &ctx.config.peers.neighbours {
            if let Some(status) = client.status(&neighbour.peers.to_string()) {
                ctx.peers.hear(status, holds_until(&ctx.config));
            }
        }
        let event = Event::Peers(other_halls(ctx));
        ctx.placement.tell(Message::Happened(event));
        ctx.metrics
            .in_progress(ctx.in_progress.load(std::sync::atomic::Ordering::Relaxed));
        sleep(ctx.config.peers.interval.max(Duration::from_millis(10)));
    }
}

/// The live entries of other halls, with the room they see.
fn other_halls(ctx: &Context) -> Vec<Peer> {
    ctx.peers
        .live()
        .into_iter()
        .filter(|status| status.hall != ctx.config.entry.hall && !status.leaving)
        .filter_map(|status| {
            let neighbours = &ctx.config.peers.neighbours;
            let neighbour = neighbours.iter().find(|peer| peer.entry == status.entry)?;
            Some(Peer {
                entry: status.entry,
                addr: neighbour.editors.to_string(),
                capacity: status.room,
            })
        })
        .collect()
}
