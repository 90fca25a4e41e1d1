//! Reads single fields out of JSON objects without changing them.

/// Returns the raw value of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let end = value_end(bytes, at);
        let key = &object[at + 1..end - 1];
        at = space(bytes, space(bytes, end) + 1);
        let end = value_end(bytes, at);
        if key == name {
            return Some(&object[at..end]);
        }
        at = space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = space(bytes, at + 1);
    }
    None
}

/// Returns the text of a string field without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a number field.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

fn space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that starts at `at`.
fn value_end(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    let mut in_string = false;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_string => at += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return at + 1;
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            byte if byte.is_ascii_whitespace() && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
