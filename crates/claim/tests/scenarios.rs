//! Runs the scenario files. The directive of each block names what it checks, its input lines are
//! steps, and its output is what the claimants received.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::owner::Settings;
use cowslipchute_claim::slot;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Answer;
use cowslipchute_ports::peer::Settlement;

mod world;

use world::World;
use world::settings;

const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of keys tried to find a matching one.
const MAX_KEYS_TRIED: u32 = 100_000;

/// A world with named keys.
struct Scenario {
    world: World,
    keys: BTreeMap<String, Key>,
    /// The claimant that last settled a key through an entry process, for settling it again.
    settled: BTreeMap<(String, Key), Claimant>,
    /// Whether messages are delivered only by explicit steps.
    is_holding: bool,
}

#[test]
fn scenarios() {
    datadriven::walk("filetests", |file| {
        let mut scenario = Scenario::open(settings(RETENTION));
        file.run(|block| scenario.run(&block.input));
    });
}

impl Scenario {
    fn open(settings: Settings) -> Scenario {
        Scenario {
            world: World::open(settings),
            keys: BTreeMap::new(),
            settled: BTreeMap::new(),
            is_holding: false,
        }
    }

    fn run(&mut self, steps: &str) -> String {
        for step in steps.lines() {
            let words: Vec<&str> = step.split_whitespace().collect();
            self.step(&words);
            if !self.is_holding {
                self.world.settle_down();
            }
        }
        self.world.log.drain(..).map(|line| line + "\n").collect()
    }

    fn step(&mut self, words: &[&str]) {
        let world = &mut self.world;
        match *words {
            ["start", name, "in", domain] => world.start(name, domain, false),
            ["replace", name, "in", domain] => world.start(name, domain, true),
            ["kill", name] => world.kill(name),
            ["unlist", name] => world.unlist(name),
            ["freeze", name] => world.freeze(name),
            ["thaw", name] => world.thaw(name),
            ["drain", name] => world.step(name, Event::Drain),
            ["cut", name] => {
                world.cut_peers.insert(name.to_owned());
            }
            ["heal", name] => {
                world.cut_peers.remove(name);
            }
            ["cut", name, "from", "platform"] => {
                world.cut_platform.insert(name.to_owned());
            }
            ["heal", name, "from", "platform"] => {
                world.cut_platform.remove(name);
                world.send_list(name);
            }
            ["pass", "roster", "to", name] => world.send_roster(name, None),
            ["pass", "roster", version, "to", name] => {
                world.send_roster(name, Some(version.parse().expect("a version")));
            }
            ["deliver", kind] => self.deliver(kind, ""),
            ["deliver", kind, node] => self.deliver(kind, node),
            ["lose", kind, node] => self.lose(kind, node),
            ["relist", name] => world.relist(name),
            ["store", state] => {
                world.store.down = state == "down";
                world.store.lossy = state == "lossy";
            }
            ["hold"] => self.is_holding = true,
            ["release"] => self.is_holding = false,
            ["advance", seconds] => self.advance(seconds.parse().expect("seconds")),
            ["room", claims] => world.settings.max_claims = claims.parse().expect("a number"),
            ["key", key, "of", owner] => self.name_key(key, owner, None),
            ["key", key, "of", owner, "due", "to", next] => self.name_key(key, owner, Some(next)),
            ["claim", key, "via", entry] => world.claim(entry, &self.keys[key]),
            ["settle", key, "via", entry, ref outcome @ ..] => self.settle(key, entry, outcome),
            ["show", "roster"] => self.show_roster(),
            ["show", name] => {
                let owner = &world.nodes[name].owner;
                let (slots, drained) = (owner.slots(), owner.is_drained());
                let line =
                    format!("{name}: {slots} slots, {} keys, drained {drained}", owner.claims());
                world.log.push(line);
            }
            _ => panic!("unknown step: {words:?}"),
        }
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.world.tick();
            if !self.is_holding {
                self.world.settle_down();
            }
        }
    }

    /// Names a key that `owner` owns by the stored roster and, if `next` is given, whose slot moves
    /// to `next` once that process joins.
    fn name_key(&mut self, name: &str, owner: &str, next: Option<&str>) {
        let roster = self.world.store.roster.as_ref().expect("there is a roster");
        let joining = next.map(|next| world::member(next, "a", 1));
        let joined =
            joining.map(|next| roster.revised(&next, |_| false).expect("the member joins"));
        let is_match = |key: &Key| {
            let is_due = joined.as_ref().is_none_or(|joined| {
                let target = joined.target(key.slot(), None);
                target.is_some_and(|target| Some(&*target.instance) == next)
            });
            is_due && *roster.owner_at(key.slot()).instance == *owner
        };
        let mut keys = (0..MAX_KEYS_TRIED)
            .map(|number| Key { service: "berths".into(), key: format!("{name}-{number}").into() });
        let key = keys.find(is_match).unwrap_or_else(|| panic!("no key found that {owner} owns"));
        self.keys.insert(name.to_owned(), key);
    }

    /// Delivers the oldest message of a kind that a node receives or has sent to the store.
    fn deliver(&mut self, kind: &str, node: &str) {
        let index = self.find_message(kind, node);
        self.world.deliver(index);
    }

    /// Drops the oldest such message.
    fn lose(&mut self, kind: &str, node: &str) {
        let index = self.find_message(kind, node);
        let message = self.world.wire.remove(index).expect("the message is on the wire");
        self.world.drop_message(message);
    }

    fn find_message(&self, kind: &str, node: &str) -> usize {
        let wire = &self.world.wire;
        let index = wire.iter().position(|sent| sent.kind() == kind && sent.node() == node);
        index.unwrap_or_else(|| {
            let sent: Vec<_> = wire.iter().map(|sent| (sent.kind(), sent.node())).collect();
            panic!("no {kind} of {node} is on the wire: {sent:?}")
        })
    }

    fn settle(&mut self, key: &str, entry: &str, outcome: &[&str]) {
        let settlement = match outcome {
            ["ran"] => Settlement::Ran(None),
            ["ran", body] => {
                let body = body.as_bytes().to_vec();
                Settlement::Ran(Some(Answer { status: 200, content_type: None, body }))
            }
            ["not-run"] => Settlement::NotRun,
            ["unknown"] => Settlement::Unknown,
            _ => panic!("unknown outcome: {outcome:?}"),
        };
        let key = &self.keys[key];
        let granted = self
            .world
            .open_grants
            .iter()
            .find(|(claimant, granted)| *claimant.instance == *entry && *granted == key);
        let claimant = match granted {
            Some((claimant, _)) => claimant.clone(),
            None => self.settled[&(entry.to_owned(), key.clone())].clone(),
        };
        self.world.open_grants.remove(&claimant);
        self.settled.insert((entry.to_owned(), key.clone()), claimant.clone());
        self.world.settle(&claimant, key, settlement);
    }

    fn show_roster(&mut self) {
        let roster = self.world.store.roster.as_ref().expect("there is a roster");
        let mut counts = BTreeMap::new();
        for slot in slot::all() {
            *counts.entry(roster.owner_at(slot).instance.clone()).or_insert(0) += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(owner, count)| format!("{owner} {count}")).collect();
        let members: Vec<&str> = roster.members.iter().map(|member| &*member.instance).collect();
        let line = format!(
            "version {}, members {}, slots {}",
            roster.version,
            members.join(" "),
            counts.join(", ")
        );
        self.world.log.push(line);
    }
}
