//! Validation of the names of resources, instances and failure domains.
//!
//! Names are used in keys, paths, headers and metric labels, so they contain no character that any
//! of these would have to escape.

use thiserror::Error;

/// Maximum length of a name in bytes.
pub const LENGTH_MAX: usize = 63;
/// Description of valid names, for error messages.
pub const REMEDY: &str = "use 1 to 63 of a-z, 0-9 and -, not starting or ending with -";

/// Reason why a name is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The name is empty or too long.
    #[error("has {0} characters")]
    Length(usize),
    /// The name contains a character that is not allowed.
    #[error("holds {0:?}")]
    Character(char),
    /// The name starts or ends with a hyphen.
    #[error("starts or ends with -")]
    Edge,
}

/// Checks that a name consists of 1 to 63 characters of `a-z`, `0-9` and inner `-`.
///
/// # Errors
///
/// Returns the first rule that the name violates.
pub fn check(name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > LENGTH_MAX {
        return Err(Error::Length(name.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if let Some(bad) = name.chars().find(|&c| !allowed(c)) {
        return Err(Error::Character(bad));
    }
    if name.starts_with('-') || name.ends_with('-') {
        return Err(Error::Edge);
    }
    Ok(())
}
