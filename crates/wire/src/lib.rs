//! What goes over haremount's own streams: a hello that names format and fleet, then frames of
//! `rmp-serde`, each preceded by its length.

pub mod prelude;

mod frame;
