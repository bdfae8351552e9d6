//! State machine of one request, from its arrival to its one final answer.
//!
//! Each state is a type, and a transition consumes the previous state by value. A [`Request`] is
//! moved out of its table when it ends, and only a [`Closed`] request can emit a final action, so
//! that a second final answer doesn't compile.

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::backend::Backend;
use crate::event::Attempt;
use crate::pool::Pool;
use crate::queue::Sequence;
use crate::service::Service;

/// State of a request that waits for the answer of its key's owner; nothing was sent.
#[derive(Debug)]
pub struct Claiming(());

/// State of a request that waits for a slot.
#[derive(Debug)]
pub struct Queued {
    /// End of the wait, at which the request is refused.
    pub until: Time,
}

/// State of a request that waits before a retry.
#[derive(Debug)]
pub struct Backoff {
    /// Time of the retry.
    pub until: Time,
}

/// State of a request that has at least one attempt in flight.
#[derive(Debug)]
pub struct Running {
    /// Attempts in flight; two while the request is hedged.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Time at which to send a hedge, if the request may be hedged.
    pub hedge_at: Option<Time>,
}

/// State of a request that is being placed: it has no attempt in flight and isn't waiting.
#[derive(Debug)]
pub struct Idle(());

impl Idle {
    /// Starts to wait for the owner of the key.
    pub fn claim(self) -> Claiming {
        Claiming(())
    }

    /// Starts to wait for a slot.
    pub fn queue(self, until: Time) -> Queued {
        Queued { until }
    }

    /// Starts to wait before a retry.
    pub fn back_off(self, until: Time) -> Backoff {
        Backoff { until }
    }

    /// Starts an attempt.
    pub fn send(self, attempt: Attempt, hedge_at: Option<Time>) -> Running {
        Running { attempts: SmallVec::from_slice(&[attempt]), hedge_at }
    }
}

impl Claiming {
    /// Ends the wait for the owner of the key.
    pub fn granted(self) -> Idle {
        Idle(())
    }
}

impl Queued {
    /// Ends the wait for a slot.
    pub fn leave(self) -> Idle {
        Idle(())
    }
}

impl Backoff {
    /// Ends the wait before a retry.
    pub fn leave(self) -> Idle {
        Idle(())
    }
}

impl Running {
    /// Adds the attempt of a hedge.
    pub fn hedge(&mut self, attempt: Attempt) {
        assert_eq!(self.attempts.len(), 1, "a request is hedged once");
        self.attempts.push(attempt);
        self.hedge_at = None;
    }

    /// Removes an attempt that ended; the request becomes idle if it was the last one.
    pub fn ended(mut self, attempt: Attempt) -> Stage {
        self.attempts.retain(|other| *other != attempt);
        if self.attempts.is_empty() {
            return Stage::Idle(Idle(()));
        }
        Stage::Running(self)
    }
}

/// State of a request.
#[derive(Debug)]
pub enum Stage {
    /// See [`Idle`].
    Idle(Idle),
    /// See [`Claiming`].
    Claiming(Claiming),
    /// See [`Queued`].
    Queued(Queued),
    /// See [`Backoff`].
    Backoff(Backoff),
    /// See [`Running`].
    Running(Running),
}

/// A request without a final answer.
#[derive(Debug)]
pub struct Request {
    /// Its number, given by the entry process.
    pub number: id::Request,
    /// The requested service.
    pub service: Id<Service>,
    /// The pool of backend servers that may answer.
    pub pool: Id<Pool>,
    /// Its class.
    pub class: Class,
    /// Whether it is idempotent.
    pub idempotent: bool,
    /// Its idempotency key, if that has to be claimed.
    pub key: Option<id::IdempotencyKey>,
    /// Whether its claim was granted and has to be settled.
    pub claimed: bool,
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// Sequence number of its arrival.
    pub sequence: Sequence,
    /// Attempts made, hedges included.
    pub attempts: u8,
    /// Whether it was hedged.
    pub hedged: bool,
    /// Code to report if an ended attempt may have run it.
    pub may_have_run: Option<Code>,
    /// Code of its last failed attempt.
    pub last_failure: Code,
    /// The backend server of each attempt, in order.
    pub tried: SmallVec<[Id<Backend>; 3]>,
    /// Whether a remote failure domain was tried.
    pub tried_remote: bool,
    /// Its state.
    pub stage: Stage,
}

/// A request that has ended.
#[derive(Debug)]
pub struct Closed {
    /// The request.
    pub request: Request,
}

impl Request {
    /// Returns the state of a request that has just arrived.
    pub fn arrived() -> Stage {
        Stage::Idle(Idle(()))
    }

    /// Takes the state for a transition; the request is idle until the next state is stored.
    pub fn take_stage(&mut self) -> Stage {
        std::mem::replace(&mut self.stage, Stage::Idle(Idle(())))
    }

    /// Takes the state of a request that must be idle.
    pub fn take_idle(&mut self) -> Idle {
        match self.take_stage() {
            Stage::Idle(idle) => idle,
            other => unreachable!("a request that is placed is idle, not {other:?}"),
        }
    }

    /// Returns its attempts in flight.
    pub fn running(&self) -> &[Attempt] {
        match &self.stage {
            Stage::Running(running) => &running.attempts,
            _ => &[],
        }
    }

    /// Returns `true` if another attempt is safe: the request is idempotent, or no attempt has run
    /// it or is running it.
    pub fn may_repeat(&self) -> bool {
        self.idempotent || (self.may_have_run.is_none() && self.running().is_empty())
    }

    /// Returns `true` if the caller may repeat it without knowing its outcome.
    pub fn is_repeatable(&self) -> bool {
        self.idempotent || self.key.is_some()
    }

    /// Marks the request as ended.
    pub fn close(self) -> Closed {
        Closed { request: self }
    }
}

impl Closed {
    /// Returns the code to answer with: one whose outcome is "not run" only if no attempt may have
    /// run the request.
    pub fn final_code(&self, code: Code) -> Code {
        if code.outcome() != Outcome::NotRun {
            return code;
        }
        let running = !self.request.running().is_empty();
        match self.request.may_have_run {
            Some(code_if_run) => code_if_run,
            None if running => Code::Lost,
            None => code,
        }
    }
}
