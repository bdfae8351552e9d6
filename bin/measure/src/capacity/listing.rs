//! Cost of reading the platform's list, and of other methods to learn of its changes.

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

use crate::capacity::format::number;
use crate::capacity::http;
use crate::capacity::load::Costs;
use crate::capacity::load::ENTRY_LIST_INTERVAL;
use crate::capacity::report::write_heading;
use crate::capacity::report::write_line;
use crate::capacity::size;
use crate::capacity::wire::TCP_CALL_BYTES;
use crate::cpu_time;

/// Reads per timing.
const TIMED_READS: u32 = 4_000;
/// Uncounted reads that warm up the connection.
const WARM_UP_READS: u32 = 200;

/// Cost of a read of the unchanged list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unchanged {
    /// Processor time of the reader in microseconds.
    pub micros: f64,
    /// Bytes in both directions, with headers and packets.
    pub bytes: f64,
}

impl Unchanged {
    /// Measures the shipped client against the stand-in over loopback. The stand-in runs on its own
    /// threads, whose processor time isn't counted.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in can't be opened or doesn't answer.
    pub fn measure() -> anyhow::Result<Unchanged> {
        let standin = cowslipchute_standin::open(&Plan::bare())?;
        http::runtime()?.block_on(run_reads(&standin.list_url()))
    }
}

async fn run_reads(url: &str) -> anyhow::Result<Unchanged> {
    let client = Client::open(url);
    let view = client.read(&[], None).await?.context("no version is known yet")?;
    for _ in 0..WARM_UP_READS {
        client.read(&[], Some(view.version)).await?;
    }
    let before = cpu_time::now();
    for _ in 0..TIMED_READS {
        let read = client.read(&[], Some(view.version)).await?;
        anyhow::ensure!(read.is_none(), "nothing changes this list");
    }
    let elapsed_cpu = cpu_time::now() - before;
    let micros = elapsed_cpu.as_secs_f64() * 1e6 / f64::from(TIMED_READS);
    Ok(Unchanged { micros, bytes: header_bytes(url, view.version).await? + TCP_CALL_BYTES })
}

/// Returns the size of the headers of a read between a plain client and the stand-in.
async fn header_bytes(url: &str, version: Version) -> anyhow::Result<f64> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let request =
        client.get(format!("{url}{INSTANCES_PATH}")).header(IF_NONE_MATCH, entity_tag(version));
    let request = request.build()?;
    let host = url.trim_start_matches("http://");
    let line = format!("GET {INSTANCES_PATH} HTTP/1.1\r\nhost: {host}\r\naccept: */*\r\n\r\n");
    let sent = line.len() + http::field_bytes(request.headers());
    let response = client.execute(request).await?;
    anyhow::ensure!(response.status() == StatusCode::NOT_MODIFIED, "nothing changes this list");
    let received =
        "HTTP/1.1 304 Not Modified\r\n\r\n".len() + http::field_bytes(response.headers());
    Ok((sent + received) as f64)
}

/// Returns changes of the whole list per second at the expected size. An instance that fails causes
/// two changes: it is removed and returns. One that is replaced is first listed as leaving.
pub fn changes_per_second() -> f64 {
    (2.0 * size::FAILURES_PER_DAY + 3.0 * size::RESTARTS_PER_DAY) / size::SECONDS_PER_DAY
}

/// Returns changes per second of a list with the given number of members, in proportion to those at
/// the expected size.
fn changes_per_second_among(members: f64) -> f64 {
    changes_per_second() * members / (size::WORKERS + size::PAYING_TASKS)
}

/// Cost of one reader per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Microseconds of processor time.
    pub micros: f64,
    /// Bytes in both directions.
    pub bytes: f64,
}

