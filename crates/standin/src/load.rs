//! An open-loop load generator.
