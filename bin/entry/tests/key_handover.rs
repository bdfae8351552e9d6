//! Records of idempotency keys are handed over between owners when entries join and leave.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_claim::handover::Handover;
use cowslipchute_claim::roster;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::Move;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store as _;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Reply;
use cowslipchute_ports::peer::Settlement;
use cowslipchute_resource::service;
use support::Running;
use support::backend;
use support::backend::Backend;
use support::platform;
use support::platform::List;
use support::platform::Store;
use tokio::sync::mpsc;

const SERVICE: &str = "shop";
/// Number of keys in a set: enough that each of three owners has some.
const KEYS: usize = 40;
/// Delay between two attempts with one key.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of attempts with one key: their total time is far less than the time for which a
/// key stays in doubt.
const TRIES: usize = 1000;

struct World {
    server: Backend,
    list: List,
    store: Store,
    identity: Identity,
}

impl World {
    async fn open() -> World {
        let script = |seen: &backend::Seen| backend::ok(seen.header("idempotency-key").unwrap());
        let server = Backend::open(script).await;
        World {
            list: List::of(SERVICE, &[server.address]),
            store: Store::with(SERVICE, service::Spec::default()),
            identity: Identity::generate().expect("certificates can be made"),
            server,
        }
    }

    /// Starts an entry and waits until `owners` members own slots.
    async fn join(&self, name: &str, owners: usize) -> Running {
        let entry = support::open_peer(name, &self.identity, &self.list, &self.store).await;
        support::until("it owns its share", || self.owners() == owners).await;
        entry
    }

    fn roster(&self) -> Option<Roster> {
        serde_json::from_slice(&self.store.get(roster::KEY)?).ok()
    }

    /// Counts the members that own slots.
    fn owners(&self) -> usize {
        let Some(roster) = self.roster() else { return 0 };
        let owns = |member: &&Member| slot::all().any(|slot| roster.owner_at(slot).is_same(member));
        roster.members.iter().filter(owns).count()
    }

    /// Changes the roster as one of its members would.
    async fn change_roster(&self, change: impl Fn(&Roster) -> Roster) {
        for _ in 0..TRIES {
            let snapshot = self.store.read(roster::KEY).await.expect("the store is up");
            let entry = snapshot.entries.first().expect("there is a roster");
            let next = change(&serde_json::from_slice(&entry.value).expect("it can be read"));
            let value = serde_json::to_vec(&next).expect("it can be written");
            let key = roster::KEY.to_owned();
            let guard = kv::Precondition::Unchanged(key.clone(), entry.revision);
            let put = kv::Change::Put { key, value, lease: 0 };
            let txn = kv::Txn { preconditions: vec![guard], changes: vec![put] };
            if self.store.commit(txn).await.expect("the store is up").applied {
                return;
            }
        }
        panic!("the roster changed before each of {TRIES} writes");
    }

    /// Counts the runs of each key.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for seen in self.server.seen() {
            *runs.entry(seen.header("idempotency-key").unwrap().to_owned()).or_default() += 1;
        }
        runs
    }

    fn assert_each_ran_once(&self) {
        let twice: Vec<_> = self.runs().into_iter().filter(|(_, runs)| *runs != 1).collect();
        assert!(twice.is_empty(), "did not run exactly once: {twice:?}");
    }
}

fn keys(prefix: &str) -> Vec<String> {
    (0..KEYS).map(|number| format!("{prefix}-{number}")).collect()
}

async fn book(entry: &Running, key: &str) -> reqwest::Response {
    let request = support::client().post(entry.url("/shop/renders"));
    request.header("idempotency-key", key).send().await.expect("the entry answers")
}

