//! Readiness, the wait between two iterations of the loop, and the stages of a stop.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event;
use cowslipchute_base::id::Time;
use cowslipchute_daemon::log;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_routing::event::Event;
use slog::o;

use crate::decide::Decider;
use crate::message::Command;

/// Retry interval for messages that did not fit into a ring.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1);
/// Minimum time from the start of a stop to the closing of the listener. New requests are rejected
/// meanwhile, and the platform's balancer sees the lost readiness before the address closes.
const MIN_DRAIN: Duration = Duration::from_millis(500);

impl Decider {
    /// Sends the declared services to the fronts, once configuration and list are loaded.
    pub(super) fn publish(&mut self) {
        if !(self.services_changed && self.configured && self.listed) {
            return;
        }
        self.services_changed = false;
        let services = Arc::new(self.services.clone());
        for front in &mut self.fronts {
            front.commands.push(Command::Serve(services.clone()));
        }
        if self.draining_since.is_none() {
            self.readiness.set(true);
        }
    }

    /// Advances a stop: first rejects new requests, then closes the listener.
    pub(super) fn advance_stop(&mut self) {
        if self.stop.stage() < Stage::Draining {
            return;
        }
        let now = self.clock.now();
        let Some(since) = self.draining_since else {
            self.draining_since = Some(now);
            self.readiness.set(false);
            log::emit(&self.logger, event::Event::Stopping, o!());
            for front in &mut self.fronts {
                front.commands.push(Command::Drain);
            }
            self.step(Event::Drain);
            return;
        };
        let min_drain_passed = now.saturating_sub(since) >= MIN_DRAIN;
        if min_drain_passed && self.accepting.is_some() && self.router.in_progress() == 0 {
            self.accepting = None;
        }
    }

    pub(super) async fn wait(&mut self) {
        self.fronts.iter_mut().for_each(|front| front.commands.flush());
        let has_backlog = self.fronts.iter().any(|front| front.commands.has_backlog());
        let now = self.clock.now();
        let mut until = self.router.next_due();
        if has_backlog || !self.unsent_claims.is_empty() {
            until = earlier(until, now + FLUSH_INTERVAL);
        }
        let next_stage = match (self.stop.stage(), self.accepting.is_none()) {
            (Stage::Running, _) => Stage::Draining,
            (_, _) => Stage::Forced,
        };
        if let (Some(since), false) = (self.draining_since, self.accepting.is_none()) {
            until = earlier(until, (since + MIN_DRAIN).max(now + FLUSH_INTERVAL));
        }
        let sleep = async {
            match until {
                Some(time) => tokio::time::sleep_until(self.clock.at(time)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.bell.wait() => {}
            () = sleep => {}
            () = self.stop.wait_for_stage(next_stage) => {}
        }
    }
}

fn earlier(a: Option<Time>, b: Time) -> Option<Time> {
    Some(a.map_or(b, |a| a.min(b)))
}
