//! A call to the service, and the classification of its failure by its possible effect.

use cowslipchute_ports::kv::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http;
use crate::kv::Client;
use crate::kv::wire;

/// Possible effect of a call on the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the call only reads.
    Nothing,
    /// A change of the store.
    Change,
}

impl Effect {
    /// Classifies a failure after which the request may have been sent.
    fn lost_response(self, text: String) -> Error {
        match self {
            Effect::Nothing => Error::Unavailable(text),
            Effect::Change => Error::Unknown(text),
        }
    }

    /// Classifies a response that can't be decoded.
    fn invalid_response(self, text: String) -> Error {
        match self {
            Effect::Nothing => Error::Protocol(text),
            Effect::Change => Error::Unknown(text),
        }
    }
}

impl Client {
    /// Makes one call: sends one request and decodes one JSON response.
    pub(super) async fn call<Q, A>(
        &self,
        path: &str,
        request: &Q,
        effect: Effect,
    ) -> Result<A, Error>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let request = self.http.post(format!("{}{path}", self.base)).json(request);
        let request = http::with_origin(request, self.origin.as_ref()).timeout(self.call_timeout);
        let response = request.send().await.map_err(|error| send_error(&error, effect))?;
        let status = response.status();
        let body =
            response.bytes().await.map_err(|error| effect.lost_response(http::describe(&error)))?;
        if status.is_success() {
            let read = serde_json::from_slice(&body);
            return read.map_err(|error| effect.invalid_response(error.to_string()));
        }
        match serde_json::from_slice(&body) {
            Ok(failure) => Err(store_error(&failure, effect)),
            // The response comes from an intermediary and says nothing about the store.
            Err(_) => Err(effect.lost_response(format!("status {status}"))),
        }
    }
}

/// Classifies a request that got no response.
pub fn send_error(error: &reqwest::Error, effect: Effect) -> Error {
    let text = http::describe(error);
    if http::is_unsent(error) { Error::Unavailable(text) } else { effect.lost_response(text) }
}

/// Classifies an error reported by the store.
pub fn store_error(failure: &wire::Failure, effect: Effect) -> Error {
    let text = failure.message.clone();
    match failure.code {
        wire::CODE_NOT_FOUND if text == wire::NO_LEASE => Error::LeaseExpired,
        wire::CODE_INVALID => Error::Unavailable(text),
        // Of the errors with this status, the store returns only these two before it applies
        // anything; others, such as a change of leader, may follow an effect.
        _ if text == wire::NO_LEADER || text == wire::TOO_MANY_REQUESTS => Error::Unavailable(text),
        _ => effect.lost_response(text),
    }
}

/// Classifies a protocol error in the response to a write, which may have taken effect.
pub fn protocol_as_unknown(error: Error) -> Error {
    match error {
        Error::Protocol(text) => Error::Unknown(text),
        other => other,
    }
}
