//! Stand-ins for the system's environment: the platform with its workers, and a proxy that injects
//! faults. Only for tests and trials on one machine.

#![expect(
    clippy::missing_panics_doc,
    reason = "a stand-in stops when its own state is broken"
)]

pub mod http;
pub mod ledger;
pub mod load;
pub mod log;
pub mod platform;
pub mod proxy;
pub mod users;
pub mod vm;
pub mod worker;
