//! Guards against bookings that are lost, counted twice or kept for jobs that never return.

use std::time::Duration;

use cowslipchute_admission::calendar::Booking;
use cowslipchute_admission::calendar::Calendar;
use cowslipchute_admission::demand::Class;
use cowslipchute_admission::demand::Lane;
use cowslipchute_ports::job::JobId;

fn lane() -> Lane {
    Lane { service: "desk".into(), priority: 0, class: Class::Short }
}

fn booking(job: JobId, due_in_ms: u64) -> Booking {
    Booking { job, lane: lane(), work: 10.0, due_in: Duration::from_millis(due_in_ms) }
}

#[test]
fn bookings_of_all_instances_add_up_by_second() {
    let mut calendar = Calendar::default();
    for (job, due_in_ms) in [(1, 1000), (2, 1900), (3, 3000)] {
        calendar.book(Duration::ZERO, &booking(job, due_in_ms));
    }
    assert_eq!(calendar.booked(Duration::ZERO, &lane()).as_slice(), [0.0, 20.0, 0.0, 10.0]);
    let other = Lane { priority: 2, ..lane() };
    assert!(calendar.booked(Duration::ZERO, &other).is_empty());
}

#[test]
fn a_booking_that_is_reported_again_counts_once() {
    let mut calendar = Calendar::default();
    calendar.book(Duration::ZERO, &booking(1, 2000));
    calendar.book(Duration::from_millis(250), &booking(1, 1750));
    assert_eq!(calendar.booked(Duration::ZERO, &lane()).as_slice(), [0.0, 0.0, 10.0]);
}

#[test]
fn jobs_are_named_while_they_are_due() {
    let mut calendar = Calendar::default();
    calendar.book(Duration::ZERO, &booking(1, 4000));
    calendar.book(Duration::ZERO, &booking(2, 2000));
    assert_eq!(calendar.returning(Duration::ZERO), []);
    assert_eq!(calendar.returning(Duration::from_secs(1)), [2]);
    assert_eq!(calendar.returning(Duration::from_secs(3)), [2, 1]);
}

#[test]
fn a_job_that_was_admitted_or_stays_away_is_forgotten() {
    let mut calendar = Calendar::default();
    calendar.book(Duration::ZERO, &booking(1, 2000));
    calendar.book(Duration::ZERO, &booking(2, 2000));
    calendar.remove(1);
    assert_eq!(calendar.len(), 1);
    calendar.expire(Duration::from_millis(3499));
    assert_eq!(calendar.len(), 1);
    calendar.expire(Duration::from_millis(3500));
    assert!(calendar.is_empty());
}
