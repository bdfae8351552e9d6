//! Runs the scenario files in `filetests`, each in a simulated cell of its own.
//!
//! Directives that set up the cell:
//!
//! - `worker name=w cpu=N [memory=N] [rack=R] [domain=D] [count=N]`: adds workers.
//! - `own [attempts=N] [advised=w]`: a new owner takes over.
//! - `features [of=(queue_shares, learned_durations, colocation_forecast)]`: optional parts of the
//!   owners that take over from now on.
//! - `admission [instances=N]`: from now on instances reject jobs that can't be done, and clients
//!   retry when they are told to; `admission forecasts=lost|arrive`: whether forecasts arrive.
//! - `hand_over`: from now on an owner begins with what the last one had learnt.
//! - `kill`: the owner crashes without releasing the cell.
//! - `busy ms=N`: the owner sends commands this much later than it decides on them.
//! - `link rate=N`: bandwidth of owners' links from now on, in bytes per second.
//! - `processor share=N|full`: owners' share of a core from now on, in thousandths. An owner with a
//!   limited share is replaced when its lease of 1.2 s runs out, as long as there are candidates.
//! - `pass_time ms=N`: duration of this owner's placement passes, which bounds how often they run.
//! - `candidates state=down|up`: the owner and all processes that could claim the cell crash, or
//!   are there again.
//! - `store state=down|up|refusing [delay=MS] [max=BYTES]`: whether the store responds, or refuses every write, how late,
//!   and the largest record that it takes.
//! - `machines state=down|up`: whether the list of machines is available.
//! - `resize name=w cpu=N [memory=N]`: changes a worker's capacity; its directory entry follows
//!   after a delay.
//!
//! Directives for jobs:
//!
//! - `job id=H [queue=q] [payload=N] [work=MS] [tail=N [longer=N]] [start=MS interval=MS count=N]`:
//!   submits a job, whose tasks take `work`, or `longer` times as long (7) for `tail` in a thousand
//!   of them. Its input has one line for each step: `count=N cpu=N memory=N time=MS [after=N,..]` and any of
//!   `gang`, `lasts`, `fills`, `saves`, `tight`, `image=I`, `target=MS`, `spares=N`, `apart=N`,
//!   `near=R`, `needs=L`.
//! - `stream id=H every=MS jobs=N`: like `job`, submitted repeatedly with increasing ids.
//! - `cancel id=H`: cancels a job.
//! - `culprit id=H [step=N] [task=N] [after=MS]`: from now on the task crashes each of its workers
//!   this long after its start.
//! - `acquit id=H`: no task of the job crashes its workers any more.
//!
//! Directives for faults:
//!
//! - `cut|heal|crash|rebirth|drain|unlist|list|unguard|fail|mend|hang|lose name=w`: faults of a
//!   worker, and their repair.
//! - `rebirths of=(w, ..) every=MS`: `rebirth` of one after the other, each followed by `run`.
//! - `late name=w [orders=N] [by=MS]`: commands go unanswered and are carried out late.
//! - `late_holds name=w [holds=N] [by=MS]`: heartbeats go unanswered and are handled late.
//! - `slow name=w x=N`: slows a worker down.
//! - `list_ends name=w most=N`: the worker lists no more ends at a time.
//! - `restart name=w|(w, ..)|rack=R [down=MS] [gap=MS] [entry=MS] [ahead=MS]`: workers crash and
//!   restart under their names, and write their directory entries this much later; their clocks start
//!   at zero, or this much ahead of before.
//! - `untold name=w`: the worker doesn't report its start time.
//! - `former name=w`: the directory entry of the worker's previous incarnation is delivered again.
//! - `foreign name=e at=w [service=S]`: an entry of another writer at a worker's address.
//! - `load name=w [percent=N] [swing=N] [period=MS] [phase=MS] [rough=N] [press=(I, W, ..)]`: load on the
//!   worker's latency-critical tasks by their own users, and what an image adds to it when its
//!   best-effort tasks use all processors.
//! - `lose_upkeep [answers=N]`: responses to maintenance requests are lost.
//!
//! Directives for the operator:
//!
//! - `wave of=(w, ..) [cap=N] [time=MS] [number=N]`: requests a maintenance rollout.
//! - `exempt name=w`: requests for maintenance of the machine are refused, since it is in no rollout.
//! - `upkeep state=down|up`: whether requests for maintenance are refused for the time being.
//! - `evacuate domain=D` and `restore domain=D`: written to the store.
//!
//! Directives that advance the time or print:
//!
//! - `run ms=N`: prints nothing.
//! - `show`: the state of each job.
//! - `notes [of=(Event, ..)]`: the decisions logged since the last `notes`.
//! - `late_starts`: the delayed starts that were carried out although an end of their task had been
//!   acknowledged.
//! - `stored`: the number of jobs and records in the store.
//! - `waves`: the progress of rollouts, and how many tasks of a step were unavailable at once.
//! - `harm stretch=MS all=MS`: whether best-effort tasks made a latency-critical task violate its
//!   target for no longer than this.
//! - `colocated [violated=MS] [limits=N] [work=MS]`: whether violations because of best-effort tasks
//!   took no longer, no more speed limits were sent, and best-effort tasks did at least this much
//!   work, in milliseconds of a whole worker.
//! - `ratings most=N`: whether the owner computed no more worker scores per second.
//! - `served id=H jobs=N within=MS least=N`: whether enough jobs of a stream were done in time.
//! - `waits`: how many service tasks have waited for long, and how many were placed again, by the
//!   upper bound of their wait in seconds.
//! - `crashes most=N`: whether no task has crashed more workers.
//! - `beside`: starts to measure how long service tasks wait although there is room for two of
//!   their kind; `beside most=MS`: whether none waited longer.
//! - `beside scope=after_run [most=MS]`: the same from six seconds after a task's last run, or after
//!   its job was submitted, beside room on workers that are up, listed, not draining, not evacuated
//!   and reachable; `beside scope=calm [most=MS]`: the same at times without disturbance;
//!   `beside scope=away [most=MS]`: from a task's last run on, whatever is free.
//! - `looks` and `looks most=N`: the same for looks 1.5 seconds apart at which a task that should be
//!   back doesn't run, beside room for two at each of them, in a calm time.
//! - `idle` and `idle most=MS`: the same for jobs without a running task.
//! - `lag most=MS`: whether there is an owner, and nothing that it has handled in the last second or
//!   has yet to handle has waited longer for its turn.
//! - `owners [most=N]`: whether there were no more owners since the last `owners`.
//! - `utilization [most=N]`: whether owners used no more than this percentage of their processor
//!   time since the last `utilization`.
//! - `takeover most=MS`: whether the owner took no longer to hear of all workers.
//! - `rejected`: how many jobs were rejected so far, and how many of them at each attempt;
//!   `rejected most=N`: whether no more were rejected.
//! - `at_work id=H least=N`: whether enough tasks of a job run.

