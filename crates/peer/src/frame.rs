//! Framing: one message is the whole content of one direction of a stream.
//!
//! The end of the stream delimits the frame, so there is no length field to validate. A truncated
//! frame never decodes, because no postcard encoding of a message is a prefix of another.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of a frame in bytes.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Failure to encode or decode a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The encoded message is larger than [`MAX_BYTES`] bytes.
    #[error("the message takes {0} bytes, {MAX_BYTES} are allowed")]
    TooLarge(usize),
    /// The bytes are not one whole message.
    #[error("the frame can't be read: {0}")]
    Malformed(String),
}

/// Encodes a message.
///
/// # Errors
///
/// When the encoded message is larger than [`MAX_BYTES`] bytes.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(message).map_err(malformed)?;
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a frame that holds exactly one message.
///
/// # Errors
///
/// When the frame is truncated, has trailing bytes, or holds a message of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes are left over", rest.len())));
    }
    Ok(message)
}

fn malformed(error: postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}
