//! Runs the scenario files of `filetests/`.
//!
//! The first line of a block names what it checks; the lines up to `----` are commands to one
//! router, and the lines after it are the expected actions. Blocks of a file share their state. The
//! invariants of `support/check.rs` are also checked after each command.
//! `REWRITE=1 cargo test -p cowslipchute-routing --test scenarios` writes the actual actions into
//! the files; review the difference.

#[path = "support/fake.rs"]
mod fake;
mod support;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Answer;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;

use fake::Behaviour;
use fake::Change;
use fake::Load;
use fake::Timed;
use support::world::World;
use support::world::arrival;
use support::world::member;
use support::world::settings;

/// One command line: the command, its arguments and its options.
struct Line<'a> {
    word: &'a str,
    words: Vec<&'a str>,
    options: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn parse(line: &'a str) -> Line<'a> {
        let mut parts = line.split_whitespace();
        let word = parts.next().expect("a command");
        let (options, words): (Vec<_>, Vec<_>) = parts.partition(|part| part.contains('='));
        let options = options.iter().filter_map(|option| option.split_once('=')).collect();
        Line { word, words, options }
    }

    fn has(&self, flag: &str) -> bool {
        self.words.contains(&flag)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.options.get(name).map(|text| text.parse().expect("a number"))
    }

    fn time(&self, name: &str) -> Option<Duration> {
        self.options.get(name).map(|text| millis(text))
    }
}

fn millis(text: &str) -> Duration {
    let digits = text.strip_suffix("ms").expect("milliseconds");
    Duration::from_millis(digits.parse().expect("a number"))
}

/// Parses a number such as `7` or an inclusive range such as `1..5`.
fn numbers(text: &str) -> std::ops::RangeInclusive<u64> {
    let parse = |text: &str| text.parse().expect("a number");
    match text.split_once("..") {
        Some((first, last)) => parse(first)..=parse(last),
        None => parse(text)..=parse(text),
    }
}

fn class(text: &str) -> Class {
    Class::ALL.into_iter().find(|class| class.as_str() == text).expect("a class")
}

fn ending(line: &Line<'_>) -> Ending {
    let leaving = line.has("leaving");
    let status = line.number("status").unwrap_or(200) as u16;
    let known = [
        ("answered", Ending::Answered { status, leaving }),
        ("refused", Ending::Refused { leaving }),
        ("unsent", Ending::Unsent),
        ("broken", Ending::Broken),
        ("truncated", Ending::Truncated),
        ("too-large", Ending::TooLarge),
    ];
    let found = known.into_iter().find(|(word, _)| line.has(word));
    found.expect("a known ending").1
}

fn spec(line: &Line<'_>) -> Spec {
    let plain = Spec::default();
    let or = |name: &str, default: u64| line.number(name).unwrap_or(default);
    Spec {
        class: line.options.get("class").map_or(plain.class, |text| class(text)),
        backends_of: line.options.get("of").map(|text| (*text).to_owned()),
        deadline: line.time("deadline").unwrap_or(plain.deadline),
        deadline_max: line.time("deadline-max").unwrap_or(plain.deadline_max),
        queue: or("queue", plain.queue.into()) as u32,
        queue_wait: line.time("wait").unwrap_or(plain.queue_wait),
        reserve_permille: or("reserve", plain.reserve_permille.into()) as u16,
        retry_permille: or("retry", plain.retry_permille.into()) as u16,
        attempts: or("attempts", plain.attempts.into()) as u8,
        hedge: line.has("hedge"),
    }
}

fn behaviour(line: &Line<'_>) -> Behaviour {
    Behaviour { latency: line.time("latency"), ending: ending(line) }
}

/// Parses a line such as `at 100ms behave b1 unsent latency=1ms`.
fn timed(text: &str) -> Timed {
    let mut parts = text.splitn(3, ' ').skip(1);
    let after = millis(parts.next().expect("a time"));
    let line = Line::parse(parts.next().expect("a change"));
    let change = match line.word {
        "behave" => Change::Behave(line.words[0].to_owned(), behaviour(&line)),
        "list" => Change::List,
        "drain" => Change::Drain,
        "freeze" => Change::Freeze(millis(line.words[0])),
        other => panic!("unknown change {other}"),
    };
    Timed { after, change }
}

fn request(line: &Line<'_>, service: &str) -> Arrival {
    Arrival {
        key: line.options.get("key").map(|&key| key.into()),
        class: line.options.get("class").map(|text| class(text)),
        deadline: line.time("deadline"),
        ..arrival(service, !line.has("post"))
    }
}

fn show(action: &Action) -> String {
    match action {
        Action::Send { request, attempt, instance, .. } => {
            format!("send {request} as #{attempt} to {instance}")
        }
        Action::Cancel { attempt } => format!("cancel #{attempt}"),
        Action::Forward { request, attempt } => format!("forward {request} from #{attempt}"),
        Action::Replay { request, .. } => format!("replay {request}"),
        Action::Reply { request, code, retry_after } => {
            let after = if retry_after.is_some() { ", come back" } else { "" };
            format!("reply {request} {code:?}, {}{after}", code.outcome().as_str())
        }
        Action::Claim { request, key, .. } => format!("claim {request} {key}"),
        Action::Settle { request, key, settled, .. } => {
            format!("settle {request} {key} {settled:?}")
        }
        Action::Announce { instance, incarnation } => format!("announce {instance}/{incarnation}"),
        Action::Note { event, subject } => format!("note {event:?} {subject}"),
    }
}