mod world;

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_planner::backpressure::Load;
use cowslipchute_planner::settings::Features;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Schedule;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use cowslipchute_standin::site::worker::DEFAULT_DOMAIN;
use cowslipchute_standin::site::worker::Worker;
use datadriven::TestCase;
use world::World;
use world::admission::Instances;
use world::looks::Looks;
use world::service_wait::Scope;
use world::tail::Tail;
use yare::parameterized;

#[parameterized(
    admission_burst = { "admission_burst" },
    admission_calm = { "admission_calm" },
    admission_forecasts_lost = { "admission_forecasts_lost" },
    admission_owner_killed = { "admission_owner_killed" },
    advice = { "advice" },
    attempts_over_owners = { "attempts_over_owners" },
    busy_owner = { "busy_owner" },
    cancel = { "cancel" },
    cancel_late = { "cancel_late" },
    cancel_late_owner = { "cancel_late_owner" },
    crash_bystanders = { "crash_bystanders" },
    crash_causes = { "crash_causes" },
    crash_late = { "crash_late" },
    crash_storm = { "crash_storm" },
    crashing_fill = { "crashing_fill" },
    crashing_gang = { "crashing_gang" },
    crashing_lasting = { "crashing_lasting" },
    crashing_owners = { "crashing_owners" },
    crashing_task = { "crashing_task" },
    cut = { "cut" },
    cut_unlisted = { "cut_unlisted" },
    draining = { "draining" },
    draining_start = { "draining_start" },
    durations_overestimated = { "durations_overestimated" },
    durations_tail_contended = { "durations_tail_contended" },
    durations_underestimated = { "durations_underestimated" },
    durations_reserved = { "durations_reserved" },
    durations_slow_worker = { "durations_slow_worker" },
    durations_tail = { "durations_tail" },
    durations_owner_killed = { "durations_owner_killed" },
    evacuated = { "evacuated" },
    evacuated_busy = { "evacuated_busy" },
    evacuated_by_turns = { "evacuated_by_turns" },
    evacuated_cut = { "evacuated_cut" },
    evacuated_everywhere = { "evacuated_everywhere" },
    evacuated_fills = { "evacuated_fills" },
    evacuated_gang = { "evacuated_gang" },
    evacuated_lasting = { "evacuated_lasting" },
    evacuated_late_start = { "evacuated_late_start" },
    evacuated_owners = { "evacuated_owners" },
    evacuated_reserved = { "evacuated_reserved" },
    evacuated_store_down = { "evacuated_store_down" },
    evacuated_unknown = { "evacuated_unknown" },
    evacuated_withdrawn = { "evacuated_withdrawn" },
    ends_beyond_report = { "ends_beyond_report" },
    store_refuses_all = { "store_refuses_all" },
    unstorable_record = { "unstorable_record" },
    ends_beyond_report_owner_killed = { "ends_beyond_report_owner_killed" },
    ends_beyond_report_restarted = { "ends_beyond_report_restarted" },
    failures = { "failures" },
    failures_unlimited = { "failures_unlimited" },
    occurrences_due_at_once = { "occurrences_due_at_once" },
    filling = { "filling" },
    forecast_in_phase = { "forecast_in_phase" },
    forecast_owners = { "forecast_owners" },
    forecast_swing = { "forecast_swing" },
    foreign = { "foreign" },
    forgotten_stops = { "forgotten_stops" },
    gang = { "gang" },
    gang_broken = { "gang_broken" },
    gang_passed_over = { "gang_passed_over" },
    hang = { "hang" },
    hopeless = { "hopeless" },
    inherited_deadline = { "inherited_deadline" },
    inherited_pace = { "inherited_pace" },
    large_job_waits = { "large_job_waits" },
    lasting_advised_late = { "lasting_advised_late" },
    lasting_after_full = { "lasting_after_full" },
    lasting_after_late = { "lasting_after_late" },
    lasting_after_load = { "lasting_after_load" },
    lasting_after_store_down = { "lasting_after_store_down" },
    lasting_answer_lost = { "lasting_answer_lost" },
    lasting_back = { "lasting_back" },
    lasting_before_lost = { "lasting_before_lost" },
    lasting_beyond_quota = { "lasting_beyond_quota" },
    lasting_beside_near = { "lasting_beside_near" },
    lasting_beside_reserved = { "lasting_beside_reserved" },
    lasting_end_unwritten = { "lasting_end_unwritten" },
    lasting_exempt_machine = { "lasting_exempt_machine" },
    lasting_five_owners = { "lasting_five_owners" },
    lasting_full_cell = { "lasting_full_cell" },
    lasting_gang_late = { "lasting_gang_late" },
    lasting_heartbeats_late = { "lasting_heartbeats_late" },
    lasting_job_ends = { "lasting_job_ends" },
    lasting_many_lost = { "lasting_many_lost" },
    lasting_many_lost_after_load = { "lasting_many_lost_after_load" },
    lasting_many_lost_steps = { "lasting_many_lost_steps" },
    lasting_many_new = { "lasting_many_new" },
    lasting_near_late = { "lasting_near_late" },
    lasting_new_beside_reserved = { "lasting_new_beside_reserved" },
    lasting_sampled = { "lasting_sampled" },
    lasting_overdue_full = { "lasting_overdue_full" },
    lasting_owners = { "lasting_owners" },
    lasting_pinned_over_owners = { "lasting_pinned_over_owners" },
    lasting_pinned_shrunk = { "lasting_pinned_shrunk" },
    lasting_probation_late = { "lasting_probation_late" },
    lasting_probation_many = { "lasting_probation_many" },
    lasting_rack_full = { "lasting_rack_full" },
    lasting_sampled_reserved = { "lasting_sampled_reserved" },
    lasting_same_rack_full = { "lasting_same_rack_full" },
    lasting_scopes = { "lasting_scopes" },
    lasting_settled_over_owner = { "lasting_settled_over_owner" },
    lasting_slow_owner = { "lasting_slow_owner" },
    lasting_slow_run = { "lasting_slow_run" },
    lasting_slow_worker = { "lasting_slow_worker" },
    lasting_small_services = { "lasting_small_services" },
    lasting_start_late = { "lasting_start_late" },
    lasting_start_lost = { "lasting_start_lost" },
    lasting_start_on_the_way = { "lasting_start_on_the_way" },
    lasting_upkeep_down = { "lasting_upkeep_down" },
    lasting_upkeep_refused = { "lasting_upkeep_refused" },
    lasting_waits = { "lasting_waits" },
    lost_start = { "lost_start" },
    many_fills_wait = { "many_fills_wait" },
    moved = { "moved" },
    moved_pressed = { "moved_pressed" },
    narrow_link = { "narrow_link" },
    near = { "near" },
    occurrences = { "occurrences" },
    overload_burst = { "overload_burst" },
    overload_ends = { "overload_ends" },
    overload_power = { "overload_power" },
    overload_power_mixed = { "overload_power_mixed" },
    overload_slowed = { "overload_slowed" },
    overload_takeover = { "overload_takeover" },
    overwritten = { "overwritten" },
    owner_killed = { "owner_killed" },
    owner_killed_cut = { "owner_killed_cut" },
    passed_over = { "passed_over" },
    pressed = { "pressed" },
    probation_busy = { "probation_busy" },
    probation_fills = { "probation_fills" },
    probation_gang = { "probation_gang" },
    probation_shared = { "probation_shared" },
    rack_lost = { "rack_lost" },
    rebirth = { "rebirth" },
    reserve = { "reserve" },
    reserve_pieces = { "reserve_pieces" },
    reserve_new_services = { "reserve_new_services" },
    reserved_worker_ends = { "reserved_worker_ends" },
    restarted = { "restarted" },
    restarted_absent_inherited = { "restarted_absent_inherited" },
    restarted_accused = { "restarted_accused" },
    restarted_accused_third = { "restarted_accused_third" },
    restarted_answered = { "restarted_answered" },
    restarted_answered_ahead = { "restarted_answered_ahead" },
    restarted_answered_again = { "restarted_answered_again" },
    restarted_answered_by_third = { "restarted_answered_by_third" },
    restarted_answered_cut = { "restarted_answered_cut" },
    restarted_answered_gang = { "restarted_answered_gang" },
    restarted_answered_kinds = { "restarted_answered_kinds" },
    restarted_answered_lease = { "restarted_answered_lease" },
    restarted_answered_twice = { "restarted_answered_twice" },
    restarted_busy = { "restarted_busy" },
    restarted_counted = { "restarted_counted" },
    restarted_cut = { "restarted_cut" },
    restarted_cut_start = { "restarted_cut_start" },
    restarted_former = { "restarted_former" },
    restarted_former_after_answer = { "restarted_former_after_answer" },
    restarted_lapse = { "restarted_lapse" },
    restarted_late_ack = { "restarted_late_ack" },
    restarted_late_done = { "restarted_late_done" },
    restarted_late_hold = { "restarted_late_hold" },
    restarted_late_start = { "restarted_late_start" },
    restarted_late_unheard = { "restarted_late_unheard" },
    restarted_owners = { "restarted_owners" },
    restarted_quick_end = { "restarted_quick_end" },
    restarted_rack = { "restarted_rack" },
    restarted_refused = { "restarted_refused" },
    restarted_slowly = { "restarted_slowly" },
    restarted_slowly_owners = { "restarted_slowly_owners" },
    restarted_twice_advised = { "restarted_twice_advised" },
    restarted_twice_fills = { "restarted_twice_fills" },
    restarted_twice_gang = { "restarted_twice_gang" },
    restarted_twice_killed = { "restarted_twice_killed" },
    restarted_twice_late = { "restarted_twice_late" },
    restarted_twice_later = { "restarted_twice_later" },
    restarted_twice_owners = { "restarted_twice_owners" },
    restarted_twice_saves = { "restarted_twice_saves" },
    restarted_unheard_lease = { "restarted_unheard_lease" },
    restarted_untold = { "restarted_untold" },
    room_lost = { "room_lost" },
    rough = { "rough" },
    service_wait = { "service_wait" },
    share_best_effort = { "share_best_effort" },
    share_largest = { "share_largest" },
    share_owner_killed = { "share_owner_killed" },
    share_queues = { "share_queues" },
    shrunk_repeat = { "shrunk_repeat" },
    shrunk_waits = { "shrunk_waits" },
    slow = { "slow" },
    starved = { "starved" },
    starved_gang = { "starved_gang" },
    steps = { "steps" },
    store_down = { "store_down" },
    stray_room = { "stray_room" },
    swing = { "swing" },
    swing_foretold = { "swing_foretold" },
    takeover_limits = { "takeover_limits" },
    unlike = { "unlike" },
    waiting = { "waiting" },
    wave = { "wave" },
    wave_answers_lost = { "wave_answers_lost" },
    wave_crowded = { "wave_crowded" },
    wave_culprit = { "wave_culprit" },
    wave_owner_killed = { "wave_owner_killed" },
)]
fn scenario(name: &str) {
    datadriven::walk(&format!("filetests/{name}.test"), |file| {
        let mut world = World::open();
        file.run(|case| {
            let mut output = run_directive(&mut world, case);
            if !output.is_empty() && !output.ends_with('\n') {
                output.push('\n');
            }
            output
        });
    });
}

