//! The order in which the tasks of clients' connections are polled. No I/O.
//!
//! A process that gets too little processor time always has tasks that are ready. Served in the order in which they became
//! so, each step of a request would wait behind the events of all streams: its connection's acceptance, its reading, the
//! connection to a replica, and its end at its deadline. So requests past their deadlines come first, the one with the
//! earliest deadline before the others; then the stages of a request take turns, so that none keeps another from its turn.
//! Every second turn goes to connections and requests that are accepted and read, which is little work and tells when they
//! are to end. Of streams that wait longer more events are passed on at once.
//!
//! More requests than the process can serve would all be too slow to end by their deadlines, and all work on them lost. So
//! while tasks wait too long for their turn no further request is sent: those that have been read wait, and the newest one
//! goes first, since it has the most time left.

use crate::histogram::Histogram;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use strum::EnumCount;
use tokio::time::Instant;

/// Names a task for as long as its queue lives.
pub type TaskId = u64;

/// How far the request of a task is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, EnumCount)]
pub enum Stage {
    /// Its connection is accepted, or it is read.
    #[default]
    Arriving,
    /// It is on its way to a replica.
    Opening,
    /// Its answer is passed on.
    Passing,
}

/// How long tasks may wait for their turn before further requests are held back: well below the time in which people
/// notice a pause, since a request waits for several turns on its way.
pub const MOST_WAIT: Duration = Duration::from_millis(50);

/// Whose turn it is, in order and over again.
const TURNS: [Stage; 4] = [Stage::Arriving, Stage::Opening, Stage::Arriving, Stage::Passing];

/// Whether a task may send its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Admission {
    #[default]
    NotAsked,
    Waiting,
    Given,
}

#[derive(Debug, Default)]
struct TaskState {
    stage: Stage,
    is_ready: bool,
    deadline: Option<Instant>,
    admission: Admission,
}

/// A task that became ready, and when.
type Entry = (Instant, TaskId);

/// The tasks, and those of them that are to be polled.
#[derive(Debug, Default)]
pub struct RunQueue {
    next_id: TaskId,
    tasks: HashMap<TaskId, TaskState>,
    /// Tasks that became ready, in that order; one that has been polled since is passed over.
    ready: [VecDeque<Entry>; Stage::COUNT],
    /// Tasks that wait for admission, the newest last.
    waiting: Vec<TaskId>,
    turn: usize,
    deadlines: BTreeSet<(Instant, TaskId)>,
    deadline_lag: Histogram,
}

impl RunQueue {
    /// Adds a task, ready to be polled.
    pub fn add(&mut self, now: Instant) -> TaskId {
        let id = self.next_id;
        self.next_id += 1;
        self.tasks.insert(id, TaskState::default());
        self.wake(id, now);
        id
    }

    /// Removes a task.
    pub fn remove(&mut self, id: TaskId) {
        self.end_request(id);
        self.tasks.remove(&id);
    }

    /// The task is to be polled. A task that is gone is none.
    pub fn wake(&mut self, id: TaskId, now: Instant) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if std::mem::replace(&mut task.is_ready, true) {
            return;
        }
        self.ready[task.stage as usize].push_back((now, id));
    }

    /// The task's request has come to a stage. Counts from the next time it is woken.
    pub fn set_stage(&mut self, id: TaskId, stage: Stage) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.stage = stage;
        }
    }

    /// The task's request is to end at `deadline`; `None`: it has ended.
    pub fn set_deadline(&mut self, id: TaskId, deadline: Option<Instant>) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if let Some(former) = std::mem::replace(&mut task.deadline, deadline) {
            self.deadlines.remove(&(former, id));
        }
        self.deadlines.extend(deadline.map(|deadline| (deadline, id)));
    }

    /// Whether the task may send its request. If not, it is polled once it may.
    pub fn admit(&mut self, id: TaskId, now: Instant) -> bool {
        let is_behind = self.is_behind(now);
        let Some(task) = self.tasks.get_mut(&id) else { return true };
        if task.admission == Admission::NotAsked {
            if is_behind {
                task.admission = Admission::Waiting;
                self.waiting.push(id);
            } else {
                task.admission = Admission::Given;
                task.stage = Stage::Opening;
            }
        }
        task.admission == Admission::Given
    }

    /// The task's request has ended; the next one asks for admission again.
    pub fn end_request(&mut self, id: TaskId) {
        self.set_deadline(id, None);
        self.set_stage(id, Stage::Arriving);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if std::mem::take(&mut task.admission) == Admission::Waiting {
            self.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// The task that is polled at `now`, if any is ready or past its deadline. For a deadline it is polled once.
    pub fn next(&mut self, now: Instant) -> Option<TaskId> {
        let next = self.overdue(now).or_else(|| self.ready(now))?;
        self.tasks.get_mut(&next)?.is_ready = false;
        Some(next)
    }

    /// From deadlines to the polls of their tasks.
    pub fn deadline_lag(&self) -> Histogram {
        self.deadline_lag
    }

    fn overdue(&mut self, now: Instant) -> Option<TaskId> {
        let (deadline, id) = *self.deadlines.first().filter(|(deadline, _)| *deadline <= now)?;
        self.set_deadline(id, None);
        self.deadline_lag.observe(now - deadline);
        Some(id)
    }

    /// Ready tasks wait too long for their turn.
    fn is_behind(&mut self, now: Instant) -> bool {
        self.ready.iter_mut().any(|queue| {
            drop_stale(queue, &self.tasks);
            queue.front().is_some_and(|(since, _)| now.saturating_duration_since(*since) > MOST_WAIT)
        })
    }

    /// The next ready task; each stage that has some in its turn.
    fn ready(&mut self, now: Instant) -> Option<TaskId> {
        (0..TURNS.len()).find_map(|_| {
            let stage = TURNS[self.turn];
            self.turn = (self.turn + 1) % TURNS.len();
            self.next_at(stage, now)
        })
    }

    fn next_at(&mut self, stage: Stage, now: Instant) -> Option<TaskId> {
        let queue = &mut self.ready[stage as usize];
        drop_stale(queue, &self.tasks);
        let ready = queue.pop_front().map(|(_, id)| id);
        ready.or_else(|| (stage == Stage::Opening).then(|| self.admit_newest(now))?)
    }

    /// The newest of the tasks that wait for admission, unless others wait too long for their turn.
    fn admit_newest(&mut self, now: Instant) -> Option<TaskId> {
        if self.waiting.is_empty() || self.is_behind(now) {
            return None;
        }
        let id = self.waiting.pop()?;
        let task = self.tasks.get_mut(&id)?;
        task.admission = Admission::Given;
        task.stage = Stage::Opening;
        Some(id)
    }
}

/// Drops tasks at a queue's front that have been polled since they became ready.
fn drop_stale(queue: &mut VecDeque<Entry>, tasks: &HashMap<TaskId, TaskState>) {
    while queue.front().is_some_and(|(_, id)| !tasks.get(id).is_some_and(|task| task.is_ready)) {
        queue.pop_front();
    }
}
