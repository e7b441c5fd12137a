//! Tests of start orders of which a copy got no answer: the worker may carry it out
//! later, after newer calls.

use rstest::rstest;

use super::*;
use crate::fleet::StopOrder;

/// How a worker answers a later copy of a start order without starting the run.
#[derive(Debug, Clone, Copy)]
enum Rejection {
    /// The worker refuses calls for a time.
    Refused,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The lease in the order has expired.
    LeaseExpired,
}

/// A start order that was sent to a worker and is not settled.
#[derive(Debug, Clone, Copy)]
struct Sent {
    index: usize,
    worker: WorkerKey,
    key: TaskKey,
    task: TaskName,
    run: u64,
    lease_end: u64,
}

impl Sent {
    const fn stop(self) -> StopOrder {
        StopOrder {
            task: self.task,
            run: self.run,
            fence: FENCE,
        }
    }
}

impl Shard {
    /// Sends a copy of the first start order of the last pass.
    fn send_copy(&mut self) -> Sent {
        let starts = self.orders.iter();
        let mut starts = starts.filter_map(|(worker, order)| match order {
            Order::Start { task, run } => Some((*worker, *task, *run)),
            _ => None,
        });
        let (worker, key, run) = starts.next().expect("a start is ordered");
        let order = self
            .scheduler
            .start_order(worker, key, run, at(self.now))
            .expect("the start is wanted");
        Sent {
            index: self.workers.iter().position(|it| *it == worker).unwrap(),
            worker,
            key,
            task: order.task,
            run,
            lease_end: order.lease_end,
        }
    }

    fn leave_unanswered(&mut self, sent: Sent) -> Option<StopOrder> {
        let now = at(self.now);
        self.scheduler
            .on_start_unanswered(sent.worker, sent.key, sent.run, now)
    }

    /// The registry says that a worker is about to leave.
    fn drain(&mut self, index: usize) {
        let entries = ["w0", "w1"].map(|id| Registration {
            availability: if id == format!("w{index}") {
                Availability::Draining
            } else {
                Availability::Ready
            },
            ..registration(id)
        });
        self.scheduler.on_registry(entries.into(), at(self.now));
    }

    /// Answers a copy. Returns the stop order that has to follow.
    fn reject(&mut self, sent: Sent, rejection: Rejection) -> Option<StopOrder> {
        let (scheduler, now) = (&mut self.scheduler, at(self.now));
        let reply = match rejection {
            Rejection::Refused => {
                return scheduler.on_start_refused(sent.worker, sent.key, sent.run, now);
            }
            Rejection::NoCapacity => StartReply::NoCapacity,
            Rejection::LeaseExpired => StartReply::LeaseExpired(sent.lease_end + 1),
        };
        scheduler.on_start(sent.worker, sent.key, sent.run, reply, now)
    }

    /// Lets the workers report these runs 100 ms later, and plans. Returns whether a
    /// start was ordered.
    fn restarts_after(&mut self, running: &[(usize, TaskName, u64)]) -> bool {
        self.now += 100;
        for worker in 0..self.workers.len() {
            let rows = running.iter().filter(|row| row.0 == worker);
            let rows: Vec<(TaskName, u64)> = rows.map(|row| (row.1, row.2)).collect();
            self.report(worker, &rows, &[]);
        }
        self.plan();
        self.orders().contains("start")
    }
}

/// A shard of two workers with one task, of whose start order one copy got no answer.
fn shard_with_unanswered_start(step: Step) -> (Shard, Sent) {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step], 1, 0));
    shard.plan();
    let sent = shard.send_copy();
    shard.leave_unanswered(sent);
    shard.now = 200;
    (shard, sent)
}

#[rstest]
fn a_task_runs_twice_after_a_later_copy_of_its_start_is_rejected(
    #[values(Rejection::Refused, Rejection::NoCapacity, Rejection::LeaseExpired)]
    rejection: Rejection,
) {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 1));
    let copy = shard.send_copy();
    shard.reject(copy, rejection);
    shard.plan();
    assert!(!shard.orders().contains("start"));
    assert!(!shard.restarts_after(&[(sent.index, sent.task, sent.run)]));
    assert_eq!(shard.stage(sent.task).worker(), Some(sent.worker));
}

#[rstest]
fn capacity_is_given_away_that_an_earlier_copy_of_a_start_may_still_take(
    #[values(Rejection::Refused, Rejection::NoCapacity)] rejection: Rejection,
) {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 8));
    let copy = shard.send_copy();
    shard.reject(copy, rejection);
    shard.submit(active_workflow(2, vec![step(2, 8)], 2, 0));
    shard.plan();
    let started = shard.confirm();
    assert_eq!(started.len(), 1);
    assert_ne!(started[0].0, sent.index);
}

#[test]
fn a_task_whose_start_was_refused_starts_again_once_its_stop_is_confirmed() {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 1));
    let copy = shard.send_copy();
    let stop = shard.reject(copy, Rejection::Refused);
    assert_eq!(stop, Some(sent.stop()));
    assert!(!shard.restarts_after(&[]));
    assert!(shard.scheduler.wants_stop(sent.worker, &sent.stop()));
    shard
        .scheduler
        .on_stop(sent.worker, &sent.stop(), at(shard.now));
    assert!(shard.restarts_after(&[]));
}

#[test]
fn a_task_whose_start_was_refused_at_once_waits_although_no_copy_is_open() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let sent = shard.send_copy();
    assert_eq!(shard.reject(sent, Rejection::Refused), None);
    shard.plan();
    assert!(shard.orders().contains("start"));
}

