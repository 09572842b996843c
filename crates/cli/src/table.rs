//! Text tables.

/// Formats a header and rows as columns, each as wide as its widest cell.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header_row: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    let mut text = String::new();
    for row in std::iter::once(&header_row).chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}
