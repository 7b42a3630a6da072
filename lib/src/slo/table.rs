//! Plain-text tables with aligned columns.

/// A table whose columns are each as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table that has only a header row.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// The number of cells differs from that of the header.
    pub fn add(&mut self, row: Vec<String>) {
        assert_eq!(row.len(), self.rows[0].len(), "a row has one cell per column");
        self.rows.push(row);
    }

    /// Returns whether the table has only the header row.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Renders the table; two spaces separate the columns.
    pub fn to_text(&self) -> String {
        let widths: Vec<usize> = (0..self.rows[0].len())
            .map(|column| {
                let cells = self.rows.iter().map(|row| row[column].chars().count());
                cells.max().unwrap_or(0)
            })
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let line: String =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}  ")).collect();
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
