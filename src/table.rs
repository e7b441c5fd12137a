//! Plain-text tables for the command line.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};

/// Renders rows under a header. All columns but the first are right-aligned.
///
/// ```
/// let text = lycheelock::table::render(&["name", "n"], &[vec!["a".into(), "1".into()]]);
/// assert!(text.contains("name"));
/// ```
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row.clone());
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
