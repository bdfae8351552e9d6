//! Output formats, tables and progress.

use std::io;
use std::io::IsTerminal as _;
use std::io::Write;

/// An output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns for people.
    Table,
    /// The operator's JSON response, for programs.
    Json,
    /// Names and revisions only, for scripts.
    Quiet,
}

impl Format {
    /// Returns the format with the given name.
    pub fn from_word(word: &str) -> Option<Format> {
        match word {
            "table" => Some(Format::Table),
            "json" => Some(Format::Json),
            "quiet" => Some(Format::Quiet),
            _ => None,
        }
    }
}

/// A table with headings; each column is as wide as its widest cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with headings and no rows.
    pub fn new<'a>(headings: impl IntoIterator<Item = &'a str>) -> Table {
        Table { rows: vec![headings.into_iter().map(str::to_uppercase).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders the table.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut out = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            out.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            out.push('\n');
        }
        out
    }
}

/// A progress line on standard error. On a terminal, each text overwrites the previous one.
#[derive(Debug)]
pub struct Progress {
    enabled: bool,
    last: String,
    terminal: bool,
}

impl Progress {
    /// Opens a progress line that shows nothing if `quiet`.
    pub fn open(quiet: bool) -> Progress {
        Progress { enabled: !quiet, last: String::new(), terminal: io::stderr().is_terminal() }
    }

    /// Shows a text in place of the previous one.
    pub fn show(&mut self, text: &str) {
        if !self.enabled || text == self.last {
            return;
        }
        let mut out = io::stderr().lock();
        // A failed write is ignored: progress is only informative.
        let _ = match self.terminal {
            true => write!(out, "\r\x1b[K{text}").and_then(|()| out.flush()),
            false => writeln!(out, "{text}"),
        };
        self.last = text.to_owned();
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.enabled && self.terminal && !self.last.is_empty() {
            eprintln!();
        }
    }
}
