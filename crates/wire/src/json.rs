//! Repair of JSON documents in which another writer left values that cannot be read.

/// Stands for a value that cannot be read.
const NO_VALUE: &[u8] = b"null";
/// Stands for a key that cannot be read.
const NO_KEY: &[u8] = b"\"\"";

/// Replaces each string, number and literal that is not valid JSON by `null`, so that one of them
/// does not make its neighbours unreadable. The structure of the document is not repaired.
///
/// ```
/// let repaired = guavausher_wire::json::repair(b"[{\"load\":NaN},{\"load\":1}]");
/// assert_eq!(repaired, b"[{\"load\":null},{\"load\":1}]");
/// ```
pub fn repair(document: &[u8]) -> Vec<u8> {
    let mut repaired = Vec::with_capacity(document.len());
    let mut rest = document;
    while let Some(first) = rest.first() {
        let length = match first {
            b'"' => string_length(rest),
            byte if is_structure(*byte) => 1,
            _ => bare_length(rest),
        };
        let (token, behind) = rest.split_at(length);
        rest = behind;
        let is_kept = is_structure(*first) || is_valid(token);
        repaired.extend_from_slice(match is_kept {
            true => token,
            false if is_key(behind) => NO_KEY,
            false => NO_VALUE,
        });
    }
    repaired
}

/// Returns the length of a string with its quotes, or of all bytes if it has no end.
fn string_length(bytes: &[u8]) -> usize {
    let mut is_escaped = false;
    let end = bytes[1..].iter().position(|byte| {
        let is_end = *byte == b'"' && !is_escaped;
        is_escaped = *byte == b'\\' && !is_escaped;
        is_end
    });
    end.map_or(bytes.len(), |end| end + 2)
}

/// Returns the length of a number or literal.
fn bare_length(bytes: &[u8]) -> usize {
    let is_end = |byte: &u8| *byte == b'"' || is_structure(*byte);
    bytes.iter().position(is_end).unwrap_or(bytes.len())
}

const fn is_structure(byte: u8) -> bool {
    matches!(byte, b'{' | b'}' | b'[' | b']' | b',' | b':') || byte.is_ascii_whitespace()
}

fn is_valid(token: &[u8]) -> bool {
    serde_json::from_slice::<&serde_json::value::RawValue>(token).is_ok()
}

/// Returns `true` if a token with these bytes behind it is a key.
fn is_key(behind: &[u8]) -> bool {
    let next = behind.iter().find(|byte| !byte.is_ascii_whitespace());
    next == Some(&b':')
}
