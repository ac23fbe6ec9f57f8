//! How a worker handles requests: at once, or late and without a response.

use super::{Body, Worker};
use crate::users::events::Call;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// How a worker handles requests to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// They are carried out and answered at once.
    Answered,
    /// They are never answered, and carried out after this time by the incarnation that runs then.
    Late(Duration),
}

/// How a worker handles requests to extend its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldMode {
    /// They are carried out at once, and answered when there are ended runs or their time is up.
    Answered,
    /// They are never answered, and carried out after this time by the incarnation that runs then.
    Late(Duration),
}

impl Worker {
    /// Sets how further requests to start a run are handled.
    pub fn set_start_mode(&self, mode: StartMode) {
        *self.start_mode.lock().expect("no thread panics here") = mode;
    }

    /// Sets how further requests to extend the lease are handled.
    pub fn set_hold_mode(&self, mode: HoldMode) {
        *self.hold_mode.lock().expect("no thread panics here") = mode;
    }

    /// Returns the task and the run of each request to start a run that was received without being answered.
    pub fn withheld_starts(&self) -> Vec<(String, u64)> {
        let starts = self.withheld_starts.lock();
        starts.expect("no thread panics here").clone()
    }

    /// Records a request to start a run that is not answered.
    pub(super) fn record_withheld(&self, body: &Body) {
        let mut starts = self.withheld_starts.lock().expect("no thread panics here");
        starts.push((body.task.clone(), body.run));
    }

    /// Carries a request out after a time, on the incarnation that runs then. Nobody reads the response.
    pub(super) fn carry_out_late(self: &Arc<Self>, path: String, body: Body, delay: Duration) {
        let worker = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(delay).await;
            if worker.incarnation().is_none() {
                return;
            }
            let response = match path.as_str() {
                "/run-start" => worker.start_run(&body),
                _ => worker.extend(&body).unwrap_or_else(|| worker.report()),
            };
            worker.record_call(&path, &body, &response, Some(delay));
        });
    }

    /// Returns the time after which a request is carried out, if that is late.
    pub(super) fn delay_of(&self, path: &str) -> Option<Duration> {
        match path {
            "/run-start" => match *self.start_mode.lock().expect("no thread panics here") {
                StartMode::Answered => None,
                StartMode::Late(delay) => Some(delay),
            },
            "/hold" => match *self.hold_mode.lock().expect("no thread panics here") {
                HoldMode::Answered => None,
                HoldMode::Late(delay) => Some(delay),
            },
            _ => None,
        }
    }

    /// Records a request that was carried out.
    pub(super) fn record_call(
        &self,
        path: &str,
        body: &Body,
        response: &Response<Full<Bytes>>,
        delay: Option<Duration>,
    ) {
        let state = self.state();
        let call = Call {
            at: Instant::now(),
            worker: self.id.clone(),
            incarnation: state.started_at_ms,
            path: path.to_owned(),
            task: body.task.clone(),
            run: body.run,
            fence: body.fencing_token,
            lease_ms: state.deadline as i64 - state.clock_ms() as i64,
            status: response.status().as_u16(),
            delay,
        };
        drop(state);
        self.events.record_call(call);
    }
}
