//! Number formats of the tables.

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Formats bytes in megabytes.
pub fn megabytes(bytes: f64) -> String {
    format!("{:.1} MB", bytes / 1e6)
}

/// Formats a number with a precision that depends on its magnitude.
pub fn number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 1000.0 => with_separators(value),
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 && value.fract() == 0.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 => format!("{value:.1}"),
        0.0 => String::from("0"),
        _ => format!("{value:.4}"),
    }
}

/// Formats a rounded number with thousands separators.
fn with_separators(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut out = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0.0 { format!("-{out}") } else { out }
}
