//! The controller as a process, beside a real entry, with stand-ins for platform and engines.

mod leases;
mod rollouts;
mod site;
