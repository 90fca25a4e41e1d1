//! The headers by which two peers get to know each other.

use guavausher_core::name;
use guavausher_core::peering;
use guavausher_wire::peer;

use super::error;

/// The deployment's key.
pub const KEY: &str = "guavausher-key";
/// Version of the protocol.
const PROTOCOL: &str = "guavausher-protocol";
/// Name of the process.
const NAME: &str = "guavausher-name";
/// Incarnation of the process.
const INCARNATION: &str = "guavausher-incarnation";

/// Who the other end of a connection is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Remote {
    /// Its name.
    pub name: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Adds who this process is.
pub fn write(own: &peering::Member, headers: &mut http::HeaderMap) -> Result<(), error::Error> {
    headers.insert(PROTOCOL, http::HeaderValue::from(peer::PROTOCOL));
    headers.insert(INCARNATION, http::HeaderValue::from(own.incarnation));
    let name = http::HeaderValue::from_str(&own.name);
    headers.insert(NAME, name.map_err(|_| error::Error::Header(NAME))?);
    Ok(())
}

/// Reads who the other end is; refuses another protocol.
pub fn read(headers: &http::HeaderMap) -> Result<Remote, error::Error> {
    let protocol = text(headers, PROTOCOL)?;
    if protocol != peer::PROTOCOL.to_string() {
        return Err(error::Error::Protocol(protocol.to_owned()));
    }
    let name = text(headers, NAME)?;
    if name.is_empty() || name.len() > name::MAX_BYTES {
        return Err(error::Error::Header(NAME));
    }
    let incarnation = text(headers, INCARNATION)?;
    Ok(Remote {
        name: name::Name::from(name),
        incarnation: incarnation
            .parse()
            .map_err(|_| error::Error::Header(INCARNATION))?,
    })
}

fn text<'a>(headers: &'a http::HeaderMap, name: &'static str) -> Result<&'a str, error::Error> {
    let value = headers.get(name).ok_or(error::Error::Header(name))?;
    value.to_str().map_err(|_| error::Error::Header(name))
}
