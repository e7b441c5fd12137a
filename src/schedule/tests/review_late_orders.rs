//! Tests of start orders that a worker carries out after an event that seemed to settle
//! them: a restart, a refused connection, a confirmed stop.

use rstest::rstest;

use super::*;
use crate::fleet::StopOrder;

/// What is known of a start order when its worker restarts.
#[derive(Debug, Clone, Copy)]
enum Copies {
    /// A copy is on its way.
    InFlight,
    /// A copy got no answer.
    Unanswered,
    /// A copy got no answer and a later one was refused; the stop is on its way.
    Withdrawn,
    /// The new incarnation answered a copy before its first report.
    Answered,
}

/// A start order that was sent to a worker.
#[derive(Debug, Clone, Copy)]
struct SentStart {
    index: usize,
    worker: WorkerKey,
    key: TaskKey,
    task: TaskName,
    run: u64,
}

impl SentStart {
    const fn stop(self) -> StopOrder {
        StopOrder {
            task: self.task,
            run: self.run,
            fence: FENCE,
        }
    }
}

/// A shard of two workers that has sent one copy of the start order of its only task.
fn shard_with_sent_start(step: Step) -> (Shard, SentStart) {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step], 1, 0));
    shard.plan();
    let sent = shard.send_first_start();
    (shard, sent)
}

impl Shard {
    /// Sends the first order of the last pass, which is to start a task.
    fn send_first_start(&mut self) -> SentStart {
        let Some((worker, Order::Start { task: key, run })) = self.orders.first().cloned() else {
            panic!("no start is ordered first: {}", self.orders());
        };
        let order = self
            .scheduler
            .start_order(worker, key, run, at(self.now))
            .expect("the start is wanted");
        SentStart {
            index: self.workers.iter().position(|it| *it == worker).unwrap(),
            worker,
            key,
            task: order.task,
            run,
        }
    }

    fn settle(&mut self, sent: SentStart, copies: Copies) {
        let SentStart {
            worker, key, run, ..
        } = sent;
        let (scheduler, now) = (&mut self.scheduler, at(self.now));
        match copies {
            Copies::InFlight => {}
            Copies::Unanswered => {
                scheduler.on_start_unanswered(worker, key, run, at(0));
            }
            Copies::Withdrawn => {
                scheduler.on_start_unanswered(worker, key, run, at(0));
                scheduler.on_start_refused(worker, key, run, now);
            }
            Copies::Answered => {
                scheduler.on_start(worker, key, run, StartReply::Running, now);
            }
        }
    }

    /// Lets a worker report as its second incarnation, whose clock has begun anew.
    fn report_restarted(&mut self, worker: usize, running: &[(TaskName, u64)]) {
        let report = WorkerReport {
            clock: 300,
            incarnation: 2,
            running: running.iter().map(|run| live(run.0, run.1, 0)).collect(),
            ended: Vec::new(),
        };
        let now = at(self.now);
        self.scheduler
            .on_report(self.workers[worker], now, &report, now);
    }

    /// Plans 100 ms later, when the other worker has reported.
    fn plan_later(&mut self, sent: SentStart) {
        self.now += 100;
        self.report(1 - sent.index, &[], &[]);
        self.plan();
    }
}

#[rstest]
fn a_run_that_a_restarted_worker_lists_is_started_again_elsewhere(
    #[values(Copies::InFlight, Copies::Unanswered, Copies::Answered)] copies: Copies,
) {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.now = 300;
    shard.settle(sent, copies);
    shard.report_restarted(sent.index, &[(sent.task, sent.run)]);
    shard.plan_later(sent);
    assert!(!shard.orders().contains("start"), "{}", shard.orders());
}

#[rstest]
fn a_task_is_started_elsewhere_while_a_restarted_worker_may_begin_an_open_copy(
    #[values(Copies::InFlight, Copies::Unanswered, Copies::Withdrawn)] copies: Copies,
) {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.now = 300;
    shard.settle(sent, copies);
    shard.report_restarted(sent.index, &[]);
    shard.plan_later(sent);
    assert!(!shard.orders().contains("start"), "{}", shard.orders());
}

#[test]
fn capacity_is_given_away_that_a_restarted_worker_may_use_for_an_open_copy() {
    let (mut shard, sent) = shard_with_sent_start(step(1, 8));
    shard.now = 300;
    shard.settle(sent, Copies::InFlight);
    shard.report_restarted(sent.index, &[]);
    shard.submit(active_workflow(2, vec![step(2, 8)], 2, 0));
    shard.plan_later(sent);
    let started = shard.confirm();
    assert!(started.iter().all(|run| run.0 != sent.index));
}

/// A shard of two workers of which the first one to run the only task was silent until its
/// leases ended, with that run, and the start order that was then sent to the other one.
fn shard_with_later_start() -> (Shard, (usize, TaskName, u64), SentStart) {
    let (mut shard, first) = shard_with_sent_start(step(1, 6));
    shard.settle(first, Copies::Answered);
    for now in [6_000, 6_100] {
        shard.now = now;
        shard.report(1 - first.index, &[], &[]);
        shard.plan();
    }
    let later = shard.send_first_start();
    assert_eq!(later.index, 1 - first.index);
    (shard, (first.index, first.task, first.run), later)
}

