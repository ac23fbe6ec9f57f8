//! Receives the requests of a connection, as far as its gate allows.

use super::{Overloaded, Watched};
use crate::{
    body::{BodyError, next_piece},
    counters::Ending,
    ledger::Phase,
};
use bytes::Bytes;
use clock::Instant;
use hyper::body::{Body, Incoming};
use std::{rc::Rc, time::Duration};

/// Reason why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreceived {
    /// It has more bytes than allowed.
    TooLarge,
    /// The connection broke, or the body is malformed.
    Broken,
    /// It was not complete in time.
    Late,
    /// It was not complete when others needed its bytes, or there are too few bytes left for it.
    Overload,
    /// It was not complete when the process stopped.
    Stop,
}

impl Unreceived {
    /// Returns why a body is given up whose request was ended for a reason.
    fn from_ending(ending: Ending) -> Self {
        match ending {
            Ending::LateBody => Unreceived::Late,
            Ending::Stop => Unreceived::Stop,
            _ => Unreceived::Overload,
        }
    }
}

impl From<BodyError> for Unreceived {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Unreceived::TooLarge,
            BodyError::Broken => Unreceived::Broken,
        }
    }
}

/// A request and its response, as far as the gate of its connection is concerned.
#[derive(Clone)]
pub struct Exchange {
    watched: Rc<Watched>,
}

impl Exchange {
    /// Begins with a request whose head has arrived.
    pub(crate) fn begin(watched: &Rc<Watched>) -> Self {
        watched.enter(Phase::Service, None);
        Exchange {
            watched: Rc::clone(watched),
        }
    }

    /// Records that the response is complete and is about to be sent.
    pub(crate) fn respond(&self) {
        let timeout = self.watched.gate.limits.get().response_timeout;
        self.watched.enter(Phase::Response, Some(timeout));
    }

    /// Receives a body of at most `max` bytes for as long as a body may take, or until `by` if that is sooner.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is not received; nothing of the request has been carried out then.
    pub async fn receive(
        &self,
        mut body: Incoming,
        max: usize,
        by: Option<Instant>,
    ) -> Result<Bytes, Unreceived> {
        if body.size_hint().lower() > max as u64 {
            return Err(Unreceived::TooLarge);
        }
        let watched = &self.watched;
        let left = by.map_or(Duration::MAX, |by| by - Instant::now());
        let timeout = watched.gate.limits.get().body_timeout.min(left);
        watched.enter(Phase::Body, Some(timeout));
        let received = self.receive_all(&mut body, max).await;
        let body = watched.received.take();
        received?;
        watched.enter(Phase::Service, None);
        Ok(body.finish())
    }

    async fn receive_all(&self, body: &mut Incoming, max: usize) -> Result<(), Unreceived> {
        let watched = &self.watched;
        while let Some(piece) = self.next(body).await? {
            let (bytes, capacity) = {
                let received = watched.received.borrow();
                (received.bytes(), received.capacity_with(piece.len()))
            };
            if bytes + piece.len() > max {
                return Err(Unreceived::TooLarge);
            }
            let held = watched.head_bytes.get() + capacity;
            if watched.hold(held, Ending::Bytes).is_err() {
                return Err(Unreceived::Overload);
            }
            watched.received.borrow_mut().push(&piece);
        }
        Ok(())
    }

    /// Returns the next piece of a body, unless the request has to end. A stop refuses only a body of which no piece is
    /// there.
    async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, Unreceived> {
        let watched = &self.watched;
        if let Some(ending) = watched.ending.get() {
            return Err(Unreceived::from_ending(ending));
        }
        tokio::select! {
            biased;
            piece = next_piece(body) => Ok(piece?),
            () = std::future::ready(()), if watched.gate.refusing.get() => {
                watched.gate.counters.count(Ending::Stop);
                Err(Unreceived::Stop)
            }
            ending = watched.wait_for_ending() => Err(Unreceived::from_ending(ending)),
        }
    }

    /// Lets a whole request hold a number of bytes beside its head, in place of what it has held so far.
    ///
    /// # Errors
    ///
    /// Fails if others that are being answered hold too many. The request has to be refused then.
    pub fn hold(&self, bytes: usize) -> Result<(), Overloaded> {
        let held = self.watched.head_bytes.get() + bytes;
        self.watched.hold(held, Ending::Overload)
    }
}
