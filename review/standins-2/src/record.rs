//! The record of a case: what was sent, answered and run, with the time since its start.

use std::sync::LazyLock;
use std::time::Instant;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

pub fn start() {
    LazyLock::force(&STARTED);
}

pub fn write(line: &str) {
    println!("{:8.3}  {line}", STARTED.elapsed().as_secs_f64());
}
