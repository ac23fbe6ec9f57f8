//! Publishes the status of waves for operators.

use super::{
    owner::Owner,
    store_calls::{self, AppendKind},
};
use adapter::{
    operator::{STATUS_TOPIC, WAVE_KEY_PREFIX, WaveState, write_wave},
    store::{AppendResponse, Condition, frame_keyed},
};
use tracing::{info, warn};

/// Maximum number of attempts to publish a status before the next round. Two of them allow for learning where the log
/// ends and for a lost response.
const MAX_ATTEMPTS: usize = 3;

/// Publishes the state of a wave. Returns false if that failed; the caller retries in the next round.
pub async fn publish(owner: &Owner, wave: u64, state: WaveState) -> bool {
    let key = format!("{WAVE_KEY_PREFIX}{wave}");
    let value = write_wave(state);
    let body = frame_keyed([(key.as_str(), Some(value.as_ref()))]);
    for _ in 0..MAX_ATTEMPTS {
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
                info!(wave, ?state, "wave status published");
                return true;
            }
            // Other writers append here too, or this record was already appended, in which case repeating it is
            // harmless.
            Ok(AppendResponse::Moved(end)) => owner.status_end.set(end),
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