impl Costs {
    /// Returns the cost of reading at an interval. The first read after a change returns every
    /// member.
    pub fn reading(&self, interval: Duration, members: f64) -> Reading {
        let reads = 1.0 / interval.as_secs_f64();
        let full_reads = changes_per_second().min(reads);
        Reading {
            micros: reads * self.unchanged.micros
                + full_reads * self.entry.list_decode.line.at(members),
            bytes: reads * self.unchanged.bytes + full_reads * self.wire.list.line.at(members),
        }
    }

    /// Returns the bytes per second that an entry reads of a list with the given number of members.
    pub fn entry_list_bytes(&self, members: f64) -> f64 {
        let reads = 1.0 / ENTRY_LIST_INTERVAL.as_secs_f64();
        reads * self.unchanged.bytes
            + changes_per_second_among(members) * self.wire.list.line.at(members)
    }

    /// Returns the costs of all methods, with changes in proportion to those at the expected size.
    pub fn methods(&self, entries: f64, members: f64) -> [Method; 4] {
        let reads = 1.0 / ENTRY_LIST_INTERVAL.as_secs_f64();
        let changes = changes_per_second_among(members);
        let list_bytes = self.wire.list.line.at(members);
        let member = self.wire.list.line.slope;
        let poll_bytes = reads * self.unchanged.bytes;
        let method = |name, calls: f64, waiting: f64, bytes, delay| Method {
            name,
            calls: calls * entries,
            waiting_calls: waiting * entries,
            entry_bytes: bytes,
            list_bytes: bytes * entries,
            delay,
        };
        let poll = "0.25 s, 0.5 s at most";
        [
            method("whole each time", reads, 0.0, poll_bytes + reads * list_bytes, poll),
            method("shipped: entity tag", reads, 0.0, self.entry_list_bytes(members), poll),
            method("version, answered by changes", reads, 0.0, poll_bytes + changes * member, poll),
            method("watch", 0.0, 1.0, changes * (member + TCP_CALL_BYTES), "one way"),
        ]
    }
}

/// Cost of one method to learn of changes of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Method {
    /// Name of the method.
    pub name: &'static str,
    /// Calls per second of all entries.
    pub calls: f64,
    /// Waiting calls of all entries.
    pub waiting_calls: f64,
    /// Bytes per second of one entry.
    pub entry_bytes: f64,
    /// Bytes per second of the list.
    pub list_bytes: f64,
    /// Time from a change of the list until an entry knows of it.
    pub delay: &'static str,
}

/// Numbers of entries and members: today's, and those expected in two years.
const SCALES: [Scale; 2] = [
    Scale { entries: 9.0, members: size::MEMBERS_TODAY },
    Scale { entries: 500.0, members: size::WORKERS + size::PAYING_TASKS },
];

struct Scale {
    entries: f64,
    members: f64,
}

/// Appends the table of methods to learn of changes.
pub(super) fn write_methods(out: &mut String, costs: &Costs) {
    write_heading(
        out,
        "Ways to learn of changes of the list",
        "| entries | members | way | calls a second | calls that wait | bytes a second of an entry \
         | bytes a second of the list | until an entry knows |",
    );
    for Scale { entries, members } in SCALES {
        for method in costs.methods(entries, members) {
            write_line(
                out,
                format_args!(
                    "| {} | {} | {} | {} | {} | {} | {} | {} |",
                    number(entries),
                    number(members),
                    method.name,
                    number(method.calls),
                    number(method.waiting_calls),
                    number(method.entry_bytes),
                    number(method.list_bytes),
                    method.delay,
                ),
            );
        }
    }
    write_line(
        out,
        format_args!(
            "\nThe list changes {:.3} times a second at the size, and in proportion to its members at \
             today's. A read that finds it unchanged takes {} µs of the reader's processor and {} \
             bytes with heads and packets. The time until an entry knows comes on top of the list's \
             own lag. Receiving a whole list takes \
             processor time beyond its decoding that is not measured. Ways other than the shipped one \
             are worked out, not run.\n",
            changes_per_second(),
            number(costs.unchanged.micros),
            number(costs.unchanged.bytes),
        ),
    );
}