#[test]
fn each_scenario_has_a_row() {
    for entry in std::fs::read_dir("filetests").expect("the crate has scenario files") {
        let path = entry.expect("a readable directory").path();
        let name = path.file_stem().expect("a file has a name").to_string_lossy().into_owned();
        let row = format!("{name} = {{ \"{name}\" }}");
        assert!(include_str!("scenarios.rs").contains(&row), "no row for {name}");
    }
}

fn arg<'a>(case: &'a TestCase, name: &str) -> Option<&'a str> {
    case.args.get(name).and_then(|values| values.first()).map(String::as_str)
}

fn number<T: std::str::FromStr>(case: &TestCase, name: &str) -> Option<T> {
    arg(case, name).map(|text| text.parse().ok().unwrap_or_else(|| panic!("{name}: {text}")))
}

fn run_directive(world: &mut World, case: &TestCase) -> String {
    let name = arg(case, "name").unwrap_or_default();
    match case.directive.as_str() {
        "worker" => {
            let capacity = capacity(case);
            let rack = arg(case, "rack").unwrap_or("r1");
            let domain = arg(case, "domain").unwrap_or(DEFAULT_DOMAIN);
            let names: Vec<String> = match number::<u32>(case, "count") {
                None => vec![name.to_owned()],
                Some(count) => (0..count).map(|index| format!("{name}{index}")).collect(),
            };
            names.iter().for_each(|name| world.add_worker_in(domain, name, capacity, rack));
        }
        "own" => {
            let advised = arg(case, "advised").map(str::to_owned);
            let attempts = number(case, "attempts").unwrap_or(3);
            let config = World::config(0, attempts, advised.is_some());
            world.allowed.extend(advised);
            world.take_over(&config);
        }
        "features" => set_features(world, case),
        "admission" => set_admission(world, case),
        "rejected" => return rejected(world, case),
        "hand_over" => world.hands_over = true,
        "kill" => world.kill_owner(),
        "link" => {
            world.link =
                Some(world::link::Link::open(number(case, "rate").expect("`rate` is given")));
        }
        "processor" => set_processor(world, case),
        "pass_time" => set_pass_time(world, case),
        "candidates" => world.set_candidates(arg(case, "state") == Some("up")),
        "lag" => return lag(world, case),
        "owners" => return owners(world, case),
        "utilization" => return utilization(world, case),
        "takeover" => return takeover(world, case),
        "busy" => world.command_delay = Duration::from_millis(number(case, "ms").unwrap_or(0)),
        "job" => {
            let accepted = parse_job(world, case);
            world.submit(job_id(case), accepted);
        }
        "stream" => {
            let every = Duration::from_millis(number(case, "every").expect("`every` is given"));
            let accepted = parse_job(world, case);
            let jobs = number(case, "jobs").expect("`jobs` is given");
            set_durations(world, case, jobs);
            world.submit_stream(job_id(case), &accepted, jobs, every);
        }
        "served" => return served(world, case),
        "culprit" => add_crashing_task(world, case),
        "acquit" => world.crashes.crashing_tasks.retain(|task, _| task.job != job_id(case)),
        "crashes" => return crashes(world, case),
        "resize" => world.resize(name, capacity(case)),
        "at_work" => return at_work(world, case),
        "beside" => return service_wait(world, case),
        "looks" => return looks(world, case),
        "cancel" => world.cancel(job_id(case)),
        "crash" => world.crash(name, false),
        "rebirth" => world.crash(name, true),
        "rebirths" => {
            let pause = Duration::from_millis(number(case, "every").expect("`every` is given"));
            for name in case.args.get("of").into_iter().flatten() {
                world.crash(name, true);
                world.run(pause);
            }
        }
        "restart" => restart(world, case),
        "list_ends" => {
            let worker = world.workers.get_mut(name).expect("`name` is a worker");
            worker.max_listed_ends = number(case, "most").expect("`most` is given");
        }
        "former" => world.deliver_former_entry(name),
        "idle" => return job_wait(world, case),
        "evacuate" => world.evacuate(arg(case, "domain").expect("`domain` is given")),
        "restore" => world.restore(arg(case, "domain").expect("`domain` is given")),
        "list" => world.list(name),
        "unlist" => world.unlist(name),
        "foreign" => {
            let service = arg(case, "service").unwrap_or("desk");
            world.list_foreign(name, arg(case, "at").expect("`at` is given"), service);
        }
        "store" => {
            world.store_up = arg(case, "state") != Some("down");
            world.store_delay = Duration::from_millis(number(case, "delay").unwrap_or(4));
            world.max_record_bytes = number(case, "max");
            world.store_refuses = arg(case, "state") == Some("refusing");
        }
        "run" => world.run(Duration::from_millis(number(case, "ms").expect("`ms` is given"))),
        "show" => return world.describe(),
        "stored" => {
            return format!("jobs {}, records {}", world.jobs.len(), world.records.len());
        }
        "wave" => add_rollout(world, case),
        "waits" => return waits(world),
        "waves" => return world.describe_rollouts(),
        "exempt" => drop(world.machines.exempt.insert(name.to_owned())),
        "upkeep" => world.machines.upkeep_unavailable = arg(case, "state") == Some("down"),
        "lose_upkeep" => world.machines.lost_answers = number(case, "answers").unwrap_or(1),
        "machines" => world.machines.list_unavailable = arg(case, "state") == Some("down"),
        "ratings" => return scores(world, case),
        "harm" => return interference(world, case),
        "colocated" => return colocated(world, case),
        "notes" => return notes(world, case),
        "late_starts" => return world.late_starts.join("\n"),
        other => run_worker_directive(world, case, other),
    }
    String::new()
}

