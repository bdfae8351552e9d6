//! One call, and what its failure says about its effect.

use cowslipchute_ports::kv::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http;
use crate::kv::Client;
use crate::kv::wire;

/// What a call may do to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    Nothing,
    /// It may change something.
    Change,
}

impl Effect {
    /// Sorts a failure after bytes may have left.
    fn lost(self, text: String) -> Error {
        match self {
            Effect::Nothing => Error::Unavailable(text),
            Effect::Change => Error::Unknown(text),
        }
    }

    /// Sorts an answer that can't be read.
    fn unreadable(self, text: String) -> Error {
        match self {
            Effect::Nothing => Error::Protocol(text),
            Effect::Change => Error::Unknown(text),
        }
    }
}

impl Client {
    /// Makes one call: one request, one JSON answer.
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
        let response = request.send().await.map_err(|error| sent(&error, effect))?;
        let status = response.status();
        let body = response.bytes().await.map_err(|error| effect.lost(http::explain(&error)))?;
        if status.is_success() {
            let read = serde_json::from_slice(&body);
            return read.map_err(|error| effect.unreadable(error.to_string()));
        }
        match serde_json::from_slice(&body) {
            Ok(failure) => Err(refusal(&failure, effect)),
            // Something between us and the store answered, which says nothing about the store.
            Err(_) => Err(effect.lost(format!("status {status}"))),
        }
    }
}

/// Sorts a request that brought no answer.
pub fn sent(error: &reqwest::Error, effect: Effect) -> Error {
    let text = http::explain(error);
    if http::unsent(error) { Error::Unavailable(text) } else { effect.lost(text) }
}

/// Sorts an error that the store told.
pub fn refusal(failure: &wire::Failure, effect: Effect) -> Error {
    let text = failure.message.clone();
    match failure.code {
        wire::CODE_NOT_FOUND if text == wire::NO_LEASE => Error::LeaseGone,
        wire::CODE_INVALID => Error::Unavailable(text),
        // Of the texts that come with this status, these two are said before anything is applied;
        // others, such as a change of leader, may follow an effect.
        _ if text == wire::NO_LEADER || text == wire::TOO_MANY_REQUESTS => Error::Unavailable(text),
        _ => effect.lost(text),
    }
}

/// Sorts a readable answer of a write whose content makes no sense.
pub fn unknown_if_unreadable(error: Error) -> Error {
    match error {
        Error::Protocol(text) => Error::Unknown(text),
        other => other,
    }
}
