//! Invariants, checked against the actual state of the workers and the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Epoch;
use cowslipchute_cell::record::Fate;
use cowslipchute_cell::record::Record;
use cowslipchute_ports::worker::Phase;

use super::Key;
use super::World;
use super::fleet::Started;

impl World {
    /// Checks that no worker is overcommitted and that no task runs twice, and collects
    /// completions.
    pub fn check(&mut self) {
        let now = self.now;
        let mut places: BTreeMap<Key, &str> = BTreeMap::new();
        for fake in self.fakes.values_mut() {
            fake.advance(now);
        }
        for fake in self.fakes.values() {
            let taken = fake.active().fold(Amount::ZERO, |sum, held| sum.plus(held.amount));
            assert!(
                taken.fits_within(fake.capacity),
                "{} runs tasks beyond its capacity",
                fake.name
            );
            for held in fake.active() {
                let key = (held.run.job.clone(), held.run.task);
                let other = places.insert(key, &fake.name);
                assert!(other.is_none(), "{:?} runs on {} and {other:?}", held.run, fake.name);
            }
            for held in fake.held().filter(|held| held.phase == Phase::Done) {
                self.completed.insert((held.run.job.clone(), held.run.task));
            }
        }
        for owner in self.owners.iter().filter(|owner| owner.alive) {
            for worker in owner.cell.workers() {
                let fits = worker.committed.fits_within(worker.capacity);
                let held: Vec<_> = self.fakes[&*worker.name].held().collect();
                assert!(
                    fits,
                    "{} commits {worker:?} beyond its capacity; truth: {held:#?}",
                    owner.name
                );
            }
        }
    }

    /// Checks that a start is a new attempt from the stored checkpoint. A start that was sent
    /// before the sender's ownership ended may arrive later; it is checked against the store as of
    /// that end.
    pub(super) fn check_start(&mut self, started: &Started, epoch: Epoch) {
        let run = &started.run;
        let key = (run.job.clone(), run.task);
        let last = self.last_attempts.insert(key.clone(), run.attempt);
        assert!(last.is_none_or(|last| last < run.attempt), "{run:?} started after {last:?}");
        let records = self.store.former_records.get(&epoch).unwrap_or(&self.store.records);
        let record = records.get(&run.job);
        let stored = record.and_then(|r| r.tasks.iter().find(|task| task.index == run.task));
        let checkpoint = stored.and_then(|task| task.checkpoint.clone());
        assert_eq!(started.checkpoint, checkpoint, "{run:?} resumes from the stored checkpoint");
        if epoch == self.store.epoch {
            assert!(!self.ends.contains_key(&key), "{run:?} started after its end");
        }
    }

    /// Checks that a terminal state in a record never changes and matches what happened.
    pub(super) fn check_record(&mut self, record: &Record) {
        let mut ends = Vec::new();
        let spans = record.done.iter().map(|span| ("done", span));
        for (end, span) in spans.chain(record.cancelled.iter().map(|span| ("cancelled", span))) {
            ends.extend((span.start..span.end).map(|index| (index, end)));
        }
        for (index, end) in ends {
            let key = (record.job.clone(), index);
            let before = self.ends.insert(key.clone(), end);
            assert!(before.is_none_or(|before| before == end), "{key:?} ended twice");
            let is_true = match end {
                "done" => self.completed.contains(&key),
                _ => self.cancelled.contains(&record.job),
            };
            assert!(is_true, "{key:?} is stored as {end}, which did not happen");
        }
        let recorded: BTreeSet<_> = self.ends.keys().filter(|key| key.0 == record.job).collect();
        let ended: u32 =
            record.done.iter().chain(&record.cancelled).map(|span| span.end - span.start).sum();
        assert_eq!(
            recorded.len() as u32,
            ended,
            "an ended task is missing in the record of {}",
            record.job
        );
        let check_task = |task: &cowslipchute_cell::record::Task| {
            assert!(
                !matches!(task.fate, Some(Fate::Done | Fate::Cancelled)),
                "completed and cancelled tasks are stored as spans"
            );
        };
        record.tasks.iter().for_each(check_task);
    }
}
