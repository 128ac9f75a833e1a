//! Placeholder until the first thin path.
fn main() {}
