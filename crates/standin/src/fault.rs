//! The faults that can be injected.

use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// The side of the store and the list in a [`Partition`].
pub const PLATFORM: &str = "platform";

/// The servers that a fault applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The key-value store.
    Store,
    /// The list of instances.
    List,
    /// A backend server.
    Backend(Instance),
    /// A worker.
    Worker(Instance),
    /// Every backend server and worker of a failure domain.
    Domain(Domain),
}

/// The availability of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The server responds.
    #[default]
    Up,
    /// The server refuses each call before it has any effect.
    Down,
    /// The server holds calls and responses until it is unfrozen, and then carries them out,
    /// however old they are.
    Frozen,
    /// The server's process has ended, and its in-memory state is lost.
    Killed,
}

/// A fault of a server. The default is a healthy server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The availability.
    pub state: State,
    /// The delay before each call takes effect; in milliseconds when serialised.
    #[serde_as(as = "Millis")]
    pub delay: Duration,
    /// The response to every Nth call is lost after the call took effect; zero for none.
    pub lose_answers: u64,
    /// The duration of requests and runs, in thousandths of their usual duration.
    pub slow_permille: u32,
    /// Whether all work fails: requests at once with status 500, runs shortly after their start.
    pub failing: bool,
    /// Whether the server announces that it is leaving.
    pub leaving: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            state: State::Up,
            delay: Duration::ZERO,
            lose_answers: 0,
            slow_permille: 1000,
            failing: false,
            leaving: false,
        }
    }
}

impl Fault {
    /// Returns a fault of this availability with nothing else wrong.
    pub fn state(state: State) -> Fault {
        Fault { state, ..Fault::default() }
    }
}

/// A network partition between two sides: failure domains, or a failure domain and [`PLATFORM`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Partition {
    /// One side.
    pub a: Domain,
    /// The other side.
    pub b: Domain,
}

impl Partition {
    /// Returns the cut with its sides sorted, since a cut has no direction.
    pub(crate) fn ordered(self) -> Partition {
        if self.a <= self.b { self } else { Partition { a: self.b, b: self.a } }
    }
}
