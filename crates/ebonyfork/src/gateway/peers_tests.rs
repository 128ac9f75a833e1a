use std::collections::VecDeque;

use futures_util::FutureExt;
use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::metrics::TaskLabel;
use crate::ident::VmAddress;

/// Guards against messages of all VMs that wait for a restart, or are lost, because one event panics: it costs itself. The
/// event panics here because what it needs is borrowed already.
#[gtest]
#[tokio::test]
async fn an_event_that_panics_costs_itself() {
    let core = Rc::new(GatewayCore::new(settings(), dialect()));
    let (events, receiver) = mpsc::channel(8);
    let mut run = Box::pin(follow_links(Rc::clone(&core), receiver));
    let send_event = || {
        let vm = VmAddress([127, 0, 0, 9].into());
        let unsent = VecDeque::new();
        events.try_send(LinkEvent::Down { vm, unsent }).is_ok()
    };
    expect_that!(send_event(), eq(true));
    let result = core
        .quota_desk
        .with_claim(0, |_claim| run.as_mut().now_or_never());
    expect_that!(result, some(none()), "the task goes on");
    let counter = &core.metrics.tasks.caught_panics;
    let caught = || {
        let label = TaskLabel(TaskName::PeerMessages);
        counter.get_or_create(&label).get()
    };
    expect_that!(caught(), eq(1));
    expect_that!(send_event(), eq(true));
    expect_that!(run.as_mut().now_or_never(), none());
    expect_that!((events.capacity(), caught()), eq((8, 1)), "handled");
}
