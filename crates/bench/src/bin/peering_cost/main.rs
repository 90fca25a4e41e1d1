//! What the links between the nodes cost each node, by fleet size.
//!
//! The reducers run in memory with the frames of the real links; `--sockets` runs them over real
//! loopback sockets instead, all in this process.

mod fleet;
mod load;
mod meter;
mod model;
mod sockets;

use std::process;

use guavausher_core::peering;

/// Fleet sizes of the table.
const SIZES: [usize; 5] = [9, 45, 90, 190, 380];
const HELP: &str = "\
Measures what the links between the nodes cost each node.

  peering_cost [--seed N]          the reducers in memory at 9, 45, 90, 190 and 380 nodes
  peering_cost --sockets NODES     that many nodes over loopback sockets, for 20 s";

fn main() -> process::ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    let seed = arguments.opt_value_from_str("--seed");
    let nodes = arguments.opt_value_from_str("--sockets");
    match (seed, nodes) {
        (Ok(seed), Ok(None)) => in_memory(seed.unwrap_or(1)),
        (Ok(_), Ok(Some(nodes))) => sockets::run(nodes),
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("{error}; see --help");
            return process::ExitCode::from(2);
        }
    }
    process::ExitCode::SUCCESS
}

fn in_memory(seed: u64) {
    println!("seed {seed}; bytes are frames with their h2 headers, sent plus received");
    let (old, new) = (model::config(1), model::config(2));
    println!(
        "a configuration of {} upstreams takes {} bytes; a change of one upstream travels as {}",
        model::UPSTREAMS,
        new.body.len(),
        peering::Patch::between(&old, &new).size()
    );
    println!("{}", load::Row::HEAD);
    for size in SIZES {
        println!("{}", load::measure(size, seed));
    }
}
