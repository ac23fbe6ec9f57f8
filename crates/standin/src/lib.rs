//! Stand-ins for what the system meets: the platform with its workers, and a proxy that injects
//! faults. For tests and trials on one machine only.

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