fn set_admission(world: &mut World, case: &TestCase) {
    if let Some(forecasts) = arg(case, "forecasts") {
        let instances = world.instances.as_mut().expect("admission is on");
        instances.forecasts_lost = forecasts == "lost";
        return;
    }
    world.instances = Some(Instances::open(number(case, "instances").unwrap_or(3)));
}

fn rejected(world: &World, case: &TestCase) -> String {
    let instances = world.instances.as_ref().expect("admission is on");
    match number(case, "most") {
        None => format!("{} jobs, {} given up", instances.rejected, instances.given_up),
        Some(most) if instances.rejected <= most => String::from("within"),
        Some(_) => format!("{} jobs", instances.rejected),
    }
}

fn set_features(world: &mut World, case: &TestCase) {
    world.features = Features::default();
    for name in case.args.get("of").into_iter().flatten() {
        match name.as_str() {
            "queue_shares" => world.features.queue_shares = true,
            "learned_durations" => world.features.learned_durations = true,
            "colocation_forecast" => world.features.colocation_forecast = true,
            other => panic!("no feature is named {other}"),
        }
    }
}

fn capacity(case: &TestCase) -> Amount {
    Amount {
        cpu_milli: number(case, "cpu").unwrap_or(8000),
        memory_mib: number(case, "memory").unwrap_or(32_000),
        accelerators: 0,
    }
}

