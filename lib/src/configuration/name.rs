//! Syntax checks for the names and key hashes in the configuration.

/// Maximum length of the name of a workspace or class, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of the name of a failure domain or backend server, in bytes. The platform assigns
/// these names.
const MAX_PLATFORM_NAME_BYTES: usize = 253;
/// Number of hexadecimal digits of a key's SHA-256 hash.
const KEY_HASH_DIGITS: usize = 64;

/// Whether a text is a valid name for a workspace or class: lower-case letters, digits, hyphens,
/// dots and underscores, starting with a letter or digit.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Whether a text is a valid name for a failure domain or backend server: printable ASCII without
/// spaces.
pub(crate) fn is_platform_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic();
    (1..=MAX_PLATFORM_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Whether a text has the form of a key's hash: 64 lower-case hexadecimal digits.
pub(crate) fn is_key_hash(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == KEY_HASH_DIGITS && text.bytes().all(digit)
}
