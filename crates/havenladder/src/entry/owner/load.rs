//! Loads what earlier owners recorded.

use super::{
    Owner,
    append::{RETRY_INTERVAL, TOPIC, fence},
};
use crate::entry::store_calls;
use adapter::store::KeyedRecord;
use clock::Instant;
use std::rc::Rc;
use tokio::time;
use tracing::{info, warn};

/// Maximum number of jobs with inconsistent records that are logged, since each takes a line.
const MAX_LOGGED_JOBS: usize = 100;

/// Fences earlier owners off and loads what they recorded. Returns false if this owner was fenced
/// off itself.
pub async fn load(owner: &Rc<Owner>) -> bool {
    let began = Instant::now();
    if !fence(owner).await {
        owner.end("a newer owner was first");
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
                odd.into_iter().take(MAX_LOGGED_JOBS).for_each(|job| {
                    warn!(
                        job = format!("{job:016x}"),
                        "skipped a job with inconsistent records"
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

/// Decodes a record. One that cannot be decoded is logged and skipped.
fn decode(record: &KeyedRecord) -> Option<jobs::Decoded> {
    let value = record.value.as_ref()?;
    match jobs::decode_entry(&record.key, value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            warn!(%error, key = record.key, "cannot decode a record of the cell");
            None
        }
    }
}