/// Books until the answer is final. Ownership that is being handed over and settlements in flight
/// lead to temporary result codes, which are retried.
async fn book_to_the_end(entry: &Running, key: &str) {
    let mut code = 0;
    for _ in 0..TRIES {
        let response = book(entry, key).await;
        code = support::code(&response);
        if !matches!(code, 1303 | 1304) {
            assert_eq!(code, 1000, "{key}");
            assert_eq!(response.text().await.unwrap(), key);
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    panic!("the key {key} still gets the code {code}");
}

async fn book_all(entry: &Running, keys: &[String]) {
    for key in keys {
        book_to_the_end(entry, key).await;
    }
}

#[tokio::test]
async fn planned_stop_passes_the_keys_on() {
    let world = World::open().await;
    let a = world.join("entry-a", 1).await;
    let b = world.join("entry-b", 2).await;
    let (known, new) = (keys("known"), keys("new"));
    book_all(&a, &known).await;
    a.stop().await;
    book_all(&b, &known).await;
    book_all(&b, &new).await;
    world.assert_each_ran_once();
    assert_eq!(world.runs().len(), 2 * KEYS);
    b.stop().await;
}

#[tokio::test]
async fn joiner_takes_its_share_and_the_keys_known() {
    let world = World::open().await;
    let a = world.join("entry-a", 1).await;
    let known = keys("known");
    book_all(&a, &known).await;
    let b = world.join("entry-b", 2).await;
    let c = world.join("entry-c", 3).await;
    book_all(&c, &known).await;
    a.stop().await;
    b.stop().await;
    book_all(&c, &known).await;
    book_all(&c, &keys("new")).await;
    world.assert_each_ran_once();
    c.stop().await;
}

/// Number of clients that send requests while all entries are replaced.
const CLIENTS: usize = 4;

#[tokio::test]
async fn no_key_runs_twice_while_entries_are_replaced() {
    let world = World::open().await;
    let (a, b) = (world.join("entry-a", 1).await, world.join("entry-b", 2).await);
    let urls = Arc::new(Mutex::new(vec![a.url("/shop/x"), b.url("/shop/x")]));
    let over = Arc::new(AtomicBool::new(false));
    let load = |client| tokio::spawn(load(client, urls.clone(), over.clone()));
    let clients: Vec<_> = (0..CLIENTS).map(load).collect();
    let mut successors = Vec::new();
    for (old, name) in [(a, "entry-c"), (b, "entry-d")] {
        let entry = world.join(name, 3).await;
        urls.lock().unwrap().push(entry.url("/shop/x"));
        successors.push(entry);
        old.stop().await;
        urls.lock().unwrap().remove(0);
        assert_eq!(world.owners(), 2);
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.await.unwrap();
    }
    world.assert_each_ran_once();
    for entry in successors {
        entry.stop().await;
    }
}

/// Books one key after another, each until its answer is final, through any entry.
async fn load(client: usize, urls: Arc<Mutex<Vec<String>>>, over: Arc<AtomicBool>) {
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        book_anywhere(&format!("client-{client}-{number}"), &urls).await;
        number += 1;
    }
}

async fn book_anywhere(key: &str, urls: &Mutex<Vec<String>>) {
    for attempt in 0..TRIES {
        let url = {
            let urls = urls.lock().unwrap();
            urls[attempt % urls.len()].clone()
        };
        let request = support::client().post(url).header("idempotency-key", key);
        // A failed connection means that the entry has ended; it announced its stop before.
        if let Ok(response) = request.send().await {
            match support::code(&response) {
                1000 => return assert_eq!(response.text().await.unwrap(), key),
                1205 | 1303 | 1304 => {}
                other => panic!("{key} gets the code {other}"),
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    panic!("the key {key} has no final answer");
}

/// A fake member of the roster, controlled by the test.
struct FakeMember {
    node: Node,
    calls: mpsc::Receiver<Incoming>,
    member: Member,
}

impl World {
    /// Lists a fake entry and adds it to the roster, so that the others hand slots over to it.
    async fn add_fake(&self, name: &str) -> FakeMember {
        let settings = node::Settings {
            address: support::ANY,
            identity: self.identity.clone(),
            call_timeout: support::HANG,
            max_calls: 16,
        };
        let (node, calls) = Node::open(settings).expect("loopback ports are free");
        let role = list::Role::Entry;
        let listed = list::Member { role, ..platform::member(name, "", node.address()) };
        self.list.add(listed);
        let view = list::List::read(&self.list, &[], None)
            .await
            .expect("the list is up")
            .expect("a first read brings it");
        let member = Member {
            instance: name.into(),
            incarnation: 1,
            started_at: 1,
            domain: "north".into(),
            address: node.address(),
            list_version: view.version,
        };
        let joining = |roster: &Roster| roster.revised(&member, |_| false).expect("it is new");
        self.change_roster(joining).await;
        FakeMember { node, calls, member }
    }
}

impl FakeMember {
    /// Waits for the next handover and answers it.
    async fn adopt(&mut self, reply: Option<Reply>) -> Handover {
        loop {
            let call = tokio::time::timeout(support::HANG, self.calls.recv()).await;
            let incoming = call.expect("a handover comes").expect("the node is open");
            let Call::Adopt { handover } = &incoming.call else {
                incoming.answer(Reply::Misdirected);
                continue;
            };
            let handover = Handover::from_bytes(handover).expect("a handover can be read");
            match reply {
                Some(reply) => incoming.answer(reply),
                None => drop(incoming),
            }
            return handover;
        }
    }

    fn owns(&self, roster: &Roster, key: &str) -> bool {
        roster.owner_of(SERVICE, key).is_same(&self.member)
    }
}

#[tokio::test]
async fn slots_stay_where_they_are_if_the_handover_is_lost() {
    let world = World::open().await;
    let a = world.join("entry-a", 1).await;
    let known = keys("known");
    book_all(&a, &known).await;
    let mut fake = world.add_fake("entry-x").await;
    let handover = fake.adopt(None).await;
    assert!(handover.keys() > 0, "what is known of the slots was sent");
    book_all(&a, &known).await;
    book_all(&a, &keys("new")).await;
    assert_eq!(world.owners(), 1);
    world.assert_each_ran_once();
    // The fake member owns the slots when their owner stops, even without a handover.
    a.stop().await;
    assert!(world.roster().unwrap().members.iter().all(|member| member.is_same(&fake.member)));
    drop(fake.node);
}

/// A fake member accepts its share and releases it to the remaining entry without a handover. Only
/// the keys of the released slots are in doubt.
#[tokio::test]
async fn lost_handover_leaves_doubt_for_its_slots_alone() {
    let world = World::open().await;
    let a = world.join("entry-a", 1).await;
    let known = keys("known");
    book_all(&a, &known).await;
    let mut fake = world.add_fake("entry-x").await;
    let handover = fake.adopt(Some(Reply::Noted)).await;
    support::until("it owns its share", || world.owners() == 2).await;
    let before = world.roster().unwrap();
    let sent = handover.slots.iter().flat_map(|parcel| &parcel.grants);
    let sent: Vec<_> = sent.map(|kept| kept.key.key.to_string()).collect();
    assert!(sent.iter().all(|key| fake.owns(&before, key)));

    world
        .change_roster(|roster| {
            let to = roster.members.iter().find(|member| !member.is_same(&fake.member)).unwrap();
            let slots = slot::all().filter(|slot| roster.owner_at(*slot).is_same(&fake.member));
            let moves: Vec<_> =
                slots.map(|slot| Move { slot, to: to.clone(), number: 7 }).collect();
            roster.released(&moves, Some(&fake.member))
        })
        .await;
    let (lost, kept): (Vec<_>, Vec<_>) =
        known.iter().chain(&keys("new")).cloned().partition(|key| fake.owns(&before, key));
    assert!(!lost.is_empty() && lost.len() < kept.len() * 4);
    book_all(&a, &kept).await;
    for key in lost {
        assert_eq!(support::code(&book(&a, &key).await), 1304, "{key} is in doubt");
    }
    world.assert_each_ran_once();
    a.stop().await;
}

/// Returns the next claim or settlement that a fake owner receives; rejects other calls.
async fn next_of_key(calls: &mut mpsc::Receiver<Incoming>) -> Incoming {
    loop {
        let call = tokio::time::timeout(support::HANG, calls.recv()).await;
        let incoming = call.expect("the key's claimant calls").expect("the node is open");
        match incoming.call {
            Call::Claim { .. } | Call::Settle { .. } => return incoming,
            _ => incoming.answer(Reply::Misdirected),
        }
    }
}

#[tokio::test]
async fn claim_whose_verdict_is_lost_is_settled_as_not_run() {
    let world = World::open().await;
    let a = world.join("entry-a", 1).await;
    let mut fake = world.add_fake("entry-x").await;
    fake.adopt(Some(Reply::Noted)).await;
    support::until("it owns its share", || world.owners() == 2).await;
    let roster = world.roster().unwrap();
    let key = keys("lost").into_iter().find(|key| fake.owns(&roster, key)).unwrap();
    let url = a.url("/shop/renders");
    let send = || support::client().post(&url).header("idempotency-key", &key).send();

    // The entry applies the new roster shortly after it is stored.
    let refused = loop {
        let mut sent = tokio::spawn(send());
        let incoming = tokio::select! {
            incoming = next_of_key(&mut fake.calls) => incoming,
            early = &mut sent => {
                assert_eq!(support::code(&early.unwrap().unwrap()), 1304);
                continue;
            }
        };
        let Call::Claim { claimant, .. } = incoming.call.clone() else { panic!("{incoming:?}") };
        drop(incoming);
        assert_eq!(support::code(&sent.await.unwrap().unwrap()), 1304);
        break claimant;
    };
    let settled = next_of_key(&mut fake.calls).await;
    let Call::Settle { claimant, settlement, .. } = settled.call.clone() else {
        panic!("{settled:?}")
    };
    assert_eq!((claimant, settlement), (refused.clone(), Settlement::NotRun));
    settled.answer(Reply::Noted);

    let sent = tokio::spawn(send());
    let granted = next_of_key(&mut fake.calls).await;
    let Call::Claim { claimant: second, .. } = granted.call.clone() else { panic!("{granted:?}") };
    assert_ne!(second, refused, "another request is another claimant");
    granted.answer(Reply::Claimed(Claimed::Granted));
    assert_eq!(support::code(&sent.await.unwrap().unwrap()), 1000);
    let settled = next_of_key(&mut fake.calls).await;
    let Call::Settle { claimant, settlement, .. } = settled.call.clone() else {
        panic!("{settled:?}")
    };
    assert_eq!(claimant, second);
    assert!(matches!(settlement, Settlement::Ran(Some(_))));
    settled.answer(Reply::Noted);
    world.assert_each_ran_once();
    a.force();
    a.ended().await;
}
