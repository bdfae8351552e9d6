//! Limits that the present design misses.

use crate::capacity::format::megabytes;
use crate::capacity::format::number;
use crate::capacity::format::percent;
use crate::capacity::load;
use crate::capacity::load::Costs;
use crate::capacity::load::Role;
use crate::capacity::load::Usage;
use crate::capacity::report::placers_max;
use crate::capacity::report::write_line;
use crate::capacity::size;
use crate::tasks::figures::Figures;

/// Appends the list of missed limits.
pub fn write_misses(out: &mut String, costs: &Costs, urgent: &Figures) {
    write_line(out, format_args!("## Limits that the present design misses\n"));
    for role in costs.roles() {
        for (resource, usage, format) in [
            ("a core", role.core, percent as fn(f64) -> String),
            ("memory", role.memory, megabytes),
            ("bytes a second", role.bytes, number),
        ] {
            write_miss(out, &role, resource, usage, format);
        }
    }
    let jobs = 2.0 * size::JOBS_PER_DAY / size::SECONDS_PER_DAY / load::changes_per_second();
    write_line(
        out,
        format_args!(
            "- Of the changes that followers carry, {} are jobs that come and go, since each job is a \
             resource that every process holds.",
            percent(jobs),
        ),
    );
    let today = costs.entry_list_bytes(size::MEMBERS_TODAY);
    if today > size::BYTES_PER_SECOND_MAX {
        write_line(
            out,
            format_args!(
                "- Today already: with {} instances listed an entry reads {} bytes of the list a \
                 second.",
                number(size::MEMBERS_TODAY),
                number(today),
            ),
        );
    }
    let writes = costs.store(placers_max()).writes();
    if writes > size::STORE_WRITES_PER_SECOND_MAX {
        let limit = number(size::STORE_WRITES_PER_SECOND_MAX);
        write_line(
            out,
            format_args!(
                "- The store: {} writes a second, {limit} taken as allowed.",
                number(writes)
            ),
        );
    }
    if urgent.urgent_at(1.0) > size::URGENT_START_MAX.as_secs_f64() {
        write_line(
            out,
            format_args!("- Urgent starts: the longest took {:.1} s.", urgent.urgent_at(1.0)),
        );
    }
    write_line(
        out,
        format_args!(
            "- Urgent starts while an owner is replaced: its lease of {} s has to lapse first and \
             workers that can't be reached are waited out, so work that arrives just then starts \
             later than {:.1} s.",
            load::PLACER_LEASE.as_secs(),
            size::URGENT_START_MAX.as_secs_f64(),
        ),
    );
}

fn write_miss(
    out: &mut String,
    role: &Role,
    resource: &str,
    usage: Usage,
    format: fn(f64) -> String,
) {
    let name = role.name;
    let limit = format(usage.limit);
    let shared_only = (usage.shared / usage.limit).ceil();
    match usage.daemons() {
        None => write_line(
            out,
            format_args!(
                "- {name}, {resource}: each daemon spends {} whatever their number; {limit} is allowed.",
                format(usage.fixed),
            ),
        ),
        Some(daemons) if daemons as f64 > placers_max() => write_line(
            out,
            format_args!(
                "- {name}, {resource}: {daemons} daemons in each failure domain would be needed; {} \
                 can share the work, and each then spends {} of {limit}.",
                number(placers_max()),
                format(usage.per_daemon(placers_max())),
            ),
        ),
        Some(_) => return,
    }
    if shared_only > placers_max() {
        write_line(
            out,
            format_args!(
                "- {name}, {resource}, shared part alone: {} daemons in each failure domain; {} can \
                 share the work.",
                number(shared_only),
                number(placers_max()),
            ),
        );
    }
}
