//! Tree of the settings that operators publish, with the levels place, pool and service.
//!
//! A service inherits from its pool and a pool from its place. The lowest level that sets a value wins. Files
//! are JSON with comments. All errors of a file are reported together, each with its position.

mod document;
mod finding;
mod node;
mod read;
mod resolve;
mod tree;

pub use document::{Document, Fields};
pub use finding::{Finding, Findings, nearest};
pub use node::{Budget, Class, Node};
pub use read::read_tree;
pub use resolve::{Key, Service, Source, admits_hall, sources};
pub use tree::{Change, Path, Tree, diff, pool_of};
