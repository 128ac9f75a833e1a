use std::cell::Cell;

use googletest::prelude::*;
use tokio::task::LocalSet;

use super::*;
use crate::gateway::fixture::{dialect, settings};

fn core() -> Rc<GatewayCore> {
    Rc::new(GatewayCore::new(settings(), dialect()))
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against the end of a task that nobody learns of: a panic, a plain return and an abort each lead to another run, are
/// counted, and are told in the task's state until the next run.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_task_that_ends_is_counted_and_started_again() {
    let test = async {
        let core = core();
        let runs = Rc::new(Cell::new(0));
        let mut supervisor = TaskSupervisor::new(Rc::clone(&core));
        let aborter = supervisor.aborter();
        let run_counter = Rc::clone(&runs);
        supervisor.start(TaskName::Sweep, move || {
            run_counter.set(run_counter.get() + 1);
            let run = run_counter.get();
            async move {
                sleep_ms(20_000).await;
                match run {
                    1 => panic!("overflow in {run}"),
                    2 => {}
                    _ => std::future::pending().await,
                }
            }
        });
        let failure = supervisor.failure();
        tokio::task::spawn_local(supervisor.run());
        let ends = core
            .metrics
            .tasks
            .ends
            .get_or_create(&TaskLabel(TaskName::Sweep))
            .clone();
        sleep_ms(20_010).await;
        expect_that!((runs.get(), ends.get()), eq((2, 1)), "after the panic");
        sleep_ms(20_000).await;
        expect_that!((runs.get(), ends.get()), eq((3, 2)), "after the return");
        // A run of 10 ms is no steady one, so the next start has to wait.
        expect_that!(aborter.abort(TaskName::Sweep), eq(true));
        sleep_ms(10).await;
        expect_that!((runs.get(), ends.get()), eq((3, 3)), "after the abort");
        expect_that!(core.tasks.is_down(TaskName::Sweep), eq(true));
        sleep_ms(100).await;
        expect_that!(runs.get(), eq(4));
        expect_that!(core.tasks.is_down(TaskName::Sweep), eq(false));
        expect_that!(*failure.borrow(), none());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a process that lives on without gossip: the end of a task with state of its own is told once, with the
/// panic's message, and the other tasks go on so that the process can stop as planned.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_end_of_a_required_task_is_told() {
    let test = async {
        let core = core();
        let mut supervisor = TaskSupervisor::new(Rc::clone(&core));
        supervisor.start_required(TaskName::Membership, || async {
            sleep_ms(5).await;
            panic!("no state")
        });
        let steps = Rc::new(Cell::new(0));
        let step_counter = Rc::clone(&steps);
        supervisor.start(TaskName::Sweep, move || {
            let step_counter = Rc::clone(&step_counter);
            async move {
                loop {
                    sleep_ms(10).await;
                    step_counter.set(step_counter.get() + 1);
                }
            }
        });
        let mut failure = supervisor.failure();
        tokio::task::spawn_local(supervisor.run());
        let told = failure.wait_for(Option::is_some).await.is_ok();
        expect_that!(told, eq(true));
        let failure = failure.borrow().clone().expect("a failure");
        expect_that!(failure.task, eq("membership"));
        expect_that!(failure.reason, eq("no state"));
        expect_that!(core.is_ready(), eq(false));
        sleep_ms(1_000).await;
        expect_that!(steps.get(), ge(90), "the others go on");
    };
    LocalSet::new().run_until(test).await;
}
