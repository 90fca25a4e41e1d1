//! The controller as a process, beside a real entry, with stand-ins for platform and engines.

mod leases;
#[path = "../ports/mod.rs"]
mod ports;
mod rollouts;
mod site;
