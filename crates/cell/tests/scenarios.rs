//! Runs the scenario files; each block is one scenario in a small command language.
//!
//! `REWRITE=1 cargo test -p cowslipchute-cell --test scenarios` rewrites the expected output.

mod world;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Usage;
use cowslipchute_resource::job;
use datadriven::walk;
use world::World;

/// One command of a scenario.
struct Command<'a> {
    verb: &'a str,
    words: Vec<&'a str>,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Command<'a> {
    fn parse(text: &'a str) -> Command<'a> {
        let mut parts = text.split_whitespace();
        let verb = parts.next().expect("a command has a verb");
        let (fields, words): (Vec<_>, Vec<_>) = parts.partition(|part| part.contains('='));
        let fields = fields.into_iter().filter_map(|field| field.split_once('=')).collect();
        Command { verb, words, fields }
    }

    fn word(&self, index: usize) -> &'a str {
        self.words.get(index).unwrap_or_else(|| panic!("{} lacks an argument", self.verb))
    }

    fn number(&self, field: &str, default: u32) -> u32 {
        self.fields.get(field).map_or(default, |text| text.parse().expect("a number"))
    }

    fn amount(&self) -> Amount {
        Amount {
            cpu_milli: self.number("cpu", 1000),
            memory_mib: self.number("mem", 100),
            accelerators: self.number("acc", 0) as u16,
        }
    }

    fn former(&self, index: usize) -> Former {
        match self.words.get(index).copied().unwrap_or("released") {
            "released" => Former::Released,
            "ended" => Former::Ended,
            "unheard" => Former::Unheard,
            other => panic!("unknown state of a former owner: {other}"),
        }
    }
}

fn time(text: &str) -> Duration {
    match text.strip_suffix("ms") {
        Some(millis) => Duration::from_millis(millis.parse().expect("milliseconds")),
        None => Duration::from_secs_f64(text.trim_end_matches('s').parse().expect("seconds")),
    }
}

fn spec(command: &Command<'_>) -> job::Spec {
    let word = command.fields.get("class").copied().unwrap_or("batch");
    let class = Class::ALL.into_iter().find(|class| class.as_str() == word).expect("a class");
    job::Spec {
        team: command.fields.get("team").copied().unwrap_or("default").to_owned(),
        class,
        tasks: command.number("tasks", 1),
        amount: command.amount(),
        duration: command.fields.get("time").map_or(Duration::from_secs(10), |text| time(text)),
        urgent: command.number("urgent", 0) == 1,
        failures_max: command.number("failures", 3),
        ..job::Spec::default()
    }
}

#[derive(Default)]
struct Scenario {
    world: World,
    out: String,
}

impl Scenario {
    fn execute(&mut self, text: &str) {
        let command = Command::parse(text);
        if !(self.platform(&command) || self.operator(&command) || self.owner(&command)) {
            self.show(&command);
        }
    }

