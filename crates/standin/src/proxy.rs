//! A TCP proxy that injects faults between two processes.
