//! The fleet and its documents at full size.

use std::net;
use std::sync;

use guavausher_core::name;
use guavausher_core::peering;

/// Failure domains at full size.
const DOMAINS: usize = 9;
/// Failure domains of one region.
const DOMAINS_IN_REGION: usize = 3;
/// Upstreams in the configuration.
pub const UPSTREAMS: usize = 770;

/// Returns one entry; small fleets lie in fewer failure domains.
pub fn member(index: usize, size: usize) -> peering::Member {
    let domains = if size <= DOMAINS { 3 } else { DOMAINS };
    let domain = index % domains;
    let [_, _, high, low] = u32::try_from(index).unwrap_or(0).to_be_bytes();
    peering::Member {
        name: name::Name::from(format!("entry-{index}")),
        domain: name::Name::from(format!("domain-{domain}")),
        region: name::Name::from(format!("region-{}", domain / DOMAINS_IN_REGION)),
        address: net::SocketAddr::from(([10, 0, high, low], 9400)),
        incarnation: 1_790_000_000,
    }
}

/// Returns a configuration in which one upstream differs from that of the generation before.
pub fn config(generation: u64) -> peering::Document {
    let line = |index: usize| {
        let changes = generation as usize % UPSTREAMS;
        let price = if index == changes { generation } else { 0 };
        format!(
            "{{\"name\":\"verse-scribe-{index}\",\"service\":\"verse-scribe\",\"version\":\"v1\",\
             \"address\":\"10.1.{}.{}:8000\",\"domain\":\"domain-{}\",\"class\":\"gpu-small\",\
             \"market\":\"reclaimable\",\"slots\":16,\"price\":{price}}}",
            index / 256,
            index % 256,
            index % DOMAINS
        )
    };
    let lines: Vec<_> = (0..UPSTREAMS).map(line).collect();
    let body = format!(
        "{{\"generation\":{generation},\"upstreams\":[{}]}}",
        lines.join(",")
    );
    peering::Document {
        topic: peering::Topic::Config,
        generation,
        body: sync::Arc::from(body.into_bytes()),
    }
}

/// Returns one node's counts of a rollout with two routes; one request in 480 fails.
pub fn reports(seed: u64) -> Vec<peering::Report> {
    let one = |version: &str, route: &str| peering::Report {
        requests: 8,
        errors: u64::from(seed.is_multiple_of(15)),
        ttft_sum: 4_000_000,
        ..peering::Report::empty(
            name::Name::from("verse-scribe"),
            name::Name::from(version),
            name::Name::from(route),
        )
    };
    ["v1", "v2"]
        .into_iter()
        .flat_map(|version| ["verses", "compilations"].map(|route| one(version, route)))
        .collect()
}
