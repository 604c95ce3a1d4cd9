//! Runs the tasks of one thread cooperatively: whenever a task is polled, it gets a budget of socket operations, and it
//! yields before the first operation beyond it. A socket that is always ready therefore keeps no other task, and no
//! timer, from running. The operations of `super::socket` use up the budget.

#![expect(clippy::disallowed_types, reason = "this module wraps it")]

use async_executor::{LocalExecutor, Task};
use futures_lite::future::yield_now;
use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The number of socket operations that a task may begin each time it is polled. A task reads a complete buffered request
/// within it, so that bytes which have arrived are read before an elapsed time limit is noticed.
pub const OPERATIONS_PER_POLL: u32 = 8;

thread_local! {
    /// The number of operations that the task which is being polled may still begin.
    static REMAINING_OPERATIONS: Cell<u32> = const { Cell::new(OPERATIONS_PER_POLL) };
}

/// A future that gets a new budget whenever it is polled. Boxed, as moving a pointer to the executor is cheaper than moving
/// the state of a request.
struct WithBudget<F>(Pin<Box<F>>);

impl<F: Future> WithBudget<F> {
    fn new(future: F) -> WithBudget<F> {
        WithBudget(Box::pin(future))
    }
}

impl<F: Future> Future for WithBudget<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        REMAINING_OPERATIONS.set(OPERATIONS_PER_POLL);
        self.0.as_mut().poll(context)
    }
}

/// The executor of one thread, which gives each task its budget of socket operations.
#[derive(Default)]
pub struct Executor(LocalExecutor<'static>);

impl Executor {
    /// Creates an executor without tasks.
    pub fn new() -> Executor {
        Executor::default()
    }

    /// Starts a task, which is cancelled when the returned handle is dropped, unless it is detached.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.0.spawn(WithBudget::new(future))
    }

    /// Runs all tasks on this thread until `main` ends, and returns its output.
    pub fn block_on<T>(&self, main: impl Future<Output = T>) -> T {
        async_io::block_on(self.0.run(WithBudget::new(main)))
    }
}

/// Returns once the current task may begin a socket operation: at once, or after a yield if its budget is used up. The next
/// operation does not yield unless another one of the same task precedes it.
pub async fn until_operation_allowed() {
    if REMAINING_OPERATIONS.get() == 0 {
        yield_now().await;
        // Another future of the same task may have used up the new budget, and a future outside an executor gets none.
        REMAINING_OPERATIONS.set(OPERATIONS_PER_POLL);
    }
}

/// Counts a socket operation that the current task is about to begin, and yields first if the budget is used up.
pub(super) async fn begin_operation() {
    until_operation_allowed().await;
    REMAINING_OPERATIONS.set(REMAINING_OPERATIONS.get() - 1);
}

#[cfg(test)]
#[path = "executor_tests.rs"]
mod tests;
