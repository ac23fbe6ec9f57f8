//! Threads that serve operators: JSON over HTTP, authenticated by a key.

mod burn;

use crate::{
    context::Context,
    explain::{explain, suggestion},
    operate::{MemberReply, Order, Receipt, StateReply, WaveReply},
    propose::propose,
    threads::listen::{
        HandlerResponse, Service, WholeRequest, allowed_connections, request_limits, serve_blocking,
    },
};
use fleet::{Change, Fleet, GrantRequest, View, Wave, progress};
use hyper::StatusCode;
use ingress::{Budget, Gate};
use serde::Serialize;
use std::{
    net::TcpListener,
    sync::Arc,
    time::{Duration, SystemTime},
};

/// Number of requests of operators that are handled at a time. Each of them may wait for the log.
const HANDLERS: usize = 4;

/// Part of the process's descriptors that connections of operators may take: one in this many.
const DESCRIPTOR_SHARE: usize = 8;

/// Maximum size of an order, in bytes.
const MAX_ORDER_BYTES: usize = 8 << 20;

/// Maximum number of bytes that requests of operators hold together.
const MAX_REQUEST_BYTES: usize = 2 * MAX_ORDER_BYTES;

/// Creates a response in JSON.
fn json(value: &impl Serialize) -> HandlerResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HandlerResponse {
            status: StatusCode::OK,
            content_type: "application/json",
            body,
        },
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates the response to a request that failed.
fn problem(status: StatusCode, detail: &str) -> HandlerResponse {
    let body = serde_json::json!({ "status": status.as_u16(), "detail": detail });
    HandlerResponse {
        status,
        content_type: "application/problem+json",
        body: body.to_string().into_bytes(),
    }
}

/// Serves operators until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn operators(ctx: &Arc<Context>, listener: TcpListener) {
    let budget = Budget {
        connections: allowed_connections(
            "operators",
            ctx.config.operators.connections,
            DESCRIPTOR_SHARE,
        ),
        bytes: MAX_REQUEST_BYTES,
    };
    let limits = request_limits(&ctx.config.editors);
    let gate = Gate::new("operators", budget, limits, ctx.operator_endings.clone());
    let service = Service {
        handlers: HANDLERS,
        max_body: MAX_ORDER_BYTES,
        key: |ctx| &ctx.config.operators.key,
        handle,
        refuse: problem,
    };
    serve_blocking(ctx, gate, listener, service);
}