#[test]
fn a_task_whose_lease_expired_on_arrival_waits_although_a_report_does_not_list_it() {
    let (mut shard, _) = shard_with_unanswered_start(step(1, 1));
    let copy = shard.send_copy();
    assert_eq!(shard.reject(copy, Rejection::LeaseExpired), None);
    assert!(shard.restarts_after(&[]));
}

#[test]
fn a_start_without_answers_blocks_its_task_after_its_lease_has_ended() {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 1));
    shard.now = sent.lease_end - 1_000_000 - 100;
    assert!(!shard.restarts_after(&[]));
    assert!(shard.restarts_after(&[]));
}

#[test]
fn a_refused_stop_blocks_a_task_after_the_lease_of_its_start_has_ended() {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 1));
    let copy = shard.send_copy();
    shard.reject(copy, Rejection::Refused);
    shard.now = sent.lease_end - 1_000_000 - 100;
    assert!(!shard.restarts_after(&[]));
    assert!(shard.restarts_after(&[]));
}

#[test]
fn a_run_without_an_answer_begins_after_an_earlier_run_was_found_done() {
    let (mut shard, task, earlier) = shard_with_lost_run();
    let sent = shard.send_copy();
    shard.leave_unanswered(sent);
    let end = (1, task, earlier, RunOutcome::Done);
    shard.report(1 - sent.index, &[], &[end]);
    shard.plan();
    assert!(shard.orders().contains("stop"));
    shard.now += 100;
    shard.report(sent.index, &[], &[]);
    assert!(shard.scheduler.wants_stop(sent.worker, &sent.stop()));
    shard
        .scheduler
        .on_stop(sent.worker, &sent.stop(), at(shard.now));
    shard.now += 100;
    shard.report(sent.index, &[], &[]);
    assert!(!shard.scheduler.wants_stop(sent.worker, &sent.stop()));
    assert!(shard.scheduler.workers[sent.worker].unknown_runs.is_empty());
}

/// A shard of which one worker was silent until its leases ended, so that its task is
/// ordered to start on the other one. The task has a successor.
fn shard_with_lost_run() -> (Shard, TaskName, u64) {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let successor = Step {
        after: vec![0],
        ..step(1, 1)
    };
    shard.submit(active_workflow(1, vec![step(1, 6), successor], 1, 0));
    shard.plan();
    let (first, task, run) = shard.confirm()[0];
    for now in [6_000, 6_100] {
        shard.now = now;
        shard.report(1 - first, &[], &[]);
        shard.plan();
    }
    (shard, task, run)
}

#[test]
fn a_gang_member_begins_after_an_earlier_run_of_its_gang_was_found_done() {
    let mut shard = Shard::first_owner(&["w0", "w1", "w2", "w3"]);
    let gang = Step {
        gang: true,
        ..step(2, 6)
    };
    let successor = Step {
        after: vec![0],
        ..step(1, 1)
    };
    shard.submit(active_workflow(1, vec![gang, successor], 1, 0));
    shard.plan();
    let earlier = shard.confirm();
    let silent: Vec<usize> = earlier.iter().map(|run| run.0).collect();
    for now in [6_000, 6_100] {
        shard.now = now;
        for worker in (0..4).filter(|worker| !silent.contains(worker)) {
            shard.report(worker, &[], &[]);
        }
        shard.plan();
    }
    let orders = std::mem::take(&mut shard.orders);
    let later: Vec<(WorkerKey, TaskName, u64)> = orders
        .iter()
        .filter_map(|(worker, order)| match order {
            Order::Start { task, run } => {
                let sent = shard
                    .scheduler
                    .start_order(*worker, *task, *run, at(shard.now));
                Some((*worker, sent.unwrap().task, *run))
            }
            _ => None,
        })
        .collect();
    assert_eq!(later.len(), 2);
    let (_, task, run) = earlier[0];
    shard.report(silent[0], &[], &[(1, task, run, RunOutcome::Done)]);
    shard.plan();
    for (worker, task, run) in later {
        let stop = StopOrder {
            task,
            run,
            fence: FENCE,
        };
        let ordered = shard.orders.contains(&(worker, Order::Stop(stop)));
        assert!(ordered, "{task} of the later run is stopped");
    }
}

#[test]
fn a_start_that_reaches_a_restarted_worker_runs_beside_another_run_of_its_task() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let sent = shard.send_copy();
    shard.now = 200;
    shard.report_once(sent.index, 2, Vec::new(), &[]);
    shard.now = 300;
    shard.report(1 - sent.index, &[], &[]);
    shard.plan();
    assert_eq!(
        shard.orders,
        [(sent.worker, Order::Stop(sent.stop()))],
        "no other start"
    );
    shard
        .scheduler
        .on_stop(sent.worker, &sent.stop(), at(shard.now));
    shard.now = 400;
    shard.report_with(sent.index, 2, Vec::new(), &[]);
    shard.write();
    shard.plan();
    assert!(shard.orders().contains("start"));
}

#[test]
fn a_start_that_was_queued_is_sent_to_a_worker_that_is_leaving() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, Order::Start { task, run }) = shard.orders[0] else {
        panic!("a start is ordered");
    };
    let index = shard.workers.iter().position(|it| *it == worker).unwrap();
    shard.now = 1_000;
    shard.drain(index);
    assert_eq!(
        shard.scheduler.start_order(worker, task, run, at(1_000)),
        None
    );
    assert!(shard.restarts_after(&[]));
    assert_ne!(shard.send_copy().index, index);
}

#[test]
fn an_unanswered_start_is_repeated_to_a_worker_that_is_leaving() {
    let (mut shard, sent) = shard_with_unanswered_start(step(1, 1));
    shard.drain(sent.index);
    assert_eq!(shard.leave_unanswered(sent), Some(sent.stop()));
    assert_eq!(shard.stage(sent.task), Stage::Stopping(sent.worker));
}
