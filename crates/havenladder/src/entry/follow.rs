//! Follows what operators publish: the configuration and waves of upkeep.

use super::{
    inner::{self, Ask, Tell},
    lease::set_lease,
    node::Node,
    store_calls,
};
use adapter::{
    operator::{self, CONFIG_KEY, TOPIC, WAVE_KEY},
    store::{Keyed, Offset, Read, split_keyed},
};
use bytes::Bytes;
use clock::Instant;
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::{info, warn};

/// How long a read waits for the next record. A connection that fell silent is noticed soon after
/// this, and a change must be in force within 2 s.
const WAIT: Duration = Duration::from_millis(800);

/// How long a peer may take to tell what is new.
const PEER: Duration = Duration::from_millis(150);

/// Time until the store is asked again after it did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the topic for ever.
pub async fn run(node: Rc<Node>) {
    loop {
        if let Ok(Some(newest)) = store_calls::newest(&node, TOPIC).await {
            newest
                .records
                .into_iter()
                .for_each(|record| apply(&node, record));
            read_on(&node, newest.end).await;
        }
        ask_peers(&node).await;
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Reads on until the records asked for are gone.
async fn read_on(node: &Node, mut from: Offset) {
    loop {
        match store_calls::read(node, TOPIC, from, WAIT).await {
            Ok(Read::Records(_, records)) => {
                from += records.len() as Offset;
                records
                    .into_iter()
                    .filter_map(split_keyed)
                    .for_each(|r| apply(node, r));
            }
            Ok(Read::Gone(first)) => {
                info!(
                    from,
                    first, "records of operators are gone; the newest are read again"
                );
                return;
            }
            Ok(Read::Busy) | Err(_) => {
                ask_peers(node).await;
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Asks other entries for what the platform does not tell this one.
async fn ask_peers(node: &Node) {
    let version = node.config().map_or(0, |config| config.version);
    let ask = Ask::News {
        version,
        end: node.lease_end.get(),
    };
    for peer in node.peers() {
        let Ok(Tell::News(news)) = inner::ask(node, &peer, &ask, Instant::now() + PEER).await
        else {
            continue;
        };
        if let Some((lease, end)) = news.lease {
            set_lease(node, lease, end);
        }
        if let Some(config) = news.config {
            info!(peer, "a peer has a newer configuration");
            let (key, value) = (CONFIG_KEY.to_owned(), Some(config.into()));
            apply(node, Keyed { key, value });
        }
        return;
    }
}

/// Takes in a record of operators.
fn apply(node: &Node, record: Keyed) {
    let Some(value) = record.value else { return };
    if record.key == CONFIG_KEY {
        match operator::read_config(&value) {
            Ok(config) => apply_config(node, config, value),
            Err(error) => warn!(%error, "a configuration cannot be read; the old one stays"),
        }
    } else if record.key.starts_with(WAVE_KEY) {
        match operator::read_wave(&value) {
            Ok(wave) => {
                info!(
                    wave = wave.number,
                    vms = wave.vms.len(),
                    most = wave.most,
                    "wave asked for"
                );
                node.waves.borrow_mut().entry(wave.number).or_insert(wave);
            }
            Err(error) => warn!(%error, key = record.key, "a wave cannot be read"),
        }
    }
}

/// Puts a configuration in force, unless a newer one is.
fn apply_config(node: &Node, config: operator::Config, raw: Bytes) {
    let mut current = node.config.borrow_mut();
    let old = current.as_ref().map_or(0, |config| config.version);
    if current.is_some() && config.version <= old {
        return;
    }
    info!(
        version = config.version,
        old,
        queues = config.routes.len(),
        "configuration in force"
    );
    *current = Some(Rc::new(config));
    *node.raw_config.borrow_mut() = Some(raw);
}
