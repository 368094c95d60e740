//! Forms of the names and hashes in the configuration.

/// Longest name of a workspace or class, bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Longest name that the platform gives, bytes.
const MAX_PLATFORM_NAME_BYTES: usize = 253;
/// Hexadecimal digits of a key's hash.
const KEY_HASH_DIGITS: usize = 64;

/// Whether a text may name a workspace or class.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Whether a text may be the platform's name of a failure domain or backend server.
pub(crate) fn is_platform_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic();
    (1..=MAX_PLATFORM_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Whether a text is the hash of a key.
pub(crate) fn is_key_hash(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == KEY_HASH_DIGITS && text.bytes().all(digit)
}