struct Script {
    world: World,
    behaviours: BTreeMap<String, Behaviour>,
    loads: Vec<Load>,
    changes: Vec<Timed>,
}

impl Script {
    fn open() -> Script {
        Script {
            world: World::open(settings()),
            behaviours: BTreeMap::new(),
            loads: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn block(&mut self, input: &str) -> String {
        let mut out = String::new();
        for text in input.lines() {
            let line = Line::parse(text);
            if line.word == "run" {
                self.load(&line);
                let loads = std::mem::take(&mut self.loads);
                let changes = std::mem::take(&mut self.changes);
                let world = &mut self.world;
                out.push_str(&fake::run(world, &loads, &changes, &mut self.behaviours));
                continue;
            }
            if line.word == "load" {
                self.load(&line);
                continue;
            }
            if line.word == "at" {
                self.changes.push(timed(text));
                continue;
            }
            for action in self.command(&line) {
                writeln!(out, "{}", show(&action)).expect("a string takes any text");
            }
        }
        if out.is_empty() { "nothing\n".to_owned() } else { out }
    }

    /// Adds a load to the next `run`.
    fn load(&mut self, line: &Line<'_>) {
        let range = numbers(line.words[0]);
        let load = Load {
            count: range.end() - range.start() + 1,
            every: line.time("every").unwrap_or(Duration::from_millis(1)),
            after: line.time("after").unwrap_or_default(),
            first: *range.start(),
            arrival: request(line, line.words[1]),
        };
        self.loads.push(load);
    }

    fn command(&mut self, line: &Line<'_>) -> Vec<Action> {
        let subject = line.words.first().copied().unwrap_or_default();
        let world = &mut self.world;
        match line.word {
            "open" => {
                *self = Script::open();
                let mut settings = settings();
                settings.entries = line.number("entries").unwrap_or(1) as u16;
                settings.entry = line.number("entry").unwrap_or(0) as u16;
                settings.requests_max = line.number("max").unwrap_or(1000) as usize;
                settings.seed = line.number("seed").unwrap_or(1);
                self.world = World::open(settings);
                Vec::new()
            }
            "service" => world.service(subject, spec(line)),
            "gone" => world.step(Event::ServiceGone { name: subject.into() }),
            "add" => {
                let domain = line.options.get("domain").copied().unwrap_or("a");
                let service = line.options.get("service").copied().unwrap_or("web");
                let mut member = member(subject, service, domain);
                member.slots = line.number("slots").unwrap_or(8) as u16;
                member.connections = line.number("connections").unwrap_or(60) as u16;
                member.incarnation = line.number("life").unwrap_or(1);
                if line.has("entry") {
                    member.role = list::Role::Entry;
                }
                world.view.members.push(member);
                Vec::new()
            }
            "drop" => {
                world.view.members.retain(|member| &*member.instance != subject);
                Vec::new()
            }
            "mark-leaving" => {
                let members = world.view.members.iter_mut();
                for member in members.filter(|member| &*member.instance == subject) {
                    member.state = list::State::Leaving;
                }
                Vec::new()
            }
            "list" => world.list(),
            "list-old" => {
                let view = list::View::default();
                world.step(Event::Listed { view })
            }
            "heard" => {
                let incarnation = line.number("life").unwrap_or(1);
                world.step(Event::Leaving { instance: subject.into(), incarnation })
            }
            "behave" => {
                self.behaviours.insert(subject.into(), behaviour(line));
                Vec::new()
            }
            "arrive" => {
                let arrival = request(line, line.words[1]);
                let mut arrive =
                    |request| world.step(Event::Arrived { request, arrival: arrival.clone() });
                numbers(subject).flat_map(&mut arrive).collect()
            }
            "ended" => {
                let ending = ending(line);
                let mut end = |attempt| world.step(Event::Ended { attempt, ending });
                numbers(subject).flat_map(&mut end).collect()
            }
            "claimed" => {
                let request = subject.parse().expect("a number");
                let answer = Answer { status: 200, content_type: None, body: Vec::new() };
                let verdict = match line.words[1] {
                    "granted" => Claimed::Granted,
                    "ran" => Claimed::Ran(None),
                    "ran-kept" => Claimed::Ran(Some(answer)),
                    "in-doubt" => Claimed::InDoubt,
                    "not-owner" => Claimed::NotOwner,
                    other => panic!("unknown verdict {other}"),
                };
                world.step(Event::Claimed { request, verdict })
            }
            "abandon" => world.step(Event::Abandoned { request: subject.parse().expect("number") }),
            "pass" => world.pass(millis(subject)),
            "drain" => world.step(Event::Drain),
            other => panic!("unknown command {other}"),
        }
    }
}

#[test]
fn scenarios() {
    datadriven::walk("filetests", |file| {
        let mut script = Script::open();
        file.run(|block| script.block(&block.input));
    });
}
