//! Locates settings in their TOML text, so that errors can name the key and its line.

use std::ops::Range;

use toml::Spanned;
use toml::de::DeTable;

/// Path of a key and the line where it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// Dotted path of the key. Empty if the location is in no key.
    pub(crate) key: String,
    /// Line number, counted from one.
    pub(crate) line: usize,
}

/// Returns the line number of a byte offset, counted from one.
pub(crate) fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    let newlines = text.as_bytes()[..end].iter().filter(|b| **b == b'\n');
    newlines.count() + 1
}

/// Finds the innermost key whose name or value contains the byte range `span`.
pub(crate) fn locate_span(text: &str, span: Range<usize>) -> Location {
    let mut location = Location {
        key: String::new(),
        line: line_of(text, span.start),
    };
    if let Ok(table) = DeTable::parse(text) {
        locate_in_table(table.get_ref(), &span, &mut location.key);
    }
    location
}

/// Appends the path of the innermost key that contains `span` to `path`; appends nothing if there
/// is none.
fn locate_in_table(table: &DeTable<'_>, span: &Range<usize>, path: &mut String) {
    for (key, value) in table {
        if contains_span(&key.span(), span) {
            push_segment(path, key.get_ref());
            return;
        }
        // The span of a table covers only its header, so its keys are searched even if the span of
        // the table does not contain the one searched for.
        let before = path.len();
        push_segment(path, key.get_ref());
        let inside = path.len();
        if let Some(inner) = value.get_ref().as_table() {
            locate_in_table(inner, span, path);
        }
        if path.len() > inside || contains_span(&value.span(), span) {
            return;
        }
        path.truncate(before);
    }
}

/// Returns the line of the key with the given dotted path. If the key is absent, returns the line
/// of its nearest ancestor that is present, or else 1.
pub(crate) fn line_of_key(text: &str, path: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 1;
    };
    let mut line = 1;
    let mut table = root.get_ref();
    for segment in path.split('.') {
        let Some((key, value)) = table.iter().find(|(key, _)| key.get_ref() == segment) else {
            break;
        };
        line = line_of(text, Spanned::span(key).start);
        let Some(inner) = value.get_ref().as_table() else {
            break;
        };
        table = inner;
    }
    line
}

fn contains_span(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}

fn push_segment(path: &mut String, segment: &str) {
    if !path.is_empty() {
        path.push('.');
    }
    path.push_str(segment);
}
