//! When rejected jobs may be submitted again, as booked at the owner.
//!
//! If every rejected job came back after the same pause, the burst would come back as a whole.
//! The owner adds up the bookings of all instances, and each instance books the first second that
//! has room. The calendar lives at the owner alone: a new owner knows no booking, so jobs that come
//! back to it count as new once.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use foldhash::HashMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smallvec::SmallVec;

use crate::demand::Lane;
use crate::forecast::BOOKED_SECONDS;
use crate::forecast::MAX_RETURNING;

/// Maximum number of bookings. Further ones are dropped, and their jobs count as new.
const MAX_BOOKINGS: usize = 8192;
/// Time for which a job may come back before or after the time that it was given: retry times are
/// rounded to seconds, and clients vary them.
const TOLERANCE: Duration = Duration::from_millis(1500);

/// The retry time that a rejected job was given.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Booking {
    /// The job.
    pub job: JobId,
    /// Its lane.
    pub lane: Lane,
    /// Its core-seconds.
    pub work: f32,
    /// Time until it may be submitted again, from when the booking is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub due_in: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    lane: Lane,
    work: f64,
    due_at: Time,
}

/// The bookings of all instances, at the owner.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    entries: HashMap<JobId, Entry>,
    by_time: BTreeSet<(Time, JobId)>,
}

impl Calendar {
    /// Adds a booking. A booking of the same job replaces the previous one, so that it may be
    /// reported again.
    pub fn book(&mut self, now: Time, booking: &Booking) {
        self.remove(booking.job);
        if self.entries.len() >= MAX_BOOKINGS {
            return;
        }
        let due_at = now + booking.due_in;
        let (lane, work) = (booking.lane.clone(), f64::from(booking.work));
        self.entries.insert(booking.job, Entry { lane, work, due_at });
        self.by_time.insert((due_at, booking.job));
    }

    /// Removes the booking of a job, for instance because it was admitted.
    pub fn remove(&mut self, job: JobId) {
        if let Some(entry) = self.entries.remove(&job) {
            self.by_time.remove(&(entry.due_at, job));
        }
    }

    /// Removes the bookings of jobs that did not come back.
    pub fn expire(&mut self, now: Time) {
        while let Some(&(due_at, job)) = self.by_time.first() {
            if now < due_at + TOLERANCE {
                return;
            }
            self.remove(job);
        }
    }

    /// Returns the core-seconds that are booked in a lane for each of the next seconds.
    pub fn booked(&self, now: Time, lane: &Lane) -> SmallVec<[f32; BOOKED_SECONDS]> {
        let mut seconds: SmallVec<[f32; BOOKED_SECONDS]> = SmallVec::new();
        for entry in self.entries.values().filter(|entry| entry.lane == *lane) {
            let second = entry.due_at.saturating_sub(now).as_secs() as usize;
            if second >= BOOKED_SECONDS {
                continue;
            }
            if seconds.len() <= second {
                seconds.resize(second + 1, 0.0);
            }
            seconds[second] += entry.work as f32;
        }
        seconds
    }

    /// Returns the jobs that are due to come back now, those that are due first at the front.
    pub fn returning(&self, now: Time) -> Vec<JobId> {
        let due = self.by_time.iter().take_while(|&&(due_at, _)| due_at <= now + TOLERANCE);
        due.take(MAX_RETURNING).map(|&(_, job)| job).collect()
    }

    /// Returns the number of bookings.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if there are no bookings.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