/// Restarts workers under their names: one, several in sequence, or a rack at once.
fn restart(world: &mut World, case: &TestCase) {
    let down = Duration::from_millis(number(case, "down").unwrap_or(0));
    let gap = Duration::from_millis(number(case, "gap").unwrap_or(0));
    world.restarts.entry_delay = Duration::from_millis(number(case, "entry").unwrap_or(2));
    world.restarts.clock_lead = number(case, "ahead").map(Duration::from_millis);
    let names: Vec<String> = match (arg(case, "rack"), case.args.get("name")) {
        (Some(rack), _) => {
            let of = world.workers.iter().filter(|(_, worker)| &*worker.rack == rack);
            of.map(|(machine, _)| machine.clone()).collect()
        }
        (None, Some(names)) => names.clone(),
        (None, None) => panic!("`restart` needs `name` or `rack`"),
    };
    for name in names {
        world.restart(&name, down);
        world.run(gap);
    }
}

/// Starts to measure how long jobs have no running task although there is room, or returns whether
/// no job had none for longer than allowed.
fn job_wait(world: &mut World, case: &TestCase) -> String {
    let Some(most) = number(case, "most").map(Duration::from_millis) else {
        world.job_wait = Some(world::job_wait::Watch::default());
        return String::new();
    };
    let watch = world.job_wait.as_ref().expect("the measurement was started");
    if watch.longest <= most {
        return String::from("within");
    }
    format!("{} ms, {:x?}", watch.longest.as_millis(), watch.job)
}

