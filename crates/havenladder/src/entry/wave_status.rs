//! What operators are told of a wave: a record of how far it is.

use super::{
    owner::Owner,
    store_calls::{self, Matter},
};
use adapter::{
    operator::{STATUS_TOPIC, WAVE_KEY, WaveState, write_wave},
    store::{Appended, Condition, frame_keyed},
};
use tracing::{info, warn};

/// How often it is tried to tell how far a wave is, until the next look at it: once to learn where the log ends, once
/// where an answer was lost.
const MAX_ATTEMPTS: usize = 3;

/// Tells operators how far a wave is; false if that was not taken, and is to be told again with the next look.
pub async fn publish(owner: &Owner, wave: u64, state: WaveState) -> bool {
    let key = format!("{WAVE_KEY}{wave}");
    let value = write_wave(state);
    let body = frame_keyed([(key.as_str(), Some(value.as_ref()))]);
    for _ in 0..MAX_ATTEMPTS {
        let at = Condition::At(owner.status_end.get());
        let call = store_calls::append(&owner.node, Matter::Wave, STATUS_TOPIC, at, body.clone());
        match call.await {
            Ok(Appended::Done(end)) => {
                owner.status_end.set(end);
                info!(wave, ?state, "wave status published");
                return true;
            }
            // Others write there, too; or this record is there, and once more says the same.
            Ok(Appended::Moved(end)) => owner.status_end.set(end),
            outcome => {
                warn!(wave, ?state, ?outcome, "wave status not published");
                return false;
            }
        }
    }
    warn!(
        wave,
        ?state,
        "wave status not published: other writers keep appending"
    );
    false
}
