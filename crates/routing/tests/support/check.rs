//! Invariants about requests, checked after every step of the router.
//!
//! The checker sees only events and actions and shares no code with the router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cowslipchute_base::code::Outcome;
use cowslipchute_base::event as log;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::action::Settled;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;

type Identity = (Instance, u64);

#[derive(Debug, Default)]
struct Request {
    service: String,
    idempotent: bool,
    is_keyed: bool,
    deadline: Time,
    attempts_max: u8,
    attempts: u8,
    /// Whether an ended attempt may have run it: broken, truncated, too large or cancelled.
    may_have_run: bool,
    running: BTreeSet<Attempt>,
    has_ended: bool,
    claims: u8,
    grants: u8,
    settled: Option<Settled>,
}

/// State derived from all events and actions so far.
#[derive(Debug)]
pub struct Check {
    settings: Settings,
    specs: BTreeMap<String, Arc<Spec>>,
    requests: BTreeMap<u64, Request>,
    /// Requests without an answer, by deadline.
    unanswered: BTreeSet<(Time, u64)>,
    /// Requests that were closed, granted or settled in this step.
    touched: Vec<u64>,
    attempts: BTreeMap<Attempt, (u64, Identity)>,
    in_flight: BTreeMap<Identity, u32>,
    listed: BTreeMap<Identity, list::Member>,
    leaving: BTreeSet<Identity>,
    version: Option<u64>,
    ejected: BTreeSet<Identity>,
    probing: BTreeSet<Identity>,
    /// The incarnation of each name whose attempt ended last, which a log event with that name
    /// means.
    last_ended: BTreeMap<Instance, Identity>,
    announced: BTreeSet<Identity>,
    last_attempt: Attempt,
}

impl Check {
    /// Creates a checker that has seen nothing.
    pub fn open(settings: Settings) -> Check {
        Check {
            settings,
            specs: BTreeMap::new(),
            requests: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            touched: Vec::new(),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            listed: BTreeMap::new(),
            leaving: BTreeSet::new(),
            version: None,
            ejected: BTreeSet::new(),
            probing: BTreeSet::new(),
            last_ended: BTreeMap::new(),
            announced: BTreeSet::new(),
            last_attempt: 0,
        }
    }

    /// Records an event before the router handles it.
    pub fn before(&mut self, now: Time, event: &Event) {
        match event {
            Event::Service { name, spec } => {
                self.specs.insert(name.to_string(), spec.clone());
                let requests = self.requests.values_mut();
                for request in requests.filter(|request| request.service == **name) {
                    request.attempts_max = request.attempts_max.max(spec.attempts);
                }
            }
            Event::ServiceGone { name } => {
                self.specs.remove(&**name);
            }
            Event::Listed { view } => self.list(view),
            Event::Leaving { instance, incarnation } => {
                self.leaving.insert((instance.clone(), *incarnation));
            }
            Event::Arrived { request, arrival } => {
                let spec = self.specs.get(&*arrival.service);
                let deadline = arrival.deadline.or(spec.map(|spec| spec.deadline));
                let seen = Request {
                    service: arrival.service.to_string(),
                    idempotent: arrival.idempotent,
                    is_keyed: !arrival.idempotent && arrival.key.is_some(),
                    deadline: now + deadline.unwrap_or_default(),
                    attempts_max: spec.map_or(0, |spec| spec.attempts),
                    ..Request::default()
                };
                self.unanswered.insert((seen.deadline, *request));
                assert!(
                    self.requests.insert(*request, seen).is_none(),
                    "request numbers are unique"
                );
            }
            Event::Abandoned { request } => {
                let known = self.requests.get_mut(request).filter(|known| !known.has_ended);
                if let Some(known) = known {
                    known.has_ended = true;
                    self.unanswered.remove(&(known.deadline, *request));
                    self.touched.push(*request);
                }
            }
            Event::Ended { attempt, ending } => self.end(*attempt, *ending),
            Event::Claimed { request, verdict } => {
                let known = self.requests.get_mut(request).expect("verdicts follow claims");
                known.grants += u8::from(*verdict == Claimed::Granted);
                self.touched.push(*request);
            }
            Event::Tick | Event::Drain => {}
        }
    }

