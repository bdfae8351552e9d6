//! Resource files: TOML with one or more `[[resource]]` tables, each with `kind`, `name` and fields.

use serde::Deserialize;
use thiserror::Error;

use crate::Resource;
use crate::check;

/// Error in a resource file. A file with an error is rejected as a whole.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// Invalid TOML, an unknown field or a value of the wrong type; the message names line and field.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// Invalid value.
    #[error("resource {number} ({name}): {error}")]
    Range {
        /// Position of the `[[resource]]` table in the file, from one.
        number: usize,
        /// Name of the resource.
        name: String,
        /// Problem with the value.
        error: check::Error,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    resource: Vec<Resource>,
}

/// Parses and validates the resources of a file.
///
/// # Errors
///
/// Returns the first error in the file.
pub fn parse(text: &str) -> Result<Vec<Resource>, Error> {
    let file: File = toml::from_str(text)?;
    for (index, resource) in file.resource.iter().enumerate() {
        check::resource(resource).map_err(|error| Error::Range {
            number: index + 1,
            name: resource.name.to_string(),
            error,
        })?;
    }
    Ok(file.resource)
}
