//! What operators are told of a wave: a record of how far it is.

use super::{
    owner::Owner,
    store_calls::{self, AppendKind},
};
use adapter::{
    operator::{STATUS_TOPIC, WAVE_KEY_PREFIX, WaveState, write_wave},
    store::{AppendResponse, Condition, frame_keyed},
};
use tracing::{info, warn};

/// How often it is tried to tell how far a wave is, until the next look at it: once to learn where the log ends, once
/// where an answer was lost.
const TRIES: usize = 3;

/// Tells operators how far a wave is; false if that was not taken, and is to be told again with the next look.
pub async fn publish(owner: &Owner, wave: u64, state: WaveState) -> bool {
    let key = format!("{WAVE_KEY_PREFIX}{wave}");
    let value = write_wave(state);
    let body = frame_keyed([(key.as_str(), Some(value.as_ref()))]);
    for _ in 0..TRIES {
        let at = Condition::At(owner.status_end.get());
        let call = store_calls::append(
            &owner.node,
            AppendKind::Wave,
            STATUS_TOPIC,
            at,
            body.clone(),
        );
        match call.await {
            Ok(AppendResponse::Done(end)) => {
                owner.status_end.set(end);
                info!(wave, ?state, "wave told");
                return true;
            }
            // Others write there, too; or this record is there, and once more says the same.
            Ok(AppendResponse::Moved(end)) => owner.status_end.set(end),
            outcome => {
                warn!(wave, ?state, ?outcome, "wave not told");
                return false;
            }
        }
    }
    warn!(wave, ?state, "wave not told: others write");
    false
}