    fn list(&mut self, view: &list::View) {
        if self.version.is_some_and(|known| view.version <= known) {
            return;
        }
        self.version = Some(view.version);
        self.listed.clear();
        for member in view.members.iter().filter(|member| member.role == list::Role::Backend) {
            let identity = (member.instance.clone(), member.incarnation);
            if member.state == list::State::Leaving {
                self.leaving.insert(identity.clone());
            }
            self.listed.insert(identity, member.clone());
        }
    }

    fn end(&mut self, attempt: Attempt, ending: Ending) {
        let Some((number, identity)) = self.attempts.get(&attempt).cloned() else { return };
        let request = self.requests.get_mut(&number).expect("attempts have a request");
        if !request.running.remove(&attempt) {
            return;
        }
        *self.in_flight.get_mut(&identity).expect("the attempt was counted") -= 1;
        self.last_ended.insert(identity.0.clone(), identity.clone());
        match ending {
            Ending::Unsent | Ending::Refused { .. } => {}
            Ending::Broken | Ending::Truncated | Ending::TooLarge => request.may_have_run = true,
            Ending::Answered { .. } => {
                self.probing.remove(&identity);
            }
        }
    }

    /// Checks the actions of one step against the invariants.
    pub fn after(&mut self, now: Time, event: &Event, actions: &[Action], router: &Router) {
        for action in actions {
            self.act(now, event, action);
        }
        assert_eq!(
            self.unanswered.len(),
            router.in_progress(),
            "the router has every unanswered request"
        );
        let is_tick = matches!(event, Event::Tick);
        if let Some(&(first, _)) = self.unanswered.first() {
            assert!(!is_tick || first > now, "a request is answered when its deadline passes");
            let due = router.next_due().expect("a request that waits has something due");
            assert!(due <= first, "the router wakes for the next deadline");
            assert!(!is_tick || due > now, "due timers have fired");
        } else {
            assert_eq!(router.next_due(), None, "nothing is due while no request waits");
        }
        let touched = std::mem::take(&mut self.touched);
        let touched = touched.iter().map(|number| &self.requests[number]);
        for request in touched.filter(|request| request.has_ended) {
            assert!(request.running.is_empty(), "an answered request has no attempt left");
            let is_settled = u8::from(request.settled.is_some());
            assert_eq!(request.grants, is_settled, "a granted claim is settled once");
        }
    }

    fn act(&mut self, now: Time, event: &Event, action: &Action) {
        match action {
            Action::Send { request, attempt, instance, incarnation, remaining, .. } => {
                let identity = (instance.clone(), *incarnation);
                self.send(now, *request, *attempt, &identity);
                let deadline = self.requests[request].deadline;
                assert_eq!(now + *remaining, deadline, "one deadline holds for all attempts");
            }
            Action::Cancel { attempt } => self.cancel(*attempt),
            Action::Forward { request, attempt } => {
                let is_its_own = self.attempts[attempt].0 == *request;
                assert!(is_its_own, "a caller gets the answer to its own request");
                let answered = matches!(event, Event::Ended { attempt: ended, ending: Ending::Answered { .. } } if ended == attempt);
                assert!(answered, "only a complete answer is forwarded");
                self.close(*request, None);
            }
            Action::Replay { request, .. } => self.close(*request, None),
            Action::Reply { request, code, retry_after } => {
                assert_ne!(
                    code.outcome(),
                    Outcome::Answered,
                    "replies by the entry are not answers of the service"
                );
                self.close(*request, Some(code.outcome()));
                let is_refused = matches!(code.status(), 429 | 503);
                assert!(!is_refused || retry_after.is_some(), "{code:?} has a retry delay");
            }
            Action::Claim { request, .. } => {
                let known = self.requests.get_mut(request).expect("the request arrived");
                known.claims += 1;
                assert!(known.is_keyed && known.claims == 1, "a key is claimed once");
            }
            Action::Settle { request, settled, .. } => self.settle(*request, *settled),
            Action::Announce { instance, incarnation } => {
                let identity = (instance.clone(), *incarnation);
                self.leaving.insert(identity.clone());
                assert!(self.announced.insert(identity), "a leaving incarnation is announced once");
            }
            Action::Note { event, subject } => self.note(*event, subject),
        }
    }

