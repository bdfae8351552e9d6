//! Runs the scenario files of `filetests`. Each file is one world.
//!
//! Directives: `worker name=w cpu=N [memory=N] [rack=R] [domain=D] [count=N]`; `own` (a new owner takes over, `attempts=N`, `advised=w`);
//! `kill` (the owner goes without a word); `busy ms=N` (its orders leave so much later than it decides on them); `link rate=N` (bytes a second
//! of the link of owners from then on); `job id=H [queue=q] [payload=N] [work=MS] [start=MS interval=MS count=N]` with a step a line (`count=N cpu=N memory=N time=MS
//! [after=N,..]` and any of `gang`, `lasts`, `fills`, `saves`, `tight`, `image=I`, `target=MS`, `spares=N`, `apart=N`,
//! `near=R`, `needs=L`); `foreign name=e at=w [service=S]` (an entry of another writer at a worker's address); `cancel
//! id=H`; `cut|heal|crash|rebirth|drain|unlist|list|unguard|fail|mend|hang|lose name=w`, `late name=w [orders=N]
//! [by=MS]` (orders without an answer, carried out later), `slow name=w x=N`, `load name=w [percent=N] [swing=N]
//! [period=MS] [rough=N] [press=(I, W, ..)]` (of its serving tasks by their own users, and what all its processors add
//! to that when an image fills them); `harm stretch=MS all=MS` (whether fills kept a serving task over its target for
//! no longer); `wave of=(w, ..) [cap=N] [time=MS] [number=N]` (an operator asks for upkeep); `waves` (how far they are,
//! and how many tasks of a step were away at once); `lose_upkeep [answers=N]`; `machines state=down|up` (whether they
//! can be listed); `store state=down|up [delay=MS]`; `run ms=N` (prints nothing); `show` (how far each job is); `notes
//! [of=(Event, ..)]` (what was noted since the last look); `stored` (the numbers of jobs and records);
//! `ratings most=N` (whether the owner rated workers more often than that a second); `stream id=H every=MS jobs=N`
//! (like `job`, handed in again and again with rising numbers); `served id=H jobs=N within=MS least=N` (whether so many
//! of a stream were done so soon); `culprit id=H [step=N] [task=N] [after=MS]` (that task crashes each worker so long after
//! its start); `acquit id=H` (no task of the job does so any more); `crashes most=N` (whether no task has crashed more workers); `resize name=w cpu=N [memory=N]` (its entry tells
//! a beat later); `beside` (from now on it is watched how tasks that last wait beside room for two of them) and
//! `beside most=MS` (whether none did for longer); `restart name=w|(w, ..)|rack=R [down=MS] [gap=MS] [entry=MS]` (workers crash and start
//! again under their names, and write their entries so long after); `untold name=w` (it doesn't tell when it started); `former name=w` (the directory's entry of the start before arrives once more); `late_holds
//! name=w [holds=N] [by=MS]` (holds without an answer, carried out later); `idle` and `idle most=MS` (the same as `beside`
//! for jobs of which nothing runs); `at_work id=H least=N` (whether so many of a job's tasks run); `evacuate domain=D` and
//! `restore domain=D` (by the operator, in the store).

mod world;

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Schedule;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use cowslipchute_standin::site::worker::FIRST_DOMAIN;
use cowslipchute_standin::site::worker::Worker;
use datadriven::TestCase;
use world::World;
use yare::parameterized;