    /// Runs commands about workers, the list and the store; returns `false` for any other.
    fn platform(&mut self, command: &Command<'_>) -> bool {
        let world = &mut self.world;
        match command.verb {
            "worker" => {
                let rack = command.fields.get("rack").copied().unwrap_or("r1");
                let amount = Amount { memory_mib: command.number("mem", 8000), ..command.amount() };
                command.words.iter().for_each(|name| world.add_worker(name, rack, amount));
                world.publish();
            }
            "run" => world.run(time(command.word(0))),
            "cut" => for_each_worker(world, command, |fake| fake.partitioned = true),
            "heal" => for_each_worker(world, command, |fake| fake.partitioned = false),
            "lose" => for_each_worker(world, command, |fake| {
                fake.lose_answers += command.number("answers", 1)
            }),
            "void" => for_each_worker(world, command, |fake| {
                fake.lose_exchanges += command.number("exchanges", 1)
            }),
            "linger" => for_each_worker(world, command, |fake| {
                fake.delay_exchanges += command.number("exchanges", 1)
            }),
            "haunt" => {
                while !world.late_exchanges.is_empty() {
                    world.deliver_late(0);
                }
            }
            "checkpoints" => for_each_worker(world, command, |fake| {
                fake.checkpoint_time = time(command.fields["take"])
            }),
            "crash" => for_each_worker(world, command, world::fleet::Fake::crash),
            "fails" => for_each_worker(world, command, |fake| {
                fake.fails_runs = command.number("on", 1) == 1
            }),
            "stick" => world.held_back.extend(command.words.iter().map(|&name| name.to_owned())),
            "unstick" => world.held_back.retain(|name| !command.words.contains(&name.as_str())),
            "drop-answers" => command.words.iter().for_each(|&name| world.lose_transfers(name)),
            "restart" => {
                for_each_worker(world, command, world::fleet::Fake::restart);
                for &name in &command.words {
                    let incarnation = world.fakes[name].incarnation;
                    world.listed.insert(name.to_owned(), (incarnation, false));
                }
                if command.number("listed", 1) == 1 {
                    world.publish();
                }
            }
            "leave" => {
                for &name in &command.words {
                    world.listed.get_mut(name).expect("a listed worker").1 = true;
                }
                world.publish();
            }
            "unlist" => {
                world.listed.retain(|name, _| !command.words.contains(&name.as_str()));
                world.publish();
            }
            "store" => match command.word(0) {
                "down" => world.store.down = true,
                "up" => world.store.down = false,
                "lose" => world.store.lose_answers += command.number("answers", 1),
                other => panic!("unknown store command: {other}"),
            },
            "usage" => usage(world, command),
            "unplan" => world.unplanned.extend(command.words.iter().map(|&rack| rack.to_owned())),
            "plan" => {
                // One owner learns that the plan assigns the rack to the cell; the list version is
                // the same.
                world.unplanned.remove(command.word(0));
                let (owner, view) = (world.owner(command.word(1)), world.view());
                world.deliver_event(owner, Event::Listed { view });
            }
            _ => return false,
        }
        true
    }

    /// Runs commands about jobs, teams and the policy; returns `false` for any other.
    fn operator(&mut self, command: &Command<'_>) -> bool {
        let world = &mut self.world;
        match command.verb {
            "job" => world.declare(command.word(0), spec(command)),
            "cancel" => {
                for &name in &command.words {
                    let spec = (*world.jobs[name]).clone();
                    world.declare(name, job::Spec { cancelled: true, ..spec });
                }
            }
            "jobs-late" => world.jobs_late = true,
            "tell-jobs" => {
                let owner = world.owner(command.word(0));
                world.send_jobs(owner);
            }
            "forget" => command.words.iter().for_each(|name| world.undeclare(name)),
            "policy" => {
                let policy = &mut world.policy;
                policy.slowdown_permille = command.number("slowdown", policy.slowdown_permille);
                policy.eviction_permille = command.number("evictions", policy.eviction_permille);
                let reserve = u32::from(policy.urgent_reserve_permille);
                policy.urgent_reserve_permille = command.number("reserve", reserve) as u16;
                policy.lease = command.fields.get("lease").map_or(policy.lease, |text| time(text));
                policy.heartbeat = policy.heartbeat.min(policy.lease / 3);
                let spec = Arc::new(policy.clone());
                world.broadcast(&Event::Policy { spec });
            }
            "share" => {
                let amount = (command.number("limit", 1) == 1).then(|| command.amount());
                world.shares.insert(command.word(0).into(), amount);
                world.broadcast(&Event::Share { team: command.word(0).into(), amount });
            }
            _ => return false,
        }
        true
    }

    /// Runs commands about owners; returns `false` for any other.
    fn owner(&mut self, command: &Command<'_>) -> bool {
        let world = &mut self.world;
        match command.verb {
            "own" => {
                let owner = world.owner(command.word(0));
                world.own(owner, command.former(1));
            }
            "former" => {
                let owner = world.owner(command.word(0));
                world.deliver_event(owner, Event::Former { former: command.former(1) });
            }
            "disown" => {
                let owner = world.owner(command.word(0));
                world.deliver_event(owner, Event::OwnershipLost);
            }
            "kill" => {
                let owner = world.owner(command.word(0));
                world.owners[owner].alive = false;
            }
            "freeze" => {
                let owner = world.owner(command.word(0));
                world.freeze(owner);
            }
            "lag" => {
                let owner = world.owner(command.word(0));
                world.owners[owner].lags = command.number("on", 1) == 1;
                world.publish();
            }
            "thaw" => {
                let owner = world.owner(command.word(0));
                world.thaw(owner);
            }
            _ => return false,
        }
        true
    }

