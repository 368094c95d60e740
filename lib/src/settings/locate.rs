//! Positions of settings in their TOML text.

use std::ops::Range;

use toml::Spanned;
use toml::de::DeTable;

/// The path of a key and where it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// Dotted path, empty for the document as a whole.
    pub(crate) key: String,
    /// Line, counted from one.
    pub(crate) line: usize,
}

/// Line of a byte offset, counted from one.
pub(crate) fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    let newlines = text.as_bytes()[..end].iter().filter(|b| **b == b'\n');
    newlines.count() + 1
}

/// Finds the innermost key whose name or value covers `span`.
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

fn locate_in_table(table: &DeTable<'_>, span: &Range<usize>, path: &mut String) {
    for (key, value) in table {
        if contains_span(&key.span(), span) {
            push_segment(path, key.get_ref());
            return;
        }
        // The span of a table is its header, so the keys below it are looked at in any case.
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

/// Finds the line of a dotted path, or of its nearest ancestor that is written.
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
