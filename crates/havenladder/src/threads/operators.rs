//! Threads that serve operators: JSON over HTTP, authenticated by a key.

mod burn;

use crate::{
    context::Context,
    explain::{explain, suggestion},
    operate::{MemberReply, Order, Receipt, StateReply, WaveReply},
    propose::propose,
    threads::peers::has_key,
};
use fleet::{Change, Fleet, GrantRequest, View, Wave, progress};
use serde::Serialize;
use std::{
    io::Read,
    sync::Arc,
    time::{Duration, SystemTime},
};
use tiny_http::{Header, Method, Request, Response, Server};

/// Number of threads that serve operators.
pub const LISTENER_THREADS: usize = 4;

/// Maximum size of an order, in bytes.
const MAX_ORDER_BYTES: u64 = 8 << 20;

/// Response to an operator.
struct OperatorResponse {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl OperatorResponse {
    fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status: 200,
                content_type: "application/json",
                body,
            },
            Err(error) => Self::problem(500, &error.to_string()),
        }
    }

    fn problem(status: u16, detail: &str) -> Self {
        let body = serde_json::json!({ "status": status, "detail": detail });
        Self {
            status,
            content_type: "application/problem+json",
            body: body.to_string().into_bytes(),
        }
    }
}

/// Serves operators until the process ends.
pub fn operators(ctx: &Arc<Context>, server: &Server) {
    while let Ok(mut request) = server.recv() {
        let response = if has_key(&request, &ctx.config.operators.key) {
            handle(ctx, &mut request)
        } else {
            OperatorResponse::problem(401, "the operators' key is missing or wrong")
        };
        respond(request, response);
    }
}

fn respond(request: Request, response: OperatorResponse) {
    let mut http_response = Response::from_data(response.body).with_status_code(response.status);
    if let Ok(content_type) = Header::from_bytes("content-type", response.content_type) {
        http_response.add_header(content_type);
    }
    // An operator that has disconnected sends the request again.
    let _ = request.respond(http_response);
}

fn handle(ctx: &Context, request: &mut Request) -> OperatorResponse {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method(), path) {
        (Method::Get, "/metrics") => OperatorResponse {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: ctx.metrics.text().into_bytes(),
        },
        (Method::Get, "/state") => OperatorResponse::json(&state(ctx)),
        (Method::Get, "/members") => OperatorResponse::json(&members(ctx)),
        (Method::Get, "/burn") => OperatorResponse::json(&burn::report(ctx)),
        (Method::Get, "/config") => OperatorResponse::json(&ctx.config),
        (Method::Get, "/explain") => explanation(ctx, query),
        (Method::Post, "/orders") => handle_order(ctx, request),
        _ => OperatorResponse::problem(404, "no such path"),
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

fn explanation(ctx: &Context, query: &str) -> OperatorResponse {
    let subject = query.strip_prefix("subject=").unwrap_or_default();
    match explain(ctx, subject) {
        Some(explanation) => OperatorResponse::json(&explanation),
        None => {
            let hint = suggestion(ctx, subject).map(|name| format!("; did you mean `{name}`?"));
            let hint = hint.unwrap_or_default();
            let detail = format!("no VM, level or recent request `{subject}`{hint}");
            OperatorResponse::problem(404, &detail)
        }
    }
}

fn handle_order(ctx: &Context, request: &mut Request) -> OperatorResponse {
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(MAX_ORDER_BYTES)
        .read_to_end(&mut body);
    if let Err(error) = read {
        return OperatorResponse::problem(400, &error.to_string());
    }
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => return OperatorResponse::problem(400, &format!("not an order: {error}")),
    };
    tracing::info!(?order, "received an operator's order");
    match change_for(ctx, order) {
        Ok(change) => propose_change(ctx, change),
        Err(detail) => OperatorResponse::problem(404, &detail),
    }
}

fn propose_change(ctx: &Context, change: Change) -> OperatorResponse {
    match propose(ctx, vec![change]) {
        Ok(decided) => match decided.outcomes.into_iter().next() {
            Some(outcome) => OperatorResponse::json(&Receipt {
                offset: decided.offset,
                outcome,
            }),
            None => OperatorResponse::problem(500, "the record held no change"),
        },
        Err(error) => OperatorResponse::problem(503, &error.to_string()),
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