    fn send(&mut self, now: Time, number: u64, attempt: Attempt, identity: &Identity) {
        assert!(attempt > self.last_attempt, "attempt numbers are never reused");
        self.last_attempt = attempt;
        let request = self.requests.get_mut(&number).expect("the request arrived");
        assert!(!request.has_ended, "nothing is sent for an answered request");
        assert!(now < request.deadline, "nothing is sent after the deadline");
        request.attempts += 1;
        assert!(request.attempts <= request.attempts_max.max(1), "attempts are bounded");
        let is_safe = request.idempotent || (!request.may_have_run && request.running.is_empty());
        assert!(is_safe, "a non-idempotent request that may have run isn't sent again");
        assert!(!request.is_keyed || request.grants == 1, "a keyed request runs once granted");
        request.running.insert(attempt);
        let member = self.listed.get(identity).expect("attempts go to listed backend servers");
        assert!(!self.leaving.contains(identity), "a leaving backend server gets no new requests");
        assert!(!self.ejected.contains(identity), "an ejected backend server gets no requests");
        let in_flight = self.in_flight.entry(identity.clone()).or_default();
        *in_flight += 1;
        let share = u32::from(member.connections.div_ceil(self.settings.entries));
        assert!(*in_flight <= share, "attempts stay within the share of connections");
        let is_probed = self.probing.contains(identity);
        assert!(!is_probed || *in_flight <= 1, "probing is one request at a time");
        self.attempts.insert(attempt, (number, identity.clone()));
    }

    fn cancel(&mut self, attempt: Attempt) {
        let (number, identity) = &self.attempts[&attempt];
        let request = self.requests.get_mut(number).expect("attempts have a request");
        assert!(request.running.remove(&attempt), "only attempts in flight are cancelled");
        request.may_have_run = true;
        *self.in_flight.get_mut(identity).expect("the attempt was counted") -= 1;
        self.last_ended.insert(identity.0.clone(), identity.clone());
    }

    fn close(&mut self, number: u64, outcome: Option<Outcome>) {
        let request = self.requests.get_mut(&number).expect("the request arrived");
        assert!(!request.has_ended, "a request gets one final answer");
        request.has_ended = true;
        self.unanswered.remove(&(request.deadline, number));
        self.touched.push(number);
        let ran = request.may_have_run || !request.running.is_empty();
        assert!(
            outcome != Some(Outcome::NotRun) || !ran,
            "a request that may have run isn't reported as not run"
        );
    }

    fn settle(&mut self, number: u64, settled: Settled) {
        let request = self.requests.get_mut(&number).expect("the request arrived");
        assert_eq!(request.grants, 1, "only a granted claim is settled");
        assert!(request.settled.replace(settled).is_none(), "a claim is settled once");
        let ran = request.may_have_run || !request.running.is_empty();
        assert!(settled != Settled::NotRun || !ran, "a key is freed only if nothing ran");
    }

    fn note(&mut self, event: log::Event, subject: &Instance) {
        match event {
            log::Event::BackendEjected => {
                let identity = self.last_ended[subject].clone();
                self.probing.remove(&identity);
                self.ejected.insert(identity);
            }
            log::Event::BackendProbed => {
                let found = self.listed.keys().find(|identity| identity.0 == *subject);
                let identity = found.expect("a listed backend server is probed");
                assert!(self.ejected.remove(identity), "an ejected backend server is probed");
                self.probing.insert(identity.clone());
            }
            _ => {}
        }
    }
}
