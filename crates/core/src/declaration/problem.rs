//! The problems of declarations, each with its remedy.

use displaydoc::Display;

use crate::declaration::place;

/// A problem of a declaration; the message contains the remedy.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Problem {
    /// not valid TOML: {message}; mend the syntax here
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// the name or key is declared twice in this file; keep one of the two
    Duplicate,
    /// the file has {bytes} bytes; keep it to {limit} at most
    FileSize {
        /// Size of the file.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// the declaration takes {bytes} bytes when stored; keep it to {limit} at most
    StoredSize {
        /// Size of the stored form.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// {table} holds {count} objects; keep it to {limit} at most
    Count {
        /// Table that holds the objects.
        table: &'static str,
        /// Number of objects.
        count: usize,
        /// Largest accepted number.
        limit: usize,
    },
    /// unknown key `{key}` in {object}; delete it or use one of: {known}
    UnknownKey {
        /// The key.
        key: String,
        /// The object that holds it.
        object: String,
        /// Accepted keys.
        known: String,
    },
    /// {object} lacks `{key}`; add `{key} = ...`
    MissingKey {
        /// The object.
        object: String,
        /// The key.
        key: String,
    },
    /// `{key}` is {found}; write {expected}
    Type {
        /// The key.
        key: String,
        /// Type of the value.
        found: &'static str,
        /// Expected type.
        expected: &'static str,
    },
    /// `{key}` is {value}, out of range; write a number from {low} to {high}
    Range {
        /// The key.
        key: String,
        /// The value.
        value: i64,
        /// Smallest accepted value.
        low: u64,
        /// Largest accepted value.
        high: u64,
    },
    /// `{key}` is `{text}`; write one of: {known}
    Choice {
        /// The key.
        key: String,
        /// Text of the value.
        text: String,
        /// Accepted texts.
        known: String,
    },
    /// `{text}` is not a name; use 1 to 48 lowercase letters, digits, `-`, `_` or `.`, starting with a letter or digit
    Name {
        /// Text of the value.
        text: String,
    },
    /// `{text}` is not an address by IP number; write for example `127.0.0.1:8080` or `[::1]:8080`
    Address {
        /// Text of the value.
        text: String,
    },
    /// `{text}` is not an RFC 3339 time with an offset; write for example `2026-12-04T18:00:00+07:00`
    Deadline {
        /// Text of the value.
        text: String,
    },
    /// `{text}` is not a request path; write for example `/v1/verse`, without query, spaces or reserved paths
    Path {
        /// Text of the value.
        text: String,
    },
    /// `{key}` names `{name}`, but there is no [{table}.{name}]; declare it or use one of: {known}
    Undeclared {
        /// Key that contains the name.
        key: &'static str,
        /// The name.
        name: String,
        /// Table that must declare it.
        table: &'static str,
        /// Declared names.
        known: String,
    },
    /// `{key}` `{value}` is taken already at {first}; give each its own
    Duplicated {
        /// The key that must be unique.
        key: &'static str,
        /// The value.
        value: String,
        /// Location of its first use.
        first: place::Place,
    },
    /// class `{class}` has no {market} price in `{domain}`; add `{market}` to [classes.{class}] or [classes.{class}.domains.{domain}]
    NoPrice {
        /// The class.
        class: String,
        /// The failure domain.
        domain: String,
        /// The market.
        market: &'static str,
    },
    /// no upstream runs version `{version}` of `{service}`; declare one or name another version
    NoUpstream {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// the rollout goes from `{from}`, but `{service}` serves `{version}`; write `from = "{version}"`
    WrongStart {
        /// The service.
        service: String,
        /// Old version of the rollout.
        from: String,
        /// Current version of the service.
        version: String,
    },
    /// the rollout goes from `{version}` to itself; name the new version in `to` or delete the rollout
    SameVersion {
        /// The version.
        version: String,
    },
    /// both weights are 0; give `cost`, `latency` or both a weight
    ZeroWeights,
    /// the overlay restates `{key}` as the base has it at {base}; delete it here
    Redundant {
        /// Path of the key.
        key: String,
        /// Location in the base.
        base: place::Place,
    },
    /// the overlay changes nothing in `{object}`; delete the empty table
    Unchanged {
        /// Path of the object.
        object: String,
    },
    /// `{object}` is not in the base, so it cannot be absent; delete it here
    NotInBase {
        /// Path of the object.
        object: String,
    },
    /// `absent` works in an overlay only, alone and as `absent = true`; delete it or the other keys
    Absent,
}
