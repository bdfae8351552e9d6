//! Encoded sizes of the shipped messages: JSON for workers, the list and the store, postcard for
//! peers.

use std::net::Ipv4Addr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_cell::record::Record;
use cowslipchute_cell::record::Span;
use cowslipchute_cell::record::Task;
use cowslipchute_peer::frame;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Item;
use cowslipchute_ports::peer::Reply;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_resource::Resource;
use cowslipchute_resource::Spec;
use cowslipchute_resource::job;
use cowslipchute_resource::key;
use cowslipchute_resource::stored::Stored;
use serde::Serialize;

use crate::capacity::slope::Slope;

/// Overhead of a QUIC call in bytes: two datagrams and an acknowledgement of each, with short
/// header, connection id, packet number, tag, stream header, UDP and IP. Derived from the formats.
pub const QUIC_CALL_BYTES: f64 = 240.0;
/// Overhead of an HTTP call on an open TCP connection in bytes: two segments and two
/// acknowledgements with 52 bytes of TCP and IP headers each. Derived from the formats.
pub const TCP_CALL_BYTES: f64 = 208.0;

const AMOUNT: Amount = Amount { cpu_milli: 1500, memory_mib: 3072, accelerators: 0 };
/// Typical in magnitude, as the encoded size depends on the number of digits.
const TIMESTAMP_MS: u64 = 86_400_000;
const VERSION: u64 = 123_456;
const REVISION: u64 = 12_345_678;

/// Numbers of items at which messages are measured.
const ITEM_COUNTS: &[usize] = &[1, 10, 40, 100];

/// Sizes of messages.
#[derive(Clone, Debug)]
pub struct Wire {
    /// Body bytes of an exchange and its report, by starts.
    pub start: Slope,
    /// Body bytes of completions in a report and their acknowledgements, by completions.
    pub completion: Slope,
    /// Body bytes of measurements in a report, by measurements.
    pub usage: Slope,
    /// Body bytes of the platform's list, by members.
    pub list: Slope,
    /// Frame bytes of a push, by job changes.
    pub push: Slope,
    /// Value bytes of a record, by disjoint spans of completed tasks.
    pub record: Slope,
    /// Body bytes of an exchange without commands and its empty report.
    pub idle: f64,
    /// Frame bytes of a pull and its empty reply.
    pub pull: f64,
    /// Frame bytes of a claim, its verdict, a settlement without a stored answer, and its reply.
    pub claim: f64,
    /// Value bytes of a declared job.
    pub job: f64,
}

impl Wire {
    /// Measures all messages.
    pub fn measure() -> Wire {
        let idle = exchange_bytes(0, Content::Start);
        Wire {
            start: exchange_slope("bytes of starts in an exchange", Content::Start),
            completion: exchange_slope("bytes of completions in an exchange", Content::Done),
            usage: exchange_slope("bytes of usage in a report", Content::Usage),
            list: slope("list", "bytes of the platform's list", "members", |n| {
                json_bytes(&view(n))
            }),
            push: slope("follower", "bytes of a push", "changes", |n| frame_bytes(&push(n))),
            record: slope("placer", "bytes of a record", "done spans", |n| json_bytes(&record(n))),
            idle,
            pull: frame_bytes(&Call::Pull { after: REVISION }) + frame_bytes(&empty_reply()),
            claim: claim_bytes(),
            job: stored_job(1).len() as f64,
        }
    }

    /// Returns all slopes, in the order of the report.
    pub fn slopes(&self) -> Vec<&Slope> {
        vec![&self.start, &self.completion, &self.usage, &self.record, &self.push, &self.list]
    }
}

fn slope(
    role: &'static str,
    quantity: &'static str,
    variable: &'static str,
    value: impl FnMut(usize) -> f64,
) -> Slope {
    Slope::measure(role, quantity, variable, ITEM_COUNTS, value)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    Start,
    Done,
    Usage,
}

fn exchange_slope(quantity: &'static str, content: Content) -> Slope {
    slope("placer", quantity, "tasks", |count| exchange_bytes(count, content))
}

fn json_bytes<T: Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value).expect("messages serialize to JSON").len() as f64
}

fn frame_bytes<T: Serialize>(value: &T) -> f64 {
    frame::encode(value).expect("the messages fit into a frame").len() as f64
}

fn run(number: usize) -> worker::Run {
    worker::Run {
        job: format!("team-417-report-{number:06}").into(),
        task: number as u32,
        attempt: 1025,
    }
}

/// Returns an exchange with the given number of starts.
pub fn exchange(starts: usize) -> Exchange {
    let commands = (0..starts).map(|number| Command::Start {
        run: run(number),
        amount: AMOUNT,
        checkpoint: None,
        duration: Duration::from_secs(120),
    });
    Exchange {
        cell: "region-3-domain-2/0".into(),
        epoch: REVISION,
        incarnation: TIMESTAMP_MS,
        grant: Some(worker::Grant { stamp: TIMESTAMP_MS, valid: Duration::from_secs(10) }),
        commands: commands.collect(),
        acks: Vec::new(),
        known: VERSION,
    }
}

