//! The order in which tasks are polled: requests past their deadlines first, then each stage in its turn; while tasks wait too
//! long no further request is sent. A process that is short of processor time ends its requests in time by it.

use proptest::prelude::*;
use proxy::{RunQueue, Stage, TaskId, MOST_WAIT};
use std::time::Duration;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// A queue with the time, in which tasks wait for something.
struct Fixture {
    queue: RunQueue,
    now: Instant,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { queue: RunQueue::default(), now: Instant::now() }
    }

    /// A task at a stage that has been polled once.
    fn task(&mut self, stage: Stage) -> TaskId {
        let id = self.queue.add(self.now);
        self.queue.set_stage(id, stage);
        assert_eq!(self.next(), Some(id));
        id
    }

    fn tasks<const COUNT: usize>(&mut self, stage: Stage) -> [TaskId; COUNT] {
        std::array::from_fn(|_| self.task(stage))
    }

    fn wake(&mut self, ids: &[TaskId]) {
        ids.iter().for_each(|id| self.queue.wake(*id, self.now));
    }

    fn next(&mut self) -> Option<TaskId> {
        self.queue.next(self.now)
    }

    /// All that are polled without time passing, in that order.
    fn all(&mut self) -> Vec<TaskId> {
        std::iter::from_fn(|| self.next()).collect()
    }

    /// Streams that have waited too long for their turn.
    fn behind(&mut self) -> [TaskId; 4] {
        let streams = self.tasks(Stage::Passing);
        self.wake(&streams);
        self.now += MOST_WAIT + MS;
        streams
    }

    fn admit(&mut self, id: TaskId) -> bool {
        self.queue.admit(id, self.now)
    }
}

#[test]
fn a_task_is_polled_once_for_any_number_of_wakes() {
    let mut fixture = Fixture::new();
    let task = fixture.task(Stage::Arriving);
    fixture.wake(&[task, task]);
    assert_eq!(fixture.all(), [task]);
}

#[test]
fn a_task_that_was_removed_is_not_polled() {
    let mut fixture = Fixture::new();
    let [gone, left] = fixture.tasks(Stage::Passing);
    fixture.wake(&[gone, left]);
    fixture.queue.set_deadline(gone, Some(fixture.now));
    fixture.queue.remove(gone);
    fixture.wake(&[gone]);
    assert_eq!(fixture.all(), [left]);
}

/// Guards against ends that wait behind all events that are passed on (review case 2 where cores are scarce).
#[test]
fn requests_past_their_deadlines_come_first_the_earliest_before_the_others() {
    let mut fixture = Fixture::new();
    let [later, earlier] = fixture.tasks(Stage::Passing);
    let streams: [TaskId; 3] = fixture.tasks(Stage::Passing);
    fixture.queue.set_deadline(later, Some(fixture.now + 8 * MS));
    fixture.queue.set_deadline(earlier, Some(fixture.now + 5 * MS));
    fixture.wake(&streams);
    assert_eq!(fixture.next(), Some(streams[0]));
    fixture.now += 10 * MS;
    assert_eq!(fixture.all(), [earlier, later, streams[1], streams[2]]);
    let lag = fixture.queue.deadline_lag();
    assert_eq!((lag.count(), lag.sum()), (2, 7 * MS));
}

#[test]
fn a_deadline_that_was_taken_back_is_none() {
    let mut fixture = Fixture::new();
    let task = fixture.task(Stage::Passing);
    fixture.queue.set_deadline(task, Some(fixture.now + MS));
    fixture.queue.end_request(task);
    fixture.now += 2 * MS;
    assert_eq!(fixture.next(), None);
    assert_eq!(fixture.queue.deadline_lag().count(), 0);
}

/// Guards against requests that wait unread behind the events of all streams (review case 2 where cores are scarce).
#[test]
fn a_request_on_its_way_does_not_wait_for_all_streams() {
    let mut fixture = Fixture::new();
    let streams: [TaskId; 100] = fixture.tasks(Stage::Passing);
    fixture.wake(&streams);
    let request = fixture.queue.add(fixture.now);
    let mut polls = 0;
    for stage in [Stage::Arriving, Stage::Arriving, Stage::Opening, Stage::Opening] {
        fixture.queue.set_stage(request, stage);
        fixture.wake(&[request]);
        polls += 1 + std::iter::from_fn(|| fixture.next()).take_while(|id| *id != request).count();
    }
    assert!(polls <= 16, "{polls} polls for four steps");
}