    fn show(&mut self, command: &Command<'_>) {
        assert_eq!(command.verb, "show", "unknown command");
        match command.word(0) {
            "notes" => {
                let is_wanted =
                    |note: &&String| command.words[1..].iter().any(|word| note.contains(word));
                for note in self.world.notes.iter().filter(is_wanted) {
                    writeln!(self.out, "{note}").expect("a string takes any text");
                }
                self.world.notes.clear();
            }
            "counts" => self.show_counts(command.word(1)),
            "workers" => self.show_workers(),
            "store" => self.show_store(),
            other => panic!("unknown subject to show: {other}"),
        }
    }

    fn show_counts(&mut self, owner: &str) {
        let owner = self.world.owner(owner);
        let cell = &self.world.owners[owner].cell;
        let text = format!("{:?}", cell.counts());
        let fields = text.trim_start_matches("Counts { ").trim_end_matches(" }").split(", ");
        let nonzero: Vec<&str> = fields.filter(|field| !field.ends_with(": 0")).collect();
        writeln!(self.out, "{:?} {}", cell.phase(), nonzero.join(", "))
            .expect("a string takes any text");
    }

    fn show_workers(&mut self) {
        for fake in self.world.fakes.values().filter(|fake| fake.alive) {
            let held = fake.held().map(|held| {
                let phase = match &held.phase {
                    Phase::Failed { .. } => "failed",
                    Phase::Evicted { .. } => "evicted",
                    Phase::Running if held.permille < 1000 => "throttled",
                    Phase::Running => "running",
                    Phase::Stopping => "stopping",
                    Phase::Done => "done",
                    Phase::Stopped => "stopped",
                    Phase::Forgotten => "forgotten",
                };
                format!(" {}/{}:{phase}", held.run.job, held.run.task)
            });
            writeln!(self.out, "{}:{}", fake.name, held.collect::<String>())
                .expect("a string takes any text");
        }
    }

    fn show_store(&mut self) {
        let jobs = self.world.store.records.values().filter(|record| record.view == 0);
        for record in jobs {
            write!(self.out, "{}:", record.job).expect("a string takes any text");
            for span in &record.done {
                write!(self.out, " done {}..{}", span.start, span.end)
                    .expect("a string takes any text");
            }
            for span in &record.cancelled {
                write!(self.out, " cancelled {}..{}", span.start, span.end)
                    .expect("a string takes any text");
            }
            for task in &record.tasks {
                let checkpoint = task.checkpoint.as_deref().unwrap_or("-");
                write!(self.out, " [{} {checkpoint} failures {}", task.index, task.failures)
                    .expect("a string takes any text");
                match &task.fate {
                    Some(fate) => write!(self.out, " {fate:?}]").expect("a string takes any text"),
                    None => self.out.push(']'),
                }
            }
            self.out.push('\n');
        }
    }
}

fn for_each_worker(
    world: &mut World,
    command: &Command<'_>,
    change: impl Fn(&mut world::fleet::Fake),
) {
    for &name in &command.words {
        let named = |fake: &&mut world::fleet::Fake| fake.name == name || fake.rack == name;
        world.fakes.values_mut().filter(named).for_each(&change);
    }
}

/// Adds a measurement of a run to its worker's next report: `usage job 0 cpu= mem= slow= ago=`.
fn usage(world: &mut World, command: &Command<'_>) {
    let now = world.now;
    let task = command.word(1).parse().expect("a task");
    let found = |fake: &mut world::fleet::Fake| fake.find(command.word(0), task);
    let mut fakes = world.fakes.values_mut();
    let (fake, run) =
        fakes.find_map(|fake| found(fake).map(|run| (fake, run))).expect("a run on a worker");
    let measured = fake.stamp(now) - u64::from(command.number("ago", 0));
    let slowdown_permille = command.number("slow", 1000);
    fake.usage.push(Usage { run, amount: command.amount(), measured, slowdown_permille });
}

#[test]
fn scenarios_show_what_their_files_say() {
    let files: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("filetests");
    walk(files.to_str().expect("a path in UTF-8"), |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario", "a block is one scenario");
            let mut scenario = Scenario::default();
            case.input
                .lines()
                .filter(|line| !line.trim().is_empty())
                .for_each(|l| scenario.execute(l));
            if scenario.out.is_empty() { String::from("\n") } else { scenario.out }
        });
    });
}