fn add_crashing_task(world: &mut World, case: &TestCase) {
    let task = TaskId {
        job: job_id(case),
        occurrence: 0,
        step: number(case, "step").unwrap_or(0),
        index: number(case, "task").unwrap_or(0),
    };
    let after = Duration::from_millis(number(case, "after").unwrap_or(10));
    world.crashes.crashing_tasks.insert(task, after);
}

/// Returns whether no task has crashed more workers than allowed.
fn crashes(world: &World, case: &TestCase) -> String {
    let most: u32 = number(case, "most").expect("`most` is given");
    let crashes = world.crashes.max_count();
    if crashes <= most { String::from("within") } else { format!("{crashes}") }
}

fn run_worker_directive(world: &mut World, case: &TestCase, directive: &str) {
    let name = arg(case, "name").unwrap_or_default();
    let worker = world.workers.get_mut(name).unwrap_or_else(|| panic!("no worker {name}"));
    match directive {
        "cut" => worker.partitioned = true,
        "heal" => worker.partitioned = false,
        "untold" => worker.reports_start = false,
        "unguard" => worker.checks_capacity = false,
        "fail" => worker.fails_runs = true,
        "hang" => worker.stalls_runs = true,
        "mend" => (worker.fails_runs, worker.stalls_runs, worker.slow_factor) = (false, false, 1),
        "slow" => worker.slow_factor = number(case, "x").unwrap_or(6),
        "load" => set_load(worker, case),
        "late_holds" => {
            let by = Duration::from_millis(number(case, "by").unwrap_or(3000));
            worker.delayed_heartbeats = (number(case, "holds").unwrap_or(1), by);
        }
        "late" => {
            let by = Duration::from_millis(number(case, "by").unwrap_or(3000));
            worker.delayed_commands = (number(case, "orders").unwrap_or(1), by);
        }
        "lose" => worker.lost_responses = number(case, "answers").unwrap_or(1),
        "drain" => {
            worker.draining = true;
            world.list(name);
        }
        other => panic!("unknown directive {other}"),
    }
}

/// Returns whether the owner has computed no more worker scores per second than allowed since it
/// took over.
fn scores(world: &mut World, case: &TestCase) -> String {
    let most: f64 = number(case, "most").expect("`most` is given");
    let planner = world.planner.as_ref().expect("the cell is owned");
    let ratings = planner.census().scores() as f64 / world.owned_for().as_secs_f64();
    if ratings <= most { String::from("within") } else { format!("over: {ratings:.0} a second") }
}

/// Returns the owner's counts of service tasks that wait or have waited.
fn waits(world: &World) -> String {
    let census = world.planner.as_ref().expect("the cell is owned").census();
    let overdue = census.overdue().map(|(kind, count)| format!("{kind} {count}"));
    let overdue: Vec<String> = overdue.collect();
    let returned = census.returned().map(|(bound, count)| format!("{bound}: {count}"));
    let returned: Vec<String> = returned.collect();
    format!("overdue: {}; placed again: {}", overdue.join(", "), returned.join(", "))
}

fn set_processor(world: &mut World, case: &TestCase) {
    let share = match arg(case, "share").expect("`share` is given") {
        "full" => None,
        _ => number::<f64>(case, "share").map(|thousandths| thousandths / 1000.0),
    };
    world.set_processor_share(share);
}

