//! Reads machine classes with their prices.

use crate::declaration;
use crate::declaration::fault;
use crate::declaration::fields;
use crate::declaration::node;
use crate::declaration::problem;
use crate::name;

/// Largest accepted price, in millionths of a currency unit per hour.
const MAX_PRICE: u64 = 1_000_000_000_000;
const KEYS: [&str; 3] = ["reclaimable", "on-demand", "domains"];

/// The price of each market, in the order of [`declaration::Market::ALL`].
type Prices = [Option<u64>; 2];

/// Reads the prices of one class, one for each failure domain and market.
///
/// A price of the failure domain takes precedence over the general one.
pub(super) fn read(
    name: &str,
    node: &node::Node,
    domains: &[declaration::Domain],
    faults: &mut Vec<fault::Fault>,
) -> Vec<declaration::Class> {
    let object = format!("classes.{name}");
    let general = read_prices(&mut fields::Fields::open(object, node, &KEYS, faults));
    let special = read_special(name, node, faults);
    let classes_in = |domain: &declaration::Domain| {
        let own = special
            .iter()
            .find(|(known, _)| *known == domain.name.as_str());
        let own = own.map_or([None; 2], |(_, prices)| *prices);
        let markets = declaration::Market::ALL.into_iter().enumerate();
        let class = |(i, market): (usize, declaration::Market)| {
            Some(declaration::Class {
                name: name::Name::from(name),
                domain: domain.name.clone(),
                market,
                price: own[i].or(general[i])?,
            })
        };
        markets.filter_map(class).collect::<Vec<_>>()
    };
    domains.iter().flat_map(classes_in).collect()
}

/// Reads the prices that apply to single failure domains.
fn read_special<'a>(
    name: &str,
    node: &'a node::Node,
    faults: &mut Vec<fault::Fault>,
) -> Vec<(&'a str, Prices)> {
    let Some(special) = node.table().and_then(|table| table.get("domains")) else {
        return Vec::new();
    };
    let Some(entries) = special.table() else {
        faults.push(fault::Fault {
            place: special.place.clone(),
            problem: problem::Problem::Type {
                key: format!("classes.{name}.domains"),
                found: special.value.type_name(),
                expected: "a table of prices by failure domain",
            },
        });
        return Vec::new();
    };
    let read_one = |(domain, node): (&'a String, &'a node::Node)| {
        let object = format!("classes.{name}.domains.{domain}");
        let mut fields = fields::Fields::open(object, node, &KEYS[..2], faults);
        (domain.as_str(), read_prices(&mut fields))
    };
    entries.iter().map(read_one).collect()
}

fn read_prices(fields: &mut fields::Fields<'_>) -> Prices {
    declaration::Market::ALL.map(|market| {
        let key = market.as_str();
        fields.has(key).then(|| fields.number(key, 0..=MAX_PRICE))
    })
}
