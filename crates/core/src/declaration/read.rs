//! Reads the merged tree into a declaration.

use std::net;

use crate::declaration;
use crate::declaration::fault;
use crate::declaration::fields;
use crate::declaration::node;
use crate::declaration::prices;
use crate::declaration::problem;
use crate::name;

/// The most objects that one table may hold.
pub const MAX_OBJECTS: usize = 4_096;

const TABLES: &[&str] = &[
    "site",
    "policy",
    "domains",
    "classes",
    "services",
    "upstreams",
    "workspaces",
    "routes",
    "rollouts",
];
const MAX_PATH_BYTES: usize = 256;
const MAX_RATE: u32 = 1_000_000;
const MAX_SHARE: u32 = 1_000;
const MAX_SLOTS: u32 = 65_536;
const MAX_TARGET_MILLIS: u64 = 3_600_000;
/// Entries end a request well before its idempotency key is forgotten.
const MAX_TIMEOUT_MILLIS: u64 = 300_000;
const MAX_WEIGHT: u32 = 1_000;
const MAX_POLICY_WEIGHT: u32 = 100;
const RESERVED_PATHS: [&str; 3] = ["/livez", "/metrics", "/readyz"];

/// Reads every object of the merged tree.
pub(super) fn read(root: &node::Node, faults: &mut Vec<fault::Fault>) -> declaration::Declaration {
    let mut top = fields::Fields::open("the declaration".to_owned(), root, TABLES, faults);
    let site = top.name("site");
    let domains = objects(root, "domains", faults, read_domain);
    let classes = objects(root, "classes", faults, |name, node, faults| {
        prices::read(name, node, &domains, faults)
    });
    declaration::Declaration {
        site,
        policy: read_policy(root, faults),
        classes: classes.into_iter().flatten().collect(),
        services: objects(root, "services", faults, read_service),
        upstreams: objects(root, "upstreams", faults, read_upstream),
        workspaces: objects(root, "workspaces", faults, read_workspace),
        routes: objects(root, "routes", faults, read_route),
        rollouts: objects(root, "rollouts", faults, read_rollout),
        domains,
    }
}

/// Reads each object of one table of the root.
fn objects<T>(
    root: &node::Node,
    table: &'static str,
    faults: &mut Vec<fault::Fault>,
    read: impl Fn(&str, &node::Node, &mut Vec<fault::Fault>) -> T,
) -> Vec<T> {
    let Some(parent) = root.table().and_then(|root| root.get(table)) else {
        return Vec::new();
    };
    let Some(entries) = parent.table() else {
        let problem = problem::Problem::Type {
            key: table.to_owned(),
            found: parent.value.kind(),
            expected: "a table of objects by name",
        };
        push(faults, parent, problem);
        return Vec::new();
    };
    if entries.len() > MAX_OBJECTS {
        let problem = problem::Problem::Count {
            table,
            count: entries.len(),
            limit: MAX_OBJECTS,
        };
        push(faults, parent, problem);
        return Vec::new();
    }
    let one = |(name, node): (&String, &node::Node)| {
        if !fields::is_name(name) {
            push(faults, node, problem::Problem::Name { text: name.clone() });
        }
        read(name, node, faults)
    };
    entries.iter().map(one).collect()
}

fn read_policy(root: &node::Node, faults: &mut Vec<fault::Fault>) -> declaration::Policy {
    let mut policy = declaration::Policy::default();
    let Some(node) = root.table().and_then(|root| root.get("policy")) else {
        return policy;
    };
    let known = ["cost", "latency", "target", "gap"];
    let mut fields = fields::Fields::open("policy".to_owned(), node, &known, faults);
    if fields.has("cost") {
        policy.cost = fields.small("cost", 0..=MAX_POLICY_WEIGHT);
    }
    if fields.has("latency") {
        policy.latency = fields.small("latency", 0..=MAX_POLICY_WEIGHT);
    }
    if fields.has("target") {
        policy.target = fields.number("target", 1..=MAX_TARGET_MILLIS);
    }
    if fields.has("gap") {
        policy.gap = fields.number("gap", 1..=MAX_TARGET_MILLIS);
    }
    if policy.cost == 0 && policy.latency == 0 {
        fields.report("cost", problem::Problem::Weightless);
    }
    policy
}

fn read_domain(
    name: &str,
    node: &node::Node,
    faults: &mut Vec<fault::Fault>,
) -> declaration::Domain {
    let mut fields = fields::Fields::open(format!("domains.{name}"), node, &["region"], faults);
    declaration::Domain {
        name: name::Name::from(name),
        region: fields.name("region"),
    }
}

