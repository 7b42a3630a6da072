//! The router daemon.

fn main() {}
