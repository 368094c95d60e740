//! Finds values in JSON texts without parsing them.

/// The text of the value of a key of the outermost object.
pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    let mut string_start = 0;
    let mut at = 0;
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            if escaped {
                escaped = false;
            } else if byte == b'\\' {
                escaped = true;
            } else if byte == b'"' {
                in_string = false;
                let rest = text[at + 1..].trim_start();
                if depth == 1 && &text[string_start..at] == key && rest.starts_with(':') {
                    let rest = rest[1..].trim_start();
                    return Some(&rest[..value_len(rest)]);
                }
            }
        } else {
            match byte {
                b'"' => (in_string, string_start) = (true, at + 1),
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        at += 1;
    }
    None
}

/// The value of a key of the outermost object without the quotes around a text.
pub fn text<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    value(json, key).map(|value| value.trim_matches('"'))
}

fn value_len(text: &str) -> usize {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (at, byte) in text.bytes().enumerate() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return at,
            _ => {}
        }
    }
    text.len()
}
