//! Threads that serve peers and poll their status.

use crate::{
    client::{MAX_RELAY_WAIT, PeerClient},
    context::Context,
    peer_table::status_expiry,
    sync::lock,
    threads::{
        listen::{
            HandlerResponse, Service, WholeRequest, allowed_connections, request_limits,
            serve_blocking,
        },
        placement::Message,
    },
};
use fleet::encode_snapshot;
use hyper::StatusCode;
use ingress::{Budget, Gate};
use protocol::{BurnReply, SnapshotReply, encode};
use serde::Serialize;
use serving::{Event, Peer};
use std::{
    net::TcpListener,
    sync::Arc,
    thread::sleep,
    time::{Duration, SystemTime},
};

/// Number of requests of peers that are handled at a time. Each of them may wait for records.
const HANDLERS: usize = 12;

/// Part of the process's descriptors that connections of peers may take: one in this many.
const DESCRIPTOR_SHARE: usize = 4;

/// Maximum number of bytes that requests of peers hold. They have no bodies.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Type of the responses to peers.
const CONTENT_TYPE: &str = "application/msgpack";

/// Serves peers until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn serve_peers(ctx: &Arc<Context>, listener: TcpListener) {
    let budget = Budget {
        connections: allowed_connections("peers", ctx.config.peers.connections, DESCRIPTOR_SHARE),
        bytes: MAX_REQUEST_BYTES,
    };
    let limits = request_limits(&ctx.config.editors);
    let gate = Gate::new("peers", budget, limits, ctx.peer_endings.clone());
    let service = Service {
        handlers: HANDLERS,
        max_body: 0,
        key: |ctx| &ctx.config.peers.key,
        handle,
        refuse: |status, _| response(status, Vec::new()),
    };
    serve_blocking(ctx, gate, listener, service);
}

fn handle(ctx: &Context, request: &WholeRequest) -> HandlerResponse {
    let uri = &request.head.uri;
    let body = match uri.path() {
        "/status" => encode_body(&ctx.status()),
        "/relay" => encode_body(&relay(ctx, uri.query().unwrap_or_default())),
        "/snapshot" => snapshot(ctx),
        "/burn" => encode_body(&burn(ctx)),
        _ => None,
    };
    match body {
        Some(body) => response(StatusCode::OK, body),
        None => response(StatusCode::NOT_FOUND, Vec::new()),
    }
}

fn response(status: StatusCode, body: Vec<u8>) -> HandlerResponse {
    HandlerResponse {
        status,
        content_type: CONTENT_TYPE,
        body,
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
