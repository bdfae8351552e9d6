//! What the processes of a soak of overload have of a core, and which of them are down.

use std::time::Instant;

use anyhow::Result;

use crate::share;
use crate::site::Deployment;

/// The processes that a limit holds for.
#[derive(Clone, Debug)]
pub(super) enum Target {
    One(String),
    All,
    /// Whichever process owns the cell at the time.
    Owner,
}

/// The shares of all processes.
#[derive(Clone, Debug)]
pub(super) struct Power {
    /// The share of each process without a limit.
    pub(super) base: f64,
    /// Parts of that share, each until a time.
    limits: Vec<(Instant, Target, f64)>,
    /// When a process that is down starts again.
    down: Vec<(Instant, String)>,
}

impl Default for Power {
    fn default() -> Power {
        Power { base: share::WHOLE, limits: Vec::new(), down: Vec::new() }
    }
}

impl Power {
    /// Leaves a part of their share to some processes until a time.
    pub(super) fn limit(&mut self, target: Target, part: f64, until: Instant) {
        self.limits.push((until, target, part));
    }

    /// Kills a process, which starts again at a time.
    pub(super) fn kill(&mut self, deployment: &mut Deployment, name: &str, until: Instant) {
        if let Some(member) = deployment.members.get_mut(name) {
            member.process = None;
        }
        self.down.retain(|(_, other)| other != name);
        self.down.push((until, name.to_owned()));
    }

    /// Starts the processes that are due and sets the shares.
    pub(super) fn step(&mut self, deployment: &mut Deployment) -> Result<()> {
        let now = Instant::now();
        self.limits.retain(|(until, _, _)| *until > now);
        for (_, name) in self.down.extract_if(.., |(at, _)| *at <= now) {
            deployment.start(&name)?;
        }
        let owner = deployment.owner();
        for (name, member) in &mut deployment.members {
            let part = self.part(name, owner.as_ref() == Some(name));
            if let Some(process) = &mut member.process {
                process.set_share(part);
            }
        }
        Ok(())
    }

    /// Returns `true` while no limit holds and no process is down.
    pub(super) fn is_steady(&self) -> bool {
        self.limits.is_empty() && self.down.is_empty()
    }

    fn part(&self, name: &str, is_owner: bool) -> f64 {
        let holds = |target: &Target| match target {
            Target::One(one) => one == name,
            Target::All => true,
            Target::Owner => is_owner,
        };
        let limits = self.limits.iter().filter(|(_, target, _)| holds(target));
        self.base * limits.map(|(_, _, part)| *part).fold(share::WHOLE, f64::min)
    }
}
