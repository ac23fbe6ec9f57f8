//! `serve`: runs an entry until it is signalled to stop.

use super::{CommandError, GlobalOptions};
use crate::{
    configs::{self, Config},
    context::Context,
    fleet_cell::FleetCell,
    local_observations::LocalObservations,
    logs,
    metrics::Metrics,
    peer_table::PeerTable,
    recent::RecentRequests,
    threads::{
        self,
        claims::{ClaimMessage, ClaimsSender, claims},
        editors::editors,
        follow::follow,
        operators::operators,
        peers::{poll_peers, serve_peers},
        placement::{Message, PlacementSender, placement},
        snapshots::snapshots,
        steward::steward,
        stop::stop,
        watch::watch,
        workers::workers,
    },
};
use crossbeam_channel::Receiver;
use ingress::{CALLER_RECEIVE_BUFFER, Counters, INTERNAL_RECEIVE_BUFFER};
use platform::HttpPlatform;
use std::{
    io,
    net::{SocketAddr, TcpListener},
    panic,
    process::exit,
    sync::Arc,
    time::SystemTime,
};
use tokio::sync::mpsc;

/// Exit code of a process in which a thread panicked.
const PANIC_EXIT_CODE: i32 = 70;

/// Receiving ends of the channels between threads.
struct Receivers {
    placement: Receiver<Message>,
    claims: Vec<Receiver<ClaimMessage>>,
}

/// Listening sockets of the entry. All of them are open before any request is served.
struct Listeners {
    editors: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs an entry until it is signalled to stop.
pub fn serve(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let config = configs::load(options.config)?;
    logs::start(&config.logs);
    exit_on_panic();
    let listeners = listen(&config)?;
    let (ctx, receivers) = make_context(config)?;
    tracing::info!(
        entry = ctx.config.entry.name,
        hall = ctx.config.entry.hall,
        editors = %ctx.config.editors.listen,
        "serving"
    );
    start(&ctx, receivers, listeners).map_err(|error| CommandError::Start(error.to_string()))?;
    stop(&ctx).map_err(|error| CommandError::Start(error.to_string()))
}

/// Exits the process when a thread panics, since a process that runs without one of its threads is
/// worse than one that is replaced.
fn exit_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        exit(PANIC_EXIT_CODE);
    }));
}

fn listen(config: &Config) -> Result<Listeners, CommandError> {
    let listen = |addr: SocketAddr, receive_buffer| {
        ingress::bind(addr, receive_buffer)
            .map_err(|error| CommandError::Io(addr.to_string(), error))
    };
    Ok(Listeners {
        editors: listen(config.editors.listen, CALLER_RECEIVE_BUFFER)?,
        peers: listen(config.peers.listen, INTERNAL_RECEIVE_BUFFER)?,
        operators: listen(config.operators.listen, INTERNAL_RECEIVE_BUFFER)?,
    })
}

fn make_context(config: Config) -> Result<(Arc<Context>, Receivers), CommandError> {
    let (placement, placement_receiver) = PlacementSender::new(config.placement.requests);
    let (claims, claims_receivers) = ClaimsSender::new(config.placement.requests);
    let [caller_endings, operator_endings, peer_endings] = [(); 3].map(|()| Counters::default());
    let listeners = vec![
        ("callers", caller_endings.clone()),
        ("operators", operator_endings.clone()),
        ("peers", peer_endings.clone()),
    ];
    let ctx = Context {
        platform: HttpPlatform::new(&config.platform.address.to_string()),
        fleet: FleetCell::default(),
        services: Default::default(),
        peers: PeerTable::default(),
        observations: LocalObservations::default(),
        listed_vms: Default::default(),
        placement,
        claims,
        capacities: Default::default(),
        recent: RecentRequests::default(),
        burn: Default::default(),
        started_at: SystemTime::now(),
        metrics: Metrics::new(listeners).map_err(CommandError::Start)?,
        in_progress: Default::default(),
        caller_endings,
        operator_endings,
        peer_endings,
        unsettled: Default::default(),
        reaches_log: Default::default(),
        leaving: Default::default(),
        config,
    };
    let receivers = Receivers {
        placement: placement_receiver,
        claims: claims_receivers,
    };
    Ok((Arc::new(ctx), receivers))
}

fn start(ctx: &Arc<Context>, receivers: Receivers, listeners: Listeners) -> io::Result<()> {
    let (sender, dispatches) = mpsc::channel(ctx.config.placement.requests * 4 + 64);
    let messages = receivers.placement;
    threads::spawn("placement", ctx, move |ctx| {
        placement(ctx, &messages, sender);
    })?;
    threads::spawn("workers", ctx, move |ctx| workers(ctx, dispatches))?;
    for (shard, messages) in receivers.claims.into_iter().enumerate() {
        let name = format!("claims-{shard}");
        threads::spawn(&name, ctx, move |ctx| claims(ctx, shard, &messages))?;
    }
    threads::spawn("follow", ctx, follow)?;
    threads::spawn("watch", ctx, watch)?;
    threads::spawn("steward", ctx, steward)?;
    threads::spawn("snapshots", ctx, snapshots)?;
    threads::spawn("ask-peers", ctx, poll_peers)?;
    threads::spawn("answer-peers", ctx, move |ctx| {
        serve_peers(ctx, listeners.peers);
    })?;
    threads::spawn("operators", ctx, move |ctx| {
        operators(ctx, listeners.operators);
    })?;
    threads::spawn("editors", ctx, move |ctx| editors(ctx, listeners.editors))
}