#[parameterized(
    advice = { "advice" },
    attempts_over_owners = { "attempts_over_owners" },
    busy_owner = { "busy_owner" },
    cancel = { "cancel" },
    cancel_late = { "cancel_late" },
    cancel_late_owner = { "cancel_late_owner" },
    crash_bystanders = { "crash_bystanders" },
    crash_causes = { "crash_causes" },
    crash_late = { "crash_late" },
    crashing_fill = { "crashing_fill" },
    crashing_gang = { "crashing_gang" },
    crashing_lasting = { "crashing_lasting" },
    crashing_owners = { "crashing_owners" },
    crashing_task = { "crashing_task" },
    cut = { "cut" },
    cut_unlisted = { "cut_unlisted" },
    draining = { "draining" },
    draining_start = { "draining_start" },
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
    failures = { "failures" },
    filling = { "filling" },
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
    lasting_after_late = { "lasting_after_late" },
    lasting_after_load = { "lasting_after_load" },
    lasting_back = { "lasting_back" },
    lasting_before_lost = { "lasting_before_lost" },
    lasting_waits = { "lasting_waits" },
    lost_start = { "lost_start" },
    many_fills_wait = { "many_fills_wait" },
    moved = { "moved" },
    moved_pressed = { "moved_pressed" },
    narrow_link = { "narrow_link" },
    near = { "near" },
    occurrences = { "occurrences" },
    overload_ends = { "overload_ends" },
    overwritten = { "overwritten" },
    owner_killed = { "owner_killed" },
    owner_killed_cut = { "owner_killed_cut" },
    probation_busy = { "probation_busy" },
    probation_gang = { "probation_gang" },
    probation_fills = { "probation_fills" },
    passed_over = { "passed_over" },
    pressed = { "pressed" },
    rack_lost = { "rack_lost" },
    rebirth = { "rebirth" },
    reserve = { "reserve" },
    restarted = { "restarted" },
    restarted_busy = { "restarted_busy" },
    restarted_counted = { "restarted_counted" },
    restarted_cut = { "restarted_cut" },
    restarted_cut_start = { "restarted_cut_start" },
    restarted_quick_end = { "restarted_quick_end" },
    restarted_former = { "restarted_former" },
    restarted_lapse = { "restarted_lapse" },
    restarted_late_hold = { "restarted_late_hold" },
    restarted_late_start = { "restarted_late_start" },
    restarted_owners = { "restarted_owners" },
    restarted_twice_advised = { "restarted_twice_advised" },
    restarted_twice_fills = { "restarted_twice_fills" },
    restarted_twice_gang = { "restarted_twice_gang" },
    restarted_twice_killed = { "restarted_twice_killed" },
    restarted_twice_late = { "restarted_twice_late" },
    restarted_twice_later = { "restarted_twice_later" },
    restarted_twice_owners = { "restarted_twice_owners" },
    restarted_twice_saves = { "restarted_twice_saves" },
    restarted_untold = { "restarted_untold" },
    restarted_rack = { "restarted_rack" },
    room_lost = { "room_lost" },
    rough = { "rough" },
    shrunk_repeat = { "shrunk_repeat" },
    shrunk_waits = { "shrunk_waits" },
    slow = { "slow" },
    starved_gang = { "starved_gang" },
    starved = { "starved" },
    steps = { "steps" },
    store_down = { "store_down" },
    stray_room = { "stray_room" },
    swing = { "swing" },
    swing_foretold = { "swing_foretold" },
    unlike = { "unlike" },
    waiting = { "waiting" },
    wave = { "wave" },
    wave_culprit = { "wave_culprit" },
    wave_answers_lost = { "wave_answers_lost" },
    wave_crowded = { "wave_crowded" },
    wave_owner_killed = { "wave_owner_killed" },
)]
fn scenario(name: &str) {
    datadriven::walk(&format!("filetests/{name}.test"), |file| {
        let mut world = World::open();
        file.run(|case| {
            let mut output = direct(&mut world, case);
            if !output.is_empty() && !output.ends_with('\n') {
                output.push('\n');
            }
            output
        });
    });
}

