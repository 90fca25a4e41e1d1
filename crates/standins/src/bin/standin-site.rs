//! The stand-in for the users' platform as a process.

use std::process;

use guavausher_standins::cli;
use guavausher_standins::handle;
use guavausher_standins::site;

const HELP: &str = "\
A store of objects, engines and the API of duties, as on the users' platform.

Usage: standin-site --listen 127.0.0.1:PORT [flags]

  --listen ADDR        loopback address of store and duties; port 0 takes a free one
  --service NAME=N     a service with N engines in each failure domain; may be repeated
  --domains A,B        failure domains (default a,b,c)
  --slots N            requests that an engine works on at once (default 8)
  --help, --version

Under /standin/ it answers requests, arrivals, orders and reports, and takes faults, drain, crash, remove,
add, leave, hold and limit. Words in a request's body rule how its engine serves it: CRASH, head=MS,
pause=ID:MS, break=ID, last=BYTES, first=refuse, again=refuse, again=break.
";

fn main() -> process::ExitCode {
    cli::main("standin-site", HELP, start)
}

fn start(flags: &mut pico_args::Arguments) -> Result<handle::Handle, cli::Error> {
    let listen = cli::listen(flags)?;
    let domains = cli::flag(flags, "--domains", String::from("a,b,c"))?;
    let slots = cli::flag(flags, "--slots", 8)?;
    let mut services = Vec::new();
    while let Some(text) = flags.opt_value_from_str::<_, String>("--service")? {
        let (name, count) = text
            .split_once('=')
            .ok_or_else(|| format!("--service {text}: give NAME=N"))?;
        services.push(site::Service {
            name: name.to_owned(),
            count: count.parse()?,
            slots,
        });
    }
    cli::finish(flags)?;
    Ok(site::start(site::Config {
        listen,
        services,
        domains: domains.split(',').map(str::to_owned).collect(),
    })?)
}
