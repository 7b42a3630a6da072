//! Plain text tables.

/// A table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// The row does not have as many cells as the header.
    pub fn add(&mut self, row: Vec<String>) {
        assert_eq!(row.len(), self.rows[0].len(), "a cell for every column");
        self.rows.push(row);
    }

    /// Returns whether the table has no row besides the header.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Writes the table; two spaces separate the columns.
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
