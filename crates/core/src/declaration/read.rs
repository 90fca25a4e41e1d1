//! Converts the merged tree into a declaration.

use std::net;

use crate::declaration;
use crate::declaration::fault;
use crate::declaration::fields;
use crate::declaration::node;
use crate::declaration::prices;
use crate::declaration::problem;
use crate::name;

/// Largest number of objects in one table.
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
/// Entries end a request well before its idempotency key expires.
const MAX_TIMEOUT_MILLIS: u64 = 300_000;
const MAX_WEIGHT: u32 = 1_000;
const MAX_POLICY_WEIGHT: u32 = 100;
const RESERVED_PATHS: [&str; 3] = ["/livez", "/metrics", "/readyz"];

/// Reads all objects of the merged tree.
pub(super) fn read(root: &node::Node, faults: &mut Vec<fault::Fault>) -> declaration::Declaration {
    let mut fields = fields::Fields::open("the declaration".to_owned(), root, TABLES, faults);
    let site = fields.name("site");
    let domains = read_table(root, "domains", faults, read_domain);
    let classes = read_table(root, "classes", faults, |name, node, faults| {
        prices::read(name, node, &domains, faults)
    });
    declaration::Declaration {
        site,
        policy: read_policy(root, faults),
        classes: classes.into_iter().flatten().collect(),
        services: read_table(root, "services", faults, read_service),
        upstreams: read_table(root, "upstreams", faults, read_upstream),
        workspaces: read_table(root, "workspaces", faults, read_workspace),
        routes: read_table(root, "routes", faults, read_route),
        rollouts: read_table(root, "rollouts", faults, read_rollout),
        domains,
    }
}

/// Reads all objects of one table of the root.
fn read_table<T>(
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
            found: parent.value.type_name(),
            expected: "a table of objects by name",
        };
        push_fault(faults, parent, problem);
        return Vec::new();
    };
    if entries.len() > MAX_OBJECTS {
        let problem = problem::Problem::Count {
            table,
            count: entries.len(),
            limit: MAX_OBJECTS,
        };
        push_fault(faults, parent, problem);
        return Vec::new();
    }
    let read_one = |(name, node): (&String, &node::Node)| {
        if !fields::is_name(name) {
            push_fault(faults, node, problem::Problem::Name { text: name.clone() });
        }
        read(name, node, faults)
    };
    entries.iter().map(read_one).collect()
}

fn read_policy(root: &node::Node, faults: &mut Vec<fault::Fault>) -> declaration::Policy {
    let mut policy = declaration::Policy::default();
    let Some(node) = root.table().and_then(|root| root.get("policy")) else {
        return policy;
    };
    let known = ["cost", "latency", "target", "gap"];
    let mut fields = fields::Fields::open("policy".to_owned(), node, &known, faults);
    if fields.has("cost") {
        policy.cost = fields.number_u32("cost", 0..=MAX_POLICY_WEIGHT);
    }
    if fields.has("latency") {
        policy.latency = fields.number_u32("latency", 0..=MAX_POLICY_WEIGHT);
    }
    if fields.has("target") {
        policy.target = fields.number("target", 1..=MAX_TARGET_MILLIS);
    }
    if fields.has("gap") {
        policy.gap = fields.number("gap", 1..=MAX_TARGET_MILLIS);
    }
    if policy.cost == 0 && policy.latency == 0 {
        fields.report("cost", problem::Problem::ZeroWeights);
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
        slots: fields.number_u32("slots", 1..=MAX_SLOTS),
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
        weight: fields.number_u32("weight", 1..=MAX_WEIGHT),
        rate: fields.number_u32("rate", 1..=MAX_RATE),
        concurrency: fields.number_u32("concurrency", 1..=MAX_RATE),
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
        share: fields.number_u32("share", 1..=MAX_SHARE),
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

fn push_fault(faults: &mut Vec<fault::Fault>, node: &node::Node, problem: problem::Problem) {
    faults.push(fault::Fault {
        place: node.place.clone(),
        problem,
    });
}
