//! Polls the tasks of clients' connections in the order of the run queue.

use crate::run_queue::{RunQueue, Stage, TaskId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use tokio::task::yield_now;
use tokio::time::Instant;

/// Polls after which the runtime looks at sockets and timers again. Fewer would make that look a noticeable part of the
/// work, more would let new connections wait unseen.
pub const POLLS_AT_ONCE: usize = 16;

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

/// The run queue of a process, as wakers see it from any thread.
#[derive(Debug, Default)]
pub struct SharedQueue {
    queue: Mutex<RunQueue>,
    idle_executor: Mutex<Option<Waker>>,
}

impl SharedQueue {
    /// The queue. A panic elsewhere leaves it sound: each change of it is whole.
    pub fn lock(&self) -> MutexGuard<'_, RunQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self, id: TaskId) {
        self.lock().wake(id, Instant::now());
        if let Some(idle) = self.set_idle_executor(None) {
            idle.wake();
        }
    }

    /// Notes the executor while it has nothing to poll; one that polls, or lets the runtime look at sockets, is not woken.
    fn set_idle_executor(&self, waker: Option<Waker>) -> Option<Waker> {
        let mut idle = self.idle_executor.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut idle, waker)
    }
}

struct TaskWaker {
    id: TaskId,
    queue: Arc<SharedQueue>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.queue.wake(self.id);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.queue.wake(self.id);
    }
}

/// What a task tells of its request.
#[derive(Debug, Clone)]
pub struct Task {
    id: TaskId,
    queue: Arc<SharedQueue>,
}

impl Task {
    /// Its request has come to a stage.
    pub fn set_stage(&self, stage: Stage) {
        self.queue.lock().set_stage(self.id, stage);
    }

    /// Its request has been read, and is to end at `deadline`.
    pub fn begin_request(&self, deadline: Instant) {
        self.queue.lock().set_deadline(self.id, Some(deadline));
    }

    /// Its request has ended.
    pub fn end_request(&self) {
        self.queue.lock().end_request(self.id);
    }

    /// Returns once its request may be sent, or its deadline has passed.
    pub async fn admitted(&self, deadline: Instant) {
        poll_fn(|_| {
            let now = Instant::now();
            match now >= deadline || self.queue.lock().admit(self.id, now) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}

/// Starts tasks.
#[derive(Clone)]
pub struct Spawner {
    queue: Arc<SharedQueue>,
    started: Rc<RefCell<Vec<(TaskId, LocalFuture)>>>,
}

impl Spawner {
    /// Starts the task that `make` makes.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, make: impl FnOnce(Task) -> F) {
        let id = self.queue.lock().add(Instant::now());
        let task = Task { id, queue: self.queue.clone() };
        self.started.borrow_mut().push((id, Box::pin(make(task))));
        self.queue.wake(id);
    }
}

/// Owns the tasks and polls them.
pub struct Executor {
    spawner: Spawner,
    tasks: HashMap<TaskId, (Waker, LocalFuture)>,
}

impl Executor {
    /// Without tasks yet.
    pub fn new(queue: Arc<SharedQueue>) -> Executor {
        Executor { spawner: Spawner { queue, started: Rc::default() }, tasks: HashMap::new() }
    }

    /// Starts tasks here.
    pub fn spawner(&self) -> Spawner {
        self.spawner.clone()
    }

    /// Polls the tasks for as long as it is polled itself.
    pub async fn run(mut self) {
        loop {
            poll_fn(|context| self.poll_some(context)).await;
            // Unlike a wake of its own task, this has the runtime look at sockets and timers first.
            yield_now().await;
        }
    }

    /// Polls as many tasks as are polled at once; pending if there are no more.
    fn poll_some(&mut self, context: &mut Context) -> Poll<()> {
        self.spawner.queue.set_idle_executor(None);
        for _ in 0..POLLS_AT_ONCE {
            match self.next().or_else(|| self.next_or_idle(context.waker())) {
                Some(id) => self.poll_task(id),
                None => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }

    fn next(&mut self) -> Option<TaskId> {
        self.take_started();
        self.spawner.queue.lock().next(Instant::now())
    }

    /// Notes that there is nothing to poll, unless something has come meanwhile.
    fn next_or_idle(&mut self, waker: &Waker) -> Option<TaskId> {
        self.spawner.queue.set_idle_executor(Some(waker.clone()));
        self.next().inspect(|_| drop(self.spawner.queue.set_idle_executor(None)))
    }

    fn take_started(&mut self) {
        for (id, future) in self.spawner.started.borrow_mut().drain(..) {
            let waker = TaskWaker { id, queue: self.spawner.queue.clone() };
            self.tasks.insert(id, (Arc::new(waker).into(), future));
        }
    }

    /// Polls a task. One that panics ends alone; the panic has been told on standard error by then.
    fn poll_task(&mut self, id: TaskId) {
        let Some((waker, future)) = self.tasks.get_mut(&id) else { return };
        let mut context = Context::from_waker(waker);
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(&mut context)));
        if !matches!(polled, Ok(Poll::Pending)) {
            self.tasks.remove(&id);
            self.spawner.queue.lock().remove(id);
        }
    }
}