#[test]
fn streams_have_their_turns_beside_any_number_of_new_requests() {
    let mut fixture = Fixture::new();
    let stream = fixture.task(Stage::Passing);
    let arriving: [TaskId; 100] = fixture.tasks(Stage::Arriving);
    let opening: [TaskId; 100] = fixture.tasks(Stage::Opening);
    fixture.wake(&arriving);
    fixture.wake(&opening);
    fixture.wake(&[stream]);
    let before = std::iter::from_fn(|| fixture.next()).take_while(|id| *id != stream).count();
    assert!(before < 4, "{before} polls");
}

#[test]
fn a_request_is_sent_at_once_while_no_task_waits_too_long() {
    let mut fixture = Fixture::new();
    let [stream, request] = fixture.tasks(Stage::Passing);
    fixture.wake(&[stream]);
    fixture.now += MOST_WAIT;
    assert!(fixture.admit(request));
    fixture.now += MS;
    assert!(fixture.admit(request), "what was given stays");
    fixture.queue.end_request(request);
    assert!(!fixture.admit(request), "the next request asks anew");
}

/// Guards against so many requests at once that none ends in time (review case 2 where cores are scarce).
#[test]
fn requests_are_held_back_while_streams_wait_and_the_newest_goes_first() {
    let mut fixture = Fixture::new();
    let [older, newer] = fixture.tasks(Stage::Arriving);
    let streams = fixture.behind();
    assert!(!fixture.admit(older));
    assert!(!fixture.admit(newer));
    assert_eq!(fixture.all(), [&streams[..], &[newer, older]].concat());
    assert!(fixture.admit(older) && fixture.admit(newer));
}

#[test]
fn a_held_back_request_that_hears_of_its_client_is_still_held_back() {
    let mut fixture = Fixture::new();
    let request = fixture.task(Stage::Arriving);
    let streams = fixture.behind();
    assert!(!fixture.admit(request));
    fixture.wake(&[request]);
    assert!(std::iter::from_fn(|| fixture.next()).take(2).any(|id| id == request));
    assert!(!fixture.admit(request));
    assert!(fixture.all().len() >= streams.len());
    assert!(fixture.admit(request));
}

#[test]
fn a_held_back_request_ends_at_its_deadline_and_is_not_sent_after_it() {
    let mut fixture = Fixture::new();
    let request = fixture.task(Stage::Arriving);
    let streams = fixture.behind();
    fixture.queue.set_deadline(request, Some(fixture.now + MS));
    assert!(!fixture.admit(request));
    fixture.now += 2 * MS;
    assert_eq!(fixture.next(), Some(request));
    fixture.queue.end_request(request);
    assert_eq!(fixture.all(), streams);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Every task that was woken is polled, and every request that was held back is admitted, whatever came before.
    #[test]
    fn nothing_that_is_ready_is_forgotten(steps in prop::collection::vec((0..8_usize, 0..7_u8, 0..80_u64), 1..120)) {
        let mut fixture = Fixture::new();
        let tasks: [TaskId; 8] = fixture.tasks(Stage::Arriving);
        let (mut is_due, mut is_held) = ([false; 8], [false; 8]);
        for (place, deed, value) in steps {
            let id = tasks[place];
            match deed {
                0 => { fixture.wake(&[id]); is_due[place] = true; }
                1 => fixture.queue.set_stage(id, Stage::Passing),
                2 => fixture.queue.set_stage(id, Stage::Opening),
                3 => fixture.queue.set_deadline(id, Some(fixture.now + Duration::from_millis(value))),
                4 => is_held[place] = !fixture.admit(id),
                5 => { fixture.queue.end_request(id); is_held[place] = false; }
                _ => {
                    fixture.now += Duration::from_millis(value);
                    if let Some(polled) = fixture.next() {
                        is_due[tasks.iter().position(|id| *id == polled).expect("a task of these")] = false;
                    }
                }
            }
        }
        for polled in fixture.all() {
            is_due[tasks.iter().position(|id| *id == polled).expect("a task of these")] = false;
        }
        prop_assert_eq!(is_due, [false; 8]);
        for place in (0..8).filter(|place| is_held[*place]) {
            prop_assert!(fixture.admit(tasks[place]));
        }
    }
}