/// Returns a report of the given number of running tasks.
pub fn report(started: usize) -> Report {
    Report {
        instance: "region-3-domain-2-worker-0417".into(),
        incarnation: TIMESTAMP_MS,
        stamp: TIMESTAMP_MS,
        epoch: REVISION,
        obeyed: true,
        version: VERSION,
        whole: false,
        held: (0..started).map(|number| held(number, Phase::Running)).collect(),
        usage: Vec::new(),
        leaving: false,
    }
}

fn held(number: usize, phase: Phase) -> worker::Held {
    worker::Held { run: run(number), amount: AMOUNT, phase, permille: 1000 }
}

fn usage(number: usize) -> worker::Usage {
    worker::Usage {
        run: run(number),
        amount: AMOUNT,
        measured: TIMESTAMP_MS,
        slowdown_permille: 1007,
    }
}

fn exchange_bytes(count: usize, content: Content) -> f64 {
    let mut exchange = exchange(0);
    let mut report = report(0);
    match content {
        Content::Start => {
            exchange = self::exchange(count);
            report = self::report(count);
        }
        Content::Done => {
            // Each completion takes a result, its acknowledgement and a report of the run as
            // forgotten.
            exchange.acks = (0..count).map(run).collect();
            let done = (0..count).map(|number| held(number, Phase::Done));
            let forgotten = (0..count).map(|number| held(number, Phase::Forgotten));
            report.held = done.chain(forgotten).collect();
        }
        Content::Usage => report.usage = (0..count).map(usage).collect(),
    }
    json_bytes(&exchange) + json_bytes(&report)
}

/// Returns a list with the given number of workers.
pub fn view(count: usize) -> list::View {
    let members = (0..count).map(|number| list::Member {
        instance: format!("region-3-domain-2-worker-{number:04}").into(),
        incarnation: TIMESTAMP_MS,
        role: list::Role::Worker,
        state: list::State::Live,
        domain: "region-3-domain-2".into(),
        rack: format!("rack-{}", number / 40).into(),
        address: (Ipv4Addr::new(10, 31, (number / 256) as u8, (number % 256) as u8), 9000).into(),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount { cpu_milli: 64_000, memory_mib: 238_418, accelerators: 0 },
    });
    list::View { version: VERSION, members: members.collect() }
}

/// Returns the stored value of a job.
pub fn stored_job(number: usize) -> Vec<u8> {
    let spec = job::Spec { team: String::from("team-417"), amount: AMOUNT, ..job::Spec::default() };
    let resource =
        Resource { name: format!("team-417-report-{number:06}").into(), spec: Spec::Job(spec) };
    let operation = 0x1234_5678_9abc_def0_1234_5678_9abc_def0;
    Stored { operation, resource }.to_bytes()
}

/// Returns the change that declares a job.
pub fn item(number: usize, revision: u64) -> Item {
    let name = format!("team-417-report-{number:06}");
    Item {
        key: key::config(cowslipchute_resource::Kind::Job, &name),
        value: Some(stored_job(number)),
        revision,
    }
}

fn push(count: usize) -> Call {
    let items = (0..count).map(|number| item(number, REVISION + number as u64)).collect();
    Call::Push { items, revision: REVISION + count as u64, after: REVISION }
}

fn empty_reply() -> Reply {
    Reply::Items { items: Vec::new(), revision: REVISION, whole: false }
}

fn claim_bytes() -> f64 {
    let service = "shop-web";
    let key = "6f1c2f60-8f3f-4f0e-9d3a-2f4f6a1b7c55";
    let claimant = cowslipchute_ports::peer::Claimant {
        instance: "region-3-domain-2-entry-4".into(),
        incarnation: 1 << 40,
        started_at: 1 << 50,
        request: 1 << 50,
    };
    let claim = Call::Claim {
        service: service.into(),
        key: key.into(),
        claimant: claimant.clone(),
        roster: VERSION,
    };
    let settle = Call::Settle {
        service: service.into(),
        key: key.into(),
        claimant,
        settlement: cowslipchute_ports::peer::Settlement::Ran(None),
        roster: VERSION,
    };
    let replies = frame_bytes(&Reply::Claimed(Claimed::Granted)) + frame_bytes(&Reply::Noted);
    frame_bytes(&claim) + frame_bytes(&settle) + replies
}

fn record(spans: usize) -> Record {
    let done = (0..spans as u32).map(|n| Span { start: n * 3, end: n * 3 + 1 }).collect();
    let tasks: Vec<Task> = Vec::new();
    Record { job: "team-417-report-000417".into(), tasks, done, ..Record::default() }
}
