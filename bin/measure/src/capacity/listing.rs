//! What it costs to read the platform's list, and what other ways to learn of changes would cost.

use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_gateway::list::Client;
use cowslipchute_gateway::list::INSTANCES_PATH;
use cowslipchute_gateway::list::entity_tag;
use cowslipchute_ports::list::List as _;
use cowslipchute_ports::list::Version;
use cowslipchute_standin::Plan;
use reqwest::StatusCode;
use reqwest::header::IF_NONE_MATCH;

use crate::capacity::digits::number;
use crate::capacity::http;
use crate::capacity::load::Costs;
use crate::capacity::load::ENTRY_LIST_EVERY;
use crate::capacity::report::heading;
use crate::capacity::report::line;
use crate::capacity::size;
use crate::capacity::wire::TCP_CALL;
use crate::processor;

/// Reads that a time is taken from.
const TIMED: u32 = 4_000;
/// Reads before, so that the connection is warm.
const WARM: u32 = 200;

/// Cost of a read that finds the list unchanged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unchanged {
    /// Microseconds of the reader's processor time.
    pub micros: f64,
    /// Bytes, both ways, with heads and packets.
    pub bytes: f64,
}

impl Unchanged {
    /// Measures the shipped client against the stand-in over loopback. The stand-in has threads of
    /// its own, whose time does not count.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be opened or does not answer.
    pub fn measure() -> anyhow::Result<Unchanged> {
        let standin = cowslipchute_standin::open(&Plan::bare())?;
        http::runtime()?.block_on(drive(&standin.list_url()))
    }
}

async fn drive(url: &str) -> anyhow::Result<Unchanged> {
    let client = Client::open(url);
    let view = client.read(&[], None).await?.context("no version is known yet")?;
    for _ in 0..WARM {
        client.read(&[], Some(view.version)).await?;
    }
    let before = processor::now();
    for _ in 0..TIMED {
        let read = client.read(&[], Some(view.version)).await?;
        anyhow::ensure!(read.is_none(), "nothing changes this list");
    }
    let spent = processor::now() - before;
    let micros = spent.as_secs_f64() * 1e6 / f64::from(TIMED);
    Ok(Unchanged { micros, bytes: heads(url, view.version).await? + TCP_CALL })
}

/// Adds up the heads of a read as a plain client and the stand-in make them.
async fn heads(url: &str, known: Version) -> anyhow::Result<f64> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let request =
        client.get(format!("{url}{INSTANCES_PATH}")).header(IF_NONE_MATCH, entity_tag(known));
    let request = request.build()?;
    let host = url.trim_start_matches("http://");
    let line = format!("GET {INSTANCES_PATH} HTTP/1.1\r\nhost: {host}\r\naccept: */*\r\n\r\n");
    let sent = line.len() + http::fields(request.headers());
    let response = client.execute(request).await?;
    anyhow::ensure!(response.status() == StatusCode::NOT_MODIFIED, "nothing changes this list");
    let received = "HTTP/1.1 304 Not Modified\r\n\r\n".len() + http::fields(response.headers());
    Ok((sent + received) as f64)
}

/// Changes of the whole list a second at the size. An instance that fails goes and comes back; one
/// that is replaced is listed as leaving before.
pub fn changes_a_second() -> f64 {
    (2.0 * size::FAILURES_A_DAY + 3.0 * size::RESTARTS_A_DAY) / size::DAY
}

/// Changes a second of a list of so many members, of which as large a part changes as at the size.
fn changes_among(members: f64) -> f64 {
    changes_a_second() * members / (size::WORKERS + size::PAYING)
}

/// Work of one reader in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Microseconds of processor time.
    pub micros: f64,
    /// Bytes, both ways.
    pub bytes: f64,
}

impl Costs {
    /// Works out what reading costs: each read that is due after a change brings every member.
    pub fn reading(&self, every: Duration, members: f64) -> Reading {
        let reads = 1.0 / every.as_secs_f64();
        let whole = changes_a_second().min(reads);
        Reading {
            micros: reads * self.unchanged.micros + whole * self.entry.decoded.line.at(members),
            bytes: reads * self.unchanged.bytes + whole * self.wire.list.line.at(members),
        }
    }

    /// Bytes a second that an entry reads of a list with so many members.
    pub fn entry_list_bytes(&self, members: f64) -> f64 {
        let reads = 1.0 / ENTRY_LIST_EVERY.as_secs_f64();
        reads * self.unchanged.bytes + changes_among(members) * self.wire.list.line.at(members)
    }

    /// Works out the ways for so many entries and members, of which as large a part changes a day as
    /// at the size.
    pub fn ways(&self, entries: f64, members: f64) -> [Way; 4] {
        let reads = 1.0 / ENTRY_LIST_EVERY.as_secs_f64();
        let changes = changes_among(members);
        let whole = self.wire.list.line.at(members);
        let member = self.wire.list.line.each;
        let polled = reads * self.unchanged.bytes;
        let way = |name, calls: f64, waiting: f64, bytes, notice| Way {
            name,
            calls: calls * entries,
            waiting: waiting * entries,
            entry: bytes,
            list: bytes * entries,
            notice,
        };
        let poll = "0.25 s, 0.5 s at most";
        [
            way("whole each time", reads, 0.0, polled + reads * whole, poll),
            way("shipped: entity tag", reads, 0.0, self.entry_list_bytes(members), poll),
            way("version, answered by changes", reads, 0.0, polled + changes * member, poll),
            way("watch", 0.0, 1.0, changes * (member + TCP_CALL), "one way"),
        ]
    }
}

/// What one way to learn of changes of the list costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Its name.
    pub name: &'static str,
    /// Calls a second of all entries.
    pub calls: f64,
    /// Calls of all entries that wait.
    pub waiting: f64,
    /// Bytes a second of one entry.
    pub entry: f64,
    /// Bytes a second of the list.
    pub list: f64,
    /// How long after the list shows a change an entry knows of it.
    pub notice: &'static str,
}

/// Entries and members today, and at the size.
const FLEETS: [Fleet; 2] = [
    Fleet { entries: 9.0, members: size::MEMBERS_TODAY },
    Fleet { entries: 500.0, members: size::WORKERS + size::PAYING },
];

struct Fleet {
    entries: f64,
    members: f64,
}

/// Appends the table of ways to learn of changes.
pub(super) fn ways(out: &mut String, costs: &Costs) {
    heading(
        out,
        "Ways to learn of changes of the list",
        "| entries | members | way | calls a second | calls that wait | bytes a second of an entry \
         | bytes a second of the list | until an entry knows |",
    );
    for Fleet { entries, members } in FLEETS {
        for way in costs.ways(entries, members) {
            line(
                out,
                format_args!(
                    "| {} | {} | {} | {} | {} | {} | {} | {} |",
                    number(entries),
                    number(members),
                    way.name,
                    number(way.calls),
                    number(way.waiting),
                    number(way.entry),
                    number(way.list),
                    way.notice,
                ),
            );
        }
    }
    line(
        out,
        format_args!(
            "\nThe list changes {:.3} times a second at the size, and in proportion to its members at \
             today's. A read that finds it unchanged takes {} µs of the reader's processor and {} \
             bytes with heads and packets. The time until an entry knows comes on top of the list's \
             own lag. Receiving a whole list takes \
             processor time beyond its decoding that is not measured. Ways other than the shipped one \
             are worked out, not run.\n",
            changes_a_second(),
            number(costs.unchanged.micros),
            number(costs.unchanged.bytes),
        ),
    );
}