fn handle(ctx: &Context, request: &WholeRequest) -> HandlerResponse {
    let uri = &request.head.uri;
    match (request.head.method.as_str(), uri.path()) {
        ("GET", "/metrics") => HandlerResponse {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4",
            body: ctx.metrics.text().into_bytes(),
        },
        ("GET", "/state") => json(&state(ctx)),
        ("GET", "/members") => json(&members(ctx)),
        ("GET", "/burn") => json(&burn::report(ctx)),
        ("GET", "/config") => json(&ctx.config),
        ("GET", "/explain") => explanation(ctx, uri.query().unwrap_or_default()),
        ("POST", "/orders") => handle_order(ctx, &request.body),
        _ => problem(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn state(ctx: &Context) -> StateReply {
    let fleet = ctx.fleet.get();
    let waves = fleet
        .waves
        .iter()
        .map(|(id, wave)| (*id, wave_reply(&fleet, wave)))
        .collect();
    StateReply {
        entry: ctx.config.entry.name.clone(),
        next: fleet.next,
        platform: ctx.reaches_log(),
        tree: fleet.tree.clone(),
        versions: fleet.versions.clone(),
        vms: fleet.vms.clone(),
        counts: fleet.counts.clone(),
        waves,
    }
}

fn wave_reply(fleet: &Fleet, wave: &Wave) -> WaveReply {
    let progress = progress(fleet, wave);
    WaveReply {
        wave: wave.clone(),
        ends: estimate_end(wave, progress.done, progress.pending()),
        progress,
    }
}

/// Estimates when the wave ends if it keeps its present pace. Returns `None` if no VM is done yet
/// or none is pending.
fn estimate_end(wave: &Wave, done: usize, pending: usize) -> Option<SystemTime> {
    if done == 0 || pending == 0 {
        return None;
    }
    let now = SystemTime::now();
    let time_per_vm = now.duration_since(wave.from).ok()?.div_f64(done as f64);
    Some(now + time_per_vm.mul_f64(pending as f64))
}

fn members(ctx: &Context) -> Vec<MemberReply> {
    let own = ctx.status();
    let live = ctx.peers.live();
    let mut members = vec![MemberReply {
        entry: own.entry,
        hall: own.hall,
        next: Some(own.next),
        platform: own.reaches_platform,
    }];
    for neighbour in &ctx.config.peers.neighbours {
        let status = live.iter().find(|status| status.entry == neighbour.entry);
        members.push(MemberReply {
            entry: neighbour.entry.clone(),
            hall: neighbour.hall.clone(),
            next: status.map(|status| status.next),
            platform: status.is_some_and(|status| status.reaches_platform),
        });
    }
    members
}

fn explanation(ctx: &Context, query: &str) -> HandlerResponse {
    let subject = query.strip_prefix("subject=").unwrap_or_default();
    match explain(ctx, subject) {
        Some(explanation) => json(&explanation),
        None => {
            let hint = suggestion(ctx, subject).map(|name| format!("; did you mean `{name}`?"));
            let hint = hint.unwrap_or_default();
            let detail = format!("no VM, level or recent request `{subject}`{hint}");
            problem(StatusCode::NOT_FOUND, &detail)
        }
    }
}

fn handle_order(ctx: &Context, body: &[u8]) -> HandlerResponse {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => {
            return problem(StatusCode::BAD_REQUEST, &format!("not an order: {error}"));
        }
    };
    tracing::info!(?order, "received an operator's order");
    match change_for(ctx, order) {
        Ok(change) => propose_change(ctx, change),
        Err(detail) => problem(StatusCode::NOT_FOUND, &detail),
    }
}

fn propose_change(ctx: &Context, change: Change) -> HandlerResponse {
    match propose(ctx, vec![change]) {
        Ok(decided) => match decided.outcomes.into_iter().next() {
            Some(outcome) => json(&Receipt {
                offset: decided.offset,
                outcome,
            }),
            None => problem(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the record held no change",
            ),
        },
        Err(error) => problem(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

/// Returns the change to propose for an order, based on the present state.
fn change_for(ctx: &Context, order: Order) -> Result<Change, String> {
    let fleet = ctx.fleet.get();
    match order {
        Order::Settings(changes) => Ok(Change::Settings(changes)),
        Order::Wave(change) => Ok(Change::Wave(change)),
        Order::Forget { vm } => Ok(Change::Forget { vm }),
        Order::Undo { vm } => {
            let grant = fleet.vms.get(&vm).and_then(|vm| vm.grant.as_ref());
            match grant {
                Some(grant) => Ok(Change::Undo {
                    grant: grant.id,
                    vm,
                }),
                None => Err(format!("VM `{vm}` is not out of service")),
            }
        }
        Order::Errand { vm, errand } => {
            let Some(known) = fleet.vms.get(&vm) else {
                return Err(unknown_vm(&fleet, &vm));
            };
            let members = ctx.peers.members(&ctx.config, true);
            let view = View {
                entry: &ctx.config.entry.name,
                live: &members,
                now: SystemTime::now(),
                lease: lease(ctx),
            };
            let Some(holder) = view.holder(&vm, known) else {
                return Err(format!(
                    "no live entry in hall `{}` to carry it out",
                    known.hall
                ));
            };
            Ok(Change::Grant(GrantRequest {
                base: known.version,
                purpose: errand,
                holder,
                deadline: view.now + view.lease,
                vm,
            }))
        }
    }
}

fn lease(ctx: &Context) -> Duration {
    ctx.config.steward.lease
}

fn unknown_vm(fleet: &Fleet, vm: &str) -> String {
    let names = fleet.vms.keys().map(String::as_str);
    match settings::nearest(vm, names) {
        Some(known) => format!("no VM `{vm}`; did you mean `{known}`?"),
        None => format!("no VM `{vm}`"),
    }
}