fn set_pass_time(world: &mut World, case: &TestCase) {
    let pass_time = Duration::from_millis(number(case, "ms").expect("`ms` is given"));
    let planner = world.planner.as_mut().expect("the cell is owned");
    planner.set_load(Load { lag: Duration::ZERO, pass_time });
}

/// Returns whether the owner keeps up with its events.
fn lag(world: &World, case: &TestCase) -> String {
    let most = Duration::from_millis(number(case, "most").expect("`most` is given"));
    let processor = world.processor.as_ref().expect("the owner's processor is limited");
    let lag = processor.lag(world.now);
    match world.planner {
        None => String::from("no owner"),
        Some(_) if lag <= most => String::from("within"),
        Some(_) => format!("{} ms", lag.as_millis()),
    }
}

/// Returns whether there were no more owners than allowed, and counts anew.
fn owners(world: &mut World, case: &TestCase) -> String {
    let processor = world.processor.as_mut().expect("the owner's processor is limited");
    let owners = std::mem::take(&mut processor.owners);
    match number::<u32>(case, "most") {
        None => String::new(),
        Some(most) if owners <= most => String::from("within"),
        Some(_) => format!("{owners}"),
    }
}

/// Returns whether owners had processor time to spare, and measures anew.
fn utilization(world: &mut World, case: &TestCase) -> String {
    let processor = world.processor.as_mut().expect("the owner's processor is limited");
    let used = processor.take_utilization();
    match number::<f64>(case, "most") {
        None => String::new(),
        Some(most) if used <= most => String::from("within"),
        Some(_) => format!("{used:.0} percent"),
    }
}

/// Returns whether the owner heard of all workers soon enough.
fn takeover(world: &World, case: &TestCase) -> String {
    let most = Duration::from_millis(number(case, "most").expect("`most` is given"));
    let processor = world.processor.as_ref().expect("the owner's processor is limited");
    match processor.takeover_time() {
        Some(time) if time <= most => String::from("within"),
        Some(time) => format!("{} ms", time.as_millis()),
        None => format!("not complete after {} ms", world.owned_for().as_millis()),
    }
}

fn add_rollout(world: &mut World, case: &TestCase) {
    let names = case.args.get("of").expect("`of` is given");
    let names = names.iter().map(|name| name.as_str().into()).collect();
    let duration = Duration::from_millis(number(case, "time").unwrap_or(20_000));
    let cap = number(case, "cap").unwrap_or(1);
    world.add_rollout(number(case, "number").unwrap_or(1), names, duration, cap);
}

fn set_load(worker: &mut Worker, case: &TestCase) {
    let serving = &mut worker.serving;
    serving.load = number(case, "percent").unwrap_or(serving.load);
    serving.amplitude = number(case, "swing").unwrap_or(serving.amplitude);
    serving.error_percent = number(case, "rough").unwrap_or(serving.error_percent);
    if let Some(phase) = number(case, "phase") {
        serving.phase = Duration::from_millis(phase);
    }
    if let Some(period) = number(case, "period") {
        serving.period = Duration::from_millis(period);
    }
    let presses = case.args.get("press").map_or(&[][..], |words| words);
    for press in presses.chunks(2) {
        let [image, weight] = press else { panic!("`press` takes pairs of image and weight") };
        serving
            .interference_weights
            .insert(image.clone(), weight.parse().expect("the weight is a number"));
    }
}

/// Returns whether best-effort tasks made latency-critical ones violate their targets for no longer
/// than allowed, at a stretch and in total.
fn interference(world: &World, case: &TestCase) -> String {
    let stretch = Duration::from_millis(number(case, "stretch").expect("`stretch` is given"));
    let all = Duration::from_millis(number(case, "all").expect("`all` is given"));
    let servings = || world.workers.values().map(|worker| &worker.serving);
    let longest = servings().map(|serving| serving.longest_violation).max().unwrap_or_default();
    let harmed: Duration = servings().map(|serving| serving.total_violation).sum();
    if longest <= stretch && harmed <= all {
        return String::from("within");
    }
    format!("{} ms at a stretch, {} ms in all", longest.as_millis(), harmed.as_millis())
}

/// Returns whether the cell did enough best-effort work with few violations and speed limits.
fn colocated(world: &World, case: &TestCase) -> String {
    let servings = || world.workers.values().map(|worker| &worker.serving);
    let violated = servings().map(|serving| serving.total_violation).sum::<Duration>().as_millis();
    let work = servings().map(|serving| serving.best_effort_work * 1e3).sum::<f64>();
    let is_within = number(case, "violated").is_none_or(|most: u128| violated <= most)
        && number(case, "limits").is_none_or(|most: u64| world.speed_limits <= most)
        && number(case, "work").is_none_or(|least: f64| work >= least);
    if is_within {
        return String::from("within");
    }
    format!("{violated} ms violated, {} speed limits, {work:.0} ms of work", world.speed_limits)
}

fn job_id(case: &TestCase) -> JobId {
    JobId::from_str_radix(arg(case, "id").expect("`id` is given"), 16).expect("`id` is hexadecimal")
}

