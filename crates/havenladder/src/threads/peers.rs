//! Threads that serve peers and poll their status.

use crate::{
    client::{MAX_RELAY_WAIT, PeerClient},
    context::Context,
    key::is_key,
    peer_table::status_expiry,
    sync::lock,
    threads::placement::Message,
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

/// Number of threads that serve peers. Each of them may be blocked by one request for records.
pub const LISTENER_THREADS: usize = 12;

/// Serves peers until the process ends.
pub fn serve_peers(ctx: &Arc<Context>, server: &Server) {
    while let Ok(request) = server.recv() {
        handle(ctx, request);
    }
}

fn handle(ctx: &Context, request: Request) {
    if !has_key(&request, &ctx.config.peers.key) {
        respond(request, 401, Vec::new());
        return;
    }
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let body = match path {
        "/status" => encode_body(&ctx.status()),
        "/relay" => encode_body(&relay(ctx, query)),
        "/snapshot" => snapshot(ctx),
        "/burn" => encode_body(&burn(ctx)),
        _ => None,
    };
    match body {
        Some(body) => respond(request, 200, body),
        None => respond(request, 404, Vec::new()),
    }
}

fn relay(ctx: &Context, query: &str) -> protocol::LogSlice {
    let from = query
        .strip_prefix("from=")
        .and_then(|from| from.parse().ok());
    ctx.fleet.slice(from.unwrap_or_default(), MAX_RELAY_WAIT)
}

fn snapshot(ctx: &Context) -> Option<Vec<u8>> {
    if !ctx.fleet.is_loaded() {
        return None;
    }
    let bytes = encode_snapshot(&ctx.fleet.get()).ok()?;
    encode_body(&SnapshotReply {
        bytes,
        tail: Vec::new(),
    })
}

/// Returns the burn counts of this entry.
pub fn burn(ctx: &Context) -> BurnReply {
    BurnReply {
        entry: ctx.config.entry.name.clone(),
        since: ctx.started_at,
        services: lock(&ctx.burn).sums(SystemTime::now()),
    }
}

fn encode_body(message: &impl Serialize) -> Option<Vec<u8>> {
    encode(message).ok()
}

/// Returns whether a request carries the key, either in its own header or as a bearer token.
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
    if let Ok(content_type) = Header::from_bytes("content-type", "application/msgpack") {
        response.add_header(content_type);
    }
    // A peer that has disconnected sends the request again.
    let _ = request.respond(response);
}

/// Polls the status of every peer until the process ends.
pub fn poll_peers(ctx: &Arc<Context>) {
    let client = PeerClient::new(&ctx.config.peers.key);
    loop {
        for neighbour in &ctx.config.peers.neighbours {
            if let Some(status) = client.status(&neighbour.peers.to_string()) {
                ctx.peers.record(status, status_expiry(&ctx.config));
            }
        }
        let event = Event::Peers(peers_in_other_halls(ctx));
        ctx.placement.notify(Message::Event(event));
        ctx.metrics
            .in_progress(ctx.in_progress.load(std::sync::atomic::Ordering::Relaxed));
        sleep(ctx.config.peers.interval.max(Duration::from_millis(10)));
    }
}

/// Returns the live entries of other data centres, with the capacity that they report.
fn peers_in_other_halls(ctx: &Context) -> Vec<Peer> {
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
                capacity: status.capacity,
            })
        })
        .collect()
}