fn read_service(
    name: &str,
    node: &node::Node,
    faults: &mut Vec<fault::Fault>,
) -> declaration::Service {
    let known = ["kind", "version", "fencing", "deduplicates"];
    let mut fields = fields::Fields::open(format!("services.{name}"), node, &known, faults);
    declaration::Service {
        name: name::Name::from(name),
        kind: fields.choice("kind", &declaration::Kind::ALL, declaration::Kind::as_str),
        version: fields.name("version"),
        fencing: fields.flag("fencing"),
        deduplicates: fields.flag("deduplicates"),
    }
}

fn read_upstream(
    name: &str,
    node: &node::Node,
    faults: &mut Vec<fault::Fault>,
) -> declaration::Upstream {
    let known = [
        "service", "version", "address", "domain", "class", "market", "slots",
    ];
    let mut fields = fields::Fields::open(format!("upstreams.{name}"), node, &known, faults);
    declaration::Upstream {
        name: name::Name::from(name),
        service: fields.name("service"),
        version: fields.name("version"),
        address: read_address(&mut fields),
        domain: fields.name("domain"),
        class: fields.name("class"),
        market: fields.choice(
            "market",
            &declaration::Market::ALL,
            declaration::Market::as_str,
        ),
        slots: fields.small("slots", 1..=MAX_SLOTS),
    }
}

fn read_address(fields: &mut fields::Fields<'_>) -> net::SocketAddr {
    let unset = net::SocketAddr::from(([0, 0, 0, 0], 0));
    let Some(text) = fields.text("address") else {
        return unset;
    };
    match text.parse::<net::SocketAddr>() {
        Ok(address) if address.port() != 0 => address,
        _ => {
            fields.report("address", problem::Problem::Address { text });
            unset
        }
    }
}

fn read_workspace(
    name: &str,
    node: &node::Node,
    faults: &mut Vec<fault::Fault>,
) -> declaration::Workspace {
    let known = ["weight", "rate", "concurrency"];
    let mut fields = fields::Fields::open(format!("workspaces.{name}"), node, &known, faults);
    declaration::Workspace {
        name: name::Name::from(name),
        weight: fields.small("weight", 1..=MAX_WEIGHT),
        rate: fields.small("rate", 1..=MAX_RATE),
        concurrency: fields.small("concurrency", 1..=MAX_RATE),
    }
}

fn read_route(name: &str, node: &node::Node, faults: &mut Vec<fault::Fault>) -> declaration::Route {
    let known = ["path", "service", "idempotent", "priority", "timeout"];
    let mut fields = fields::Fields::open(format!("routes.{name}"), node, &known, faults);
    declaration::Route {
        name: name::Name::from(name),
        path: read_path(&mut fields),
        service: fields.name("service"),
        idempotent: fields.required_flag("idempotent"),
        priority: fields.choice(
            "priority",
            &declaration::Priority::ALL,
            declaration::Priority::as_str,
        ),
        timeout: fields.number("timeout", 1..=MAX_TIMEOUT_MILLIS),
    }
}

fn read_path(fields: &mut fields::Fields<'_>) -> String {
    let path = fields.text("path").unwrap_or_default();
    let plain = |c: char| c.is_ascii_alphanumeric() || "/-_.~".contains(c);
    let valid = path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.chars().all(plain)
        && !RESERVED_PATHS.contains(&path.as_str());
    if !valid && fields.has("path") {
        let text = path.clone();
        fields.report("path", problem::Problem::Path { text });
    }
    path
}

fn read_rollout(
    name: &str,
    node: &node::Node,
    faults: &mut Vec<fault::Fault>,
) -> declaration::Rollout {
    let known = ["from", "to", "share", "deadline"];
    let mut fields = fields::Fields::open(format!("rollouts.{name}"), node, &known, faults);
    declaration::Rollout {
        service: name::Name::from(name),
        from: fields.name("from"),
        to: fields.name("to"),
        share: fields.small("share", 1..=MAX_SHARE),
        deadline: read_deadline(&mut fields),
    }
}

fn read_deadline(fields: &mut fields::Fields<'_>) -> jiff::Timestamp {
    let Some(text) = fields.text("deadline") else {
        return jiff::Timestamp::UNIX_EPOCH;
    };
    match text.parse() {
        Ok(deadline) => deadline,
        Err(_) => {
            fields.report("deadline", problem::Problem::Deadline { text });
            jiff::Timestamp::UNIX_EPOCH
        }
    }
}

fn push(faults: &mut Vec<fault::Fault>, node: &node::Node, problem: problem::Problem) {
    faults.push(fault::Fault {
        place: node.place.clone(),
        problem,
    });
}
