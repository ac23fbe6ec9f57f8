//! Takes in what earlier owners recorded.

use super::{
    Owner,
    append::{RETRY_INTERVAL, TOPIC, append},
};
use crate::entry::store_calls;
use adapter::store::Keyed;
use clock::Instant;
use std::rc::Rc;
use tokio::time;
use tracing::{info, warn};

/// How many jobs are named whose records do not fit each other: all of them would be a line each.
const MOST_ODD: usize = 100;

/// Shuts out earlier owners and takes in what they recorded; false if this owner was shut out.
pub async fn load(owner: &Rc<Owner>) -> bool {
    let began = Instant::now();
    if !append(owner, &[], 0, &mut Vec::new()).await {
        owner.end("a newer owner was there first");
        return false;
    }
    loop {
        if !owner.is_alive() {
            return false;
        }
        match store_calls::newest(&owner.node, TOPIC).await {
            Ok(Some(newest)) => {
                let records: Vec<_> = newest.records.iter().filter_map(decode).collect();
                let count = records.len();
                let odd = owner.cell.borrow_mut().load_records(records);
                odd.into_iter().take(MOST_ODD).for_each(|job| {
                    warn!(
                        job = format!("{job:016x}"),
                        "the records of a job do not fit each other; it is left out"
                    );
                });
                let jobs = owner.cell.borrow().jobs.len();
                info!(
                    count,
                    jobs,
                    ms = began.elapsed().as_millis() as u64,
                    "took over the cell"
                );
                return true;
            }
            Ok(None) | Err(_) => time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Reads a record; one that cannot be read is logged and left out.
fn decode(record: &Keyed) -> Option<jobs::Decoded> {
    let value = record.value.as_ref()?;
    match jobs::decode_entry(&record.key, value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            warn!(%error, key = record.key, "a record of the cell cannot be read");
            None
        }
    }
}