fn parse_job(world: &mut World, case: &TestCase) -> Accepted {
    let steps = case.input.lines().map(parse_step).collect();
    let schedule = number(case, "count").map(|count| Schedule {
        count,
        start: world.now + Duration::from_millis(number(case, "start").unwrap_or(0)),
        interval: Duration::from_millis(number(case, "interval").unwrap_or(1000)),
    });
    let accepted = Accepted {
        queue: arg(case, "queue").unwrap_or("q").into(),
        service: "desk".into(),
        spec: Spec {
            payload: "p".repeat(number(case, "payload").unwrap_or(8)).into(),
            steps,
            schedule,
        },
        cancelled: false,
    };
    set_durations(world, case, 1);
    accepted
}

/// Sets the actual durations of the tasks of some jobs, where they differ from the estimates.
fn set_durations(world: &mut World, case: &TestCase, jobs: u64) {
    let jobs = job_id(case)..job_id(case) + jobs;
    if let Some(work) = number(case, "work").map(Duration::from_millis) {
        world.actual_work.extend(jobs.clone().map(|job| (job, work)));
    }
    if let Some(thousandths) = number(case, "tail") {
        let tail = Tail { thousandths, factor: number(case, "longer").unwrap_or(7) };
        world.tails.extend(jobs.map(|job| (job, tail)));
    }
}

/// Returns whether enough jobs of a stream were done in time.
fn served(world: &World, case: &TestCase) -> String {
    let count = number(case, "jobs").expect("`jobs` is given");
    let within = Duration::from_millis(number(case, "within").expect("`within` is given"));
    let least: u64 = number(case, "least").expect("`least` is given");
    let served = world.completed_within(job_id(case), count, within);
    if served >= least { String::from("enough") } else { format!("{served} of {count}") }
}

/// Returns whether enough tasks of a job run.
fn at_work(world: &World, case: &TestCase) -> String {
    let least: usize = number(case, "least").expect("`least` is given");
    let id = job_id(case);
    let runs = world.workers.values().filter(|worker| worker.up).flat_map(|w| w.active.keys());
    let running = runs.filter(|run| run.task.job == id).count();
    if running >= least { String::from("enough") } else { format!("{running}") }
}

/// Starts to measure how long service tasks wait although there is room for two of their kind, or
/// returns whether none waited longer than allowed.
fn service_wait(world: &mut World, case: &TestCase) -> String {
    let scope = match arg(case, "scope") {
        None => Scope::All,
        Some("after_run") => Scope::AfterRun,
        Some("calm") => Scope::Calm,
        Some("away") => Scope::Away,
        Some(other) => panic!("unknown scope {other}"),
    };
    let Some(most) = number(case, "most").map(Duration::from_millis) else {
        world.service_waits.watch(scope);
        return String::new();
    };
    let longest = world.service_waits.of(scope).max();
    if longest <= most { String::from("within") } else { format!("{} ms", longest.as_millis()) }
}

/// Starts to count looks in a row at which a service task was missing, or returns whether there were
/// no more than allowed.
fn looks(world: &mut World, case: &TestCase) -> String {
    let Some(most) = number::<u8>(case, "most") else {
        world.looks = Some(Looks::default());
        return String::new();
    };
    let looks = world.looks.as_ref().expect("the count was started");
    match looks.most.filter(|&(count, _)| count > most) {
        None => String::from("within"),
        Some((count, task)) => format!("{count} looks, {}", task.index),
    }
}

fn parse_step(line: &str) -> Step {
    let mut step = Step { count: 1, estimate: Duration::from_secs(1), ..Step::default() };
    step.demand = Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 };
    for word in line.split_whitespace() {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        let integer = || value.parse::<u32>().unwrap_or_else(|_| panic!("{word}"));
        match key {
            "count" => step.count = integer(),
            "cpu" => step.demand.cpu_milli = integer(),
            "memory" => step.demand.memory_mib = integer(),
            "time" => step.estimate = Duration::from_millis(integer().into()),
            "after" => {
                step.after =
                    value.split(',').map(|n| n.parse().expect("the index of a step")).collect();
            }
            "gang" => step.gang = true,
            "lasts" => step.long_running = true,
            "fills" => step.best_effort = true,
            "saves" => step.checkpointing = true,
            "tight" => step.same_rack = true,
            "image" => step.image = Some(value.into()),
            "target" => step.latency_target = Some(Duration::from_millis(integer().into())),
            "spares" => step.max_unavailable = Some(integer()),
            "apart" => step.max_per_worker = integer(),
            "near" => step.data_rack = Some(value.into()),
            "needs" => step.required_label = Some(value.into()),
            other => panic!("unknown option {other}"),
        }
    }
    step
}

fn notes(world: &mut World, case: &TestCase) -> String {
    let notes = std::mem::take(&mut world.log_lines);
    let wanted = case.args.get("of").cloned().unwrap_or_default();
    let kept = notes.into_iter().filter(|note| {
        wanted.is_empty() || wanted.iter().any(|event| note.starts_with(event.as_str()))
    });
    let lines: Vec<String> = kept.collect();
    if lines.is_empty() { String::from("nothing") } else { lines.join("\n") }
}
