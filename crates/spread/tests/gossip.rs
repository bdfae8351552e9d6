//! Runs the scenario files of `filetests/gossip` against [`Gossip`], as seen by one instance.
//!
//! `open` names the instance and its domain; `members` has one line for each listed instance (`name
//! domain incarnation` and optionally `leaving` or a role); `failed` and `answered` report how a
//! call ended; `view` prints the parent and the children; `calls` prints the calls of a period.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_spread::gossip::Action;
use cowslipchute_spread::gossip::Gossip;
use cowslipchute_spread::rank::Peer;
use datadriven::TestCase;

const STEP: Duration = Duration::from_millis(10);

fn member(line: &str) -> Member {
    let words: Vec<&str> = line.split_whitespace().collect();
    let role = match words.get(3) {
        Some(&"worker") => Role::Worker,
        Some(&"backend") => Role::Backend,
        _ => Role::Entry,
    };
    let state = if words.get(3) == Some(&"leaving") { State::Leaving } else { State::Live };
    Member {
        instance: words[0].into(),
        incarnation: words[2].parse().expect("an incarnation third"),
        role,
        state,
        domain: words[1].into(),
        rack: "".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

fn word<'a>(case: &'a TestCase, name: &str) -> &'a str {
    &case.args.get(name).unwrap_or_else(|| panic!("{} needs {name}", case.directive))[0]
}

fn millis(case: &TestCase, name: &str) -> Duration {
    Duration::from_millis(word(case, name).parse().expect("milliseconds"))
}

struct Scenario {
    gossip: Gossip,
    listed: Vec<Member>,
}

impl Scenario {
    fn open(instance: &str, domain: &str) -> Scenario {
        let line = format!("{instance} {domain} 1");
        Scenario { gossip: Gossip::open(peer(&member(&line)), 1), listed: Vec::new() }
    }

    fn peer(&self, name: &str) -> Peer {
        let found = self.listed.iter().find(|member| &*member.instance == name);
        peer(found.expect("the peer is listed"))
    }

    fn view(&self) -> String {
        let holds = if self.gossip.holds_watch() { "holds the watch" } else { "has no watch" };
        let parent = self.gossip.parent().map_or("nobody", |peer| &peer.instance);
        let children: Vec<&str> = self.gossip.children().map(|peer| &*peer.instance).collect();
        format!("{holds}, pulls from {parent}, pushes to [{}]\n", children.join(" "))
    }

    fn calls(&mut self, case: &TestCase) -> String {
        let (mut now, until) = (millis(case, "from"), millis(case, "until"));
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        while now < until {
            for action in self.gossip.tick(now, !case.args.contains_key("starting")) {
                let text = match action {
                    Action::Pull(peer) => format!("pull {}", peer.instance),
                    Action::Probe(peer) => format!("probe {}", peer.instance),
                };
                *counts.entry(text).or_default() += 1;
            }
            now += STEP;
        }
        let mut out = String::new();
        for (text, count) in counts {
            writeln!(out, "{text} x{count}").expect("a string takes text");
        }
        out
    }

    fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "open" => *self = Scenario::open(word(case, "instance"), word(case, "domain")),
            "members" => {
                self.listed = case.input.lines().map(member).collect();
                self.gossip.set_members(&self.listed);
            }
            "failed" => {
                let news = self.gossip.failed(&self.peer(word(case, "peer")), millis(case, "at"));
                return if news { String::from("news\n") } else { String::new() };
            }
            "answered" => {
                let news = self.gossip.answered(&self.peer(word(case, "peer")));
                return if news { String::from("news\n") } else { String::new() };
            }
            "view" => return self.view(),
            "calls" => return self.calls(case),
            other => panic!("{other:?} is no directive"),
        }
        String::new()
    }
}

fn peer(member: &Member) -> Peer {
    Peer {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        address: member.address,
    }
}

#[test]
fn scenarios() {
    datadriven::walk("filetests/gossip", |file| {
        let mut scenario = Scenario::open("e1", "a");
        file.run(|case| scenario.run(case));
    });
}
