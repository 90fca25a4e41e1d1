//! Settings of the controller.

use std::process;
use std::time;

use guavausher_core::peering;
use guavausher_node::{clock, controller, peers, settings, store};

const PROGRAM: settings::Program = settings::Program {
    name: "guavausher-controller",
    about: "Decides about rollouts, drains and orders for the shards that it leases.",
    operands: "",
    settings: &[
        settings::Setting {
            flag: "--name",
            kind: settings::Kind::Name,
            default: None,
            help: "Name of the entry beside it, as in the platform's instance list",
        },
        settings::common::DOMAIN,
        settings::Setting {
            flag: "--entry",
            kind: settings::Kind::Address,
            default: None,
            help: "Peer address of the entry beside it",
        },
        settings::Setting {
            flag: "--controller-listen",
            kind: settings::Kind::Address,
            default: None,
            help: "Address for /livez, /readyz and /metrics",
        },
        settings::common::PLATFORM,
        settings::common::KEY,
        settings::common::STORE_TIMEOUT,
        settings::common::LOG_LEVEL,
    ],
};

/// Threads for store calls that are answered at once.
const STORE_WORKERS: usize = 3;

/// Threads for store calls that wait for a change.
const STORE_WATCHERS: usize = 1;

/// Store calls that may be queued.
const STORE_QUEUE: usize = 64;

/// How long the platform may hold a call that waits for a change.
const STORE_WAIT: time::Duration = time::Duration::from_secs(20);

/// Checked settings.
pub struct Settings {
    /// Lowest level that is logged.
    pub level: log::LevelFilter,
    /// What the controller is started with.
    pub controller: controller::Config,
}

/// Reads and checks the settings.
pub fn load() -> Result<Settings, process::ExitCode> {
    let values = PROGRAM.load()?;
    let key = settings::common::key(&PROGRAM, &values)?;
    build(&values, key).map_err(|error| PROGRAM.refuse(&error))
}

fn build(values: &settings::Values, key: peers::Key) -> Result<Settings, settings::Error> {
    let domain = values.name("--domain")?;
    let entry = peering::Member {
        name: values.name("--name")?,
        region: domain.clone(),
        domain,
        address: values.address("--entry")?,
        incarnation: 0,
    };
    let store = store::Options {
        address: values.address("--platform")?,
        workers: STORE_WORKERS,
        watchers: STORE_WATCHERS,
        queue: STORE_QUEUE,
        timeout: values.duration("--store-timeout-ms")?,
        wait: STORE_WAIT,
    };
    let controller = controller::Config {
        entry,
        admin: values.address("--controller-listen")?,
        key,
        writer: writer(),
        store,
    };
    Ok(Settings {
        level: values.level("--log-level")?,
        controller,
    })
}

/// Returns a number that no other process of the deployment has.
fn writer() -> u64 {
    const RANDOM_BITS: u32 = 12;
    let micros = clock::Clock::start().now().as_micros();
    let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
    (micros << RANDOM_BITS) | random
}