#[test]
fn each_scenario_has_a_row() {
    for entry in std::fs::read_dir("filetests").expect("the scenarios lie beside the crate") {
        let path = entry.expect("a file").path();
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

fn direct(world: &mut World, case: &TestCase) -> String {
    let name = arg(case, "name").unwrap_or_default();
    match case.directive.as_str() {
        "worker" => {
            let capacity = capacity(case);
            let rack = arg(case, "rack").unwrap_or("r1");
            let domain = arg(case, "domain").unwrap_or(FIRST_DOMAIN);
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
        "kill" => world.kill_owner(),
        "link" => {
            world.link =
                Some(world::link::Link::open(number(case, "rate").expect("bytes a second")));
        }
        "busy" => world.order_delay = Duration::from_millis(number(case, "ms").unwrap_or(0)),
        "job" => {
            let accepted = accepted(world, case);
            world.submit(id(case), accepted);
        }
        "stream" => {
            let every = Duration::from_millis(number(case, "every").expect("a stream has a pace"));
            let accepted = accepted(world, case);
            let jobs = number(case, "jobs").expect("how many");
            if let Some(work) = number(case, "work").map(Duration::from_millis) {
                world.actual_work.extend((id(case)..id(case) + jobs).map(|job| (job, work)));
            }
            world.submit_stream(id(case), &accepted, jobs, every);
        }
        "served" => return served(world, case),
        "culprit" => culprit(world, case),
        "acquit" => world.crashes.culprits.retain(|task, _| task.job != id(case)),
        "crashes" => return crashes(world, case),
        "resize" => world.resize(name, capacity(case)),
        "at_work" => return at_work(world, case),
        "beside" => return beside(world, case),
        "cancel" => world.cancel(id(case)),
        "crash" => world.crash(name, false),
        "rebirth" => world.crash(name, true),
        "restart" => restart(world, case),
        "former" => world.deliver_former_entry(name),
        "idle" => return idle(world, case),
        "evacuate" => world.evacuate(arg(case, "domain").expect("a failure domain")),
        "restore" => world.restore(arg(case, "domain").expect("a failure domain")),
        "list" => world.list(name),
        "unlist" => world.unlist(name),
        "foreign" => {
            let service = arg(case, "service").unwrap_or("desk");
            world.list_foreign(name, arg(case, "at").expect("a worker's place"), service);
        }
        "store" => {
            world.store_up = arg(case, "state") != Some("down");
            world.store_delay = Duration::from_millis(number(case, "delay").unwrap_or(4));
        }
        "run" => world.run(Duration::from_millis(number(case, "ms").expect("run says how long"))),
        "show" => return world.describe(),
        "stored" => {
            return format!("jobs {}, records {}", world.jobs.len(), world.records.len());
        }
        "wave" => wave(world, case),
        "waves" => return world.describe_waves(),
        "lose_upkeep" => world.machines.lost_answers = number(case, "answers").unwrap_or(1),
        "machines" => world.machines.list_unavailable = arg(case, "state") == Some("down"),
        "ratings" => return ratings(world, case),
        "harm" => return harm(world, case),
        "notes" => return notes(world, case),
        other => fault(world, case, other),
    }
    String::new()
}

fn capacity(case: &TestCase) -> Amount {
    Amount {
        cpu_milli: number(case, "cpu").unwrap_or(8000),
        memory_mib: number(case, "memory").unwrap_or(32_000),
        accelerators: 0,
    }
}

/// Lets workers crash and start again under their names: one, several one after the other, or a rack at once.
fn restart(world: &mut World, case: &TestCase) {
    let down = Duration::from_millis(number(case, "down").unwrap_or(0));
    let gap = Duration::from_millis(number(case, "gap").unwrap_or(0));
    world.restarts.entry_delay = Duration::from_millis(number(case, "entry").unwrap_or(2));
    let names: Vec<String> = match (arg(case, "rack"), case.args.get("name")) {
        (Some(rack), _) => {
            let of = world.workers.iter().filter(|(_, worker)| &*worker.rack == rack);
            of.map(|(machine, _)| machine.clone()).collect()
        }
        (None, Some(names)) => names.clone(),
        (None, None) => panic!("a restart names its workers or a rack"),
    };
    for name in names {
        world.restart(&name, down);
        world.run(gap);
    }
}

/// Watches from now on how long jobs have nothing at work beside free room, or tells whether one had for longer.
fn idle(world: &mut World, case: &TestCase) -> String {
    let Some(most) = number(case, "most").map(Duration::from_millis) else {
        world.job_wait = Some(world::job_wait::Watch::default());
        return String::new();
    };
    let watch = world.job_wait.as_ref().expect("it is watched");
    if watch.longest <= most {
        return String::from("within");
    }
    format!("{} ms, {:x?}", watch.longest.as_millis(), watch.job)
}

fn culprit(world: &mut World, case: &TestCase) {
    let task = TaskId {
        job: id(case),
        occurrence: 0,
        step: number(case, "step").unwrap_or(0),
        index: number(case, "task").unwrap_or(0),
    };
    let after = Duration::from_millis(number(case, "after").unwrap_or(10));
    world.crashes.culprits.insert(task, after);
}

/// Tells whether no task has crashed more workers than this.
fn crashes(world: &World, case: &TestCase) -> String {
    let most: u32 = number(case, "most").expect("how many");
    let crashes = world.crashes.most();
    if crashes <= most { String::from("within") } else { format!("{crashes}") }
}

fn fault(world: &mut World, case: &TestCase, directive: &str) {
    let name = arg(case, "name").unwrap_or_default();
    let worker = world.workers.get_mut(name).unwrap_or_else(|| panic!("no worker {name}"));
    match directive {
        "cut" => worker.cut = true,
        "heal" => worker.cut = false,
        "untold" => worker.tells_start = false,
        "unguard" => worker.guards = false,
        "fail" => worker.fails = true,
        "hang" => worker.hangs = true,
        "mend" => (worker.fails, worker.hangs, worker.slow) = (false, false, 1),
        "slow" => worker.slow = number(case, "x").unwrap_or(6),
        "load" => load(worker, case),
        "late_holds" => {
            let by = Duration::from_millis(number(case, "by").unwrap_or(3000));
            worker.late_holds = (number(case, "holds").unwrap_or(1), by);
        }
        "late" => {
            let by = Duration::from_millis(number(case, "by").unwrap_or(3000));
            worker.late = (number(case, "orders").unwrap_or(1), by);
        }
        "lose" => worker.lose = number(case, "answers").unwrap_or(1),
        "drain" => {
            worker.draining = true;
            world.list(name);
        }
        other => panic!("no directive {other}"),
    }
}

/// Tells whether the owner has rated workers more often than so many times a second since it took over.
fn ratings(world: &mut World, case: &TestCase) -> String {
    let most: f64 = number(case, "most").expect("how many a second");
    let planner = world.planner.as_ref().expect("somebody owns the cell");
    let ratings = planner.census().scores() as f64 / world.owned_for().as_secs_f64();
    if ratings <= most { String::from("within") } else { format!("over: {ratings:.0} a second") }
}

fn wave(world: &mut World, case: &TestCase) {
    let names = case.args.get("of").expect("a wave names its machines");
    let names = names.iter().map(|name| name.as_str().into()).collect();
    let duration = Duration::from_millis(number(case, "time").unwrap_or(20_000));
    let cap = number(case, "cap").unwrap_or(1);
    world.add_rollout(number(case, "number").unwrap_or(1), names, duration, cap);
}

fn load(worker: &mut Worker, case: &TestCase) {
    let serving = &mut worker.serving;
    serving.load = number(case, "percent").unwrap_or(serving.load);
    serving.swing = number(case, "swing").unwrap_or(serving.swing);
    serving.rough = number(case, "rough").unwrap_or(serving.rough);
    if let Some(period) = number(case, "period") {
        serving.period = Duration::from_millis(period);
    }
    let presses = case.args.get("press").map_or(&[][..], |words| words);
    for press in presses.chunks(2) {
        let [image, weight] = press else { panic!("press holds images, each with its weight") };
        serving.presses.insert(image.clone(), weight.parse().expect("a weight"));
    }
}

/// Tells whether tasks that fill kept one that serves over its target for longer than this, at a
/// stretch and in all.
fn harm(world: &World, case: &TestCase) -> String {
    let stretch = Duration::from_millis(number(case, "stretch").expect("harm says how long"));
    let all = Duration::from_millis(number(case, "all").expect("harm says how long in all"));
    let servings = || world.workers.values().map(|worker| &worker.serving);
    let longest = servings().map(|serving| serving.longest).max().unwrap_or_default();
    let harmed: Duration = servings().map(|serving| serving.harmed).sum();
    if longest <= stretch && harmed <= all {
        return String::from("within");
    }
    format!("{} ms at a stretch, {} ms in all", longest.as_millis(), harmed.as_millis())
}

fn id(case: &TestCase) -> JobId {
    JobId::from_str_radix(arg(case, "id").expect("a job has an id"), 16).expect("hexadecimal")
}

fn accepted(world: &mut World, case: &TestCase) -> Accepted {
    let steps = case.input.lines().map(step).collect();
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
    if let Some(work) = number(case, "work") {
        world.actual_work.insert(id(case), Duration::from_millis(work));
    }
    accepted
}

/// Tells whether enough jobs of a stream were done in time.
fn served(world: &World, case: &TestCase) -> String {
    let count = number(case, "jobs").expect("how many");
    let within = Duration::from_millis(number(case, "within").expect("how soon"));
    let least: u64 = number(case, "least").expect("how many at least");
    let served = world.completed_within(id(case), count, within);
    if served >= least { String::from("enough") } else { format!("{served} of {count}") }
}

/// Tells whether enough tasks of a job run.
fn at_work(world: &World, case: &TestCase) -> String {
    let least: usize = number(case, "least").expect("how many at least");
    let id = id(case);
    let runs = world.workers.values().filter(|worker| worker.up).flat_map(|w| w.active.keys());
    let running = runs.filter(|run| run.task.job == id).count();
    if running >= least { String::from("enough") } else { format!("{running}") }
}

/// Watches from now on how long tasks that last wait beside room for two of their kind, or tells whether one
/// waited for longer.
fn beside(world: &mut World, case: &TestCase) -> String {
    let Some(most) = number(case, "most").map(Duration::from_millis) else {
        world.service_wait = Some(world::service_wait::Watch::default());
        return String::new();
    };
    let longest = world.service_wait.as_ref().expect("it is watched").longest;
    if longest <= most { String::from("within") } else { format!("{} ms", longest.as_millis()) }
}

fn step(line: &str) -> Step {
    let mut step = Step { count: 1, estimate: Duration::from_secs(1), ..Step::default() };
    step.demand = Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 };
    for word in line.split_whitespace() {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        let whole = || value.parse::<u32>().unwrap_or_else(|_| panic!("{word}"));
        match key {
            "count" => step.count = whole(),
            "cpu" => step.demand.cpu_milli = whole(),
            "memory" => step.demand.memory_mib = whole(),
            "time" => step.estimate = Duration::from_millis(whole().into()),
            "after" => {
                step.after = value.split(',').map(|n| n.parse().expect("a step")).collect();
            }
            "gang" => step.gang = true,
            "lasts" => step.long_running = true,
            "fills" => step.fills = true,
            "saves" => step.checkpointing = true,
            "tight" => step.same_rack = true,
            "image" => step.image = Some(value.into()),
            "target" => step.target = Some(Duration::from_millis(whole().into())),
            "spares" => step.max_unavailable = Some(whole()),
            "apart" => step.max_per_worker = whole(),
            "near" => step.data_rack = Some(value.into()),
            "needs" => step.required_label = Some(value.into()),
            other => panic!("no word {other}"),
        }
    }
    step
}

fn notes(world: &mut World, case: &TestCase) -> String {
    let notes = std::mem::take(&mut world.notes);
    let wanted = case.args.get("of").cloned().unwrap_or_default();
    let kept = notes.into_iter().filter(|note| {
        wanted.is_empty() || wanted.iter().any(|event| note.starts_with(event.as_str()))
    });
    let lines: Vec<String> = kept.collect();
    if lines.is_empty() { String::from("nothing") } else { lines.join("\n") }
}
