/// A table with aligned columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with its header.
    pub(crate) fn new(header: &[&str]) -> Self {
        Table {
            rows: vec![header.iter().map(|h| h.to_uppercase()).collect()],
        }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The lines of the table, without spaces at their ends.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(cell, w)| format!("{cell:<w$}")).collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// A value that may be missing.
pub(crate) fn or_dash<V>(value: Option<V>) -> String
where
    V: ToString,
{
    value.map_or_else(|| "-".to_string(), |v| v.to_string())
}

/// A duration in milliseconds that may be missing.
pub(crate) fn ms_or_dash(value: Option<u64>) -> String {
    or_dash(value.map(|ms| format!("{ms} ms")))
}
