//! What callers make a process hold, and the budget for it.
//!
//! A VM has a fixed amount of memory and descriptors ([`VmCapacity`]).

mod capacity;

pub use capacity::VmCapacity;
