//! What the turns of the owner cost: how long they take, what they handle and how old that is.
//!
//! A slow turn is logged by itself. The turns of each second are logged together, with the processor
//! time of the thread: what the turns don't account for is spent on sending commands and reading
//! their answers.

use std::fmt::Write as _;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::clock;
use crate::event;
use crate::inbox::Queued;
use crate::log::Log;

/// Duration from which a turn is logged: commands and answers wait for as long as a turn takes.
const SLOW_TURN: Duration = Duration::from_millis(100);
/// Interval between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of things by kind.
#[derive(Clone, Debug, Default)]
struct Counts(SmallVec<[(&'static str, u32); 12]>);

impl Counts {
    fn add(&mut self, kind: &'static str, count: u32) {
        match self.0.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, total)) => *total += count,
            None => self.0.push((kind, count)),
        }
    }

    fn describe(&self) -> String {
        let mut text = String::new();
        for (kind, count) in &self.0 {
            let separator = if text.is_empty() { "" } else { " " };
            let _ = write!(text, "{separator}{kind}={count}");
        }
        text
    }
}

/// The current turn of the owner.
#[derive(Debug)]
pub struct Turn {
    began: Time,
    /// When the events were handled, and when the planner had decided.
    handled: Time,
    decided: Time,
    events: Counts,
    oldest: Option<Time>,
}

impl Turn {
    /// Begins a turn.
    pub fn begin(now: Time) -> Turn {
        let events = Counts::default();
        Turn { began: now, handled: now, decided: now, events, oldest: None }
    }

    /// Counts an event of the turn.
    pub fn count(&mut self, queued: &Queued) {
        let sent_at = queued.sent_at;
        self.oldest = Some(self.oldest.map_or(sent_at, |oldest| oldest.min(sent_at)));
        self.events.add(queued.event.kind(), 1);
    }

    /// Records that the events were handled.
    pub fn handled(&mut self, now: Time) {
        self.handled = now;
    }

    /// Records that the planner has decided.
    pub fn decided(&mut self, now: Time) {
        self.decided = now;
    }

    /// Returns how long the planner took to decide.
    pub fn deciding(&self) -> Duration {
        self.decided.saturating_sub(self.handled)
    }

    /// Returns the age of the oldest event when the turn began.
    pub fn lag(&self) -> Duration {
        self.oldest.map_or(Duration::ZERO, |oldest| self.began.saturating_sub(oldest))
    }
}

/// The turns since the last summary.
#[derive(Debug)]
pub struct Summary {
    since: Time,
    /// Processor time of the thread at `since`.
    thread_time: Duration,
    turns: u32,
    handling: Duration,
    deciding: Duration,
    sending: Duration,
    max_lag: Duration,
    events: Counts,
    actions: Counts,
    /// Sum of the times from decisions on starts until they were sent, in seconds, and their number.
    start_ages: (f64, u64),
}

impl Summary {
    /// Opens a summary that begins now.
    pub fn open(now: Time, log: &Log) -> Summary {
        Summary {
            since: now,
            thread_time: clock::thread_time(),
            turns: 0,
            handling: Duration::ZERO,
            deciding: Duration::ZERO,
            sending: Duration::ZERO,
            max_lag: Duration::ZERO,
            events: Counts::default(),
            actions: Counts::default(),
            start_ages: log.metrics().start_ages(),
        }
    }

    /// Counts an action of the current turn.
    pub fn count(&mut self, kind: &'static str) {
        self.actions.add(kind, 1);
    }

    /// Adds a turn whose actions were carried out: records its cost, and logs it if it was slow.
    pub fn add(&mut self, turn: Turn, now: Time, lease_until: Time, log: &Log) {
        let took = now.saturating_sub(turn.began);
        let handling = turn.handled.saturating_sub(turn.began);
        let deciding = turn.deciding();
        log.metrics().turn(took, turn.lag());
        self.turns += 1;
        self.handling += handling;
        self.deciding += deciding;
        self.sending += now.saturating_sub(turn.decided);
        self.max_lag = self.max_lag.max(turn.lag());
        for &(kind, count) in &turn.events.0 {
            self.events.add(kind, count);
        }
        if took >= SLOW_TURN {
            event!(log, LogEvent::TurnSlow,
                "ms" => millis(took),
                "handling_ms" => millis(handling),
                "deciding_ms" => millis(deciding),
                "oldest_ms" => millis(turn.lag()),
                "lease_ms" => remaining_millis(now, lease_until),
                "events" => turn.events.describe());
        }
        if now >= self.since + SUMMARY_INTERVAL {
            self.close(now, lease_until, log);
        }
    }

    /// Logs the summary and begins the next one.
    fn close(&mut self, now: Time, lease_until: Time, log: &Log) {
        let next = Summary::open(now, log);
        let (seconds, starts) = next.start_ages;
        let sent = starts.saturating_sub(self.start_ages.1);
        let start_age = (seconds - self.start_ages.0) / sent.max(1) as f64;
        event!(log, LogEvent::OwnerLoad,
                "ms" => millis(now.saturating_sub(self.since)),
                "thread_ms" => millis(next.thread_time.saturating_sub(self.thread_time)),
                "turns" => self.turns,
                "handling_ms" => millis(self.handling),
                "deciding_ms" => millis(self.deciding),
                "sending_ms" => millis(self.sending),
                "oldest_ms" => millis(self.max_lag),
                "start_age_ms" => millis(Duration::from_secs_f64(start_age.max(0.0))),
                "lease_ms" => remaining_millis(now, lease_until),
                "events" => self.events.describe(),
                "actions" => self.actions.describe());
        *self = next;
    }
}

/// Returns a duration in milliseconds.
pub fn millis(span: Duration) -> u64 {
    span.as_millis().try_into().unwrap_or(u64::MAX)
}

/// Returns what is left until a time in milliseconds, negative if it has passed.
pub fn remaining_millis(now: Time, until: Time) -> i64 {
    let signed = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    match until.checked_sub(now) {
        Some(left) => signed(left),
        None => -signed(now.saturating_sub(until)),
    }
}
