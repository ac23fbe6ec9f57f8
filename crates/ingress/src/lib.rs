//! HTTP listeners with bounds on what their connections and unfinished requests may hold.
//!
//! A [`Ledger`] decides, without I/O, which connections are admitted and which have to go. A [`Gate`] carries out
//! its decisions for the connections of one listener. See docs/design/misbehaving-clients.md.

mod body;
mod counters;
mod gate;
mod ledger;
mod limits;
mod listen;
mod stream;

pub use body::{BodyError, collect};
pub use counters::{Counters, Ending};
pub use gate::{Exchange, Gate, Overloaded, Unreceived};
pub use ledger::{Admission, ConnectionId, Hold, Ledger, Phase};
pub use limits::{
    Budget, CALLER_RECEIVE_BUFFER, INTERNAL_RECEIVE_BUFFER, RequestLimits, descriptor_limit,
};
pub use listen::{Reply, bind, serve, sweep};
