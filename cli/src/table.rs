//! Plain-text tables.

/// Formats a header and rows as left-aligned columns, two spaces apart.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