#[test]
fn a_refused_connection_ends_the_stop_of_a_run_that_an_open_copy_may_begin() {
    let (mut shard, (first, task, earlier), later) = shard_with_later_start();
    shard.settle(later, Copies::Unanswered);
    shard.report(first, &[], &[(1, task, earlier, RunOutcome::Done)]);
    let ids = ["w0", "w1"];
    let draining = Registration {
        availability: Availability::Draining,
        ..registration(ids[later.index])
    };
    let other = registration(ids[first]);
    let now = at(shard.now);
    let entries = vec![draining, other.clone()];
    shard.scheduler.on_registry(entries, now);
    shard.scheduler.on_registry(vec![other], now);
    assert!(shard.scheduler.wants_stop(later.worker, &later.stop()));
    // A network partition may reset connections although the worker is alive.
    shard.scheduler.on_poll_failed(later.worker, true);
    assert!(shard.scheduler.wants_stop(later.worker, &later.stop()));
}

#[test]
fn a_worker_stays_closed_after_an_unwanted_run_that_had_begun_is_gone() {
    let (mut shard, (first, task, earlier), later) = shard_with_later_start();
    shard.settle(later, Copies::Answered);
    shard.report(first, &[], &[(1, task, earlier, RunOutcome::Done)]);
    shard.now += 100;
    shard.report(later.index, &[], &[]);
    let worker = &shard.scheduler.workers[later.worker];
    assert!(worker.unknown_runs.is_empty());
}

#[rstest]
fn a_poll_that_was_sent_before_an_order_was_answered_frees_its_task(
    #[values(StartReply::NoCapacity, StartReply::LeaseExpired(0))] reply: StartReply,
) {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.settle(sent, Copies::Unanswered);
    let (scheduler, now) = (&mut shard.scheduler, at(300));
    scheduler.on_start(sent.worker, sent.key, sent.run, reply, now);
    scheduler.on_stop(sent.worker, &sent.stop(), now);
    let report = WorkerReport {
        clock: 1_000_400,
        incarnation: 1,
        ..WorkerReport::default()
    };
    scheduler.on_report(sent.worker, at(200), &report, at(400));
    assert_eq!(shard.stage(sent.task).worker(), Some(sent.worker));
    let (scheduler, worker) = (&mut shard.scheduler, sent.worker);
    scheduler.on_report(worker, at(400), &report, at(500));
    assert_eq!(shard.stage(sent.task), Stage::Waiting);
}

#[rstest]
#[case(Copies::InFlight, true)]
#[case(Copies::Unanswered, false)]
fn an_undelivered_copy_frees_a_task_of_which_another_copy_is_open(
    #[case] copies: Copies,
    #[case] freed: bool,
) {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.settle(sent, copies);
    let (scheduler, now) = (&mut shard.scheduler, at(300));
    let released = scheduler.on_start_undelivered(sent.worker, sent.key, sent.run, now);
    assert_eq!(released, freed);
    assert_eq!(shard.stage(sent.task) == Stage::Waiting, freed);
}

#[rstest]
#[case(Copies::InFlight, false)]
#[case(Copies::Unanswered, true)]
fn a_task_is_suspected_although_another_worker_answered_its_only_copy(
    #[case] copies: Copies,
    #[case] suspected: bool,
) {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.settle(sent, copies);
    let (scheduler, now) = (&mut shard.scheduler, at(300));
    scheduler.take_events();
    scheduler.on_start_misdirected(sent.worker, sent.key, sent.run, now);
    let events = scheduler.take_events();
    let crashed = |event: &Event| matches!(event, Event::WorkerCrashed { .. });
    assert_eq!(events.iter().any(crashed), suspected);
    assert_eq!(shard.stage(sent.task), Stage::Waiting);
}

#[test]
fn a_task_waits_for_a_long_poll_although_the_stop_of_its_open_copies_is_confirmed() {
    let (mut shard, sent) = shard_with_sent_start(step(1, 1));
    shard.now = 300;
    shard.settle(sent, Copies::Withdrawn);
    let now = at(shard.now);
    shard.scheduler.on_stop(sent.worker, &sent.stop(), now);
    let poll = shard.scheduler.poll_order(sent.worker, true, now).unwrap();
    assert_eq!(poll.wait, Duration::ZERO);
}

#[test]
fn a_pause_without_an_answer_is_not_ordered_again_while_the_tail_is_over_its_target() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 1, "loud")], 2, 2));
    shard.plan();
    let runs = shard.confirm();
    let mut pauses = Vec::new();
    for now in (600..9_000).step_by(600) {
        shard.now = now;
        let measured = |task| if task == name(1, 0, 0) { 60 } else { 900 };
        let rows = runs.iter().map(|run| live(run.1, run.2, measured(run.1)));
        shard.report_with(0, 1, rows.collect(), &[]);
        shard.plan();
        if shard.orders().contains(" at 0") {
            pauses.push(now);
        }
    }
    assert!(pauses.len() > 1, "the task was paused at {pauses:?}");
}
