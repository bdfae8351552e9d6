//! Small HTTP calls that a test makes; none is ever sent twice.

use anyhow::Context as _;
use anyhow::Result;
use reqwest::Client;
use reqwest::redirect;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Opens a client that adds nothing of its own: no proxy, no redirect, no retry.
///
/// # Panics
///
/// Panics when the library can't be set up, which no test can go on without.
pub fn client() -> Client {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .expect("a client without TLS needs nothing of the system")
}

/// Reads a JSON value.
///
/// # Errors
///
/// When the other side can't be reached, refuses or answers something else.
pub async fn get<T: DeserializeOwned>(client: &Client, url: &str) -> Result<T> {
    let response = client.get(url).send().await.with_context(|| url.to_owned())?;
    Ok(response.error_for_status()?.json().await?)
}

/// Sends a JSON value and wants no particular answer.
///
/// # Errors
///
/// When the other side can't be reached or refuses.
pub async fn post<T: Serialize + ?Sized>(client: &Client, url: &str, value: &T) -> Result<()> {
    let response = client.post(url).json(value).send().await.with_context(|| url.to_owned())?;
    response.error_for_status()?;
    Ok(())
}
